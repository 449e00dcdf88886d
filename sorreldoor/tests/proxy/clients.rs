//! Clients that send half, hang up, speak HTTP/1.0, or come while a node stops.

use super::harness::*;
use async_std::io::{ReadExt, WriteExt};
use async_std::task;
use std::time::Duration;

/// Everything that comes until the proxy ends the connection.
async fn until_the_end(c: &mut Caller) -> String {
    let mut all = Vec::new();
    let _ = c.s.read_to_end(&mut all).await;
    String::from_utf8_lossy(&all).into_owned()
}

#[test]
fn half_a_request_reaches_no_worker_and_is_answered_as_such() {
    run(async {
        let w = stand(vec![Act::Whole(200, "x")]).await;
        let p = proxy(&[&w]).await;
        let half = "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nx-request-id: 1\r\ncontent-length: 10\r\n\r\nhalf";
        let mut hung_up = Caller::new(&p).await;
        hung_up.s.write_all(half.as_bytes()).await.unwrap();
        drop(hung_up);
        let mut slow = Caller::new(&p).await;
        slow.s.write_all(half.as_bytes()).await.unwrap();
        let got = slow.got().await.unwrap();
        assert_eq!(got.status, 408);
        assert!(slow.got().await.is_none(), "the connection ends");
        assert_eq!(w.count(), 0, "no worker saw any of it");
    });
}

#[test]
fn a_request_behind_one_that_broke_is_not_answered_in_its_place() {
    run(async {
        let w = stand(vec![Act::Reset, Act::Whole(200, "second")]).await;
        let p = proxy(&[&w]).await;
        let mut c = Caller::new(&p).await;
        let two = "GET /once/a HTTP/1.1\r\nHost: a.example\r\nx-request-id: 1\r\n\r\nGET /once/b HTTP/1.1\r\nHost: a.example\r\nx-request-id: 2\r\n\r\n";
        c.s.write_all(two.as_bytes()).await.unwrap();
        let first = c.got().await.unwrap();
        assert_eq!(first.status, 502, "{first:?}");
        let second = c.got().await.unwrap();
        assert_eq!((second.status, second.body.as_str()), (200, "second"));
    });
}

#[test]
fn a_stream_without_chunks_is_whole_or_no_answer() {
    run(async {
        let w = stand(vec![Act::Events(1, 3, true), Act::Events(1, 3, false)]).await;
        let p = proxy(&[&w]).await;
        let ask = "GET /say/1 HTTP/1.0\r\nHost: a.example\r\nx-request-id: 1\r\n\r\n";
        let mut c = Caller::new(&p).await;
        c.s.write_all(ask.as_bytes()).await.unwrap();
        let whole = until_the_end(&mut c).await;
        assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
        assert!(whole.ends_with(&series(1, 3)), "{whole}");
        assert!(
            whole.contains(&format!("Content-Length: {}", series(1, 3).len())),
            "{whole}"
        );
        let mut c = Caller::new(&p).await;
        c.s.write_all(ask.as_bytes()).await.unwrap();
        let broken = until_the_end(&mut c).await;
        assert!(broken.starts_with("HTTP/1.1 502"), "{broken}");
    });
}

#[test]
fn an_answer_that_comes_before_the_request_is_written_is_the_answer() {
    run(async {
        let w = stand(vec![
            Act::Early("too large for me"),
            Act::Whole(200, "next"),
        ])
        .await;
        let text = CONFIGURATION.replace("\"body_bytes\":100000", "\"body_bytes\":20000000");
        let p = proxy_with(&text, &[&w]).await;
        let mut c = Caller::new(&p).await;
        // more than the buffers of a connection take
        let large = "y".repeat(12_000_000);
        let got = c.ask("/once/1", "", &large).await.unwrap();
        assert_eq!((got.status, got.body.as_str()), (200, "too large for me"));
        let got = c.ask("/once/2", "", "").await.unwrap();
        assert_eq!((got.status, got.body.as_str()), (200, "next"));
    });
}

#[test]
fn what_waits_when_a_node_stops_is_refused_and_what_runs_is_answered() {
    run(async {
        let w = stand(vec![Act::Whole(200, "x")]).await;
        let p = proxy(&[&w]).await;
        p.shared.close_queue();
        let mut c = Caller::new(&p).await;
        let got = c.ask("/once/1", "", "").await.unwrap();
        assert_eq!(got.status, 503, "{got:?}");
        assert!(
            got.body.contains("leaving") && got.head.contains("Retry-After"),
            "{got:?}"
        );
        assert_eq!(w.count(), 0);
        let w = stand(vec![Act::Events(1, 3, true)]).await;
        let p = proxy(&[&w]).await;
        let mut c = Caller::new(&p).await;
        let running = async { c.ask("/say/1", "", "").await.unwrap() };
        let stop = async {
            while w.count() == 0 {
                task::sleep(Duration::from_millis(1)).await;
            }
            p.shared.close_queue();
        };
        let (got, ()) = futures_lite::future::zip(running, stop).await;
        assert_eq!((got.status, got.whole), (200, true));
    });
}
