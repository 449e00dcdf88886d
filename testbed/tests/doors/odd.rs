//! Results of every odd kind, and what the checks of results are worth.

use super::*;

/// A web worker that answers in every odd way: the caller gets its status,
/// type and bytes exactly, or a problem that says what was wrong.
#[test]
fn odd_results_come_exactly_or_not_at_all() {
    let f = start("odd");
    let w = task::block_on(testbed::raw_worker::RawWorker::start("raw")).unwrap();
    let addr = w.addr;
    f.platform.change(|l| {
        l.retain(|r| r.group != "web");
        let (name, group, zone) = ("raw".into(), "web".into(), "n1".into());
        l.push(testbed::stub_platform::WorkerRow {
            name,
            addr,
            group,
            zone,
            leaving: false,
        });
    });
    w.log_event(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    let edge = f.edges()[0];
    assert!(
        f.until(LONG, |f| ask(f, Method::Get, "/v1/errand/page/x", &[], b"")
            .body
            == b"ok")
    );
    let html = "content-type: text/html; charset=koi8-r\r\n";
    let table: Vec<(&str, String, u16, &str)> = vec![
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
        ("not http", "what?\r\n\r\n".into(), 502, "worker-"),
        ("something behind nothing", "204 No Content\r\n\r\nsurprise".into(), 204, ""),
    ];
    let at = f.nodes[edge].http;
    for (name, text, status, with) in table {
        w.log_event(format!("HTTP/1.1 {text}").as_bytes());
        let head = "GET /v1/errand/page/x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        // a worker that broke off is left alone for a moment
        let mut got = String::new();
        let seen = f.until(LONG, |_| {
            got = raw(at, head.as_bytes());
            !got.starts_with("HTTP/1.1 503")
        });
        println!("{name}: {got:?}");
        assert!(
            seen && got.starts_with(&format!("HTTP/1.1 {status} ")),
            "{name}: {got}"
        );
        assert!(got.contains(with), "{name}: {got}");
        let whole = ["trailing", "two", "broken", "chunked"].contains(&name);
        assert!(!whole || got.ends_with(with), "{name}: {got}");
        assert!(!got.contains("surprise"), "{got}");
    }
}

/// With the product's checks of results broken, what the tests above refuse
/// reaches the caller as a success: they can fail.
#[test]
fn results_unchecked_would_be_seen() {
    let d = std::env::temp_dir().join(format!("sorreldoor-door-{}-bare", std::process::id()));
    let _ = std::fs::remove_dir_all(&d);
    let mut f = Fleet::start_customized(&d, small(), 2, |f| {
        let invariants = "result-length,result-owner,sequence";
        f.envs.push(("SORRELDOOR_BREAK".into(), invariants.into()));
    });
    let bytes = std::fs::read(&f.binary).unwrap();
    let switch = bytes.windows(16).any(|w| w == b"SORRELDOOR_BREAK");
    assert!(
        switch,
        "build it for tests first: cargo build --workspace --all-targets"
    );
    f.serve();
    let set = |fault: InjectedFault| f.workers.iter().for_each(|w| w.state().fault = fault);
    let home = [("x-home", "north")];
    set(InjectedFault::TruncatedBody);
    let c = ask(&f, Method::Get, "/v1/errand/page/x", &[], b"");
    assert_eq!((c.status, c.body.len()), (200, 4), "half a page");
    set(InjectedFault::WrongRequestId);
    let c = ask(&f, Method::Post, "/v1/errand/question", &home, b"{}");
    assert_eq!(c.status, 200, "another's result");
    set(InjectedFault::SkippedEvent);
    let c = ask(&f, Method::Post, "/v1/errand/draft", &[], b"{\"events\":4}");
    let text = String::from_utf8_lossy(&c.body).into_owned();
    assert!(
        text.contains("\"done\":true") && !text.contains("\"seq\":1"),
        "{text}"
    );
}
