//! Unresponsive workers: they are avoided, get attempts on new connections only, and
//! requests that may run twice fail over to other workers.

use super::*;

/// Two workers, with a request pending at one of them since 20,000 ms.
fn balancer_with_pending_request(path: &str) -> (Balancer, u64, Target) {
    let mut balancer = new_balancer(default_routes(), workers_in("web", 6, &[0, 0]));
    let (request, first) = send(&mut balancer, path, 20_000);
    (balancer, request, first)
}

#[test]
fn non_idempotent_requests_reuse_connections_only_to_recently_active_workers() {
    let (mut balancer, request, first) = balancer_with_pending_request("/webonce/a");
    assert!(
        first.new_connection,
        "the worker has not been active before"
    );
    balancer.record_outcome(request, AttemptOutcome::Completed(200), 20_050);
    balancer.finish(request, 20_050);
    let uses_new_connection = |balancer: &mut Balancer, now: u64| {
        let (request, target) = (0..9)
            .map(|_| send(balancer, "/webonce/b", now))
            .find(|(_, target)| target.name == first.name)
            .expect("the worker gets one of nine requests");
        balancer.finish(request, now);
        target.new_connection
    };
    assert!(
        !uses_new_connection(&mut balancer.clone(), 20_100),
        "the worker was active 50 ms ago"
    );
    assert!(
        uses_new_connection(&mut balancer, 20_400),
        "the worker was active 350 ms ago"
    );
}

#[test]
fn an_unresponsive_worker_is_suspect_until_it_responds() {
    let (mut balancer, request, first) = balancer_with_pending_request("/web/a");
    assert!(
        !first.new_connection,
        "an idempotent request may reuse a connection"
    );
    let attempts_at_first = |balancer: &Balancer, now: u64| {
        let mut balancer = balancer.clone();
        let targets = (0..10).map(|_| send(&mut balancer, "/web/b", now).1);
        let at_first: Vec<Target> = targets.filter(|target| target.name == first.name).collect();
        (
            at_first.len(),
            at_first.iter().all(|target| target.new_connection),
        )
    };
    let while_responsive = attempts_at_first(&balancer, 20_200);
    assert!(
        while_responsive.0 > 2 && !while_responsive.1,
        "{while_responsive:?}"
    );
    let after_silence = attempts_at_first(&balancer, 20_400);
    assert!(
        after_silence.0 < while_responsive.0 && after_silence.1,
        "{after_silence:?} {while_responsive:?}"
    );
    balancer.record_activity(request, 20_400);
    assert!(!attempts_at_first(&balancer, 20_450).1, "active 50 ms ago");
    assert!(
        attempts_at_first(&balancer, 20_800).1,
        "inactive for 400 ms with an attempt in flight"
    );
}

#[test]
fn requests_fail_over_from_silent_but_not_from_slow_workers() {
    let (mut balancer, request, _) = balancer_with_pending_request("/web/a");
    balancer.record_activity(request, 20_300);
    assert!(
        !balancer.may_fail_over(request, 400, 20_500),
        "the worker was active 200 ms ago"
    );
    assert!(balancer.may_fail_over(request, 400, 20_700));
    assert!(
        balancer.may_fail_over(request, 0, 20_500),
        "with a silence of 0, activity is not considered"
    );
    let (mut balancer, request, _) = balancer_with_pending_request("/webonce/a");
    assert!(
        !balancer.may_fail_over(request, 0, 25_000),
        "a non-idempotent request does not fail over"
    );
    let mut single_balancer = new_balancer(default_routes(), workers_in("web", 6, &[0]));
    let (single_request, _) = send(&mut single_balancer, "/web/a", 20_000);
    assert!(
        !single_balancer.may_fail_over(single_request, 0, 22_000),
        "there is no other worker"
    );
    balancer.finish(request, 25_000);
}
