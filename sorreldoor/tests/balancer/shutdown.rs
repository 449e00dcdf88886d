//! Decisions of a node that shuts down: no attempt is sent that it cannot see completed.

use super::*;

/// The shutdown begins at 20,000 ms.
const BEGUN: u64 = 20_000;
const LIMITS: ShutdownLimits = ShutdownLimits {
    arrivals_until: 22_500,
    responses_until: 27_700,
};

fn stream_route(name: &str, resume: bool) -> Route {
    let prefix = format!("/{name}/");
    Route {
        resume,
        ..route(name, &prefix, Kind::Stream, 1)
    }
}

/// The default routes, two of streams, and two workers with six slots each. All routes
/// have a timeout of 8,000 ms.
fn shutting_down() -> Balancer {
    let mut routes: Vec<Route> = default_routes()
        .routes
        .iter()
        .map(|r| (**r).clone())
        .collect();
    routes.push(stream_route("say", false));
    routes.push(stream_route("ask", true));
    let mut balancer = new_balancer(hosted(routes), workers_in("web", 6, &[0, 0]));
    balancer.start_shutdown(LIMITS);
    balancer
}

fn with_deadline(balancer: &mut Balancer, path: &str, deadline_ms: u64, now: u64) -> RequestId {
    let metadata = RequestMetadata {
        deadline_ms: Some(deadline_ms),
        ..RequestMetadata::default()
    };
    balancer.begin("h", path, metadata, now, now).unwrap()
}

fn decide_new(balancer: &mut Balancer, path: &str, deadline_ms: u64, now: u64) -> Decision {
    let request = with_deadline(balancer, path, deadline_ms, now);
    balancer.decide(request, now)
}

/// Completes one request of the route, with a response time.
fn complete_one(balancer: &mut Balancer, path: &str, response_ms: u64, sent_at: u64) {
    let request = with_deadline(balancer, path, 1000, sent_at);
    expect_send(balancer.decide(request, sent_at));
    let now = sent_at + response_ms;
    balancer.record_outcome(request, AttemptOutcome::Completed(200), now);
    balancer.finish(request, now);
}

/// Panics unless the client may retry the request, which has not run.
fn assert_rejected(decision: &Decision) {
    let rejected =
        matches!(decision, Decision::Reject(ErrorCode::ShuttingDown, retry) if *retry > 0);
    assert!(rejected, "{decision:?}");
}

const ALL_KINDS: [&str; 4] = ["/web/1", "/webonce/1", "/say/1", "/ask/1"];

#[test]
fn a_request_is_sent_if_its_deadline_is_before_the_end_of_the_shutdown() {
    for path in ALL_KINDS {
        let mut balancer = shutting_down();
        expect_send(decide_new(&mut balancer, path, 2000, 25_700));
        assert_rejected(&decide_new(&mut balancer, path, 2001, 25_700));
        assert_eq!(balancer.counts().rejected_at_shutdown, 1);
    }
}

#[test]
fn a_request_with_a_later_deadline_is_sent_if_earlier_responses_were_fast_enough() {
    for path in ALL_KINDS {
        let mut balancer = shutting_down();
        assert_rejected(&decide_new(&mut balancer, path, 8000, BEGUN));
        // RFC 6298: the first estimate is three times the first sample
        complete_one(&mut balancer, path, 800, BEGUN);
        expect_send(decide_new(&mut balancer, path, 8000, 22_000));
    }
}

#[test]
fn an_estimate_that_ends_after_the_shutdown_rejects_the_request() {
    for path in ["/web/1", "/webonce/1"] {
        let mut balancer = shutting_down();
        complete_one(&mut balancer, path, 800, BEGUN);
        expect_send(decide_new(&mut balancer, path, 8000, 25_299));
        assert_rejected(&decide_new(&mut balancer, path, 8000, 25_300));
    }
}

#[test]
fn a_route_without_responses_has_the_estimate_of_its_service() {
    let mut balancer = shutting_down();
    complete_one(&mut balancer, "/web/1", 100, BEGUN);
    expect_send(decide_new(&mut balancer, "/webonce/1", 8000, 27_000));
    assert_rejected(&decide_new(&mut balancer, "/webonce/1", 8000, 27_500));
}

#[test]
fn a_stream_that_arrives_late_is_sent_only_if_its_deadline_bounds_it() {
    for path in ["/say/1", "/ask/1"] {
        let mut balancer = shutting_down();
        complete_one(&mut balancer, path, 100, BEGUN);
        expect_send(decide_new(&mut balancer, path, 8000, 22_500));
        assert_rejected(&decide_new(&mut balancer, path, 8000, 22_501));
    }
}

#[test]
fn a_queued_request_is_rejected_once_it_cannot_be_completed() {
    let mut balancer = shutting_down();
    complete_one(&mut balancer, "/webonce/1", 1700, BEGUN);
    let waits = |balancer: &mut Balancer| {
        let request = with_deadline(balancer, "/webonce/2", 8000, 22_500);
        let decision = balancer.decide(request, 22_500);
        matches!(decision, Decision::Wait(_)).then_some(request)
    };
    let queued = (0..100).find_map(|_| waits(&mut balancer));
    let queued = queued.expect("the workers have fewer than 100 slots");
    // the estimate is three times 1,700 ms
    assert_rejected(&balancer.decide(queued, 22_600));
}

#[test]
fn a_request_that_failed_is_retried_only_if_the_retry_can_be_completed() {
    for (retried_at, is_sent) in [(21_000, true), (27_600, false)] {
        let mut balancer = shutting_down();
        complete_one(&mut balancer, "/web/1", 100, BEGUN);
        let request = with_deadline(&mut balancer, "/web/1", 8000, BEGUN);
        expect_send(balancer.decide(request, BEGUN));
        assert_eq!(balancer.may_fail_over(request, 0, retried_at), is_sent);
        balancer.record_outcome(request, AttemptOutcome::Failed, retried_at);
        let decision = balancer.decide(request, retried_at);
        match is_sent {
            true => drop(expect_send(decision)),
            // it may have run, which the response must not deny
            false => assert!(
                matches!(decision, Decision::Reject(ErrorCode::WorkerDisconnected, _)),
                "{decision:?}"
            ),
        }
    }
}

#[test]
fn a_new_timeout_of_the_route_applies_during_a_shutdown() {
    let mut balancer = shutting_down();
    let request = with_deadline(&mut balancer, "/webonce/1", 8000, 24_000);
    let mut routes: Vec<Route> = default_routes()
        .routes
        .iter()
        .map(|r| (**r).clone())
        .collect();
    for route in &mut routes {
        route.timeout_ms = 3000;
    }
    assert_rejected(&balancer.clone().decide(request, 24_000));
    balancer.apply_configuration(hosted(routes), 24_000);
    expect_send(balancer.decide(request, 24_000));
}

#[test]
fn estimates_are_kept_for_the_routes_that_a_new_configuration_still_has() {
    let mut balancer = shutting_down();
    complete_one(&mut balancer, "/web/1", 3000, BEGUN);
    complete_one(&mut balancer, "/webonce/1", 10, BEGUN);
    balancer.apply_configuration(default_routes(), BEGUN);
    assert_rejected(&decide_new(&mut balancer, "/web/1", 8000, BEGUN));
    expect_send(decide_new(&mut balancer, "/webonce/1", 8000, BEGUN));
}
