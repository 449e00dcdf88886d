//! Bad input at every door of the real daemons: each has its kind.

mod odd;
mod request_paths;

use async_std::io::prelude::*;
use async_std::net::TcpStream;
use async_std::task;
use http_types::Method;
use simd_json::prelude::*;
use sorreldoor::http::{Call, Called};
use sorreldoor::json;
use sorreldoor::wire::{pack, Payload, PROTO};
use std::net::SocketAddr;
use std::time::Duration;
use testbed::fleet::{configuration, press, Fleet, SitePreset};
use testbed::stub_worker::InjectedFault;

const LONG: Duration = Duration::from_secs(40);

/// A small site: one zone a region, one edge, few workers.
fn small() -> SitePreset {
    SitePreset {
        regions: vec![("north", vec!["n1"], 1), ("south", vec!["s1"], 1)],
        webs: 1,
        edges_per_zone: 1,
        ..press()
    }
}

fn start(name: &str) -> Fleet {
    let d = std::env::temp_dir().join(format!("sorreldoor-door-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&d);
    let mut f = Fleet::start_with(&d, small(), 2);
    f.serve();
    f
}

fn ask(f: &Fleet, m: Method, path: &str, heads: &[(&'static str, &str)], body: &[u8]) -> Called {
    let c = Call {
        method: m,
        path: path.into(),
        heads: heads.iter().map(|(k, v)| (*k, v.to_string())).collect(),
        body: body.to_vec(),
    };
    f.call(f.edges()[0], c, LONG).expect("the edge answers")
}

fn error_code(c: &Called) -> String {
    let v = json::parse(&c.body, usize::MAX).unwrap_or_default();
    v.get("problem")
        .and_then(|p| p.as_str())
        .unwrap_or("")
        .into()
}

/// Send raw bytes and read what comes until the far end closes.
fn raw(to: SocketAddr, bytes: &[u8]) -> String {
    task::block_on(async {
        let mut s = TcpStream::connect(to).await.unwrap();
        let _ = s.write_all(bytes).await;
        let mut b = Vec::new();
        let read = s.read_to_end(&mut b);
        let _ = async_std::future::timeout(LONG, read).await;
        String::from_utf8_lossy(&b).into_owned()
    })
}

fn callers(f: &Fleet) {
    let post = Method::Post;
    let big = vec![b' '; 2 << 20];
    let q = "/v1/errand/question";
    let table: Vec<(Called, u16, &str)> = vec![
        (
            ask(f, post, "/v1/errand/draft", &[], b"{bad"),
            400,
            "bad-json",
        ),
        (
            ask(f, post, "/v1/errand/none", &[], b"{}"),
            404,
            "unknown-route",
        ),
        (ask(f, post, "/v2/x", &[], b"{}"), 404, "unknown-path"),
        (ask(f, post, q, &[], b"{}"), 400, "bad-errand"),
        (
            ask(f, post, q, &[("x-home", "mars")], b"{}"),
            400,
            "bad-errand",
        ),
        (
            ask(
                f,
                post,
                "/v1/errand/draft",
                &[("x-errand-id", "a b")],
                b"{}",
            ),
            400,
            "bad-errand",
        ),
        (
            ask(f, post, "/v1/errand/page/x", &[], b"{}"),
            405,
            "bad-method",
        ),
        (
            ask(f, post, "/v1/errand/draft", &[], &big),
            413,
            "body-too-large",
        ),
        (ask(f, Method::Put, "/v1/setup", &[], b"{}"), 428, "no-base"),
        (
            ask(f, Method::Put, "/v1/setup?base=0", &[], b"{}"),
            409,
            "stale-serial",
        ),
        (
            ask(f, Method::Put, "/v1/setup?base=1", &[], b"{}"),
            422,
            "bad-setup",
        ),
        (
            ask(f, post, "/v1/zones/x/empty?base=1", &[], b""),
            404,
            "unknown-zone",
        ),
        (
            ask(f, Method::Get, "/v1/proposals/abc", &[], b""),
            404,
            "unknown-proposal",
        ),
        (ask(f, post, "/v1/setup", &[], b""), 405, "bad-method"),
    ];
    for (i, (c, status, code)) in table.iter().enumerate() {
        assert_eq!((c.status, &error_code(c)[..]), (*status, *code), "row {i}");
    }
    let at = f.nodes[f.edges()[0]].http;
    let not_http = raw(at, b"what is this\r\n\r\n");
    assert!(not_http.contains("400"), "{not_http}");
    let head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(20_000));
    assert!(raw(at, head.as_bytes()).contains("400"));
    // a head, and a body, that never end
    let head = std::thread::spawn(move || raw(at, b"GET /health HTTP/1.1\r\nho"));
    let half = b"POST /v1/errand/draft HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{\"a\"";
    assert!(raw(at, half).contains("408"));
    assert!(head.join().unwrap().contains("408"));
}

fn workers(f: &Fleet) {
    let near = f
        .workers
        .iter()
        .position(|w| w.profile.name == "north-gpu0")
        .unwrap();
    let far = f
        .workers
        .iter()
        .position(|w| w.profile.name == "south-gpu0")
        .unwrap();
    let web = f.workers.iter().position(|w| !w.profile.model).unwrap();
    let set = |fault: InjectedFault| {
        for w in [near, far, web] {
            f.workers[w].state().fault = fault;
        }
    };
    let home = [("x-home", "north")];
    let table = [
        (InjectedFault::CloseConnection, 502, "outcome-unknown"),
        (InjectedFault::TruncatedBody, 502, "outcome-unknown"),
        (InjectedFault::InvalidJson, 502, "outcome-unknown"),
        (InjectedFault::WrongRequestId, 502, "outcome-unknown"),
    ];
    for (fault, status, code) in table {
        set(fault);
        let c = ask(f, Method::Post, "/v1/errand/question", &home, b"{}");
        assert_eq!((c.status, &error_code(&c)[..]), (status, code), "{fault:?}");
        // the worker that broke off is left alone for a moment
        set(InjectedFault::None);
        assert!(f.until(LONG, |f| {
            ask(f, Method::Post, "/v1/errand/question", &home, b"{}").status == 200
        }));
    }
    // what may be repeated is, within the budget, and is told apart
    for (fault, code) in [
        (InjectedFault::CloseConnection, "worker-short"),
        (InjectedFault::TruncatedBody, "worker-short"),
    ] {
        set(fault);
        let c = ask(f, Method::Get, "/v1/errand/page/x", &[], b"");
        let ok = c.status == 502 || c.status == 503;
        assert!(ok, "{fault:?} {code}: {} {}", c.status, error_code(&c));
        set(InjectedFault::None);
        assert!(
            f.until(LONG, |f| ask(f, Method::Get, "/v1/errand/page/x", &[], b"")
                .status
                == 200)
        );
    }
    // a worker that has not run it: another may, and nothing ran here
    set(InjectedFault::Reject);
    let executed = f.workers[near].state().executed.len();
    let c = ask(f, Method::Post, "/v1/errand/question", &home, b"{}");
    assert_eq!((c.status, &error_code(&c)[..]), (503, "no-worker"));
    assert_eq!(f.workers[near].state().executed.len(), executed);
    set(InjectedFault::None);
}

fn streams(f: &Fleet) {
    for fault in [InjectedFault::TruncatedStream, InjectedFault::SkippedEvent] {
        for w in &f.workers {
            w.state().fault = fault;
        }
        let at = f.nodes[f.edges()[0]].http;
        let body = "{\"events\":4}";
        let n = body.len();
        let text = format!(
            "POST /v1/errand/draft HTTP/1.1\r\nhost: x\r\ncontent-length: {n}\r\n\r\n{body}"
        );
        let got = raw(at, text.as_bytes());
        assert!(got.contains("\"seq\":0"), "{fault:?}: {got}");
        assert!(got.contains("\"problem\":"), "{fault:?}: {got}");
        // no last event, no last chunk: it does not look finished
        assert!(!got.contains("\"done\":true"), "{got}");
        assert!(!got.ends_with("0\r\n\r\n"), "{got}");
        for w in &f.workers {
            w.state().fault = InjectedFault::None;
        }
    }
}

fn a_caller_that_hangs_up_frees_its_worker(f: &Fleet) {
    let at = f.nodes[f.edges()[0]].http;
    let body = "{\"events\":5000}";
    let n = body.len();
    task::block_on(async {
        let mut s = TcpStream::connect(at).await.unwrap();
        let head =
            format!("POST /v1/errand/draft HTTP/1.1\r\nhost: x\r\ncontent-length: {n}\r\n\r\n");
        s.write_all(head.as_bytes()).await.unwrap();
        s.write_all(body.as_bytes()).await.unwrap();
        let mut b = [0; 200];
        let _ = s.read(&mut b).await.unwrap();
    });
    assert!(f.until(LONG, |f| f.workers.iter().all(|w| w.state().running == 0)));
}

fn frames(f: &Fleet) {
    let core = &f.nodes[f.cores()[0]];
    let to = core.listen.unwrap();
    let ping = Payload::Ping { no: 0 };
    let mut other = pack("other/north,south/n1@0,s1@1", &ping);
    raw(to, &other);
    other[4..6].copy_from_slice(&(PROTO + 1).to_le_bytes());
    raw(to, &other);
    raw(to, &[255, 255, 255, 127, 0, 0]);
    raw(to, &[6, 0, 0, 0, PROTO as u8, 0, 200, 201, 202, 203]);
    let log = f.root.join(format!("{}.log", core.name));
    assert!(f.until(LONG, |_| {
        let text = std::fs::read_to_string(&log).unwrap_or_default();
        let refused = text.matches("E230").count();
        refused >= 4 && text.contains("from another site") && text.contains("cannot be decoded")
    }));
    assert!(f.get(f.cores()[0], "/ready").is_some_and(|(s, _)| s == 200));
}

fn operators(f: &Fleet) {
    let edge = f.edges()[1];
    let (code, text) = f.ctl(edge, &["get"]);
    assert!(code == 0 && text.starts_with("serial 1\n"), "{code} {text}");
    let patch = f.root.join("patch.json");
    std::fs::write(&patch, r#"{"retry":{"percent":12}}"#).unwrap();
    let file = patch.display().to_string();
    let (code, text) = f.ctl(edge, &["edit", &file]);
    assert!(code == 2 && text.contains("--base"), "{code} {text}");
    let (code, text) = f.ctl(edge, &["edit", &file, "--base", "7"]);
    assert!(
        code == 1 && text.contains("the serial in force is 1"),
        "{text}"
    );
    let (code, text) = f.ctl(edge, &["edit", &file, "--base", "1", "--id", "c0ffee"]);
    assert_eq!((code, &text[..]), (0, "taken as serial 2\n"));
    // a retry under the same id gets the first answer, at another node too
    let core = f.cores()[1];
    let (code, text) = f.ctl(core, &["edit", &file, "--base", "1", "--id", "c0ffee"]);
    assert_eq!((code, &text[..]), (0, "taken as serial 2\n"));
    let (code, text) = f.ctl(edge, &["ask", "c0ffee"]);
    assert_eq!((code, &text[..]), (0, "taken as serial 2\n"));
    for i in 0..f.nodes.len() {
        let (s, v) = f.get(i, "/v1/setup").unwrap();
        let percent = v
            .get("setup")
            .and_then(|s| s.get("retry"))
            .and_then(|r| r.get("percent"));
        assert_eq!((s, percent.and_then(|p| p.as_u64())), (200, Some(12)));
    }
    std::fs::write(&patch, configuration(&f.preset)).unwrap();
    let (code, text) = f.ctl(edge, &["diff", &file]);
    assert_eq!(
        (code, &text[..]),
        (0, "- retry.percent: 12\n+ retry.percent: 15\n")
    );
    std::fs::write(&patch, r#"{"groups":{},"services":{}}"#).unwrap();
    let (code, text) = f.ctl(edge, &["check", &file]);
    assert!(code == 1 && text.contains("routes: is missing"), "{text}");
    let (code, text) = f.ctl(
        edge,
        &[
            "placement",
            "--route",
            "verdict",
            "--key",
            "k7",
            "--region",
            "north",
        ],
    );
    assert!(
        code == 0 && text.contains("worker: north-gpu0 in n1 (north)"),
        "{code} {text}"
    );
    assert!(text.contains("highest-ranked"), "{text}");
    let (code, text) = f.ctl(edge, &["placement", "--route", "nowhere"]);
    assert!(code == 1 && text.contains("unknown-route"), "{code} {text}");
    let (code, text) = f.ctl(core, &["evacuate", "s1", "--base", "2", "--wait", "30"]);
    assert_eq!(code, 0, "{text}");
    assert!(
        text.starts_with("taken as serial 3\n") && text.ends_with("zone s1 is empty\n"),
        "{text}"
    );
    // what the evacuated region had goes to the other, and people can see why
    assert!(f.until(LONG, |f| {
        let (code, text) = f.ctl(f.edges()[0], &["status"]);
        code == 0 && text.contains("s1    true")
    }));
    let (code, text) = f.ctl(core, &["return", "s1", "--base", "3", "--json"]);
    assert!(code == 0 && text.contains("\"serial\":4"), "{text}");
    let (code, text) = f.ctl(core, &["status"]);
    assert!(code == 0 && text.contains("workers (3)"), "{text}");
}

#[test]
fn every_door_turns_bad_input_away_by_its_kind() {
    let mut f = start("all");
    type Step = fn(&Fleet);
    let steps: [(&str, Step); 7] = [
        (
            "request-paths",
            request_paths::both_request_paths_work_alike,
        ),
        ("callers", callers),
        ("workers", workers),
        ("streams", streams),
        ("hang-up", a_caller_that_hangs_up_frees_its_worker),
        ("frames", frames),
        ("operators", operators),
    ];
    for (name, step) in steps {
        let t = std::time::Instant::now();
        step(&f);
        println!("{name}: {} ms", t.elapsed().as_millis());
    }
    // told to stop, every node leaves cleanly
    for i in 0..f.nodes.len() {
        f.signal(i, "TERM");
    }
    for n in &mut f.nodes {
        let code = n.child.take().map(|mut c| c.wait().unwrap().code());
        assert_eq!(code, Some(Some(0)), "{}", n.name);
    }
}
