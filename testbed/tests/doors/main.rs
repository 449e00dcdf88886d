//! Malformed input at every interface of the real daemons: each is rejected with
//! its documented error.

mod operators;
mod request_paths;
mod unusual_results;

use async_std::io::prelude::*;
use async_std::net::TcpStream;
use async_std::task;
use http_types::Method;
use simd_json::prelude::*;
use sorreldoor::http::{Call, CompleteResponse};
use sorreldoor::json;
use sorreldoor::wire::{encode_frame, Payload, PROTOCOL_VERSION};
use std::net::SocketAddr;
use std::time::Duration;
use testbed::fleet::{configuration, press, Fleet, SitePreset};
use testbed::stub_worker::InjectedFault;

const WAIT_LIMIT: Duration = Duration::from_secs(40);

/// A small site: one zone per region, one edge per zone, few workers.
fn small_preset() -> SitePreset {
    SitePreset {
        regions: vec![("north", vec!["n1"], 1), ("south", vec!["s1"], 1)],
        web_workers: 1,
        edges_per_zone: 1,
        ..press()
    }
}

fn start_fleet(name: &str) -> Fleet {
    let directory =
        std::env::temp_dir().join(format!("sorreldoor-door-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory);
    let mut fleet = Fleet::start_with(&directory, small_preset(), 2);
    fleet.serve();
    fleet
}

fn send_request(
    fleet: &Fleet,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &[u8],
) -> CompleteResponse {
    let call = Call {
        method,
        path: path.into(),
        headers: headers
            .iter()
            .map(|(name, value)| (*name, value.to_string()))
            .collect(),
        body: body.to_vec(),
    };
    fleet
        .call(fleet.edges()[0], call, WAIT_LIMIT)
        .expect("the edge answers")
}

fn error_code(response: &CompleteResponse) -> String {
    let document = json::parse(&response.body, usize::MAX).unwrap_or_default();
    document
        .get("problem")
        .and_then(|p| p.as_str())
        .unwrap_or("")
        .into()
}

/// Sends raw bytes and reads until the peer closes the connection.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    task::block_on(async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let _ = stream.write_all(bytes).await;
        let mut buffer = Vec::new();
        let read = stream.read_to_end(&mut buffer);
        let _ = async_std::future::timeout(WAIT_LIMIT, read).await;
        String::from_utf8_lossy(&buffer).into_owned()
    })
}

fn callers(fleet: &Fleet) {
    let post = Method::Post;
    let large_body = vec![b' '; 2 << 20];
    let question_path = "/v1/errand/question";
    let cases: Vec<(CompleteResponse, u16, &str)> = vec![
        (
            send_request(fleet, post, "/v1/errand/draft", &[], b"{bad"),
            400,
            "bad-json",
        ),
        (
            send_request(fleet, post, "/v1/errand/none", &[], b"{}"),
            404,
            "unknown-route",
        ),
        (
            send_request(fleet, post, "/v2/x", &[], b"{}"),
            404,
            "unknown-path",
        ),
        (
            send_request(fleet, post, question_path, &[], b"{}"),
            400,
            "bad-errand",
        ),
        (
            send_request(fleet, post, question_path, &[("x-home", "mars")], b"{}"),
            400,
            "bad-errand",
        ),
        (
            send_request(
                fleet,
                post,
                "/v1/errand/draft",
                &[("x-errand-id", "a b")],
                b"{}",
            ),
            400,
            "bad-errand",
        ),
        (
            send_request(fleet, post, "/v1/errand/page/x", &[], b"{}"),
            405,
            "bad-method",
        ),
        (
            send_request(fleet, post, "/v1/errand/draft", &[], &large_body),
            413,
            "body-too-large",
        ),
        (
            send_request(fleet, Method::Put, "/v1/setup", &[], b"{}"),
            428,
            "no-base",
        ),
        (
            send_request(fleet, Method::Put, "/v1/setup?base=0", &[], b"{}"),
            409,
            "stale-serial",
        ),
        (
            send_request(fleet, Method::Put, "/v1/setup?base=1", &[], b"{}"),
            422,
            "bad-setup",
        ),
        (
            send_request(fleet, post, "/v1/zones/x/empty?base=1", &[], b""),
            404,
            "unknown-zone",
        ),
        (
            send_request(fleet, Method::Get, "/v1/proposals/abc", &[], b""),
            404,
            "unknown-proposal",
        ),
        (
            send_request(fleet, post, "/v1/setup", &[], b""),
            405,
            "bad-method",
        ),
    ];
    for (i, (response, status, code)) in cases.iter().enumerate() {
        assert_eq!(
            (response.status, &error_code(response)[..]),
            (*status, *code),
            "row {i}"
        );
    }
    let address = fleet.nodes[fleet.edges()[0]].http;
    let reply_to_garbage = send_raw(address, b"what is this\r\n\r\n");
    assert!(reply_to_garbage.contains("400"), "{reply_to_garbage}");
    let head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(20_000));
    assert!(send_raw(address, head.as_bytes()).contains("400"));
    // an incomplete head, and an incomplete body
    let head = std::thread::spawn(move || send_raw(address, b"GET /health HTTP/1.1\r\nho"));
    let half = b"POST /v1/errand/draft HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{\"a\"";
    assert!(send_raw(address, half).contains("408"));
    assert!(head.join().unwrap().contains("408"));
}

fn workers(fleet: &Fleet) {
    let home_worker = fleet
        .workers
        .iter()
        .position(|worker| worker.profile.name == "north-gpu0")
        .unwrap();
    let remote_worker = fleet
        .workers
        .iter()
        .position(|worker| worker.profile.name == "south-gpu0")
        .unwrap();
    let web_worker = fleet
        .workers
        .iter()
        .position(|worker| !worker.profile.model)
        .unwrap();
    let inject_fault = |fault: InjectedFault| {
        for worker in [home_worker, remote_worker, web_worker] {
            fleet.workers[worker].state().fault = fault;
        }
    };
    let home = [("x-home", "north")];
    let cases = [
        (InjectedFault::CloseConnection, 502, "outcome-unknown"),
        (InjectedFault::TruncatedBody, 502, "outcome-unknown"),
        (InjectedFault::InvalidJson, 502, "outcome-unknown"),
        (InjectedFault::WrongRequestId, 502, "outcome-unknown"),
    ];
    for (fault, status, code) in cases {
        inject_fault(fault);
        let response = send_request(fleet, Method::Post, "/v1/errand/question", &home, b"{}");
        assert_eq!(
            (response.status, &error_code(&response)[..]),
            (status, code),
            "{fault:?}"
        );
        // the failed worker is ejected for a moment
        inject_fault(InjectedFault::None);
        assert!(fleet.until(WAIT_LIMIT, |fleet| {
            send_request(fleet, Method::Post, "/v1/errand/question", &home, b"{}").status == 200
        }));
    }
    // idempotent requests are retried within the budget; their error code differs
    for (fault, code) in [
        (InjectedFault::CloseConnection, "worker-short"),
        (InjectedFault::TruncatedBody, "worker-short"),
    ] {
        inject_fault(fault);
        let response = send_request(fleet, Method::Get, "/v1/errand/page/x", &[], b"");
        let ok = response.status == 502 || response.status == 503;
        assert!(
            ok,
            "{fault:?} {code}: {} {}",
            response.status,
            error_code(&response)
        );
        inject_fault(InjectedFault::None);
        assert!(fleet.until(WAIT_LIMIT, |fleet| send_request(
            fleet,
            Method::Get,
            "/v1/errand/page/x",
            &[],
            b""
        )
        .status
            == 200));
    }
    // a worker rejects without running: another may run it, and nothing ran here
    inject_fault(InjectedFault::Reject);
    let executed = fleet.workers[home_worker].state().executed.len();
    let response = send_request(fleet, Method::Post, "/v1/errand/question", &home, b"{}");
    assert_eq!(
        (response.status, &error_code(&response)[..]),
        (503, "no-worker")
    );
    assert_eq!(fleet.workers[home_worker].state().executed.len(), executed);
    inject_fault(InjectedFault::None);
}

fn streams(fleet: &Fleet) {
    for fault in [InjectedFault::TruncatedStream, InjectedFault::SkippedEvent] {
        for worker in &fleet.workers {
            worker.state().fault = fault;
        }
        let address = fleet.nodes[fleet.edges()[0]].http;
        let body = "{\"events\":4}";
        let body_length = body.len();
        let text = format!(
            "POST /v1/errand/draft HTTP/1.1\r\nhost: x\r\ncontent-length: {body_length}\r\n\r\n{body}"
        );
        let got = send_raw(address, text.as_bytes());
        assert!(got.contains("\"seq\":0"), "{fault:?}: {got}");
        assert!(got.contains("\"problem\":"), "{fault:?}: {got}");
        // neither final event nor final chunk: the stream does not look complete
        assert!(!got.contains("\"done\":true"), "{got}");
        assert!(!got.ends_with("0\r\n\r\n"), "{got}");
        for worker in &fleet.workers {
            worker.state().fault = InjectedFault::None;
        }
    }
}

fn a_caller_that_hangs_up_frees_its_worker(fleet: &Fleet) {
    let address = fleet.nodes[fleet.edges()[0]].http;
    let body = "{\"events\":5000}";
    let body_length = body.len();
    task::block_on(async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = format!(
            "POST /v1/errand/draft HTTP/1.1\r\nhost: x\r\ncontent-length: {body_length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(body.as_bytes()).await.unwrap();
        let mut buffer = [0; 200];
        let _ = stream.read(&mut buffer).await.unwrap();
    });
    assert!(fleet.until(WAIT_LIMIT, |fleet| fleet
        .workers
        .iter()
        .all(|worker| worker.state().running == 0)));
}

fn frames(fleet: &Fleet) {
    let core = &fleet.nodes[fleet.cores()[0]];
    let address = core.listen.unwrap();
    let ping = Payload::Ping { no: 0 };
    let mut foreign_frame = encode_frame("other/north,south/n1@0,s1@1", &ping);
    send_raw(address, &foreign_frame);
    foreign_frame[4..6].copy_from_slice(&(PROTOCOL_VERSION + 1).to_le_bytes());
    send_raw(address, &foreign_frame);
    send_raw(address, &[255, 255, 255, 127, 0, 0]);
    send_raw(
        address,
        &[6, 0, 0, 0, PROTOCOL_VERSION as u8, 0, 200, 201, 202, 203],
    );
    let log = fleet.root.join(format!("{}.log", core.name));
    assert!(fleet.until(WAIT_LIMIT, |_| {
        let text = std::fs::read_to_string(&log).unwrap_or_default();
        let refused = text.matches("E230").count();
        refused >= 4 && text.contains("from another site") && text.contains("cannot be decoded")
    }));
    assert!(fleet
        .get(fleet.cores()[0], "/ready")
        .is_some_and(|(status, _)| status == 200));
}

#[test]
fn every_interface_rejects_bad_input_with_its_error() {
    let mut fleet = start_fleet("all");
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
        ("operators", operators::operators),
    ];
    for (name, step) in steps {
        let started_at = std::time::Instant::now();
        step(&fleet);
        println!("{name}: {} ms", started_at.elapsed().as_millis());
    }
    // on SIGTERM every node shuts down gracefully
    for i in 0..fleet.nodes.len() {
        fleet.signal(i, "TERM");
    }
    for node in &mut fleet.nodes {
        let code = node
            .child
            .take()
            .map(|mut child| child.wait().unwrap().code());
        assert_eq!(code, Some(Some(0)), "{}", node.name);
    }
}
