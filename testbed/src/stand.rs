//! Stand-in workers: model servers with prefill, decode, slots and a prefix
//! cache, and plain web workers. They log every execution by errand id.

use crate::feed::{broken, Feed};
use async_std::channel::{bounded, Receiver, Sender};
use async_std::io::{self, Cursor};
use async_std::net::TcpListener;
use async_std::task;
use http_types::{Body, Method, Request, Response, StatusCode};
use simd_json::prelude::*;
use sorreldoor::http::{self, Peer};
use sorreldoor::json::{self, Value};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// How a stand-in misbehaves, on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Runs the errand, then hangs up instead of answering.
    HangUp,
    /// States a longer body than it sends.
    Short,
    /// A body that is not JSON.
    Garbage,
    /// Names another errand in its result.
    WrongErrand,
    /// Breaks a stream off after its first event.
    CutStream,
    /// Skips an event of a stream.
    SkipEvent,
    /// Takes the errand and never answers.
    Silent,
    /// Says that it is full and has not run it.
    Refuse,
}

impl Fault {
    pub fn named(s: &str) -> Option<Fault> {
        Some(match s {
            "none" => Fault::None,
            "hang-up" => Fault::HangUp,
            "short" => Fault::Short,
            "garbage" => Fault::Garbage,
            "wrong-errand" => Fault::WrongErrand,
            "cut-stream" => Fault::CutStream,
            "skip-event" => Fault::SkipEvent,
            "silent" => Fault::Silent,
            "refuse" => Fault::Refuse,
            _ => return None,
        })
    }
}

#[derive(Clone, Debug)]
pub struct Make {
    pub name: String,
    pub model: bool,
    pub slots: usize,
    /// Microseconds per character of uncached prompt, and ms per event.
    pub prefill_us: u64,
    pub decode_ms: u64,
    pub cache: usize,
}

impl Make {
    pub fn model(name: &str) -> Make {
        Make {
            name: name.into(),
            model: true,
            slots: 4,
            prefill_us: 10,
            decode_ms: 5,
            cache: 8,
        }
    }
    pub fn web(name: &str) -> Make {
        Make {
            model: false,
            slots: 16,
            ..Make::model(name)
        }
    }
}

#[derive(Default)]
pub struct Book {
    /// Ids of all errands that began to run, in order.
    pub ran: Vec<String>,
    pub hits: u64,
    pub misses: u64,
    pub running: u32,
    pub queued: u32,
    pub most_running: u32,
    pub most_here: u32,
    pub finished: u64,
    pub fault: Fault,
    cache: VecDeque<String>,
}

/// A running stand-in; dropping it stops it.
pub struct Stand {
    pub make: Make,
    pub addr: SocketAddr,
    pub book: Arc<Mutex<Book>>,
    server: Option<task::JoinHandle<()>>,
}

struct Inner {
    make: Make,
    book: Arc<Mutex<Book>>,
    free: Receiver<()>,
    give: Sender<()>,
}

pub fn locked<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|p| p.into_inner())
}

impl Stand {
    pub async fn start(make: Make, addr: Option<SocketAddr>) -> io::Result<Stand> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let l = TcpListener::bind(addr.unwrap_or(any)).await?;
        let addr = l.local_addr()?;
        let book: Arc<Mutex<Book>> = Arc::default();
        let (give, free) = bounded(make.slots);
        for _ in 0..make.slots {
            let _ = give.try_send(());
        }
        let inner = Arc::new(Inner {
            make: make.clone(),
            book: book.clone(),
            free,
            give,
        });
        let server = task::spawn(http::serve(l, 4096, http::Gate::default(), move |r, p| {
            handle(inner.clone(), r, p)
        }));
        Ok(Stand {
            make,
            addr,
            book,
            server: Some(server),
        })
    }

    pub fn book(&self) -> MutexGuard<'_, Book> {
        locked(&self.book)
    }
}

impl Drop for Stand {
    fn drop(&mut self) {
        if let Some(s) = self.server.take() {
            task::spawn(async move {
                s.cancel().await;
            });
        }
    }
}

async fn handle(w: Arc<Inner>, req: Request, _peer: Peer) -> Response {
    let path = req.url().path().to_string();
    match (req.method(), path.as_str()) {
        (Method::Get, "/load") => load(&w),
        (Method::Get, "/log") => log(&w),
        (Method::Post, "/fault") => fault(&w, &req),
        (Method::Post, "/errand") if w.make.model => errand(w, req).await,
        (Method::Get, _) if !w.make.model => page(w, req).await,
        _ => Response::new(StatusCode::NotFound),
    }
}

fn load(w: &Inner) -> Response {
    let b = locked(&w.book);
    let mut v = Value::object();
    let _ = v.insert("worker", w.make.name.as_str());
    let _ = v.insert("running", b.running);
    let _ = v.insert("queued", b.queued);
    let _ = v.insert("slots", w.make.slots);
    let _ = v.insert("finished", b.finished);
    let _ = v.insert("adapters", Vec::<Value>::new());
    let _ = v.insert("weights", "stand-in-1");
    http::ok(v)
}

fn log(w: &Inner) -> Response {
    let b = locked(&w.book);
    let mut v = Value::object();
    let ran: Vec<Value> = b.ran.iter().map(|s| Value::from(s.as_str())).collect();
    let _ = v.insert("ran", ran);
    let _ = v.insert("hits", b.hits);
    let _ = v.insert("misses", b.misses);
    let _ = v.insert("most_running", b.most_running);
    http::ok(v)
}

fn fault(w: &Inner, req: &Request) -> Response {
    let f = http::query(req, "mode").and_then(|m| Fault::named(&m));
    match f {
        Some(f) => {
            locked(&w.book).fault = f;
            http::json(200, "{}".into())
        }
        None => Response::new(StatusCode::BadRequest),
    }
}

/// Counts an errand as here, and gives its slot back, whatever happens.
struct WorkerSlot(Arc<Inner>, bool);

impl WorkerSlot {
    fn take(w: &Arc<Inner>) -> WorkerSlot {
        let mut b = locked(&w.book);
        b.queued += 1;
        b.most_here = b.most_here.max(b.queued + b.running);
        WorkerSlot(w.clone(), false)
    }

    async fn run(&mut self, id: &str) {
        let _ = self.0.free.recv().await;
        self.1 = true;
        let mut b = locked(&self.0.book);
        b.queued -= 1;
        b.running += 1;
        b.most_running = b.most_running.max(b.running);
        b.ran.push(id.to_string());
    }
}

impl Drop for WorkerSlot {
    fn drop(&mut self) {
        let mut b = locked(&self.0.book);
        if self.1 {
            b.running -= 1;
            b.finished += 1;
            let _ = self.0.give.try_send(());
        } else {
            b.queued -= 1;
        }
    }
}

fn head(req: &Request, k: &str) -> String {
    req.header(k)
        .map_or(String::new(), |h| h.last().as_str().to_string())
}

async fn errand(w: Arc<Inner>, mut req: Request) -> Response {
    let id = head(&req, "x-errand-id");
    let key = head(&req, "x-prefix-key");
    let body = req.take_body().into_bytes().await.unwrap_or_default();
    let v = json::parse(&body, 1 << 24).unwrap_or_default();
    let num = |k: &str, or: u64| v.get(k).and_then(|n| n.as_u64()).unwrap_or(or);
    let (prefix, tail) = (num("prefix_chars", 0), num("tail_chars", 100));
    let events = num("events", 0);
    let fault = locked(&w.book).fault;
    if fault == Fault::Refuse {
        let mut r = http::json(503, "{\"ran\":false}".into());
        r.insert_header("x-ran", "no");
        return r;
    }
    let mut slot = WorkerSlot::take(&w);
    slot.run(&id).await;
    let hit = warm(&w, &key);
    let chars = tail + if hit { 0 } else { prefix };
    task::sleep(Duration::from_micros(chars * w.make.prefill_us)).await;
    let named = if fault == Fault::WrongErrand {
        "another".to_string()
    } else {
        id.clone()
    };
    match fault {
        Fault::Silent => {
            task::sleep(Duration::from_secs(3600)).await;
        }
        Fault::HangUp => return broken(named, Vec::new()),
        _ => {}
    }
    if events > 0 {
        return stream(w, slot, id, named, events, fault);
    }
    task::sleep(Duration::from_millis(w.make.decode_ms)).await;
    let mut v = Value::object();
    let _ = v.insert("errand", id);
    let _ = v.insert("worker", w.make.name.as_str());
    let _ = v.insert(
        "echo",
        sorreldoor::placement::mix("", &String::from_utf8_lossy(&body)),
    );
    let text = if fault == Fault::Garbage {
        "}{".to_string()
    } else {
        v.encode()
    };
    let mut r = http::json(200, text.clone());
    r.insert_header("x-errand-id", named);
    if fault == Fault::Short {
        let n = text.len();
        let half = Cursor::new(text.into_bytes()[..n / 2].to_vec());
        r.set_body(Body::from_reader(half, Some(n)));
        r.set_content_type(http_types::mime::JSON);
    }
    r
}

fn warm(w: &Inner, key: &str) -> bool {
    let mut b = locked(&w.book);
    if key.is_empty() {
        return false;
    }
    let at = b.cache.iter().position(|k| k == key);
    match at {
        Some(i) => {
            let k = b.cache.remove(i).unwrap_or_default();
            b.cache.push_back(k);
            b.hits += 1;
        }
        None => {
            b.cache.push_back(key.to_string());
            if b.cache.len() > w.make.cache {
                b.cache.pop_front();
            }
            b.misses += 1;
        }
    }
    at.is_some()
}

fn stream(
    w: Arc<Inner>,
    slot: WorkerSlot,
    id: String,
    named: String,
    n: u64,
    f: Fault,
) -> Response {
    let (tx, rx) = bounded(1);
    let gap = Duration::from_millis(w.make.decode_ms);
    task::spawn(async move {
        let _slot = slot;
        for i in 0..n {
            task::sleep(gap).await;
            if f == Fault::SkipEvent && i == 1 {
                continue;
            }
            let mut v = Value::object();
            let _ = v.insert("seq", i);
            let _ = v.insert("errand", id.as_str());
            let _ = v.insert("text", format!("{} event {i}", w.make.name));
            if i + 1 == n {
                let _ = v.insert("done", true);
            }
            if tx.send((v.encode() + "\n").into_bytes()).await.is_err() {
                return;
            }
            if f == Fault::CutStream {
                return;
            }
        }
    });
    let mut r = Response::new(StatusCode::Ok);
    let cut = f == Fault::CutStream;
    r.set_body(Body::from_reader(Feed::new(rx, cut), None));
    r.insert_header("x-errand-id", named);
    r.insert_header("content-type", "application/x-ndjson");
    r
}

async fn page(w: Arc<Inner>, req: Request) -> Response {
    let id = head(&req, "x-errand-id");
    let fault = locked(&w.book).fault;
    let mut slot = WorkerSlot::take(&w);
    slot.run(&id).await;
    task::sleep(Duration::from_millis(2)).await;
    match fault {
        Fault::Silent => {
            task::sleep(Duration::from_secs(3600)).await;
        }
        Fault::HangUp => return broken(id, Vec::new()),
        _ => {}
    }
    let text = format!("<p>{}</p>", req.url().path());
    let mut r = Response::new(StatusCode::Ok);
    if fault == Fault::Short {
        let half = Cursor::new(text.as_bytes()[..4].to_vec());
        r.set_body(Body::from_reader(half, Some(text.len())));
    } else {
        r.set_body(Body::from_string(text));
    }
    r.insert_header("content-type", "text/html");
    r
}
