//! Any order of calls: the rules hold, nothing is left over.

use super::marks::Rand;
use super::*;
use std::collections::BTreeMap;

#[derive(Default)]
struct Seen {
    path: &'static str,
    homes: Vec<u8>,
    attempts: u32,
    sent: u32,
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
        usual(),
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
        one(seed);
    }
}

fn one(seed: u64) {
    let mut x = Rand(seed.wrapping_mul(0x9e37_79b9) | 1);
    let hs = configurations();
    let mut h = hs[0].clone();
    let mut t = Balancer::new(place("n0", 0), bounds(), seed);
    t.apply_configuration(h.clone(), 0);
    t.update_nodes(vec![("n0".into(), 0), ("n1".into(), 2)]);
    let mut list: Vec<Worker> = Vec::new();
    let (mut version, mut evacuated, mut born, mut now) = (0, vec![], 0, 0u64);
    let mut open: BTreeMap<RequestId, Seen> = BTreeMap::new();
    let mut stale: BTreeMap<String, u64> = BTreeMap::new();
    for _ in 0..4000 {
        now += x.below(12);
        let some = |x: &mut Rand, o: &BTreeMap<RequestId, Seen>| {
            let i = x.below(o.len().max(1) as u64) as usize;
            o.keys().nth(i).copied()
        };
        match x.below(100) {
            0 => {
                h = hs[x.below(2) as usize].clone();
                t.apply_configuration(h.clone(), now);
            }
            1 => {
                evacuated = (0..3u16).filter(|_| x.chance(0.2)).collect();
                t.set_evacuated_zones(evacuated.clone(), now);
            }
            2..=4 => {
                list.retain(|_| x.chance(0.85));
                for w in &mut list {
                    w.leaving |= x.chance(0.1);
                    w.leaves_ms = w.leaves_ms.or(Some(500).filter(|_| x.chance(0.05)));
                    w.cold_ms = if x.chance(0.2) { 1500 } else { 0 };
                }
                while list.len() < 6 {
                    born += 1;
                    let g = if x.chance(0.5) { "web" } else { "model" };
                    list.push(worker(&format!("w{born}"), g, x.below(3) as u16, 4));
                }
                version += x.below(2);
                t.update_registry(&registry(version, list.clone()), now);
                stale.retain(|_, s| *s >= version);
            }
            5..=34 => {
                let path = PATHS[x.below(4) as usize];
                let a = ask(&[(x.below(20), 400), (x.next(), 50)]);
                let r = t.begin("h", path, a, now, now).unwrap();
                assert!(open
                    .insert(
                        r,
                        Seen {
                            path,
                            ..Seen::default()
                        }
                    )
                    .is_none());
            }
            35..=59 => {
                let Some(r) = some(&mut x, &open) else {
                    continue;
                };
                let s = open.get_mut(&r).unwrap();
                s.ran |= s.at.take().is_some();
                let p = t.pick(r, now);
                let f = t.route(r).unwrap();
                (s.homes, s.attempts) = (f.homes.clone(), f.attempts);
                s.deadline = t.deadline(r);
                match p {
                    Decision::Send(g) => {
                        let w = list.iter().find(|w| w.name == g.name).unwrap();
                        assert!(!w.leaving && w.leaves_ms.is_none());
                        assert!(!evacuated.contains(&w.zone));
                        assert!(s.homes.is_empty() || s.homes.contains(&w.region));
                        assert!(!stale.contains_key(&w.name));
                        assert!(!s.tried.contains(&w.name) && s.sent < s.attempts);
                        assert!(!s.ran || f.repeatable(), "{} again", s.path);
                        assert!(f
                            .split
                            .iter()
                            .any(|(v, _)| { h.services[*v as usize].name == w.group }));
                        assert_eq!(g.time_left_ms, s.deadline - now);
                        s.sent += 1;
                        s.tried.push(g.name.clone());
                        s.at = Some(g.name);
                    }
                    Decision::Wait(ms) => assert!((1..=20).contains(&ms)),
                    Decision::Reject(p, ms) => {
                        assert!(ms * 3 <= s.deadline.saturating_sub(now));
                        // 429 and 503 promise that it did not run
                        assert!(!s.ran || p.status() != 503, "{p}");
                        t.finish(r, now);
                        open.remove(&r);
                    }
                }
            }
            60..=89 => {
                let Some(r) = some(&mut x, &open) else {
                    continue;
                };
                let s = open.get_mut(&r).unwrap();
                let kind = x.below(9);
                let hs = match kind {
                    0 => AttemptOutcome::HeadReceived {
                        load: Some(LoadReport {
                            running: x.below(9) as u32,
                            waiting: x.below(3) as u32,
                            slots: 4,
                        }),
                        slow_start_ms: Some(x.below(2) * 800),
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
                t.record_outcome(r, hs, now);
                if kind > 1 {
                    let at = s.at.take();
                    s.ran |= at.is_some() && ![3, 4, 5].contains(&kind);
                    // the worker that was meant is gone, or none was reached
                    s.sent -= u32::from(at.is_some() && (kind == 4 || kind == 5));
                    at.filter(|_| kind == 4).map(|n| stale.insert(n, version));
                }
            }
            90..=95 => {
                let Some(r) = some(&mut x, &open) else {
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
    let c = t.counts();
    assert_eq!((c.open, c.waiting, c.workers), (0, 0, 0));
    assert!(!format!("{t:?}").contains("Endpoint {"));
}
