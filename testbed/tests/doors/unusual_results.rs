//! Unusual and malformed results of workers, and whether the tests of the result
//! checks can fail.

use super::*;

/// A web worker with unusual responses: the caller gets the exact status, type
/// and bytes, or a problem document that names the fault.
#[test]
fn odd_results_come_exactly_or_not_at_all() {
    let fleet = start_fleet("odd");
    let worker = task::block_on(testbed::raw_worker::RawWorker::start("raw")).unwrap();
    let addr = worker.addr;
    fleet.platform.change(|workers| {
        workers.retain(|row| row.group != "web");
        let (name, group, zone) = ("raw".into(), "web".into(), "n1".into());
        workers.push(testbed::stub_platform::WorkerRow {
            name,
            addr,
            group,
            zone,
            leaving: false,
        });
    });
    worker.set_response(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    let edge = fleet.edges()[0];
    assert!(fleet.until(WAIT_LIMIT, |fleet| send_request(
        fleet,
        Method::Get,
        "/v1/errand/page/x",
        &[],
        b""
    )
    .body
        == b"ok"));
    let html = "content-type: text/html; charset=koi8-r\r\n";
    let cases: Vec<(&str, String, u16, &str)> = vec![
        ("nothing", "204 No Content\r\n\r\n".into(), 204, ""),
        ("moved", "302 Found\r\nlocation: /there?a=b\r\ncontent-length: 0\r\n\r\n".into(), 302, "location: /there?a=b"),
        ("missing", format!("404 Not Found\r\n{html}content-length: 4\r\n\r\ngone"), 404, "charset=koi8-r"),
        ("empty", "200 OK\r\ncontent-length: 0\r\n\r\n".into(), 200, ""),
        ("broken", "500 Oh\r\ncontent-length: 3\r\n\r\nbad".into(), 500, "\r\n\r\nbad"),
        ("chunked", format!("200 OK\r\n{html}transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"), 200, "\r\n\r\nabcde"),
        ("trailing", "200 OK\r\ncontent-length: 3\r\n\r\nabcXYZ".into(), 200, "\r\n\r\nabc"),
        ("two", "200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb".into(), 200, "\r\n\r\na"),
        ("no length", "200 OK\r\n\r\nwho knows".into(), 502, "worker-garbage"),
        ("two lengths", "200 OK\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nabcde".into(), 502, "worker-"),
        ("both ways", "200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n".into(), 502, "worker-"),
        ("no number", "200 OK\r\ncontent-length: three\r\n\r\nabc".into(), 502, "worker-"),
        ("cut chunks", "200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n5\r\nde".into(), 502, "worker-short"),
        ("no end", "200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n".into(), 502, "worker-short"),
        ("line feeds", "200 OK\ncontent-length: 2\n\nok".into(), 200, "\r\n\r\nok"),
        ("empty line first", "200 OK\r\ncontent-length: 2\r\n\r\nok".into(), 200, "\r\n\r\nok"),
        ("not http", "what?\r\n\r\n".into(), 502, "worker-"),
        ("something behind nothing", "204 No Content\r\n\r\nsurprise".into(), 204, ""),
    ];
    let address = fleet.nodes[edge].http;
    for (name, text, status, expected_part) in cases {
        let surplus_line = if name == "empty line first" {
            "\r\n"
        } else {
            ""
        };
        worker.set_response(format!("{surplus_line}HTTP/1.1 {text}").as_bytes());
        let head = "GET /v1/errand/page/x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        // a failed worker is ejected for a moment
        let mut got = String::new();
        let got_result = fleet.until(WAIT_LIMIT, |_| {
            got = send_raw(address, head.as_bytes());
            !got.starts_with("HTTP/1.1 503")
        });
        println!("{name}: {got:?}");
        assert!(
            got_result && got.starts_with(&format!("HTTP/1.1 {status} ")),
            "{name}: {got}"
        );
        assert!(got.contains(expected_part), "{name}: {got}");
        let exact_end = [
            "trailing",
            "two",
            "broken",
            "chunked",
            "line feeds",
            "empty line first",
        ]
        .contains(&name);
        assert!(!exact_end || got.ends_with(expected_part), "{name}: {got}");
        assert!(!got.contains("surprise"), "{got}");
    }
}

/// With the product's result checks disabled, invalid results reach the caller
/// as a success: the tests above can fail.
#[test]
fn unchecked_results_would_be_detected() {
    let directory =
        std::env::temp_dir().join(format!("sorreldoor-door-{}-bare", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory);
    let mut fleet = Fleet::start_customized(&directory, small_preset(), 2, |fleet| {
        let invariants = "result-length,result-owner,sequence";
        fleet
            .envs
            .push(("SORRELDOOR_BREAK".into(), invariants.into()));
    });
    let bytes = std::fs::read(&fleet.binary).unwrap();
    let switch = bytes
        .windows(16)
        .any(|window| window == b"SORRELDOOR_BREAK");
    assert!(
        switch,
        "build it for tests first: cargo build --workspace --all-targets"
    );
    fleet.serve();
    let inject_fault = |fault: InjectedFault| {
        fleet
            .workers
            .iter()
            .for_each(|worker| worker.state().fault = fault)
    };
    let home = [("x-home", "north")];
    inject_fault(InjectedFault::TruncatedBody);
    let response = send_request(&fleet, Method::Get, "/v1/errand/page/x", &[], b"");
    assert_eq!(
        (response.status, response.body.len()),
        (200, 4),
        "half a page"
    );
    inject_fault(InjectedFault::WrongRequestId);
    let response = send_request(&fleet, Method::Post, "/v1/errand/question", &home, b"{}");
    assert_eq!(response.status, 200, "another's result");
    inject_fault(InjectedFault::SkippedEvent);
    let response = send_request(
        &fleet,
        Method::Post,
        "/v1/errand/draft",
        &[],
        b"{\"events\":4}",
    );
    let text = String::from_utf8_lossy(&response.body).into_owned();
    assert!(
        text.contains("\"done\":true") && !text.contains("\"seq\":1"),
        "{text}"
    );
}
