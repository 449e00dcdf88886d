//! Random sequences of calls: no invariant is violated, and no state remains after
//! all requests have finished.

use super::measures::XorShift64;
use super::*;
use std::collections::BTreeMap;

/// The expected state of one request.
#[derive(Default)]
struct RequestModel {
    path: &'static str,
    homes: Vec<u8>,
    max_attempts: u32,
    attempts_sent: u32,
    may_have_run: bool,
    current_worker: Option<String>,
    tried: Vec<String>,
    deadline: u64,
}

const PATHS: [&str; 4] = ["/once/x", "/idem/x", "/web/x", "/webonce/x"];

fn configurations() -> Vec<Arc<Hosted>> {
    let mut home = route("once", "/once/", Kind::Once, 0);
    home.homes = vec![0];
    let mut split = route("web", "/web/", Kind::Idempotent, 1);
    split.split = vec![(0, 1), (1, 3)];
    split.attempts = 3;
    vec![
        default_routes(),
        hosted(vec![
            home,
            split,
            route("idem", "/idem/", Kind::Idempotent, 0),
            route("webonce", "/webonce/", Kind::Once, 1),
        ]),
    ]
}

#[test]
fn invariants_hold_for_random_call_sequences() {
    for seed in 1..=60 {
        run_seed(seed);
    }
}

fn run_seed(seed: u64) {
    let mut rng = XorShift64(seed.wrapping_mul(0x9e37_79b9) | 1);
    let configurations = configurations();
    let mut current_configuration = configurations[0].clone();
    let mut balancer = Balancer::new(locality("n0", 0), site_limits(), seed);
    balancer.apply_configuration(current_configuration.clone(), 0);
    balancer.update_nodes(vec![("n0".into(), 0), ("n1".into(), 2)]);
    let mut workers: Vec<Worker> = Vec::new();
    let (mut version, mut evacuated, mut created, mut now) = (0, vec![], 0, 0u64);
    let mut open: BTreeMap<RequestId, RequestModel> = BTreeMap::new();
    let mut misdirected: BTreeMap<String, u64> = BTreeMap::new();
    for _ in 0..4000 {
        now += rng.below(12);
        let random_request =
            |rng: &mut XorShift64, open_requests: &BTreeMap<RequestId, RequestModel>| {
                let i = rng.below(open_requests.len().max(1) as u64) as usize;
                open_requests.keys().nth(i).copied()
            };
        match rng.below(100) {
            0 => {
                current_configuration = configurations[rng.below(2) as usize].clone();
                balancer.apply_configuration(current_configuration.clone(), now);
            }
            1 => {
                evacuated = (0..3u16).filter(|_| rng.chance(0.2)).collect();
                balancer.set_evacuated_zones(evacuated.clone(), now);
            }
            2..=4 => {
                workers.retain(|_| rng.chance(0.85));
                for registered in &mut workers {
                    registered.leaving |= rng.chance(0.1);
                    registered.leaves_ms = registered
                        .leaves_ms
                        .or(Some(500).filter(|_| rng.chance(0.05)));
                    registered.cold_ms = if rng.chance(0.2) { 1500 } else { 0 };
                }
                while workers.len() < 6 {
                    created += 1;
                    let target = if rng.chance(0.5) { "web" } else { "model" };
                    workers.push(worker(
                        &format!("w{created}"),
                        target,
                        rng.below(3) as u16,
                        4,
                    ));
                }
                version += rng.below(2);
                balancer.update_registry(&registry(version, workers.clone()), now);
                misdirected.retain(|_, registry_version| *registry_version >= version);
            }
            5..=34 => {
                let path = PATHS[rng.below(4) as usize];
                let request_metadata = metadata(&[(rng.below(20), 400), (rng.next(), 50)]);
                let request = balancer
                    .begin("h", path, request_metadata, now, now)
                    .unwrap();
                assert!(open
                    .insert(
                        request,
                        RequestModel {
                            path,
                            ..RequestModel::default()
                        }
                    )
                    .is_none());
            }
            35..=59 => {
                let Some(request) = random_request(&mut rng, &open) else {
                    continue;
                };
                let model = open.get_mut(&request).unwrap();
                model.may_have_run |= model.current_worker.take().is_some();
                let decision = balancer.decide(request, now);
                let route_now = balancer.route(request).unwrap();
                (model.homes, model.max_attempts) = (route_now.homes.clone(), route_now.attempts);
                model.deadline = balancer.deadline(request);
                match decision {
                    Decision::Send(target) => {
                        let registered = workers
                            .iter()
                            .find(|registered| registered.name == target.name)
                            .unwrap();
                        assert!(!registered.leaving && registered.leaves_ms.is_none());
                        assert!(!evacuated.contains(&registered.zone));
                        assert!(model.homes.is_empty() || model.homes.contains(&registered.region));
                        assert!(!misdirected.contains_key(&registered.name));
                        assert!(
                            !model.tried.contains(&registered.name)
                                && model.attempts_sent < model.max_attempts
                        );
                        assert!(
                            !model.may_have_run || route_now.repeatable(),
                            "retry of a non-idempotent request on {}",
                            model.path
                        );
                        assert!(route_now.split.iter().any(|(service, _)| {
                            current_configuration.services[*service as usize].name
                                == registered.group
                        }));
                        assert_eq!(target.time_left_ms, model.deadline - now);
                        model.attempts_sent += 1;
                        model.tried.push(target.name.clone());
                        model.current_worker = Some(target.name);
                    }
                    Decision::Wait(delay_ms) => assert!((1..=20).contains(&delay_ms)),
                    Decision::Reject(error, delay_ms) => {
                        assert!(delay_ms * 3 <= model.deadline.saturating_sub(now));
                        // 429 and 503 guarantee that it did not run
                        assert!(!model.may_have_run || error.status() != 503, "{error}");
                        balancer.finish(request, now);
                        open.remove(&request);
                    }
                }
            }
            60..=89 => {
                let Some(request) = random_request(&mut rng, &open) else {
                    continue;
                };
                let model = open.get_mut(&request).unwrap();
                let kind = rng.below(9);
                let outcome = match kind {
                    0 => AttemptOutcome::HeadReceived {
                        load: Some(LoadReport {
                            running: rng.below(9) as u32,
                            waiting: rng.below(3) as u32,
                            slots: 4,
                        }),
                        slow_start_ms: Some(rng.below(2) * 800),
                    },
                    1 => AttemptOutcome::FirstEvent,
                    2 => AttemptOutcome::Completed(500),
                    3 => AttemptOutcome::Rejected(Some(LoadReport {
                        running: 4,
                        waiting: 2,
                        slots: 4,
                    })),
                    4 => AttemptOutcome::Misdirected,
                    5 => AttemptOutcome::ConnectFailed,
                    6 => AttemptOutcome::Failed,
                    7 => AttemptOutcome::Canceled,
                    _ => AttemptOutcome::Completed(200),
                };
                balancer.record_outcome(request, outcome, now);
                if kind > 1 {
                    let current_worker = model.current_worker.take();
                    model.may_have_run |= current_worker.is_some() && ![3, 4, 5].contains(&kind);
                    // the address belongs to another worker, or no worker was reached
                    model.attempts_sent -=
                        u32::from(current_worker.is_some() && (kind == 4 || kind == 5));
                    current_worker
                        .filter(|_| kind == 4)
                        .map(|n| misdirected.insert(n, version));
                }
            }
            90..=95 => {
                let Some(request) = random_request(&mut rng, &open) else {
                    continue;
                };
                balancer.finish(request, now);
                balancer.finish(request, now);
                balancer.record_outcome(request, AttemptOutcome::Failed, now);
                open.remove(&request);
            }
            _ => assert!(balancer
                .take_ready(now)
                .iter()
                .all(|request| open.contains_key(request))),
        }
    }
    for request in open.keys() {
        balancer.finish(*request, now);
    }
    balancer.update_registry(&registry(version + 1, vec![]), now);
    let counts = balancer.counts();
    assert_eq!((counts.open, counts.waiting, counts.workers), (0, 0, 0));
    assert!(!format!("{balancer:?}").contains("Endpoint {"));
}
