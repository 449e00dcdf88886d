//! Event streams through the proxy, complete and failed ones.

use super::harness::*;
use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use std::time::Duration;

#[test]
fn a_stream_is_forwarded_event_by_event() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::Events(1, 5, true)]).await;
        let proxy = start_proxy(&[&worker]).await;
        let mut client = Client::new(&proxy).await;
        for path in ["/say/1", "/ask/2"] {
            let response = client.send_request(path, "", "p").await.unwrap();
            assert_eq!(
                (response.status, response.body, response.complete),
                (200, event_series(1, 5), true)
            );
        }
    });
}

#[test]
fn a_failed_stream_is_resumed_at_another_worker_or_ends_incomplete() {
    for first_behavior in [Behavior::Events(1, 3, false), Behavior::Stall(1, 3)] {
        block_on_test(async {
            let first_worker = start_stub_worker(vec![first_behavior.clone()]).await;
            let proxy = start_proxy(&[&first_worker]).await;
            let response = Client::new(&proxy)
                .await
                .send_request("/say/1", "x-deadline-ms: 700\r\n", "p")
                .await
                .unwrap();
            assert_eq!(
                (response.body.as_str(), response.complete),
                (event_series(1, 3).as_str(), false),
                "{first_behavior:?}"
            );
        });
        block_on_test(async {
            // the first attempt fails; the resumed stream repeats events the client has
            let behaviors = |n| {
                vec![
                    first_behavior.clone(),
                    Behavior::Events(2, 6, true),
                    Behavior::Events(n, 6, true),
                ]
            };
            let (first_worker, second_worker) = (
                start_stub_worker(behaviors(4)).await,
                start_stub_worker(behaviors(4)).await,
            );
            let proxy = start_proxy(&[&first_worker, &second_worker]).await;
            {
                // uses up the first behavior of the second worker
                let mut connection = TcpStream::connect(second_worker.addr).await.unwrap();
                connection
                    .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
                    .await
                    .unwrap();
                let _ = timeout(Duration::from_millis(300), connection.read(&mut [0; 16])).await;
            }
            let response = Client::new(&proxy)
                .await
                .send_request("/ask/1", "", "p")
                .await
                .unwrap();
            assert!(response.complete, "{first_behavior:?}: {response:?}");
            assert!(
                response.body == event_series(1, 6) || response.body == event_series(2, 6),
                "{first_behavior:?}: {response:?}"
            );
            let all = [
                first_worker.received.lock().unwrap().clone(),
                second_worker.received.lock().unwrap().clone(),
            ]
            .concat();
            if response.body == event_series(1, 6) {
                assert!(
                    all.iter()
                        .any(|(head, _)| head.contains("last-event-id: 3\r\n")),
                    "{all:?}"
                );
            }
        });
    }
}

#[test]
fn a_stream_whose_events_have_no_ids_is_not_resumed() {
    block_on_test(async {
        let behaviors = || vec![Behavior::EventsWithoutIds(3)];
        let (first_worker, second_worker) = (
            start_stub_worker(behaviors()).await,
            start_stub_worker(behaviors()).await,
        );
        let proxy = start_proxy(&[&first_worker, &second_worker]).await;
        let response = Client::new(&proxy)
            .await
            .send_request("/ask/1", "", "p")
            .await
            .unwrap();
        assert!(!response.complete, "{response:?}");
        assert_eq!(
            response.body.matches("piece 1\n").count(),
            1,
            "{response:?}"
        );
        assert_eq!(
            first_worker.count() + second_worker.count(),
            1,
            "the request is not retried"
        );
    });
}
