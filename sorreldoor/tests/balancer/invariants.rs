//! Which attempts may be sent where, how often, and when clients may retry.

use super::*;

/// What is tried, the list, the emptied zones, and the worker that must take it.
type Case = (&'static str, Vec<Worker>, Vec<u16>, Option<&'static str>);

#[test]
fn no_configuration_and_no_route() {
    let mut t = Balancer::new(locality("n0", 0), bounds(), 7);
    assert_eq!(
        t.begin("h", "/web/x", metadata(&[]), 0, 0),
        Err(ErrorCode::NoConfiguration)
    );
    t.apply_configuration(default_routes(), 0);
    assert_eq!(
        t.begin("h", "/no/x", metadata(&[]), 0, 0),
        Err(ErrorCode::UnknownRoute)
    );
    assert_eq!(
        t.begin("g", "/web/x", metadata(&[]), 0, 0),
        Err(ErrorCode::UnknownRoute)
    );
}

#[test]
fn an_attempt_that_may_have_run_is_not_retried() {
    let mut t = new_balancer(default_routes(), workers_in("web", 6, &[0, 1, 2]));
    let (r, _) = send(&mut t, "/webonce/x", 100);
    t.record_outcome(r, AttemptOutcome::Failed, 120);
    assert_eq!(
        t.pick(r, 120),
        Decision::Reject(ErrorCode::OutcomeUnknown, 0)
    );
}

#[test]
fn a_rejected_request_is_retried_within_its_attempts() {
    for (h, retried) in [
        (AttemptOutcome::Rejected(None), true),
        (AttemptOutcome::Misdirected, true),
        (AttemptOutcome::ConnectFailed, true),
        (AttemptOutcome::Failed, false),
        (AttemptOutcome::Canceled, false),
        (AttemptOutcome::Completed(500), false),
    ] {
        let mut t = new_balancer(default_routes(), workers_in("web", 6, &[0, 1, 2]));
        let (r, a) = send(&mut t, "/webonce/x", 20_000);
        t.record_outcome(r, h.clone(), 20_010);
        match t.pick(r, 20_010) {
            Decision::Send(b) => assert!(retried && a.name != b.name, "{h:?}"),
            p => assert!(!retried, "{h:?}: {p:?}"),
        }
        if !retried {
            continue;
        }
        t.record_outcome(r, h.clone(), 20_020);
        // no connection means not sent, and a worker that is gone was not
        // sent to either, so a third worker is no third sending
        let third = matches!(t.pick(r, 20_020), Decision::Send(_));
        let unsent = [AttemptOutcome::ConnectFailed, AttemptOutcome::Misdirected].contains(&h);
        assert_eq!(third, unsent, "{h:?}");
    }
}

#[test]
fn an_idempotent_request_is_retried_after_a_failure() {
    let mut t = new_balancer(default_routes(), workers_in("web", 6, &[0, 1, 2]));
    let (r, a) = send(&mut t, "/web/x", 20_000);
    t.record_outcome(r, AttemptOutcome::Failed, 20_010);
    let b = expect_send(t.pick(r, 20_010));
    assert_ne!(a.name, b.name);
    t.record_outcome(r, AttemptOutcome::Rejected(None), 20_020);
    let p = t.pick(r, 20_020);
    assert!(
        matches!(p, Decision::Reject(ErrorCode::WorkerDisconnected, _)),
        "{p:?}"
    );
}

#[test]
fn a_route_that_turns_repeatable_does_not_free_what_was_sent_once() {
    let mut t = new_balancer(default_routes(), workers_in("web", 6, &[0, 1, 2]));
    let (r, _) = send(&mut t, "/webonce/x", 20_000);
    t.apply_configuration(
        hosted(vec![route("x", "/webonce/", Kind::Idempotent, 1)]),
        20_005,
    );
    t.record_outcome(r, AttemptOutcome::Failed, 20_010);
    assert_eq!(
        t.pick(r, 20_010),
        Decision::Reject(ErrorCode::OutcomeUnknown, 0)
    );
}

#[test]
fn the_configuration_in_force_decides_at_each_pick() {
    let both = |s| hosted(vec![route("w", "/w/", Kind::Once, s)]);
    let mut all = workers_in("web", 6, &[0, 1]);
    all.extend(workers_in("model", 48, &[0, 1]));
    let mut t = new_balancer(both(1), all);
    let (a, b) = (begin(&mut t, "/w/x", 20_010), begin(&mut t, "/w/x", 20_010));
    let first = expect_send(t.pick(a, 20_010));
    assert!(first.name.starts_with("web") && first.priority.is_none());
    t.apply_configuration(both(0), 20_011);
    let second = expect_send(t.pick(b, 20_011));
    assert!(second.name.starts_with("model") && second.priority == Some(1));
    // a refused sending is looked up anew as well
    t.record_outcome(a, AttemptOutcome::Rejected(None), 20_012);
    assert!(expect_send(t.pick(a, 20_012)).name.starts_with("model"));
    let c = begin(&mut t, "/w/x", 20_012);
    t.apply_configuration(hosted(vec![route("v", "/v/", Kind::Once, 1)]), 20_013);
    assert_eq!(
        t.pick(c, 20_013),
        Decision::Reject(ErrorCode::UnknownRoute, 0)
    );
    assert!(t.route(c).is_none());
}

#[test]
fn the_longest_prefix_wins() {
    let h = hosted(vec![
        route("a", "/", Kind::Once, 1),
        route("b", "/a/", Kind::Once, 1),
        route("c", "/a/b/", Kind::Once, 1),
    ]);
    let mut t = new_balancer(h, workers_in("web", 6, &[0]));
    for (path, name) in [("/x", "a"), ("/a/x", "b"), ("/a/b/x", "c"), ("/a/bx", "b")] {
        let r = begin(&mut t, path, 0);
        assert_eq!(t.route(r).unwrap().name, name);
    }
}

#[test]
fn only_open_workers_in_allowed_places() {
    let leaving = |mut w: Worker| {
        w.leaving = true;
        w
    };
    let going = |mut w: Worker| {
        w.leaves_ms = Some(900);
        w
    };
    let w = |n: &str, z| worker(n, "web", z, 6);
    let mut home = route("home", "/home/", Kind::Idempotent, 1);
    home.homes = vec![1];
    let h = hosted(vec![home, route("web", "/web/", Kind::Idempotent, 1)]);
    let cases: Vec<Case> = vec![
        (
            "/web/",
            vec![leaving(w("a", 0)), w("b", 0)],
            vec![],
            Some("b"),
        ),
        (
            "/web/",
            vec![going(w("a", 0)), w("b", 0)],
            vec![],
            Some("b"),
        ),
        ("/web/", vec![w("a", 0), w("b", 1)], vec![0], Some("b")),
        ("/web/", vec![w("a", 0), w("b", 2)], vec![0], Some("b")),
        ("/web/", vec![w("a", 0)], vec![0], None),
        ("/web/", vec![w("a", 2), w("b", 1)], vec![], Some("b")),
        ("/home/", vec![w("a", 0), w("b", 2)], vec![], Some("b")),
        ("/home/", vec![w("a", 0), w("b", 1)], vec![], None),
        ("/web/", vec![worker("a", "model", 0, 6)], vec![], None),
        ("/web/", vec![], vec![], None),
    ];
    for (path, ws, evacuated, want) in cases {
        let mut t = new_balancer(h.clone(), ws.clone());
        t.set_evacuated_zones(evacuated.clone(), 0);
        for i in 0..20 {
            let r = begin(&mut t, path, i);
            let got = match t.pick(r, i) {
                Decision::Send(g) => Some(g.name),
                _ => None,
            };
            assert_eq!(got.as_deref(), want, "{path} {ws:?} {evacuated:?}");
            t.finish(r, i);
        }
    }
}

#[test]
fn unregistered_or_misdirected_workers_get_nothing() {
    let mut t = new_balancer(default_routes(), workers_in("web", 6, &[0, 1]));
    let (r, a) = send(&mut t, "/web/x", 10);
    t.record_outcome(r, AttemptOutcome::Misdirected, 11);
    t.finish(r, 11);
    let names = |t: &mut Balancer, now: u64| -> Vec<String> {
        let one = |_| {
            let (r, g) = send(t, "/web/x", now);
            t.finish(r, now);
            g.name
        };
        let mut v: Vec<String> = (0..12).map(one).collect();
        v.sort();
        v.dedup();
        v
    };
    assert!(!names(&mut t, 12).contains(&a.name));
    t.update_registry(&registry(1, workers_in("web", 6, &[0, 1])), 13);
    assert!(!names(&mut t, 14).contains(&a.name));
    t.update_registry(&registry(2, workers_in("web", 6, &[0, 1])), 4000);
    assert!(names(&mut t, 4001).contains(&a.name));
    t.update_registry(&registry(3, vec![worker("new", "web", 0, 6)]), 5000);
    assert_eq!(names(&mut t, 5001), ["new"]);
    // an older list that comes late changes nothing
    t.update_registry(&registry(2, workers_in("web", 6, &[0, 1])), 5002);
    assert_eq!(names(&mut t, 5003), ["new"]);
}

#[test]
fn deadlines_and_retry_after() {
    let mut t = new_balancer(default_routes(), vec![]);
    let r = t.begin("h", "/web/x", metadata(&[]), 1000, 1010).unwrap();
    assert_eq!(t.deadline(r), 6000);
    let mut a = metadata(&[]);
    a.deadline_ms = None;
    let n = t.begin("h", "/web/x", a, 1000, 1010).unwrap();
    assert_eq!(t.deadline(n), 9000);
    assert!(matches!(t.pick(r, 1010), Decision::Wait(w) if w > 0));
    // within a quarter of the aim it is told to come back
    let at = 1200;
    match t.pick(r, at) {
        Decision::Reject(ErrorCode::NoWorker, ms) => assert!((100..=400).contains(&ms)),
        p => panic!("{p:?}"),
    }
    match t.pick(r, 5700) {
        Decision::Reject(ErrorCode::NoWorker, ms) => assert!(ms <= 100),
        p => panic!("{p:?}"),
    }
    let p = t.pick(r, 5998);
    assert!(
        matches!(p, Decision::Reject(ErrorCode::NotSent, _)),
        "{p:?}"
    );
}

#[test]
fn the_first_in_priority_then_arrival_gets_the_free_place() {
    let mut low = route("low", "/low/", Kind::Once, 1);
    low.priority = 3;
    let mut t = new_balancer(
        hosted(vec![low, route("high", "/high/", Kind::Once, 1)]),
        vec![worker("w", "web", 0, 2)],
    );
    let held: Vec<RequestId> = (0..3).map(|_| send(&mut t, "/high/x", 0).0).collect();
    let late = |t: &mut Balancer, path: &str, now| {
        let r = begin(t, path, now);
        assert!(matches!(t.pick(r, now), Decision::Wait(_)));
        r
    };
    let l = late(&mut t, "/low/x", 1);
    let h2 = late(&mut t, "/high/x", 3);
    let h1 = late(&mut t, "/high/x", 2);
    assert!(t.take_ready(4).is_empty());
    t.record_outcome(held[0], AttemptOutcome::Completed(200), 5);
    assert_eq!(t.take_ready(5), [h1]);
    // one that comes now stands behind those that wait already
    let h3 = late(&mut t, "/high/x", 5);
    expect_send(t.pick(h1, 5));
    assert!(matches!(t.pick(h2, 6), Decision::Wait(_)));
    assert_eq!(t.take_ready(60), [h2, h3, l]);
    t.finish(h2, 61);
    t.record_outcome(held[1], AttemptOutcome::Completed(200), 61);
    assert_eq!(t.take_ready(61), [h3]);
    assert_eq!(t.counts().waiting, 2);
}

#[test]
fn no_refusal_while_half_the_places_are_free() {
    // a worker that turns requests away though it has room is tried again
    let mut t = new_balancer(default_routes(), workers_in("web", 8, &[0, 0]));
    let mut draw = 5u64;
    let mut open: Vec<RequestId> = Vec::new();
    let mut refused = 0;
    for now in (0..60_000).step_by(3) {
        draw = draw.wrapping_mul(6364136223846793005).wrapping_add(99);
        let x = draw >> 33;
        if x.is_multiple_of(3) && !open.is_empty() {
            let r = open.swap_remove((x / 3) as usize % open.len());
            t.record_outcome(r, AttemptOutcome::Completed(200), now);
            t.finish(r, now);
        }
        if x % 5 < if now % 8000 < 4000 { 3 } else { 1 } {
            let r = t
                .begin("h", "/webonce/x", metadata(&[]), now - now.min(300), now)
                .unwrap();
            match t.pick(r, now) {
                Decision::Send(_) => open.push(r),
                Decision::Reject(p, _) => {
                    assert_eq!(p, ErrorCode::NoWorker);
                    assert!(open.len() * 2 >= 16, "{} of 16 taken", open.len());
                    refused += 1;
                    t.finish(r, now);
                }
                p => panic!("{p:?}"),
            }
        }
    }
    assert!(refused > 0);
}
