//! The rules for sending attempts: which workers, how many attempts, in which order,
//! and the retry-after time of rejections.

use super::*;

/// Path, registered workers, evacuated zones, and the worker that must be chosen, if
/// any.
type Case = (&'static str, Vec<Worker>, Vec<u16>, Option<&'static str>);

#[test]
fn begin_fails_without_a_configuration_or_a_matching_route() {
    let mut balancer = Balancer::new(locality("n0", 0), site_limits(), 7);
    assert_eq!(
        balancer.begin("h", "/web/x", metadata(&[]), 0, 0),
        Err(ErrorCode::NoConfiguration)
    );
    balancer.apply_configuration(default_routes(), 0);
    assert_eq!(
        balancer.begin("h", "/no/x", metadata(&[]), 0, 0),
        Err(ErrorCode::UnknownRoute)
    );
    assert_eq!(
        balancer.begin("g", "/web/x", metadata(&[]), 0, 0),
        Err(ErrorCode::UnknownRoute)
    );
}

#[test]
fn a_failed_non_idempotent_request_is_not_retried() {
    let mut balancer = new_balancer(default_routes(), workers_in("web", 6, &[0, 1, 2]));
    let (request, _) = send(&mut balancer, "/webonce/x", 100);
    balancer.record_outcome(request, AttemptOutcome::Failed, 120);
    assert_eq!(
        balancer.decide(request, 120),
        Decision::Reject(ErrorCode::OutcomeUnknown, 0)
    );
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_the_attempt_did_not_run() {
    for (outcome, retried) in [
        (AttemptOutcome::Rejected(None), true),
        (AttemptOutcome::Misdirected, true),
        (AttemptOutcome::ConnectFailed, true),
        (AttemptOutcome::Failed, false),
        (AttemptOutcome::Canceled, false),
        (AttemptOutcome::Completed(500), false),
    ] {
        let mut balancer = new_balancer(default_routes(), workers_in("web", 6, &[0, 1, 2]));
        let (request, first) = send(&mut balancer, "/webonce/x", 20_000);
        balancer.record_outcome(request, outcome.clone(), 20_010);
        match balancer.decide(request, 20_010) {
            Decision::Send(second) => assert!(retried && first.name != second.name, "{outcome:?}"),
            decision => assert!(!retried, "{outcome:?}: {decision:?}"),
        }
        if !retried {
            continue;
        }
        balancer.record_outcome(request, outcome.clone(), 20_020);
        // an attempt without a connection or with the wrong address does not count
        // against the route's attempts
        let third = matches!(balancer.decide(request, 20_020), Decision::Send(_));
        let unsent =
            [AttemptOutcome::ConnectFailed, AttemptOutcome::Misdirected].contains(&outcome);
        assert_eq!(third, unsent, "{outcome:?}");
    }
}

#[test]
fn an_idempotent_request_is_retried_after_a_failure() {
    let mut balancer = new_balancer(default_routes(), workers_in("web", 6, &[0, 1, 2]));
    let (request, first) = send(&mut balancer, "/web/x", 20_000);
    balancer.record_outcome(request, AttemptOutcome::Failed, 20_010);
    let second = expect_send(balancer.decide(request, 20_010));
    assert_ne!(first.name, second.name);
    balancer.record_outcome(request, AttemptOutcome::Rejected(None), 20_020);
    let decision = balancer.decide(request, 20_020);
    assert!(
        matches!(decision, Decision::Reject(ErrorCode::WorkerDisconnected, _)),
        "{decision:?}"
    );
}

#[test]
fn a_route_made_idempotent_does_not_allow_retrying_earlier_attempts() {
    let mut balancer = new_balancer(default_routes(), workers_in("web", 6, &[0, 1, 2]));
    let (request, _) = send(&mut balancer, "/webonce/x", 20_000);
    balancer.apply_configuration(
        hosted(vec![route("x", "/webonce/", Kind::Idempotent, 1)]),
        20_005,
    );
    balancer.record_outcome(request, AttemptOutcome::Failed, 20_010);
    assert_eq!(
        balancer.decide(request, 20_010),
        Decision::Reject(ErrorCode::OutcomeUnknown, 0)
    );
}

#[test]
fn each_decision_uses_the_current_configuration() {
    let routed_to = |service| hosted(vec![route("w", "/w/", Kind::Once, service)]);
    let mut workers = workers_in("web", 6, &[0, 1]);
    workers.extend(workers_in("model", 48, &[0, 1]));
    let mut balancer = new_balancer(routed_to(1), workers);
    let (first_request, second_request) = (
        begin(&mut balancer, "/w/x", 20_010),
        begin(&mut balancer, "/w/x", 20_010),
    );
    let first = expect_send(balancer.decide(first_request, 20_010));
    assert!(first.name.starts_with("web") && first.priority.is_none());
    balancer.apply_configuration(routed_to(0), 20_011);
    let second = expect_send(balancer.decide(second_request, 20_011));
    assert!(second.name.starts_with("model") && second.priority == Some(1));
    // a retry after a rejected attempt also uses the new route
    balancer.record_outcome(first_request, AttemptOutcome::Rejected(None), 20_012);
    assert!(expect_send(balancer.decide(first_request, 20_012))
        .name
        .starts_with("model"));
    let unrouted = begin(&mut balancer, "/w/x", 20_012);
    balancer.apply_configuration(hosted(vec![route("v", "/v/", Kind::Once, 1)]), 20_013);
    assert_eq!(
        balancer.decide(unrouted, 20_013),
        Decision::Reject(ErrorCode::UnknownRoute, 0)
    );
    assert!(balancer.route(unrouted).is_none());
}

#[test]
fn the_route_with_the_longest_prefix_matches() {
    let configuration = hosted(vec![
        route("a", "/", Kind::Once, 1),
        route("b", "/a/", Kind::Once, 1),
        route("c", "/a/b/", Kind::Once, 1),
    ]);
    let mut balancer = new_balancer(configuration, workers_in("web", 6, &[0]));
    for (path, name) in [("/x", "a"), ("/a/x", "b"), ("/a/b/x", "c"), ("/a/bx", "b")] {
        let request = begin(&mut balancer, path, 0);
        assert_eq!(balancer.route(request).unwrap().name, name);
    }
}

#[test]
fn only_active_workers_in_allowed_zones_are_chosen() {
    let leaving = |mut new_worker: Worker| {
        new_worker.leaving = true;
        new_worker
    };
    let departing = |mut new_worker: Worker| {
        new_worker.leaves_ms = Some(900);
        new_worker
    };
    let new_worker = |name: &str, zone| worker(name, "web", zone, 6);
    let mut home = route("home", "/home/", Kind::Idempotent, 1);
    home.homes = vec![1];
    let configuration = hosted(vec![home, route("web", "/web/", Kind::Idempotent, 1)]);
    let cases: Vec<Case> = vec![
        (
            "/web/",
            vec![leaving(new_worker("a", 0)), new_worker("b", 0)],
            vec![],
            Some("b"),
        ),
        (
            "/web/",
            vec![departing(new_worker("a", 0)), new_worker("b", 0)],
            vec![],
            Some("b"),
        ),
        (
            "/web/",
            vec![new_worker("a", 0), new_worker("b", 1)],
            vec![0],
            Some("b"),
        ),
        (
            "/web/",
            vec![new_worker("a", 0), new_worker("b", 2)],
            vec![0],
            Some("b"),
        ),
        ("/web/", vec![new_worker("a", 0)], vec![0], None),
        (
            "/web/",
            vec![new_worker("a", 2), new_worker("b", 1)],
            vec![],
            Some("b"),
        ),
        (
            "/home/",
            vec![new_worker("a", 0), new_worker("b", 2)],
            vec![],
            Some("b"),
        ),
        (
            "/home/",
            vec![new_worker("a", 0), new_worker("b", 1)],
            vec![],
            None,
        ),
        ("/web/", vec![worker("a", "model", 0, 6)], vec![], None),
        ("/web/", vec![], vec![], None),
    ];
    for (path, workers, evacuated, expected) in cases {
        let mut balancer = new_balancer(configuration.clone(), workers.clone());
        balancer.set_evacuated_zones(evacuated.clone(), 0);
        for i in 0..20 {
            let request = begin(&mut balancer, path, i);
            let chosen = match balancer.decide(request, i) {
                Decision::Send(target) => Some(target.name),
                _ => None,
            };
            assert_eq!(
                chosen.as_deref(),
                expected,
                "{path} {workers:?} {evacuated:?}"
            );
            balancer.finish(request, i);
        }
    }
}

#[test]
fn unregistered_or_misdirected_workers_get_no_requests() {
    let mut balancer = new_balancer(default_routes(), workers_in("web", 6, &[0, 1]));
    let (request, first) = send(&mut balancer, "/web/x", 10);
    balancer.record_outcome(request, AttemptOutcome::Misdirected, 11);
    balancer.finish(request, 11);
    let targets = |balancer: &mut Balancer, now: u64| -> Vec<String> {
        let target_of = |_| {
            let (request, target) = send(balancer, "/web/x", now);
            balancer.finish(request, now);
            target.name
        };
        let mut names: Vec<String> = (0..12).map(target_of).collect();
        names.sort();
        names.dedup();
        names
    };
    assert!(!targets(&mut balancer, 12).contains(&first.name));
    balancer.update_registry(&registry(1, workers_in("web", 6, &[0, 1])), 13);
    assert!(!targets(&mut balancer, 14).contains(&first.name));
    balancer.update_registry(&registry(2, workers_in("web", 6, &[0, 1])), 4000);
    assert!(targets(&mut balancer, 4001).contains(&first.name));
    balancer.update_registry(&registry(3, vec![worker("new", "web", 0, 6)]), 5000);
    assert_eq!(targets(&mut balancer, 5001), ["new"]);
    // an older registry that arrives late is ignored
    balancer.update_registry(&registry(2, workers_in("web", 6, &[0, 1])), 5002);
    assert_eq!(targets(&mut balancer, 5003), ["new"]);
}

#[test]
fn the_earlier_deadline_applies_and_limits_the_retry_after_time() {
    let mut balancer = new_balancer(default_routes(), vec![]);
    let request = balancer
        .begin("h", "/web/x", metadata(&[]), 1000, 1010)
        .unwrap();
    assert_eq!(balancer.deadline(request), 6000);
    let mut request_metadata = metadata(&[]);
    request_metadata.deadline_ms = None;
    let without_deadline = balancer
        .begin("h", "/web/x", request_metadata, 1000, 1010)
        .unwrap();
    assert_eq!(balancer.deadline(without_deadline), 9000);
    assert!(matches!(balancer.decide(request, 1010), Decision::Wait(delay_ms) if delay_ms > 0));
    // after a quarter of the latency target it is rejected with a retry-after time
    let now = 1200;
    match balancer.decide(request, now) {
        Decision::Reject(ErrorCode::NoWorker, ms) => assert!((100..=400).contains(&ms)),
        decision => panic!("{decision:?}"),
    }
    match balancer.decide(request, 5700) {
        Decision::Reject(ErrorCode::NoWorker, ms) => assert!(ms <= 100),
        decision => panic!("{decision:?}"),
    }
    let decision = balancer.decide(request, 5998);
    assert!(
        matches!(decision, Decision::Reject(ErrorCode::NotSent, _)),
        "{decision:?}"
    );
}

#[test]
fn a_free_slot_goes_to_the_first_request_by_priority_then_arrival() {
    let mut low = route("low", "/low/", Kind::Once, 1);
    low.priority = 3;
    let mut balancer = new_balancer(
        hosted(vec![low, route("high", "/high/", Kind::Once, 1)]),
        vec![worker("w", "web", 0, 2)],
    );
    let running: Vec<RequestId> = (0..3)
        .map(|_| send(&mut balancer, "/high/x", 0).0)
        .collect();
    let queued = |balancer: &mut Balancer, path: &str, now| {
        let request = begin(balancer, path, now);
        assert!(matches!(balancer.decide(request, now), Decision::Wait(_)));
        request
    };
    let low = queued(&mut balancer, "/low/x", 1);
    let high_late = queued(&mut balancer, "/high/x", 3);
    let high_early = queued(&mut balancer, "/high/x", 2);
    assert!(balancer.take_ready(4).is_empty());
    balancer.record_outcome(running[0], AttemptOutcome::Completed(200), 5);
    assert_eq!(balancer.take_ready(5), [high_early]);
    // a new arrival queues after those already waiting
    let high_newest = queued(&mut balancer, "/high/x", 5);
    expect_send(balancer.decide(high_early, 5));
    assert!(matches!(balancer.decide(high_late, 6), Decision::Wait(_)));
    assert_eq!(balancer.take_ready(60), [high_late, high_newest, low]);
    balancer.finish(high_late, 61);
    balancer.record_outcome(running[1], AttemptOutcome::Completed(200), 61);
    assert_eq!(balancer.take_ready(61), [high_newest]);
    assert_eq!(balancer.counts().waiting, 2);
}

#[test]
fn no_request_is_rejected_while_half_the_slots_are_free() {
    // the load alternates between below and above the capacity of 16 slots
    let mut balancer = new_balancer(default_routes(), workers_in("web", 8, &[0, 0]));
    let mut random_state = 5u64;
    let mut open: Vec<RequestId> = Vec::new();
    let mut rejected = 0;
    for now in (0..60_000).step_by(3) {
        random_state = random_state
            .wrapping_mul(6364136223846793005)
            .wrapping_add(99);
        let random = random_state >> 33;
        if random.is_multiple_of(3) && !open.is_empty() {
            let request = open.swap_remove((random / 3) as usize % open.len());
            balancer.record_outcome(request, AttemptOutcome::Completed(200), now);
            balancer.finish(request, now);
        }
        if random % 5 < if now % 8000 < 4000 { 3 } else { 1 } {
            let request = balancer
                .begin("h", "/webonce/x", metadata(&[]), now - now.min(300), now)
                .unwrap();
            match balancer.decide(request, now) {
                Decision::Send(_) => open.push(request),
                Decision::Reject(error, _) => {
                    assert_eq!(error, ErrorCode::NoWorker);
                    assert!(
                        open.len() * 2 >= 16,
                        "rejected with {} of 16 slots in use",
                        open.len()
                    );
                    rejected += 1;
                    balancer.finish(request, now);
                }
                decision => panic!("{decision:?}"),
            }
        }
    }
    assert!(rejected > 0);
}
