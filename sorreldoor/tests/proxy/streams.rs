//! Streams of events through the proxy.

use super::harness::*;
use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use std::time::Duration;

#[test]
fn a_stream_passes_event_by_event() {
    run(async {
        let w = stand(vec![Act::Events(1, 5, true)]).await;
        let p = proxy(&[&w]).await;
        let mut c = Caller::new(&p).await;
        for path in ["/say/1", "/ask/2"] {
            let g = c.ask(path, "", "p").await.unwrap();
            assert_eq!((g.status, g.body, g.whole), (200, series(1, 5), true));
        }
    });
}

#[test]
fn a_stream_that_breaks_goes_on_at_another_worker_or_is_seen_to_break() {
    for first in [Act::Events(1, 3, false), Act::Stall(1, 3)] {
        run(async {
            let a = stand(vec![first.clone()]).await;
            let p = proxy(&[&a]).await;
            let g = Caller::new(&p)
                .await
                .ask("/say/1", "x-deadline-ms: 700\r\n", "p")
                .await
                .unwrap();
            assert_eq!(
                (g.body.as_str(), g.whole),
                (series(1, 3).as_str(), false),
                "{first:?}"
            );
        });
        run(async {
            // each breaks at first; whoever goes on repeats what the caller has
            let acts = |n| {
                vec![
                    first.clone(),
                    Act::Events(2, 6, true),
                    Act::Events(n, 6, true),
                ]
            };
            let (a, b) = (stand(acts(4)).await, stand(acts(4)).await);
            let p = proxy(&[&a, &b]).await;
            {
                // the second stand-in has its first act behind it
                let mut s = TcpStream::connect(b.addr).await.unwrap();
                s.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
                    .await
                    .unwrap();
                let _ = timeout(Duration::from_millis(300), s.read(&mut [0; 16])).await;
            }
            let g = Caller::new(&p).await.ask("/ask/1", "", "p").await.unwrap();
            assert!(g.whole, "{first:?}: {g:?}");
            assert!(
                g.body == series(1, 6) || g.body == series(2, 6),
                "{first:?}: {g:?}"
            );
            let all = [a.got.lock().unwrap().clone(), b.got.lock().unwrap().clone()].concat();
            if g.body == series(1, 6) {
                assert!(
                    all.iter().any(|(h, _)| h.contains("last-event-id: 3\r\n")),
                    "{all:?}"
                );
            }
        });
    }
}

#[test]
fn a_stream_whose_events_have_no_ids_is_not_continued() {
    run(async {
        let acts = || vec![Act::Unnumbered(3)];
        let (a, b) = (stand(acts()).await, stand(acts()).await);
        let p = proxy(&[&a, &b]).await;
        let g = Caller::new(&p).await.ask("/ask/1", "", "p").await.unwrap();
        assert!(!g.whole, "{g:?}");
        assert_eq!(g.body.matches("piece 1\n").count(), 1, "{g:?}");
        assert_eq!(a.count() + b.count(), 1, "no second run");
    });
}
