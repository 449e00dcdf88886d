//! Which endpoint is chosen, and which one is avoided.

use super::*;

#[test]
fn a_worker_without_connections_is_out_and_comes_back_by_trials() {
    let mut t = new_balancer(default_routes(), workers_in("web", 6, &[0, 0, 0, 0]));
    let bad = "web1";
    let mut dead = true;
    let (mut hits, mut last) = (Vec::new(), 0);
    for now in (0..30_000u64).step_by(20) {
        if now == 12_000 {
            dead = false;
        }
        let r = begin(&mut t, "/web/x", now);
        let mut g = t.pick(r, now);
        while let Decision::Send(x) = &g {
            if x.name == bad {
                hits.push(now);
                last = now;
            }
            if x.name == bad && dead {
                t.record_outcome(r, AttemptOutcome::ConnectFailed, now);
                g = t.pick(r, now);
            } else {
                t.record_outcome(r, AttemptOutcome::Completed(200), now + 15);
                break;
            }
        }
        assert!(matches!(g, Decision::Send(_)), "{g:?}");
        t.finish(r, now + 15);
    }
    let early: Vec<u64> = hits.iter().copied().filter(|h| *h < 12_000).collect();
    assert!(early.len() <= 6, "{early:?}");
    // the pause doubles
    assert!(
        early.windows(3).all(|w| w[2] - w[1] >= w[1] - w[0]),
        "{early:?}"
    );
    assert!(last > 29_000 && hits.len() > 100, "{} {last}", hits.len());
    assert_eq!(t.counts().ejected, 0);
}

#[test]
fn at_most_a_third_is_out_for_failures_and_all_out_is_still_served() {
    let mut t = new_balancer(default_routes(), workers_in("web", 6, &[0; 9]));
    for now in 0..400u64 {
        let (r, _) = send(&mut t, "/webonce/x", now);
        t.record_outcome(r, AttemptOutcome::Failed, now);
        t.finish(r, now);
        assert!(t.counts().ejected <= 3);
    }
    assert_eq!(t.counts().ejected, 3);
    let mut t = new_balancer(default_routes(), workers_in("web", 6, &[0; 3]));
    for now in 0..60u64 {
        let (r, _) = send(&mut t, "/webonce/x", now);
        t.record_outcome(r, AttemptOutcome::ConnectFailed, now);
        t.finish(r, now);
    }
    assert_eq!(t.counts().ejected, 3);
    send(&mut t, "/webonce/x", 61);
}

#[test]
fn a_full_worker_is_left_alone_for_a_while() {
    let mut t = new_balancer(default_routes(), workers_in("web", 6, &[0, 0]));
    let (r, a) = send(&mut t, "/webonce/x", 1000);
    t.record_outcome(
        r,
        AttemptOutcome::Rejected(Some(LoadReport {
            running: 6,
            waiting: 24,
            slots: 6,
        })),
        1001,
    );
    let b = expect_send(t.pick(r, 1001));
    assert_ne!(a.name, b.name);
    for now in 1002..1008 {
        assert_eq!(send(&mut t, "/webonce/x", now).1.name, b.name);
    }
}

#[test]
fn weights_split_and_sticky_ones_stay() {
    let mut r = route("s", "/s/", Kind::Once, 0);
    r.split = vec![(0, 90), (1, 10)];
    let mut n = route("n", "/n/", Kind::Once, 0);
    n.split = vec![(0, 70), (1, 30)];
    n.sticky = false;
    let mut z = route("z", "/z/", Kind::Once, 0);
    z.split = vec![(0, 0), (1, 5)];
    let mut all = workers_in("web", 6000, &[0, 0]);
    all.extend(workers_in("model", 48, &[0, 0]));
    let mut t = new_balancer(hosted(vec![r, n, z]), all);
    let share = |t: &mut Balancer, path: &str, f: &dyn Fn(u64) -> Vec<(u64, u32)>| {
        let hit = (0..2000u64).filter(|i| {
            let r = t.begin("h", path, metadata(&f(*i)), *i, *i).unwrap();
            let g = expect_send(t.pick(r, *i));
            t.finish(r, *i);
            g.name.starts_with("web")
        });
        hit.count()
    };
    let s = share(&mut t, "/s/", &|i| vec![(i + 1, 50), (i + 1_000_000, 9)]);
    assert!((140..260).contains(&s), "{s}");
    let n = share(&mut t, "/n/", &|_| vec![(7, 50), (8, 9)]);
    assert!((520..680).contains(&n), "{n}");
    let one = share(&mut t, "/s/", &|i| vec![(7, 50), (i + 100, 9)]);
    assert!(one == 0 || one == 2000, "{one}");
    assert_eq!(share(&mut t, "/z/", &|_| vec![]), 2000);
}

#[test]
fn two_long_prompts_do_not_meet_at_one_worker() {
    let mut t = new_balancer(default_routes(), workers_in("model", 48, &[0, 0, 0]));
    let mut at: Vec<String> = Vec::new();
    for id in 1..4u64 {
        let r = t
            .begin("h", "/once/", metadata(&[(id, 20_000)]), 10, 10)
            .unwrap();
        at.push(expect_send(t.pick(r, 10)).name);
    }
    at.sort();
    at.dedup();
    assert_eq!(at.len(), 3);
}

#[test]
fn a_session_returns_to_its_prefix_cache() {
    let mut t = new_balancer(default_routes(), workers_in("model", 48, &[0; 6]));
    let chain = |own: u32| metadata(&[(5, 6000), (77, own)]);
    let mut at = Vec::new();
    for i in 0..5 {
        let r = t
            .begin("h", "/once/", chain(1000 + i * 500), 10, 10)
            .unwrap();
        at.push(expect_send(t.pick(r, 10)).name);
        t.record_outcome(r, AttemptOutcome::FirstEvent, 50);
        t.record_outcome(r, AttemptOutcome::Completed(200), 60);
        t.finish(r, 60);
    }
    at.dedup();
    assert_eq!(at.len(), 1);
}

#[test]
fn a_slow_worker_gets_less_and_plain_requests_stay_in_their_zone() {
    let mut t = new_balancer(default_routes(), workers_in("web", 6, &[0, 0, 1]));
    let mut got = [0; 3];
    let mut ends: Vec<(u64, RequestId)> = Vec::new();
    for now in 0..20_000u64 {
        for (_, r) in ends.iter().filter(|e| e.0 == now) {
            t.record_outcome(*r, AttemptOutcome::Completed(200), now);
            t.finish(*r, now);
        }
        ends.retain(|e| e.0 != now);
        if now % 30 == 0 {
            let (r, g) = send(&mut t, "/web/x", now);
            got[g.worker as usize] += 1;
            ends.push((now + if g.worker == 1 { 180 } else { 60 }, r));
        }
    }
    assert!(got[0] > 2 * got[1], "{got:?}");
    assert!(got[2] * 4 < got[0] + got[1], "{got:?}");
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut t = new_balancer(default_routes(), workers_in("model", 48, &[0, 0]));
    for i in 0..60_000u64 {
        let r = t
            .begin(
                "h",
                "/once/",
                metadata(&[(i, 300), (i | 1 << 40, 90)]),
                i,
                i,
            )
            .unwrap();
        let p = t.pick(r, i);
        assert!(matches!(p, Decision::Send(_)));
        t.record_outcome(r, AttemptOutcome::Completed(200), i + 1);
        t.finish(r, i + 1);
    }
    let c = t.counts();
    assert_eq!((c.open, c.waiting, c.served), (0, 0, 60_000));
    assert!(format!("{t:?}").len() < 100_000);
}

#[test]
fn connections_and_priority_have_their_bounds() {
    let mut p = route("p", "/p/", Kind::Once, 0);
    p.priority = 200;
    let mut t = new_balancer(hosted(vec![p]), workers_in("model", 48, &[0]));
    assert_eq!(send(&mut t, "/p/x", 10).1.priority, Some(9));
    let sum: u32 = (0..93)
        .map(|i| {
            let mut t = Balancer::new(locality(&format!("n{i}"), 0), bounds(), 1);
            t.apply_configuration(default_routes(), 0);
            t.update_nodes((0..93).map(|i| (format!("n{i}"), 0)).collect());
            t.update_registry(&registry(1, workers_in("model", 48, &[0])), 0);
            send(&mut t, "/once/x", 10).1.max_conns
        })
        .sum();
    assert!((250..=330).contains(&sum), "{sum}");
}
