//! Endpoint selection, outlier detection and weighted splits.

use super::*;

#[test]
fn an_unreachable_worker_is_ejected_and_readmitted_by_trials() {
    let mut balancer = new_balancer(default_routes(), workers_in("web", 6, &[0, 0, 0, 0]));
    let unreachable_worker = "web1";
    let mut unreachable = true;
    let (mut attempts, mut last_attempt) = (Vec::new(), 0);
    for now in (0..30_000u64).step_by(20) {
        if now == 12_000 {
            unreachable = false;
        }
        let request = begin(&mut balancer, "/web/x", now);
        let mut decision = balancer.decide(request, now);
        while let Decision::Send(target) = &decision {
            if target.name == unreachable_worker {
                attempts.push(now);
                last_attempt = now;
            }
            if target.name == unreachable_worker && unreachable {
                balancer.record_outcome(request, AttemptOutcome::ConnectFailed, now);
                decision = balancer.decide(request, now);
            } else {
                balancer.record_outcome(request, AttemptOutcome::Completed(200), now + 15);
                break;
            }
        }
        assert!(matches!(decision, Decision::Send(_)), "{decision:?}");
        balancer.finish(request, now + 15);
    }
    let attempts_while_unreachable: Vec<u64> = attempts
        .iter()
        .copied()
        .filter(|time| *time < 12_000)
        .collect();
    assert!(
        attempts_while_unreachable.len() <= 6,
        "{attempts_while_unreachable:?}"
    );
    // the time between trials grows
    assert!(
        attempts_while_unreachable
            .windows(3)
            .all(|w| w[2] - w[1] >= w[1] - w[0]),
        "{attempts_while_unreachable:?}"
    );
    assert!(
        last_attempt > 29_000 && attempts.len() > 100,
        "{} {last_attempt}",
        attempts.len()
    );
    assert_eq!(balancer.counts().ejected, 0);
}

#[test]
fn at_most_a_third_is_ejected_for_failures_and_a_fully_ejected_service_still_serves() {
    let mut balancer = new_balancer(default_routes(), workers_in("web", 6, &[0; 9]));
    for now in 0..400u64 {
        let (request, _) = send(&mut balancer, "/webonce/x", now);
        balancer.record_outcome(request, AttemptOutcome::Failed, now);
        balancer.finish(request, now);
        assert!(balancer.counts().ejected <= 3);
    }
    assert_eq!(balancer.counts().ejected, 3);
    let mut balancer = new_balancer(default_routes(), workers_in("web", 6, &[0; 3]));
    for now in 0..60u64 {
        let (request, _) = send(&mut balancer, "/webonce/x", now);
        balancer.record_outcome(request, AttemptOutcome::ConnectFailed, now);
        balancer.finish(request, now);
    }
    assert_eq!(balancer.counts().ejected, 3);
    send(&mut balancer, "/webonce/x", 61);
}

#[test]
fn a_worker_that_refused_a_request_is_avoided_for_a_short_time() {
    let mut balancer = new_balancer(default_routes(), workers_in("web", 6, &[0, 0]));
    let (request, first) = send(&mut balancer, "/webonce/x", 1000);
    balancer.record_outcome(
        request,
        AttemptOutcome::Rejected(Some(LoadReport {
            running: 6,
            waiting: 24,
            slots: 6,
        })),
        1001,
    );
    let second = expect_send(balancer.decide(request, 1001));
    assert_ne!(first.name, second.name);
    for now in 1002..1008 {
        assert_eq!(send(&mut balancer, "/webonce/x", now).1.name, second.name);
    }
}

#[test]
fn routes_split_by_weight_and_sticky_routes_keep_a_prefix_at_one_service() {
    let mut sticky = route("s", "/s/", Kind::Once, 0);
    sticky.split = vec![(0, 90), (1, 10)];
    let mut spread = route("n", "/n/", Kind::Once, 0);
    spread.split = vec![(0, 70), (1, 30)];
    spread.prefix_affinity = false;
    let mut single = route("z", "/z/", Kind::Once, 0);
    single.split = vec![(0, 0), (1, 5)];
    let mut all = workers_in("web", 6000, &[0, 0]);
    all.extend(workers_in("model", 48, &[0, 0]));
    let mut balancer = new_balancer(hosted(vec![sticky, spread, single]), all);
    let web_attempts =
        |balancer: &mut Balancer, path: &str, prompt: &dyn Fn(u64) -> Vec<(u64, u32)>| {
            let to_web = (0..2000u64).filter(|i| {
                let request = balancer
                    .begin("h", path, metadata(&prompt(*i)), *i, *i)
                    .unwrap();
                let target = expect_send(balancer.decide(request, *i));
                balancer.finish(request, *i);
                target.name.starts_with("web")
            });
            to_web.count()
        };
    let sticky_to_web = web_attempts(&mut balancer, "/s/", &|i| {
        vec![(i + 1, 50), (i + 1_000_000, 9)]
    });
    assert!((140..260).contains(&sticky_to_web), "{sticky_to_web}");
    let spread_to_web = web_attempts(&mut balancer, "/n/", &|_| vec![(7, 50), (8, 9)]);
    assert!((520..680).contains(&spread_to_web), "{spread_to_web}");
    let one_prefix_to_web = web_attempts(&mut balancer, "/s/", &|i| vec![(7, 50), (i + 100, 9)]);
    assert!(
        one_prefix_to_web == 0 || one_prefix_to_web == 2000,
        "{one_prefix_to_web}"
    );
    assert_eq!(web_attempts(&mut balancer, "/z/", &|_| vec![]), 2000);
}

#[test]
fn long_prompts_go_to_different_workers() {
    let mut balancer = new_balancer(default_routes(), workers_in("model", 48, &[0, 0, 0]));
    let mut chosen_workers: Vec<String> = Vec::new();
    for id in 1..4u64 {
        let request = balancer
            .begin("h", "/once/", metadata(&[(id, 20_000)]), 10, 10)
            .unwrap();
        chosen_workers.push(expect_send(balancer.decide(request, 10)).name);
    }
    chosen_workers.sort();
    chosen_workers.dedup();
    assert_eq!(chosen_workers.len(), 3);
}

#[test]
fn requests_of_a_session_go_to_the_same_worker() {
    let mut balancer = new_balancer(default_routes(), workers_in("model", 48, &[0; 6]));
    let session_prompt = |own_tokens: u32| metadata(&[(5, 6000), (77, own_tokens)]);
    let mut chosen_workers = Vec::new();
    for i in 0..5 {
        let request = balancer
            .begin("h", "/once/", session_prompt(1000 + i * 500), 10, 10)
            .unwrap();
        chosen_workers.push(expect_send(balancer.decide(request, 10)).name);
        balancer.record_outcome(request, AttemptOutcome::FirstEvent, 50);
        balancer.record_outcome(request, AttemptOutcome::Completed(200), 60);
        balancer.finish(request, 60);
    }
    chosen_workers.dedup();
    assert_eq!(chosen_workers.len(), 1);
}

#[test]
fn a_slow_worker_gets_fewer_requests_and_requests_without_prompt_prefer_their_zone() {
    let mut balancer = new_balancer(default_routes(), workers_in("web", 6, &[0, 0, 1]));
    let mut attempts_by_worker = [0; 3];
    let mut completions: Vec<(u64, RequestId)> = Vec::new();
    for now in 0..20_000u64 {
        for (_, request) in completions.iter().filter(|e| e.0 == now) {
            balancer.record_outcome(*request, AttemptOutcome::Completed(200), now);
            balancer.finish(*request, now);
        }
        completions.retain(|e| e.0 != now);
        if now % 30 == 0 {
            let (request, target) = send(&mut balancer, "/web/x", now);
            attempts_by_worker[target.endpoint_index as usize] += 1;
            completions.push((
                now + if target.endpoint_index == 1 { 180 } else { 60 },
                request,
            ));
        }
    }
    assert!(
        attempts_by_worker[0] > 2 * attempts_by_worker[1],
        "{attempts_by_worker:?}"
    );
    assert!(
        attempts_by_worker[2] * 4 < attempts_by_worker[0] + attempts_by_worker[1],
        "{attempts_by_worker:?}"
    );
}

#[test]
fn retained_state_is_bounded() {
    let mut balancer = new_balancer(default_routes(), workers_in("model", 48, &[0, 0]));
    for i in 0..60_000u64 {
        let request = balancer
            .begin(
                "h",
                "/once/",
                metadata(&[(i, 300), (i | 1 << 40, 90)]),
                i,
                i,
            )
            .unwrap();
        let decision = balancer.decide(request, i);
        assert!(matches!(decision, Decision::Send(_)));
        balancer.record_outcome(request, AttemptOutcome::Completed(200), i + 1);
        balancer.finish(request, i + 1);
    }
    let counts = balancer.counts();
    assert_eq!((counts.open, counts.waiting, counts.served), (0, 0, 60_000));
    assert!(format!("{balancer:?}").len() < 100_000);
}

#[test]
fn connections_and_priority_are_bounded() {
    let mut route_above_limit = route("p", "/p/", Kind::Once, 0);
    route_above_limit.priority = 200;
    let mut balancer = new_balancer(
        hosted(vec![route_above_limit]),
        workers_in("model", 48, &[0]),
    );
    assert_eq!(send(&mut balancer, "/p/x", 10).1.priority, Some(9));
    let sum: u32 = (0..93)
        .map(|i| {
            let mut balancer = Balancer::new(locality(&format!("n{i}"), 0), site_limits(), 1);
            balancer.apply_configuration(default_routes(), 0);
            balancer.update_nodes((0..93).map(|i| (format!("n{i}"), 0)).collect());
            balancer.update_registry(&registry(1, workers_in("model", 48, &[0])), 0);
            send(&mut balancer, "/once/x", 10).1.max_conns
        })
        .sum();
    assert!((250..=330).contains(&sum), "{sum}");
}
