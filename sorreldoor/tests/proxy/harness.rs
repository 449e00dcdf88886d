//! Stub workers with faults, a proxy in front of them, and clients.

pub use super::event_stream::*;
use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use sorreldoor::balancer::{Balancer, Locality, SiteLimits};
use sorreldoor::configuration::{self, Site};
use sorreldoor::discovery::{Worker, WorkerRegistry};
use sorreldoor::proxy::http1::*;
use sorreldoor::proxy::{accept_connections, PlainDialect, ProxyController, SharedState};
use sorreldoor::runtime::{Clock, Now, SystemClock};
use sorreldoor::subscription::CoreSubscription;
use sorreldoor::wire::Hello;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);
/// The length of the proxy's lease, longer than a test.
pub const LEASE_MS: u64 = 60_000;
pub const CORE_ADDRESS: &str = "127.0.0.1:9";

/// The clock of a node that started 100 seconds ago, so that it has a retry budget.
#[derive(Default)]
pub struct OffsetClock(SystemClock);

impl Clock for OffsetClock {
    fn now(&self) -> Now {
        let now = self.0.now();
        let monotonic_ms = now.monotonic_ms + 100_000;
        Now {
            monotonic_ms,
            ..now
        }
    }
}

/// What a stub worker does with its n-th request.
#[derive(Clone, Debug)]
pub enum Behavior {
    /// Respond completely with this status and body, and keep the connection open.
    Complete(u16, &'static str),
    /// Respond completely after this many milliseconds of work.
    CompleteAfter(u64, &'static str),
    /// Respond completely, then close the connection.
    CompleteThenClose(&'static str),
    /// Respond with the id of another request.
    WrongRequestId,
    /// Respond with a success without the `x-stamp` header.
    Unstamped,
    /// Respond twice to one request.
    CompleteWithSurplus(&'static str),
    /// Reject the request as not run.
    NotRun,
    /// Respond with status 421.
    Misdirected,
    /// Read the request, then close the connection.
    Reset,
    /// Send a part of the body, then close the connection.
    Truncated,
    /// Send bytes that are not HTTP.
    Garbage,
    /// Never respond.
    Silent,
    /// Never respond to this request, but respond to others.
    LostResponse,
    /// Send the events from the first number to the second; then end the stream (`true`)
    /// or close the connection.
    Events(u64, u64, bool),
    /// Send the events from the first number to the second, then nothing.
    Stall(u64, u64),
    /// Send this many events without ids, then close the connection.
    EventsWithoutIds(u64),
    /// Respond completely without reading the request body.
    EarlyResponse(&'static str),
    /// Respond with these bytes, in which `{id}` stands for the request's id.
    Bytes(String),
}

/// The head of a request as text, and its body.
pub type ReceivedRequest = (String, Vec<u8>);

#[derive(Clone)]
pub struct StubWorker {
    pub addr: SocketAddr,
    /// The requests received so far, in order.
    pub received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl StubWorker {
    pub fn count(&self) -> usize {
        self.received.lock().unwrap().len()
    }
    pub fn head(&self, i: usize) -> String {
        self.received.lock().unwrap()[i].0.clone()
    }
}

/// Starts a worker that follows `behaviors` in order, and then repeats the last.
pub async fn start_stub_worker(behaviors: Vec<Behavior>) -> StubWorker {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stub = StubWorker {
        addr: listener.local_addr().unwrap(),
        received: Arc::default(),
    };
    let served = stub.clone();
    let behaviors = Arc::new(behaviors);
    task::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            task::spawn(serve_connection(
                served.clone(),
                behaviors.clone(),
                connection,
            ));
        }
    });
    stub
}

pub async fn serve_connection(
    stub: StubWorker,
    behaviors: Arc<Vec<Behavior>>,
    mut connection: TcpStream,
) {
    let mut buffer = ReadBuffer::default();
    loop {
        let head = loop {
            match parse_request_head(&mut buffer, 1 << 16) {
                Ok(Some(head)) => break head,
                Ok(None) => {}
                Err(_) => return,
            }
            if !matches!(buffer.fill(&mut connection).await, Ok(n) if n > 0) {
                return;
            }
        };
        let early = {
            let index = stub.received.lock().unwrap().len();
            matches!(
                behaviors.get(index).or(behaviors.last()),
                Some(Behavior::EarlyResponse(_))
            )
        };
        let framing = match early {
            true => Framing::None,
            false => head.request_framing().unwrap(),
        };
        let Ok(body) = read_body(&mut connection, &mut buffer, framing, 1 << 24).await else {
            return;
        };
        let id = head.get("x-request-id").unwrap_or("").to_string();
        let text = String::from_utf8_lossy(&head.raw).into_owned();
        let index = {
            let mut received = stub.received.lock().unwrap();
            received.push((text, body));
            received.len() - 1
        };
        let behavior = behaviors.get(index).or(behaviors.last()).unwrap().clone();
        if !respond(&mut connection, &id, behavior).await {
            if early {
                // closing with unread bytes sends a reset, which can discard the response
                task::sleep(Duration::from_millis(300)).await;
            }
            return;
        }
    }
}

/// Acts as `behavior` says; returns whether the connection stays open.
pub async fn respond(connection: &mut TcpStream, id: &str, behavior: Behavior) -> bool {
    let complete = |s: u16, b: &str, more: &str| {
        let n = b.len();
        format!("HTTP/1.1 {s} Fine\r\nx-request-id: {id}\r\nx-stamp: s1\r\nX-Mine: a b\r\n{more}content-length: {n}\r\n\r\n{b}")
    };
    let (text, keep_alive) = match behavior {
        Behavior::Complete(s, b) => (complete(s, b, ""), true),
        Behavior::CompleteAfter(work_ms, b) => {
            task::sleep(Duration::from_millis(work_ms)).await;
            (complete(200, b, ""), true)
        }
        Behavior::CompleteThenClose(b) => (complete(200, b, "connection: close\r\n"), false),
        Behavior::WrongRequestId => (complete(200, "theirs", "").replace(id, "another"), true),
        Behavior::Unstamped => (
            complete(200, "bare", "").replace("x-stamp: s1\r\n", ""),
            true,
        ),
        Behavior::CompleteWithSurplus(b) => {
            (complete(200, b, "") + &complete(200, "surplus", ""), true)
        }
        Behavior::NotRun => (complete(503, "", "x-not-run: 1\r\n"), true),
        Behavior::Misdirected => (complete(421, "", ""), true),
        Behavior::Reset => return false,
        Behavior::Truncated => (
            complete(200, "half of it", "").replace("half of it", "half"),
            false,
        ),
        Behavior::Garbage => ("\u{1}\u{2} no http at all\r\n\r\n".into(), false),
        Behavior::Silent | Behavior::LostResponse => return std::future::pending().await,
        Behavior::Events(a, z, true) => (events(id, a, z) + "0\r\n\r\n", true),
        Behavior::Events(a, z, false) => (events(id, a, z), false),
        Behavior::EventsWithoutIds(n) => {
            let text = events(id, 1, n);
            let bare = (1..=n).fold(text, |t, i| t.replace(&format!("id: {i}\n"), ":    \n"));
            (bare, false)
        }
        Behavior::EarlyResponse(b) => (complete(200, b, ""), false),
        Behavior::Bytes(bytes) => (bytes.replace("{id}", id), true),
        Behavior::Stall(a, z) => {
            connection
                .write_all(events(id, a, z).as_bytes())
                .await
                .unwrap();
            return std::future::pending().await;
        }
    };
    connection.write_all(text.as_bytes()).await.is_ok() && keep_alive
}

pub const CONFIGURATION: &str = r#"{"hosted":{"routes":[
 {"name":"get","host":"a.example","prefix":"/get/","kind":"idempotent","timeout_ms":3000,"aim_ms":400,"service":"web","attempts":3},
 {"name":"once","host":"a.example","prefix":"/once/","kind":"once","timeout_ms":3000,"aim_ms":400,"service":"web","attempts":3},
 {"name":"ask","host":"a.example","prefix":"/ask/","kind":"stream","timeout_ms":3000,"aim_ms":400,"service":"web","attempts":3,"resume":true,"gap_ms":300},
 {"name":"say","host":"a.example","prefix":"/say/","kind":"stream","timeout_ms":3000,"aim_ms":400,"service":"web","attempts":3}],
 "services":[{"name":"web","health":"/h","max_conns":100}],
 "limits":{"header_bytes":2000,"body_bytes":100000,"header_ms":300,"idle_ms":2000}}}"#;

#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    pub shared: Arc<SharedState<PlainDialect, OffsetClock>>,
}

pub async fn start_proxy(stubs: &[&StubWorker]) -> Proxy {
    start_proxy_with(CONFIGURATION, stubs).await
}

/// A proxy with the given configuration, whose state a core has confirmed.
pub async fn start_proxy_with(configuration_text: &str, stubs: &[&StubWorker]) -> Proxy {
    let proxy = start_isolated_proxy(configuration_text, stubs).await;
    proxy.confirm_state(true);
    proxy
}

/// A proxy with the given configuration and no contact with a core.
pub async fn start_isolated_proxy(configuration_text: &str, stubs: &[&StubWorker]) -> Proxy {
    let site = Arc::new(Site {
        regions: vec!["r".into()],
        zones: vec![("z".into(), 0)],
    });
    let locality = Locality {
        node: "n1".into(),
        regions: vec![0],
        ..Locality::default()
    };
    let bounds = SiteLimits {
        retry_ratio: 0.2,
        retry_window_ms: 10_000,
        retry_slack: 1000.0,
        warmup_excess: 1.5,
        warmup_slack: 5.0,
    };
    let mut balancer = Balancer::new(locality, bounds, 7);
    let (configuration, _) = configuration::parse(configuration_text.as_bytes(), &site).unwrap();
    balancer.update_nodes(vec![("n1".into(), 0)]);
    balancer.apply_configuration(configuration.hosted.unwrap(), 1);
    let row = |(index, stub): (usize, &&StubWorker)| Worker {
        name: format!("w{index}"),
        addr: stub.addr,
        group: "web".into(),
        slots: 8,
        ..Worker::blank()
    };
    let workers = stubs.iter().enumerate().map(row).collect();
    balancer.update_registry(
        &WorkerRegistry {
            version: 1,
            workers,
        },
        1,
    );
    let core = CORE_ADDRESS.parse().unwrap();
    let now = OffsetClock::default().now();
    let pull = CoreSubscription::new(&[core], LEASE_MS, now.monotonic_ms, now.wall);
    let controller = ProxyController::new(Hello::default(), site, pull, balancer);
    let shared = Arc::new(SharedState::new(
        controller,
        PlainDialect,
        OffsetClock::default(),
        Default::default(),
    ));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    task::spawn(accept_connections(listener, shared.clone(), 100));
    Proxy { addr, shared }
}

/// A response as a client received it; `complete` is whether the body was complete.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
    pub complete: bool,
}

pub struct Client {
    pub stream: TcpStream,
    pub buffer: ReadBuffer,
}

impl Client {
    pub async fn new(proxy: &Proxy) -> Client {
        let stream = TcpStream::connect(proxy.addr).await.unwrap();
        let buffer = ReadBuffer::default();
        Client { stream, buffer }
    }

    pub async fn send_request(
        &mut self,
        path: &str,
        headers: &str,
        body: &str,
    ) -> Option<Response> {
        let length = body.len();
        let request = format!("POST {path} HTTP/1.1\r\nHost: a.example\r\nx-request-id: q{path}\r\n{headers}content-length: {length}\r\n\r\n{body}");
        self.stream.write_all(request.as_bytes()).await.unwrap();
        self.read_response().await
    }

    pub async fn read_response(&mut self) -> Option<Response> {
        timeout(TEST_TIMEOUT, async {
            let head = loop {
                if let Some(head) = parse_response_head(&mut self.buffer).unwrap() {
                    break head;
                }
                if !matches!(self.buffer.fill(&mut self.stream).await, Ok(n) if n > 0) {
                    return None;
                }
            };
            assert_well_formed(&head);
            let framing = head.response_framing("POST").unwrap();
            let mut decoder = BodyDecoder::new(framing);
            let mut body = Vec::new();
            let complete = loop {
                if decoder.decode(&mut self.buffer, &mut body).unwrap() {
                    break true;
                }
                if !matches!(self.buffer.fill(&mut self.stream).await, Ok(n) if n > 0) {
                    break decoder.is_complete_at_close();
                }
            };
            Some(Response {
                status: head.status,
                head: String::from_utf8_lossy(&head.raw).into_owned(),
                body: String::from_utf8_lossy(&body).into_owned(),
                complete,
            })
        })
        .await
        .expect("a response or the end of the connection within the time-out")
    }
}

/// Panics unless a client that accepts only what RFC 9112 lets a server send could read
/// this head. The proxy's own parser, which clients of these tests share, accepts more.
fn assert_well_formed(head: &Head) {
    let text = String::from_utf8_lossy(&head.raw);
    let lines = text.strip_suffix("\r\n\r\n").expect(&text);
    let mut lines = lines.split("\r\n");
    let status = format!("HTTP/1.1 {:03} ", head.status);
    assert!(lines.next().unwrap().starts_with(&status), "{text:?}");
    for line in lines {
        assert!(line.contains(": "), "{text:?}");
    }
    let bare_line_end = text.replace("\r\n", "").contains(['\r', '\n']);
    assert!(!bare_line_end, "{text:?}");
    // section 6.1, and RFC 9110, section 8.6
    if head.status == 204 {
        let framing = head.get("transfer-encoding").or(head.get("content-length"));
        assert_eq!(framing, None, "{text:?}");
    }
}

pub fn block_on_test<F: std::future::Future<Output = ()>>(f: F) {
    task::block_on(f);
}
