//! The emulator: runs with and without faults violate no invariant, each check detects
//! its violation, and the emulated engine batches, caches and preempts as specified.

use testbed::emulator::*;

/// A small site for short runs: two regions, three zones.
fn small_mix() -> Mix {
    let mut m = two_region_mix();
    m.seconds = 20.0;
    m.nodes = vec![2, 2, 2];
    m.load = 0.25;
    m.services[0].workers = vec![3, 3, 3];
    m.services[0].slots = 16;
    m.services[1].workers = vec![2, 1, 1];
    let mut other = m.services[1].clone();
    other.name = "web2".into();
    m.services.push(other);
    let mut once = m.classes[2].clone();
    once.name = "once".into();
    once.kind = "once".into();
    once.per_s = 20.0;
    m.classes.push(once);
    m.classes[1].homes = vec![0];
    m
}

/// Runs a mix; returns its violations and statistics.
fn run(seed: u64, m: &Mix, policy_kind: PolicyKind) -> (Vec<String>, RunStatistics) {
    let w = World::new(seed, m.clone(), policy_kind).run();
    (check(&w), w.statistics())
}

#[test]
fn without_faults_every_request_is_served() {
    for seed in 0..3 {
        let w = World::new(seed, small_mix(), PolicyKind::Balancer).run();
        let (violations, t) = (check(&w), w.statistics());
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        assert!(t.requested > 1000, "seed {seed}: {} requests", t.requested);
        assert_eq!(t.served, t.requested, "seed {seed}: {:#?}", w.unserved());
    }
}

#[test]
fn runs_of_the_same_seed_are_identical() {
    let mut m = small_mix();
    m.faults = random_faults(3, &m, 5);
    let (a, b) = (
        run(3, &m, PolicyKind::Balancer),
        run(3, &m, PolicyKind::Balancer),
    );
    assert_eq!(a.0, b.0);
    assert_eq!(format!("{:?}", a.1), format!("{:?}", b.1));
}

/// `n` seeds, times SORRELDOOR_SEEDS if set.
fn seeds(n: u64) -> std::ops::Range<u64> {
    let by = std::env::var("SORRELDOOR_SEEDS").ok();
    0..n * by.and_then(|s| s.parse::<u64>().ok()).unwrap_or(1)
}

#[test]
fn random_faults_violate_no_invariant() {
    let mut bad = Vec::new();
    for seed in seeds(24) {
        let mut m = small_mix();
        m.faults = random_faults(seed, &m, 6);
        let (violations, t) = run(seed, &m, PolicyKind::Balancer);
        println!("seed {seed}: {t}");
        bad.extend(violations.iter().map(|w| format!("seed {seed}: {w}")));
    }
    assert!(bad.is_empty(), "{bad:#?}");
}

#[test]
fn route_changes_under_load_violate_no_invariant() {
    let mut bad = Vec::new();
    for seed in seeds(4) {
        let mut m = small_mix();
        let t = |at_s, count, for_s| Fault {
            kind: "route".into(),
            at_s,
            for_s,
            count,
            service: 2,
            ..Fault::default()
        };
        m.faults = vec![t(2.0, 2, 5.0), t(9.0, 3, 0.0), t(11.0, 2, 0.5)];
        let (violations, t) = run(seed, &m, PolicyKind::Balancer);
        println!("seed {seed}: {t}");
        bad.extend(violations.iter().map(|w| format!("seed {seed}: {w}")));
    }
    assert!(bad.is_empty(), "{bad:#?}");
}

/// Asserts that a violating balancer is detected under some seed: a violation with the
/// name of the `invariant` is found.
fn assert_detected(violation: Violation, invariant: &str, change_mix: impl Fn(&mut Mix)) {
    let mut m = small_mix();
    change_mix(&mut m);
    let mut found = Vec::new();
    for seed in 0..6 {
        let (violations, _) = run(seed, &m, PolicyKind::Violating(violation));
        if violations.iter().any(|w| w.starts_with(invariant)) {
            return;
        }
        found.push(violations);
    }
    panic!("{violation:?}: expected a violation of {invariant}, found {found:#?}");
}

fn fault(kind: &str, count: u32, x: f64, service: usize) -> Fault {
    Fault {
        kind: kind.into(),
        at_s: 3.0,
        for_s: 10.0,
        count,
        x,
        service,
        ..Fault::default()
    }
}

#[test]
fn each_check_detects_its_violation() {
    assert_detected(Violation::RetryAfterRun, "TWICE", |m| {
        m.faults = vec![fault("lose", 3, 0.5, 1)];
    });
    assert_detected(Violation::RetryAfterRun, "REFUSED", |m| {
        m.faults = vec![fault("lose", 4, 1.0, 1)];
    });
    assert_detected(Violation::IgnoreHomes, "HOME", |_| {});
    assert_detected(Violation::IgnoreEvacuations, "EVAC", |m| {
        m.faults = vec![fault("evacuate", 0, 0.0, 0)];
    });
    assert_detected(Violation::IgnoreDrains, "DRAIN", |m| {
        m.bounds.drain_ms = 2000;
        m.faults = vec![fault("drain", 3, 0.0, 0)];
    });
    assert_detected(Violation::IgnoreNewConfigurations, "CONFIG", |m| {
        let t = fault("route", 2, 0.0, 2);
        m.faults = vec![t];
    });
    assert_detected(Violation::NeverDecide, "END", |_| {});
    assert_detected(Violation::IgnoreSlowStart, "FAILBACK", |m| {
        m.services[0].warmup_per_s = 2.0;
        m.services[0].warmup_ms = 8000;
        m.faults = vec![fault("crash", 6, 0.0, 0)];
        m.faults[0].for_s = 2.0;
        m.load = 0.5;
    });
    assert_detected(Violation::UnlimitedRetries, "BUDGET", |m| {
        m.bounds.retry_slack = 4.0;
        m.classes[1].attempts = 4;
        m.faults = vec![fault("lose", 8, 0.9, 0)];
    });
}

fn engine(slots: u32, tokens: u64) -> Engine {
    let mix = EngineMix {
        stride: 1,
        tokens,
        ..EngineMix::default()
    };
    Engine::new(&mix, slots)
}

/// A task with a shared segment of 1000 tokens and one of its own of 100.
fn task(attempt_id: u64, priority: u8, total: u32) -> Task {
    let part = |id, tokens| sorreldoor::proxy::PromptSegment { id, tokens };
    Task {
        attempt_id,
        priority,
        order: attempt_id,
        prompt_segments: vec![part(7, 1000), part(100 + attempt_id, 100)],
        received: 0,
        total,
        generated: 0,
        deadline: u64::MAX,
    }
}

/// Steps until no task is left; returns all events and the duration in milliseconds.
fn run_to_idle(e: &mut Engine) -> (Vec<EngineEvent>, f64) {
    let (mut out, mut ms) = (Vec::new(), 0.0);
    while let Some(t) = e.plan_step() {
        ms += t;
        out.extend(e.finish_step(0));
    }
    (out, ms)
}

#[test]
fn a_shared_segment_is_prefilled_once() {
    let mut e = engine(4, 100_000);
    e.enqueue(task(1, 5, 2));
    let (a, cold_ms) = run_to_idle(&mut e);
    e.enqueue(task(2, 5, 2));
    let (b, warm_ms) = run_to_idle(&mut e);
    let prefill_tokens = |o: &[EngineEvent], id: u64| {
        let hit = |x: &&EngineEvent| matches!(x, EngineEvent::Prefilled(_, p) if p.id == id);
        o.iter().filter(hit).count()
    };
    assert_eq!(
        (
            prefill_tokens(&a, 7),
            prefill_tokens(&b, 7),
            prefill_tokens(&b, 102)
        ),
        (1, 0, 1)
    );
    assert!(
        (cold_ms - warm_ms - 20.0).abs() < 0.5,
        "{cold_ms} ms cold, {warm_ms} ms warm"
    );
}

#[test]
fn an_engine_out_of_memory_preempts_the_less_urgent_task() {
    let mut e = engine(4, 1260);
    e.enqueue(task(1, 1, 40));
    e.enqueue(task(2, 5, 40));
    let (out, _) = run_to_idle(&mut e);
    assert!(e.preemptions > 0);
    let last = |attempt_id| {
        let end =
            |o: &EngineEvent| matches!(o, EngineEvent::Event(s, 40, true) if *s == attempt_id);
        out.iter().position(end)
    };
    assert!(last(1).is_some() && last(1) < last(2), "{out:?}");
    let two: Vec<u32> = out
        .iter()
        .filter_map(|o| match o {
            EngineEvent::Event(2, number, _) => Some(*number),
            _ => None,
        })
        .collect();
    assert_eq!(two, (1..=40).collect::<Vec<u32>>());
}

#[test]
fn an_urgent_task_preempts_a_less_urgent_one_for_its_slot() {
    let mut e = engine(1, 100_000);
    e.enqueue(task(1, 5, 10));
    e.plan_step();
    e.finish_step(0);
    e.enqueue(task(2, 0, 3));
    let (out, _) = run_to_idle(&mut e);
    let end = |attempt_id| {
        let f = |o: &EngineEvent| matches!(o, EngineEvent::Event(s, _, true) if *s == attempt_id);
        out.iter().position(f)
    };
    assert!(end(2) < end(1), "{out:?}");
    assert_eq!(e.preemptions, 1);
}

#[test]
fn the_balancer_serves_less_than_half_as_many_late_as_each_baseline() {
    let mut m = two_region_mix();
    m.seconds = 12.0;
    let not_in_time = |policy_kind| {
        let (_, t) = run(1, &m, policy_kind);
        t.requested - (t.served - t.late)
    };
    let (a, b, c) = (
        not_in_time(PolicyKind::Balancer),
        not_in_time(PolicyKind::RoundRobin),
        not_in_time(PolicyKind::LeastLoad),
    );
    assert!(a * 2 < b && a * 2 < c, "not in time: {a}, {b}, {c}");
}
