//! Any order of calls: no invariant is violated, and no state is left over.

use super::measures::Rand;
use super::*;
use std::collections::BTreeMap;

#[derive(Default)]
struct RequestModel {
    path: &'static str,
    homes: Vec<u8>,
    attempts: u32,
    attempts_sent: u32,
    ran: bool,
    at: Option<String>,
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
fn any_order_of_calls() {
    for seed in 1..=60 {
        run_seed(seed);
    }
}

fn run_seed(seed: u64) {
    let mut rng = Rand(seed.wrapping_mul(0x9e37_79b9) | 1);
    let configurations = configurations();
    let mut hosted_now = configurations[0].clone();
    let mut t = Balancer::new(locality("n0", 0), bounds(), seed);
    t.apply_configuration(hosted_now.clone(), 0);
    t.update_nodes(vec![("n0".into(), 0), ("n1".into(), 2)]);
    let mut list: Vec<Worker> = Vec::new();
    let (mut version, mut evacuated, mut created, mut now) = (0, vec![], 0, 0u64);
    let mut open: BTreeMap<RequestId, RequestModel> = BTreeMap::new();
    let mut stale: BTreeMap<String, u64> = BTreeMap::new();
    for _ in 0..4000 {
        now += rng.below(12);
        let some = |rng: &mut Rand, o: &BTreeMap<RequestId, RequestModel>| {
            let i = rng.below(o.len().max(1) as u64) as usize;
            o.keys().nth(i).copied()
        };
        match rng.below(100) {
            0 => {
                hosted_now = configurations[rng.below(2) as usize].clone();
                t.apply_configuration(hosted_now.clone(), now);
            }
            1 => {
                evacuated = (0..3u16).filter(|_| rng.chance(0.2)).collect();
                t.set_evacuated_zones(evacuated.clone(), now);
            }
            2..=4 => {
                list.retain(|_| rng.chance(0.85));
                for w in &mut list {
                    w.leaving |= rng.chance(0.1);
                    w.leaves_ms = w.leaves_ms.or(Some(500).filter(|_| rng.chance(0.05)));
                    w.cold_ms = if rng.chance(0.2) { 1500 } else { 0 };
                }
                while list.len() < 6 {
                    created += 1;
                    let target = if rng.chance(0.5) { "web" } else { "model" };
                    list.push(worker(
                        &format!("w{created}"),
                        target,
                        rng.below(3) as u16,
                        4,
                    ));
                }
                version += rng.below(2);
                t.update_registry(&registry(version, list.clone()), now);
                stale.retain(|_, model| *model >= version);
            }
            5..=34 => {
                let path = PATHS[rng.below(4) as usize];
                let a = metadata(&[(rng.below(20), 400), (rng.next(), 50)]);
                let r = t.begin("h", path, a, now, now).unwrap();
                assert!(open
                    .insert(
                        r,
                        RequestModel {
                            path,
                            ..RequestModel::default()
                        }
                    )
                    .is_none());
            }
            35..=59 => {
                let Some(r) = some(&mut rng, &open) else {
                    continue;
                };
                let model = open.get_mut(&r).unwrap();
                model.ran |= model.at.take().is_some();
                let p = t.pick(r, now);
                let route_now = t.route(r).unwrap();
                (model.homes, model.attempts) = (route_now.homes.clone(), route_now.attempts);
                model.deadline = t.deadline(r);
                match p {
                    Decision::Send(target) => {
                        let w = list.iter().find(|w| w.name == target.name).unwrap();
                        assert!(!w.leaving && w.leaves_ms.is_none());
                        assert!(!evacuated.contains(&w.zone));
                        assert!(model.homes.is_empty() || model.homes.contains(&w.region));
                        assert!(!stale.contains_key(&w.name));
                        assert!(
                            !model.tried.contains(&w.name) && model.attempts_sent < model.attempts
                        );
                        assert!(!model.ran || route_now.repeatable(), "{} again", model.path);
                        assert!(route_now
                            .split
                            .iter()
                            .any(|(v, _)| { hosted_now.services[*v as usize].name == w.group }));
                        assert_eq!(target.time_left_ms, model.deadline - now);
                        model.attempts_sent += 1;
                        model.tried.push(target.name.clone());
                        model.at = Some(target.name);
                    }
                    Decision::Wait(ms) => assert!((1..=20).contains(&ms)),
                    Decision::Reject(p, ms) => {
                        assert!(ms * 3 <= model.deadline.saturating_sub(now));
                        // 429 and 503 promise that it did not run
                        assert!(!model.ran || p.status() != 503, "{p}");
                        t.finish(r, now);
                        open.remove(&r);
                    }
                }
            }
            60..=89 => {
                let Some(r) = some(&mut rng, &open) else {
                    continue;
                };
                let model = open.get_mut(&r).unwrap();
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
                t.record_outcome(r, outcome, now);
                if kind > 1 {
                    let at = model.at.take();
                    model.ran |= at.is_some() && ![3, 4, 5].contains(&kind);
                    // the worker that was meant is gone, or none was reached
                    model.attempts_sent -= u32::from(at.is_some() && (kind == 4 || kind == 5));
                    at.filter(|_| kind == 4).map(|n| stale.insert(n, version));
                }
            }
            90..=95 => {
                let Some(r) = some(&mut rng, &open) else {
                    continue;
                };
                t.finish(r, now);
                t.finish(r, now);
                t.record_outcome(r, AttemptOutcome::Failed, now);
                open.remove(&r);
            }
            _ => assert!(t.take_ready(now).iter().all(|r| open.contains_key(r))),
        }
    }
    for r in open.keys() {
        t.finish(*r, now);
    }
    t.update_registry(&registry(version + 1, vec![]), now);
    let counts = t.counts();
    assert_eq!((counts.open, counts.waiting, counts.workers), (0, 0, 0));
    assert!(!format!("{t:?}").contains("Endpoint {"));
}
