//! Clients that send incomplete or pipelined requests, use HTTP/1.0, or send
//! requests while the node drains.

use super::harness::*;
use async_std::io::{ReadExt, WriteExt};
use async_std::task;
use std::time::Duration;

/// Everything received until the proxy closes the connection.
async fn read_to_end_of_connection(client: &mut Client) -> String {
    let mut received = Vec::new();
    let _ = client.stream.read_to_end(&mut received).await;
    String::from_utf8_lossy(&received).into_owned()
}

#[test]
fn an_incomplete_request_is_rejected_and_not_forwarded() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::Complete(200, "x")]).await;
        let proxy = start_proxy(&[&worker]).await;
        let partial_request = "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nx-request-id: 1\r\ncontent-length: 10\r\n\r\nhalf";
        let mut disconnected = Client::new(&proxy).await;
        disconnected
            .stream
            .write_all(partial_request.as_bytes())
            .await
            .unwrap();
        drop(disconnected);
        let mut slow = Client::new(&proxy).await;
        slow.stream
            .write_all(partial_request.as_bytes())
            .await
            .unwrap();
        let response = slow.read_response().await.unwrap();
        assert_eq!(response.status, 408);
        assert!(
            slow.read_response().await.is_none(),
            "the connection is closed"
        );
        assert_eq!(worker.count(), 0, "no request reaches the worker");
    });
}

#[test]
fn a_pipelined_request_after_a_failed_one_gets_its_own_response() {
    block_on_test(async {
        let worker =
            start_stub_worker(vec![Behavior::Reset, Behavior::Complete(200, "second")]).await;
        let proxy = start_proxy(&[&worker]).await;
        let mut client = Client::new(&proxy).await;
        let pipelined = "GET /once/a HTTP/1.1\r\nHost: a.example\r\nx-request-id: 1\r\n\r\nGET /once/b HTTP/1.1\r\nHost: a.example\r\nx-request-id: 2\r\n\r\n";
        client.stream.write_all(pipelined.as_bytes()).await.unwrap();
        let first = client.read_response().await.unwrap();
        assert_eq!(first.status, 502, "{first:?}");
        let second = client.read_response().await.unwrap();
        assert_eq!((second.status, second.body.as_str()), (200, "second"));
    });
}

#[test]
fn a_stream_to_an_http_1_0_client_is_complete_or_an_error() {
    block_on_test(async {
        let worker = start_stub_worker(vec![
            Behavior::Events(1, 3, true),
            Behavior::Events(1, 3, false),
        ])
        .await;
        let proxy = start_proxy(&[&worker]).await;
        let request = "GET /say/1 HTTP/1.0\r\nHost: a.example\r\nx-request-id: 1\r\n\r\n";
        let mut client = Client::new(&proxy).await;
        client.stream.write_all(request.as_bytes()).await.unwrap();
        let complete = read_to_end_of_connection(&mut client).await;
        assert!(complete.starts_with("HTTP/1.1 200"), "{complete}");
        assert!(complete.ends_with(&event_series(1, 3)), "{complete}");
        assert!(
            complete.contains(&format!("Content-Length: {}", event_series(1, 3).len())),
            "{complete}"
        );
        let mut client = Client::new(&proxy).await;
        client.stream.write_all(request.as_bytes()).await.unwrap();
        let broken = read_to_end_of_connection(&mut client).await;
        assert!(broken.starts_with("HTTP/1.1 502"), "{broken}");
    });
}

#[test]
fn a_response_before_the_request_is_fully_written_is_forwarded() {
    block_on_test(async {
        let worker = start_stub_worker(vec![
            Behavior::EarlyResponse("too large for me"),
            Behavior::Complete(200, "next"),
        ])
        .await;
        let text = CONFIGURATION.replace("\"body_bytes\":100000", "\"body_bytes\":20000000");
        let proxy = start_proxy_with(&text, &[&worker]).await;
        let mut client = Client::new(&proxy).await;
        // more than the socket buffers of a connection hold
        let large = "y".repeat(12_000_000);
        let response = client.send_request("/once/1", "", &large).await.unwrap();
        assert_eq!(
            (response.status, response.body.as_str()),
            (200, "too large for me")
        );
        let response = client.send_request("/once/2", "", "").await.unwrap();
        assert_eq!((response.status, response.body.as_str()), (200, "next"));
    });
}

#[test]
fn draining_rejects_queued_requests_and_completes_running_ones() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::Complete(200, "x")]).await;
        let proxy = start_proxy(&[&worker]).await;
        proxy.shared.close_queue();
        let mut client = Client::new(&proxy).await;
        let response = client.send_request("/once/1", "", "").await.unwrap();
        assert_eq!(response.status, 503, "{response:?}");
        assert!(
            response.body.contains("leaving") && response.head.contains("Retry-After"),
            "{response:?}"
        );
        assert_eq!(worker.count(), 0);
        let worker = start_stub_worker(vec![Behavior::Events(1, 3, true)]).await;
        let proxy = start_proxy(&[&worker]).await;
        let mut client = Client::new(&proxy).await;
        let running = async { client.send_request("/say/1", "", "").await.unwrap() };
        let stop = async {
            while worker.count() == 0 {
                task::sleep(Duration::from_millis(1)).await;
            }
            proxy.shared.close_queue();
        };
        let (response, ()) = futures_lite::future::zip(running, stop).await;
        assert_eq!((response.status, response.complete), (200, true));
    });
}
