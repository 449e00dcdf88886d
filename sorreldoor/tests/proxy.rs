//! The proxy on loopback sockets, between clients and stub workers with faults.

#[path = "proxy/clients.rs"]
mod clients;
#[path = "proxy/confirmed_rejection.rs"]
mod confirmed_rejection;
#[path = "proxy/core_contact.rs"]
mod core_contact;
#[path = "proxy/event_stream.rs"]
mod event_stream;
#[path = "proxy/harness.rs"]
mod harness;
#[path = "proxy/keep_alive.rs"]
mod keep_alive;
#[path = "proxy/response_syntax.rs"]
mod response_syntax;
#[path = "proxy/shutdown.rs"]
mod shutdown;
#[path = "proxy/streams.rs"]
mod streams;
#[path = "proxy/tenants.rs"]
mod tenants;

use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::task;
use harness::*;
use std::sync::Arc;

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::Complete(207, "the worker's own")]).await;
        let proxy = start_proxy(&[&worker]).await;
        let mut client = Client::new(&proxy).await;
        let headers = "X-Odd:  two  words \r\nConnection: keep-alive, x-hop\r\nx-hop: 1\r\nx-deadline-ms: 2000\r\n";
        let response = client
            .send_request("/get/%2e%2E/a//b?q=%20&&", headers, "body")
            .await
            .unwrap();
        assert_eq!(
            (response.status, response.body.as_str(), response.complete),
            (207, "the worker's own", true)
        );
        assert!(
            response.head.starts_with("HTTP/1.1 207 Fine\r\n")
                && response.head.contains("X-Mine: a b\r\n")
        );
        assert!(response.head.contains("x-stamp: s1\r\n"));
        let head = worker.head(0);
        assert!(
            head.starts_with("POST /get/%2e%2E/a//b?q=%20&& HTTP/1.1\r\n"),
            "{head}"
        );
        assert!(head.contains("X-Odd: two  words\r\n") && head.contains("x-worker: w0\r\n"));
        assert!(!head.contains("x-hop") && !head.to_lowercase().contains("connection:"));
        assert_eq!(worker.received.lock().unwrap()[0].1, b"body");
        // a second request on the same connections
        assert_eq!(
            client.send_request("/get/2", "", "").await.unwrap().status,
            207
        );
    });
}

#[test]
fn chunked_and_pipelined_requests_are_served_in_order() {
    block_on_test(async {
        let worker = start_stub_worker(vec![
            Behavior::Complete(200, "1"),
            Behavior::Complete(200, "2"),
            Behavior::Complete(200, "3"),
        ])
        .await;
        let proxy = start_proxy(&[&worker]).await;
        let mut client = Client::new(&proxy).await;
        let request = "POST /get/a HTTP/1.1\r\nHost: a.example\r\nx-request-id: 1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /get/b HTTP/1.1\r\nHost: a.example:8080\r\nx-request-id: 2\r\n\r\nGET /get/c HTTP/1.1\r\nHost: a.example\r\nx-request-id: 3\r\n\r\n";
        client.stream.write_all(request.as_bytes()).await.unwrap();
        for want in ["1", "2", "3"] {
            assert_eq!(client.read_response().await.unwrap().body, want);
        }
        assert_eq!(worker.received.lock().unwrap()[0].1, b"abcde");
        assert_eq!(worker.count(), 3);
    });
}

#[test]
fn a_malformed_request_is_rejected_and_the_connection_closed() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::Complete(200, "x")]).await;
        let proxy = start_proxy(&[&worker]).await;
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
        for (request, status) in cases {
            let mut client = Client::new(&proxy).await;
            client.stream.write_all(request.as_bytes()).await.unwrap();
            let response = client.read_response().await.unwrap();
            assert_eq!(response.status, status, "{request:.60}");
            assert!(
                client.read_response().await.is_none(),
                "the connection is closed"
            );
        }
        let mut client = Client::new(&proxy).await;
        assert_eq!(
            client
                .send_request("/nowhere/", "", "")
                .await
                .unwrap()
                .status,
            404
        );
        assert_eq!(worker.count(), 0, "no request reaches the worker");
    });
}

/// Sends one request to a proxy with two faulty workers and a healthy one. Returns
/// the response and the number of requests that the faulty workers received.
async fn send_past_faulty_workers(
    path: &str,
    faulty: Behavior,
    healthy: Behavior,
) -> (Option<Response>, usize) {
    let (first_worker, second_worker) = (
        start_stub_worker(vec![faulty.clone()]).await,
        start_stub_worker(vec![faulty]).await,
    );
    let healthy_worker = start_stub_worker(vec![healthy]).await;
    // three attempts are enough to reach the healthy worker
    let proxy = start_proxy(&[&first_worker, &second_worker, &healthy_worker]).await;
    let response = Client::new(&proxy).await.send_request(path, "", "b").await;
    drop(proxy.shared.clone());
    (response, first_worker.count() + second_worker.count())
}

#[test]
fn idempotent_requests_are_retried_until_a_complete_response() {
    let faulty = [
        Behavior::WrongRequestId,
        Behavior::Unstamped,
        Behavior::Reset,
        Behavior::Truncated,
        Behavior::Garbage,
        Behavior::NotRun,
        Behavior::Misdirected,
        Behavior::Silent,
        Behavior::Complete(500, "error"),
    ];
    for behavior in faulty {
        block_on_test(async {
            let (response, _) = send_past_faulty_workers(
                "/get/1",
                behavior.clone(),
                Behavior::Complete(200, "good"),
            )
            .await;
            let response = response.unwrap();
            assert_eq!(
                (response.status, response.body.as_str(), response.complete),
                (200, "good", true),
                "{behavior:?}"
            );
        });
    }
}

#[test]
fn non_idempotent_requests_are_retried_only_if_known_not_run() {
    for behavior in [Behavior::NotRun, Behavior::Misdirected] {
        block_on_test(async {
            let (response, _) = send_past_faulty_workers(
                "/once/1",
                behavior.clone(),
                Behavior::Complete(200, "good"),
            )
            .await;
            assert_eq!(response.unwrap().body, "good", "{behavior:?}");
        });
    }
    for behavior in [
        Behavior::WrongRequestId,
        Behavior::Unstamped,
        Behavior::Reset,
        Behavior::Truncated,
        Behavior::Garbage,
    ] {
        block_on_test(async {
            let (response, fault_attempts) = send_past_faulty_workers(
                "/once/1",
                behavior.clone(),
                Behavior::Complete(200, "good"),
            )
            .await;
            let response = response.unwrap();
            // the balancer may have chosen the healthy worker first
            if fault_attempts > 0 {
                assert_eq!(
                    (response.status, fault_attempts),
                    (502, 1),
                    "{behavior:?}: {response:?}"
                );
            }
        });
    }
}

#[test]
fn a_workers_error_response_is_forwarded() {
    block_on_test(async {
        let worker = start_stub_worker(vec![
            Behavior::Complete(500, "error"),
            Behavior::Complete(404, "none"),
        ])
        .await;
        let proxy = start_proxy(&[&worker]).await;
        let mut client = Client::new(&proxy).await;
        let response = client.send_request("/once/1", "", "").await.unwrap();
        assert_eq!((response.status, response.body.as_str()), (500, "error"));
        let response = client.send_request("/once/2", "", "").await.unwrap();
        assert_eq!((response.status, response.body.as_str()), (404, "none"));
    });
}

#[test]
fn a_surplus_response_is_not_forwarded_for_the_next_request() {
    block_on_test(async {
        let worker = start_stub_worker(vec![
            Behavior::CompleteWithSurplus("one"),
            Behavior::Complete(200, "two"),
        ])
        .await;
        let proxy = start_proxy(&[&worker]).await;
        let mut client = Client::new(&proxy).await;
        assert_eq!(
            client.send_request("/once/1", "", "").await.unwrap().body,
            "one"
        );
        assert_eq!(
            client.send_request("/once/2", "", "").await.unwrap().body,
            "two"
        );
    });
}

#[test]
fn a_connection_closed_by_the_worker_is_not_reused() {
    block_on_test(async {
        let worker = start_stub_worker(vec![
            Behavior::CompleteThenClose("one"),
            Behavior::Complete(200, "two"),
        ])
        .await;
        let proxy = start_proxy(&[&worker]).await;
        let mut client = Client::new(&proxy).await;
        assert_eq!(
            client.send_request("/once/1", "", "").await.unwrap().body,
            "one"
        );
        assert_eq!(
            client.send_request("/once/2", "", "").await.unwrap().body,
            "two"
        );
    });
}

#[test]
fn requests_succeed_while_one_worker_is_unreachable() {
    block_on_test(async {
        let unreachable = {
            let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let addr = l.local_addr().unwrap();
            StubWorker {
                addr,
                received: Arc::default(),
            }
        };
        let worker = start_stub_worker(vec![Behavior::Complete(200, "ok")]).await;
        let proxy = start_proxy(&[&unreachable, &worker]).await;
        for i in 0..6 {
            let response = Client::new(&proxy)
                .await
                .send_request(&format!("/once/{i}"), "", "")
                .await
                .unwrap();
            assert_eq!(response.body, "ok");
        }
    });
}

#[test]
fn a_lost_response_is_retried_before_the_deadline() {
    block_on_test(async {
        let (first_worker, second_worker) = (
            start_stub_worker(vec![Behavior::LostResponse, Behavior::Complete(200, "a")]).await,
            start_stub_worker(vec![Behavior::LostResponse, Behavior::Complete(200, "b")]).await,
        );
        let proxy = start_proxy(&[&first_worker, &second_worker]).await;
        let background = async {
            // the worker that lost one response keeps responding to others
            let mut client = Client::new(&proxy).await;
            while first_worker.count() + second_worker.count() < 12 {
                client
                    .send_request("/get/other", "x-deadline-ms: 2000\r\n", "")
                    .await
                    .unwrap();
            }
        };
        let one = async {
            let mut client = Client::new(&proxy).await;
            client
                .send_request("/get/one", "x-deadline-ms: 2000\r\n", "")
                .await
                .unwrap()
        };
        let (response, ()) = futures_lite::future::zip(one, background).await;
        assert_eq!((response.status, response.complete), (200, true));
    });
}

#[test]
fn a_client_disconnect_frees_its_worker_slot() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::Silent]).await;
        let proxy = start_proxy(&[&worker]).await;
        let mut client = Client::new(&proxy).await;
        let request = "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nx-request-id: 1\r\ncontent-length: 0\r\n\r\n";
        client.stream.write_all(request.as_bytes()).await.unwrap();
        let open_requests_reach = |count: u64| {
            let shared = proxy.shared.clone();
            async move {
                while shared.lock().balancer.counts().open != count {
                    task::yield_now().await;
                }
            }
        };
        timeout(TEST_TIMEOUT, open_requests_reach(1))
            .await
            .expect("the request is in flight");
        drop(client);
        timeout(TEST_TIMEOUT, open_requests_reach(0))
            .await
            .expect("the request is released");
    });
}
