//! The proxy on real sockets of this machine, between callers and stand-in
//! workers that do what workers in trouble do.

#[path = "proxy/clients.rs"]
mod clients;
#[path = "proxy/harness.rs"]
mod harness;
#[path = "proxy/streams.rs"]
mod streams;

use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::task;
use harness::*;
use std::sync::Arc;

#[test]
fn a_request_passes_unchanged_and_so_does_its_answer() {
    run(async {
        let w = stand(vec![Act::Whole(207, "the worker's own")]).await;
        let p = proxy(&[&w]).await;
        let mut c = Caller::new(&p).await;
        let more = "X-Odd:  two  words \r\nConnection: keep-alive, x-hop\r\nx-hop: 1\r\nx-deadline-ms: 2000\r\n";
        let g = c
            .ask("/get/%2e%2E/a//b?q=%20&&", more, "body")
            .await
            .unwrap();
        assert_eq!(
            (g.status, g.body.as_str(), g.whole),
            (207, "the worker's own", true)
        );
        assert!(g.head.starts_with("HTTP/1.1 207 Fine\r\n") && g.head.contains("X-Mine: a b\r\n"));
        assert!(g.head.contains("x-stamp: s1\r\n"));
        let h = w.head(0);
        assert!(
            h.starts_with("POST /get/%2e%2E/a//b?q=%20&& HTTP/1.1\r\n"),
            "{h}"
        );
        assert!(h.contains("X-Odd: two  words\r\n") && h.contains("x-worker: w0\r\n"));
        assert!(!h.contains("x-hop") && !h.to_lowercase().contains("connection:"));
        assert_eq!(w.got.lock().unwrap()[0].1, b"body");
        // and on the same connections once more
        assert_eq!(c.ask("/get/2", "", "").await.unwrap().status, 207);
    });
}

#[test]
fn chunked_bodies_pipelines_and_early_bytes_are_served_in_order() {
    run(async {
        let w = stand(vec![
            Act::Whole(200, "1"),
            Act::Whole(200, "2"),
            Act::Whole(200, "3"),
        ])
        .await;
        let p = proxy(&[&w]).await;
        let mut c = Caller::new(&p).await;
        let t = "POST /get/a HTTP/1.1\r\nHost: a.example\r\nx-request-id: 1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /get/b HTTP/1.1\r\nHost: a.example:8080\r\nx-request-id: 2\r\n\r\nGET /get/c HTTP/1.1\r\nHost: a.example\r\nx-request-id: 3\r\n\r\n";
        c.s.write_all(t.as_bytes()).await.unwrap();
        for want in ["1", "2", "3"] {
            assert_eq!(c.got().await.unwrap().body, want);
        }
        assert_eq!(w.got.lock().unwrap()[0].1, b"abcde");
        assert_eq!(w.count(), 3);
    });
}

#[test]
fn a_request_that_is_none_is_answered_and_the_connection_ends() {
    run(async {
        let w = stand(vec![Act::Whole(200, "x")]).await;
        let p = proxy(&[&w]).await;
        let long = format!(
            "GET /get/ HTTP/1.1\r\nHost: a.example\r\nx: {}\r\n\r\n",
            "y".repeat(3000)
        );
        let cases = [
            ("BAD\r\n\r\n".to_string(), 400),
            (long, 431),
            ("POST /get/ HTTP/1.1\r\nHost: a.example\r\ncontent-length: 100001\r\n\r\n".into(), 413),
            ("POST /get/ HTTP/1.1\r\nHost: a.example\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n".into(), 400),
            ("GET /get/ HTTP/1.1\r\nHost: a.exa".into(), 408),
        ];
        for (t, status) in cases {
            let mut c = Caller::new(&p).await;
            c.s.write_all(t.as_bytes()).await.unwrap();
            let g = c.got().await.unwrap();
            assert_eq!(g.status, status, "{t:.60}");
            assert!(c.got().await.is_none(), "the connection ends");
        }
        let mut c = Caller::new(&p).await;
        assert_eq!(c.ask("/nowhere/", "", "").await.unwrap().status, 404);
        assert_eq!(w.count(), 0, "no worker saw any of it");
    });
}

/// Status and body for one request to a first worker in trouble and a second that is well.
async fn two(path: &str, bad: Act, well: Act) -> (Option<Got>, usize) {
    let (a, b) = (stand(vec![bad.clone()]).await, stand(vec![bad]).await);
    let z = stand(vec![well]).await;
    // whichever is tried first is in trouble, and the last one is well
    let p = proxy(&[&a, &b, &z]).await;
    let g = Caller::new(&p).await.ask(path, "", "b").await;
    drop(p.shared.clone());
    (g, a.count() + b.count())
}

#[test]
fn what_may_run_twice_is_sent_on_until_a_whole_answer_comes() {
    let bad = [
        Act::Other,
        Act::Bare,
        Act::Reset,
        Act::Short,
        Act::Garbage,
        Act::NotRun,
        Act::Misdirected,
        Act::Silent,
        Act::Whole(500, "ill"),
    ];
    for b in bad {
        run(async {
            let (g, _) = two("/get/1", b.clone(), Act::Whole(200, "good")).await;
            let g = g.unwrap();
            assert_eq!(
                (g.status, g.body.as_str(), g.whole),
                (200, "good", true),
                "{b:?}"
            );
        });
    }
}

#[test]
fn what_may_run_once_is_sent_on_only_after_a_promise() {
    for b in [Act::NotRun, Act::Misdirected] {
        run(async {
            let (g, _) = two("/once/1", b.clone(), Act::Whole(200, "good")).await;
            assert_eq!(g.unwrap().body, "good", "{b:?}");
        });
    }
    for b in [Act::Other, Act::Bare, Act::Reset, Act::Short, Act::Garbage] {
        run(async {
            let (g, n) = two("/once/1", b.clone(), Act::Whole(200, "good")).await;
            let g = g.unwrap();
            // the first choice may have been the one that is well
            if n > 0 {
                assert_eq!((g.status, n), (502, 1), "{b:?}: {g:?}");
            }
        });
    }
}

#[test]
fn a_workers_own_failure_is_its_answer() {
    run(async {
        let w = stand(vec![Act::Whole(500, "ill"), Act::Whole(404, "none")]).await;
        let p = proxy(&[&w]).await;
        let mut c = Caller::new(&p).await;
        let g = c.ask("/once/1", "", "").await.unwrap();
        assert_eq!((g.status, g.body.as_str()), (500, "ill"));
        let g = c.ask("/once/2", "", "").await.unwrap();
        assert_eq!((g.status, g.body.as_str()), (404, "none"));
    });
}

#[test]
fn a_surplus_answer_never_reaches_the_next_request() {
    run(async {
        let w = stand(vec![Act::Twice("one"), Act::Whole(200, "two")]).await;
        let p = proxy(&[&w]).await;
        let mut c = Caller::new(&p).await;
        assert_eq!(c.ask("/once/1", "", "").await.unwrap().body, "one");
        assert_eq!(c.ask("/once/2", "", "").await.unwrap().body, "two");
    });
}

#[test]
fn a_connection_that_the_worker_closes_is_not_used_again() {
    run(async {
        let w = stand(vec![Act::Last("one"), Act::Whole(200, "two")]).await;
        let p = proxy(&[&w]).await;
        let mut c = Caller::new(&p).await;
        assert_eq!(c.ask("/once/1", "", "").await.unwrap().body, "one");
        assert_eq!(c.ask("/once/2", "", "").await.unwrap().body, "two");
    });
}

#[test]
fn a_worker_that_is_gone_costs_a_request_nothing() {
    run(async {
        let gone = {
            let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let addr = l.local_addr().unwrap();
            Stand {
                addr,
                got: Arc::default(),
            }
        };
        let w = stand(vec![Act::Whole(200, "well")]).await;
        let p = proxy(&[&gone, &w]).await;
        for i in 0..6 {
            let g = Caller::new(&p)
                .await
                .ask(&format!("/once/{i}"), "", "")
                .await
                .unwrap();
            assert_eq!(g.body, "well");
        }
    });
}

#[test]
fn a_small_answer_that_is_lost_is_asked_for_again_in_time() {
    run(async {
        let (a, b) = (
            stand(vec![Act::Lost, Act::Whole(200, "a")]).await,
            stand(vec![Act::Lost, Act::Whole(200, "b")]).await,
        );
        let p = proxy(&[&a, &b]).await;
        let busy = async {
            // the worker that lost one answer goes on serving others meanwhile
            let mut c = Caller::new(&p).await;
            while a.count() + b.count() < 12 {
                c.ask("/get/other", "x-deadline-ms: 2000\r\n", "")
                    .await
                    .unwrap();
            }
        };
        let one = async {
            let mut c = Caller::new(&p).await;
            c.ask("/get/one", "x-deadline-ms: 2000\r\n", "")
                .await
                .unwrap()
        };
        let (g, ()) = futures_lite::future::zip(one, busy).await;
        assert_eq!((g.status, g.whole), (200, true));
    });
}

#[test]
fn a_caller_that_hangs_up_frees_its_worker() {
    run(async {
        let w = stand(vec![Act::Silent]).await;
        let p = proxy(&[&w]).await;
        let mut c = Caller::new(&p).await;
        let t = "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nx-request-id: 1\r\ncontent-length: 0\r\n\r\n";
        c.s.write_all(t.as_bytes()).await.unwrap();
        let there = |n: u64| {
            let shared = p.shared.clone();
            async move {
                while shared.lock().balancer.counts().open != n {
                    task::yield_now().await;
                }
            }
        };
        timeout(LONG, there(1)).await.expect("it is under way");
        drop(c);
        timeout(LONG, there(0)).await.expect("it is let go");
    });
}
