//! Requests that meet a shutdown: those that arrive late, follow others on a connection,
//! or are in flight at its end.

use super::harness::*;
use async_std::io::WriteExt;
use async_std::task;
use futures_lite::future::zip;
use sorreldoor::proxy::{Drain, DrainStatus};
use std::time::Duration;

const GRACE_MS: u64 = 4000;
/// Work of a request that keeps the node alive until after the late requests.
const LONG_WORK_MS: u64 = 2800;
/// Idle connections are closed in half of the grace period; these requests come later.
const LATE_MS: u64 = 2200;
/// One path of each kind of route, with a timeout after the end of the grace period.
const LATE_PATHS: [&str; 4] = ["/once/late", "/get/late", "/say/late", "/ask/late"];

async fn sleep_ms(milliseconds: u64) {
    task::sleep(Duration::from_millis(milliseconds)).await;
}

/// Shuts the node down as its daemon does; returns the number of requests cut off.
async fn shut_down(proxy: &Proxy) -> usize {
    let drain = Drain::start(&proxy.shared, GRACE_MS);
    loop {
        if let DrainStatus::Ended { requests_cut_off } = drain.advance(&proxy.shared) {
            return requests_cut_off;
        }
        sleep_ms(20).await;
    }
}

/// Sends one request on a new connection.
async fn send_new(proxy: &Proxy, path: &str, headers: &str) -> Option<Response> {
    let mut client = Client::new(proxy).await;
    client.send_request(path, headers, "").await
}

/// Sends half of a request, and the rest after [`LATE_MS`].
async fn upload_slowly(proxy: Proxy, path: &str) -> Option<Response> {
    let mut client = Client::new(&proxy).await;
    // the node waits for a body until the idle time-out
    sleep_ms(LATE_MS / 2).await;
    let head = format!("POST {path} HTTP/1.1\r\nHost: a.example\r\nx-request-id: q{path}\r\ncontent-length: 4\r\n\r\n");
    client.stream.write_all(head.as_bytes()).await.unwrap();
    client.stream.write_all(b"bo").await.unwrap();
    sleep_ms(LATE_MS / 2).await;
    client.stream.write_all(b"dy").await.unwrap();
    client.read_response().await
}

async fn wait_for_requests(worker: &StubWorker, count: usize) {
    while worker.count() < count {
        sleep_ms(1).await;
    }
}

fn assert_rejected(response: &Response) {
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.head.contains("Retry-After"), "{response:?}");
    assert!(response.head.contains("Connection: close"), "{response:?}");
}

// A node that shut down sent late requests to workers although it exited before their
// responses, and cut them off.
#[test]
fn late_requests_that_cannot_be_completed_are_rejected_and_do_not_run() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::CompleteAfter(LONG_WORK_MS, "x")]).await;
        let proxy = start_proxy(&[&worker]).await;
        let uploads = LATE_PATHS.map(|path| task::spawn(upload_slowly(proxy.clone(), path)));
        let late = async {
            wait_for_requests(&worker, 1).await;
            let new_connections = async {
                sleep_ms(LATE_MS).await;
                for path in LATE_PATHS {
                    // a new connection may be closed before its request is read
                    if let Some(response) = send_new(&proxy, path, "").await {
                        assert_rejected(&response);
                    }
                }
            };
            zip(shut_down(&proxy), new_connections).await.0
        };
        let (long, cut_off) = zip(send_new(&proxy, "/once/long", ""), late).await;
        for upload in uploads {
            assert_rejected(&upload.await.expect("a request that was read is answered"));
        }
        assert_eq!(long.map(|response| response.status), Some(200));
        assert_eq!((cut_off, worker.count()), (0, 1));
    });
}

// A request behind another one on its connection is read when that one ends, during the
// shutdown.
#[test]
fn a_pipelined_request_that_cannot_be_completed_is_rejected() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::CompleteAfter(LONG_WORK_MS, "x")]).await;
        let proxy = start_proxy(&[&worker]).await;
        let mut client = Client::new(&proxy).await;
        let pipelined = "GET /once/a HTTP/1.1\r\nHost: a.example\r\nx-request-id: 1\r\n\r\nGET /once/b HTTP/1.1\r\nHost: a.example\r\nx-request-id: 2\r\n\r\n";
        client.stream.write_all(pipelined.as_bytes()).await.unwrap();
        wait_for_requests(&worker, 1).await;
        let responses = async {
            let first = client.read_response().await;
            (first, client.read_response().await)
        };
        let (cut_off, (first, second)) = zip(shut_down(&proxy), responses).await;
        assert_eq!(first.map(|response| response.status), Some(200));
        assert_rejected(&second.expect("the second request is answered"));
        assert_eq!((cut_off, worker.count()), (0, 1));
    });
}

#[test]
fn requests_that_can_be_completed_are_served_during_a_shutdown() {
    block_on_test(async {
        let short = Behavior::CompleteAfter(20, "x");
        let long = Behavior::CompleteAfter(LONG_WORK_MS, "x");
        let worker = start_stub_worker(vec![short.clone(), long, short]).await;
        let proxy = start_proxy(&[&worker]).await;
        let mut clients = Vec::new();
        for _ in 0..2 {
            clients.push(Client::new(&proxy).await);
        }
        // response times are estimated from completed responses
        let first = send_new(&proxy, "/get/1", "").await;
        assert_eq!(first.map(|response| response.status), Some(200));
        let late = async {
            wait_for_requests(&worker, 2).await;
            let requests = async {
                let by_estimate = clients[0].send_request("/get/2", "", "").await;
                sleep_ms(LATE_MS / 2).await;
                let headers = "x-deadline-ms: 700\r\n";
                (
                    by_estimate,
                    clients[1].send_request("/say/3", headers, "").await,
                )
            };
            zip(shut_down(&proxy), requests).await
        };
        let (long, (cut_off, late)) = zip(send_new(&proxy, "/once/long", ""), late).await;
        let statuses = [long, late.0, late.1].map(|response| response.map(|r| r.status));
        assert_eq!((statuses, cut_off), ([Some(200); 3], 0));
    });
}

/// A proxy whose requests have no deadline before the end of the grace period.
async fn proxy_with_long_timeouts(worker: &StubWorker) -> Proxy {
    let configuration = CONFIGURATION.replace("\"timeout_ms\":3000", "\"timeout_ms\":30000");
    start_proxy_with(&configuration, &[worker]).await
}

// At the end of the grace period, the connections of requests in flight were closed
// without a response.
#[test]
fn requests_in_flight_at_the_end_of_a_shutdown_get_an_error_response() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::Silent]).await;
        let proxy = proxy_with_long_timeouts(&worker).await;
        let requests = LATE_PATHS.map(|path| {
            let proxy = proxy.clone();
            task::spawn(async move { send_new(&proxy, path, "").await })
        });
        wait_for_requests(&worker, requests.len()).await;
        assert_eq!(shut_down(&proxy).await, 0);
        for request in requests {
            let response = request.await.expect("the request is answered");
            assert_eq!((response.status, response.complete), (502, true));
        }
    });
}

// Within a stream, an error response would be taken for its events.
#[test]
fn a_stream_in_flight_at_the_end_of_a_shutdown_is_visibly_incomplete() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::Stall(1, 2)]).await;
        let proxy = proxy_with_long_timeouts(&worker).await;
        let proxy_of_client = proxy.clone();
        let stream = task::spawn(async move { send_new(&proxy_of_client, "/say/1", "").await });
        wait_for_requests(&worker, 1).await;
        assert_eq!(shut_down(&proxy).await, 0);
        let response = stream.await.expect("the head and two events");
        assert_eq!((response.status, response.complete), (200, false));
        assert_eq!(response.body, event_series(1, 2));
    });
}
