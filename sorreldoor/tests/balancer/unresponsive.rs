//! Workers that have not answered: they get attempts on new connections only, are
//! avoided, and are left by requests that may fail over.

use super::*;

/// Two workers; a request is at the first of them since 20,000 ms.
fn waiting(path: &str) -> (Balancer, u64, Target) {
    let mut t = new_balancer(default_routes(), workers_in("web", 6, &[0, 0]));
    let (r, a) = send(&mut t, path, 20_000);
    (t, r, a)
}

#[test]
fn what_runs_once_goes_out_only_where_the_worker_is_known_to_be() {
    let (mut t, r, a) = waiting("/webonce/a");
    assert!(a.new_connection, "nothing was ever heard of it");
    t.record_outcome(r, AttemptOutcome::Completed(200), 20_050);
    t.finish(r, 20_050);
    let at = |t: &mut Balancer, now: u64| {
        let (r, g) = (0..9)
            .map(|_| send(t, "/webonce/b", now))
            .find(|(_, g)| g.name == a.name)
            .expect("it gets some of nine");
        t.finish(r, now);
        g.new_connection
    };
    assert!(!at(&mut t.clone(), 20_100), "it has just spoken");
    assert!(at(&mut t, 20_400), "that is long ago");
}

#[test]
fn an_unresponsive_worker_is_suspect_until_it_answers() {
    let (mut t, r, a) = waiting("/web/a");
    assert!(
        !a.new_connection,
        "what may run twice may go out on a kept connection"
    );
    let hits = |t: &Balancer, now: u64| {
        let mut t = t.clone();
        let all = (0..10).map(|_| send(&mut t, "/web/b", now).1);
        let at: Vec<Target> = all.filter(|g| g.name == a.name).collect();
        (at.len(), at.iter().all(|g| g.new_connection))
    };
    let before = hits(&t, 20_200);
    assert!(before.0 > 2 && !before.1, "{before:?}");
    let owes = hits(&t, 20_400);
    assert!(owes.0 < before.0 && owes.1, "{owes:?} {before:?}");
    t.record_activity(r, 20_400);
    assert!(!hits(&t, 20_450).1, "it spoke");
    assert!(hits(&t, 20_800).1, "and owes the rest");
}

#[test]
fn a_slow_worker_is_not_left_but_a_silent_one_is() {
    let (mut t, r, _) = waiting("/web/a");
    t.record_activity(r, 20_300);
    assert!(!t.may_fail_over(r, 400, 20_500), "it spoke 200 ms ago");
    assert!(t.may_fail_over(r, 400, 20_700));
    assert!(
        t.may_fail_over(r, 0, 20_500),
        "asked not to mind whether it lives"
    );
    let (mut t, r, _) = waiting("/webonce/a");
    assert!(!t.may_fail_over(r, 0, 25_000), "what runs once never moves");
    let mut t2 = new_balancer(default_routes(), workers_in("web", 6, &[0]));
    let (r2, _) = send(&mut t2, "/web/a", 20_000);
    assert!(!t2.may_fail_over(r2, 0, 22_000), "there is no other");
    t.finish(r, 25_000);
}
