//! The table of requests under way: each rule by itself, and nodes together.

use sorreldoor::problem::Problem;
use sorreldoor::proxy::table::{Bounds, Heard, Pick, Place, Rid, Table, Target};
use sorreldoor::proxy::{Asked, Part};
use sorreldoor::roster::{Roster, Worker};
use sorreldoor::setup::hosted::{Engine, Hosted, Kind, Route, Service};
use std::sync::Arc;

#[path = "table/drive.rs"]
mod drive;
#[path = "table/fuzz.rs"]
mod fuzz;
#[path = "table/nodes.rs"]
mod nodes;

/// Two regions: zones 0 and 1 in the first, 2 in the second.
const REGIONS: [u8; 3] = [0, 0, 1];

fn bounds() -> Bounds {
    Bounds {
        retry_ratio: 0.2,
        retry_window_ms: 10_000,
        retry_slack: 64.0,
        warmup_excess: 1.5,
        warmup_slack: 5.0,
    }
}

fn place(node: &str, zone: u16) -> Place {
    Place {
        node: node.into(),
        zone,
        region: REGIONS[zone as usize],
        regions: REGIONS.to_vec(),
    }
}

fn route(name: &str, prefix: &str, kind: Kind, svc: u16) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        prefix: prefix.into(),
        kind,
        timeout_ms: 8000,
        aim_ms: 800,
        priority: 1,
        split: vec![(svc, 1)],
        attempts: 2,
        sticky: svc == 0,
        ..Route::default()
    }
}

/// Service 0 has engines, service 1 has none.
fn hosted(routes: Vec<Route>) -> Arc<Hosted> {
    let mut h = Hosted {
        routes,
        services: vec![
            Service {
                name: "model".into(),
                max_conns: 330,
                warmup_ms: 3000,
                warmup_per_s: 31.0,
                engine: Some(Engine {
                    slots: 48,
                    kv_tokens: 318_206,
                    stride: 5,
                }),
                ..Service::default()
            },
            Service {
                name: "web".into(),
                max_conns: 130,
                ..Service::default()
            },
        ],
        ..Hosted::default()
    };
    let mut at: Vec<u32> = (0..h.routes.len() as u32).collect();
    at.sort_by_key(|i| std::cmp::Reverse(h.routes[*i as usize].prefix.len()));
    h.by_host.insert("h".into(), at);
    Arc::new(h)
}

fn usual() -> Arc<Hosted> {
    hosted(vec![
        route("once", "/once/", Kind::Once, 0),
        route("idem", "/idem/", Kind::Idempotent, 0),
        route("web", "/web/", Kind::Idempotent, 1),
        route("webonce", "/webonce/", Kind::Once, 1),
    ])
}

fn worker(name: &str, group: &str, zone: u16, slots: u32) -> Worker {
    Worker {
        name: name.into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        group: group.into(),
        zone,
        region: REGIONS[zone as usize],
        leaving: false,
        slots,
        cold_ms: 0,
        leaves_ms: None,
    }
}

fn many(group: &str, slots: u32, zones: &[u16]) -> Vec<Worker> {
    let w = |(i, z): (usize, &u16)| worker(&format!("{group}{i}"), group, *z, slots);
    zones.iter().enumerate().map(w).collect()
}

fn roster(serial: u64, workers: Vec<Worker>) -> Roster {
    Roster { serial, workers }
}

fn table(h: Arc<Hosted>, workers: Vec<Worker>) -> Table {
    let mut t = Table::new(place("n0", 0), bounds(), 7);
    t.take_hosted(h, 0);
    t.take_nodes(vec![("n0".into(), 0)]);
    t.take_roster(&roster(1, workers), 0);
    t
}

fn ask(parts: &[(u64, u32)]) -> Asked {
    Asked {
        deadline_ms: Some(5000),
        tokens_in: parts.iter().map(|p| p.1).sum(),
        parts: parts
            .iter()
            .map(|(id, tokens)| Part {
                id: *id,
                tokens: *tokens,
            })
            .collect(),
        ..Asked::default()
    }
}

fn begin(t: &mut Table, path: &str, now: u64) -> Rid {
    t.begin("h", path, ask(&[]), now, now).unwrap()
}

fn go(p: Pick) -> Target {
    match p {
        Pick::Go(t) => t,
        p => panic!("not sent: {p:?}"),
    }
}

fn sent(t: &mut Table, path: &str, now: u64) -> (Rid, Target) {
    let r = begin(t, path, now);
    let g = go(t.pick(r, now));
    (r, g)
}

#[test]
fn no_setup_and_no_route() {
    let mut t = Table::new(place("n0", 0), bounds(), 7);
    assert_eq!(
        t.begin("h", "/web/x", ask(&[]), 0, 0),
        Err(Problem::NoSetup)
    );
    t.take_hosted(usual(), 0);
    assert_eq!(
        t.begin("h", "/no/x", ask(&[]), 0, 0),
        Err(Problem::UnknownRoute)
    );
    assert_eq!(
        t.begin("g", "/web/x", ask(&[]), 0, 0),
        Err(Problem::UnknownRoute)
    );
}

#[test]
fn what_may_have_run_is_not_sent_again() {
    let mut t = table(usual(), many("web", 6, &[0, 1, 2]));
    let (r, _) = sent(&mut t, "/webonce/x", 100);
    t.heard(r, Heard::Broke, 120);
    assert_eq!(t.pick(r, 120), Pick::Refuse(Problem::OutcomeUnknown, 0));
}

#[test]
fn what_did_not_run_goes_on_within_attempts() {
    for (h, again) in [
        (Heard::NotRun(None), true),
        (Heard::Misdirected, true),
        (Heard::NoConn, true),
        (Heard::Broke, false),
        (Heard::Left, false),
        (Heard::Done(500), false),
    ] {
        let mut t = table(usual(), many("web", 6, &[0, 1, 2]));
        let (r, a) = sent(&mut t, "/webonce/x", 20_000);
        t.heard(r, h.clone(), 20_010);
        match t.pick(r, 20_010) {
            Pick::Go(b) => assert!(again && a.name != b.name, "{h:?}"),
            p => assert!(!again, "{h:?}: {p:?}"),
        }
        if !again {
            continue;
        }
        t.heard(r, h.clone(), 20_020);
        // why: no connection means not sent, so a third worker is no third sending
        let third = matches!(t.pick(r, 20_020), Pick::Go(_));
        assert_eq!(third, h == Heard::NoConn, "{h:?}");
    }
}

#[test]
fn a_repeatable_one_goes_on_after_a_break_and_ends_unpromised() {
    let mut t = table(usual(), many("web", 6, &[0, 1, 2]));
    let (r, a) = sent(&mut t, "/web/x", 20_000);
    t.heard(r, Heard::Broke, 20_010);
    let b = go(t.pick(r, 20_010));
    assert_ne!(a.name, b.name);
    t.heard(r, Heard::NotRun(None), 20_020);
    let p = t.pick(r, 20_020);
    assert!(matches!(p, Pick::Refuse(Problem::WorkerBroke, _)), "{p:?}");
}

#[test]
fn a_route_that_turns_repeatable_does_not_free_what_was_sent_once() {
    let mut t = table(usual(), many("web", 6, &[0, 1, 2]));
    let (r, _) = sent(&mut t, "/webonce/x", 20_000);
    t.take_hosted(
        hosted(vec![route("x", "/webonce/", Kind::Idempotent, 1)]),
        20_005,
    );
    t.heard(r, Heard::Broke, 20_010);
    assert_eq!(t.pick(r, 20_010), Pick::Refuse(Problem::OutcomeUnknown, 0));
}

#[test]
fn the_configuration_in_force_decides_at_each_pick() {
    let both = |s| hosted(vec![route("w", "/w/", Kind::Once, s)]);
    let mut all = many("web", 6, &[0, 1]);
    all.extend(many("model", 48, &[0, 1]));
    let mut t = table(both(1), all);
    let (a, b) = (begin(&mut t, "/w/x", 20_010), begin(&mut t, "/w/x", 20_010));
    let first = go(t.pick(a, 20_010));
    assert!(first.name.starts_with("web") && first.priority.is_none());
    t.take_hosted(both(0), 20_011);
    let second = go(t.pick(b, 20_011));
    assert!(second.name.starts_with("model") && second.priority == Some(1));
    // why: a refused sending is looked up anew as well
    t.heard(a, Heard::NotRun(None), 20_012);
    assert!(go(t.pick(a, 20_012)).name.starts_with("model"));
    let c = begin(&mut t, "/w/x", 20_012);
    t.take_hosted(hosted(vec![route("v", "/v/", Kind::Once, 1)]), 20_013);
    assert_eq!(t.pick(c, 20_013), Pick::Refuse(Problem::UnknownRoute, 0));
    assert!(t.route(c).is_none());
}

#[test]
fn the_longest_prefix_wins() {
    let h = hosted(vec![
        route("a", "/", Kind::Once, 1),
        route("b", "/a/", Kind::Once, 1),
        route("c", "/a/b/", Kind::Once, 1),
    ]);
    let mut t = table(h, many("web", 6, &[0]));
    for (path, name) in [("/x", "a"), ("/a/x", "b"), ("/a/b/x", "c"), ("/a/bx", "b")] {
        let r = begin(&mut t, path, 0);
        assert_eq!(t.route(r).unwrap().name, name);
    }
}

#[test]
fn only_open_workers_in_allowed_places() {
    let leaving = |mut w: Worker| {
        w.leaving = true;
        w
    };
    let going = |mut w: Worker| {
        w.leaves_ms = Some(900);
        w
    };
    let w = |n: &str, z| worker(n, "web", z, 6);
    let mut home = route("home", "/home/", Kind::Idempotent, 1);
    home.homes = vec![1];
    let h = hosted(vec![home, route("web", "/web/", Kind::Idempotent, 1)]);
    let cases: Vec<(&str, Vec<Worker>, Vec<u16>, Option<&str>)> = vec![
        (
            "/web/",
            vec![leaving(w("a", 0)), w("b", 0)],
            vec![],
            Some("b"),
        ),
        (
            "/web/",
            vec![going(w("a", 0)), w("b", 0)],
            vec![],
            Some("b"),
        ),
        ("/web/", vec![w("a", 0), w("b", 1)], vec![0], Some("b")),
        ("/web/", vec![w("a", 0), w("b", 2)], vec![0], Some("b")),
        ("/web/", vec![w("a", 0)], vec![0], None),
        ("/web/", vec![w("a", 2), w("b", 1)], vec![], Some("b")),
        ("/home/", vec![w("a", 0), w("b", 2)], vec![], Some("b")),
        ("/home/", vec![w("a", 0), w("b", 1)], vec![], None),
        ("/web/", vec![worker("a", "model", 0, 6)], vec![], None),
        ("/web/", vec![], vec![], None),
    ];
    for (path, ws, emptied, want) in cases {
        let mut t = table(h.clone(), ws.clone());
        t.take_emptied(emptied.clone(), 0);
        for i in 0..20 {
            let r = begin(&mut t, path, i);
            let got = match t.pick(r, i) {
                Pick::Go(g) => Some(g.name),
                _ => None,
            };
            assert_eq!(got.as_deref(), want, "{path} {ws:?} {emptied:?}");
            t.end(r, i);
        }
    }
}

#[test]
fn what_is_off_the_list_or_misdirected_gets_nothing() {
    let mut t = table(usual(), many("web", 6, &[0, 1]));
    let (r, a) = sent(&mut t, "/web/x", 10);
    t.heard(r, Heard::Misdirected, 11);
    t.end(r, 11);
    let names = |t: &mut Table, now: u64| -> Vec<String> {
        let one = |_| {
            let (r, g) = sent(t, "/web/x", now);
            t.end(r, now);
            g.name
        };
        let mut v: Vec<String> = (0..12).map(one).collect();
        v.sort();
        v.dedup();
        v
    };
    assert!(!names(&mut t, 12).contains(&a.name));
    t.take_roster(&roster(1, many("web", 6, &[0, 1])), 13);
    assert!(!names(&mut t, 14).contains(&a.name));
    t.take_roster(&roster(2, many("web", 6, &[0, 1])), 4000);
    assert!(names(&mut t, 4001).contains(&a.name));
    t.take_roster(&roster(3, vec![worker("new", "web", 0, 6)]), 5000);
    assert_eq!(names(&mut t, 5001), ["new"]);
    // why: an older list that comes late changes nothing
    t.take_roster(&roster(2, many("web", 6, &[0, 1])), 5002);
    assert_eq!(names(&mut t, 5003), ["new"]);
}

#[test]
fn deadlines_and_times_to_come_back() {
    let mut t = table(usual(), vec![]);
    let r = t.begin("h", "/web/x", ask(&[]), 1000, 1010).unwrap();
    assert_eq!(t.deadline(r), 6000);
    let mut a = ask(&[]);
    a.deadline_ms = None;
    let n = t.begin("h", "/web/x", a, 1000, 1010).unwrap();
    assert_eq!(t.deadline(n), 9000);
    assert!(matches!(t.pick(r, 1010), Pick::Wait(w) if w > 0));
    // why: within a quarter of the aim it is told to come back
    let at = 1200;
    match t.pick(r, at) {
        Pick::Refuse(Problem::NoWorker, ms) => assert!((100..=400).contains(&ms)),
        p => panic!("{p:?}"),
    }
    match t.pick(r, 5700) {
        Pick::Refuse(Problem::NoWorker, ms) => assert!(ms <= 100),
        p => panic!("{p:?}"),
    }
    let p = t.pick(r, 5998);
    assert!(matches!(p, Pick::Refuse(Problem::GivenUp, _)), "{p:?}");
}

#[test]
fn the_first_in_priority_then_arrival_gets_the_free_place() {
    let mut low = route("low", "/low/", Kind::Once, 1);
    low.priority = 3;
    let mut t = table(
        hosted(vec![low, route("high", "/high/", Kind::Once, 1)]),
        vec![worker("w", "web", 0, 2)],
    );
    let held: Vec<Rid> = (0..3).map(|_| sent(&mut t, "/high/x", 0).0).collect();
    let late = |t: &mut Table, path: &str, now| {
        let r = begin(t, path, now);
        assert!(matches!(t.pick(r, now), Pick::Wait(_)));
        r
    };
    let l = late(&mut t, "/low/x", 1);
    let h2 = late(&mut t, "/high/x", 3);
    let h1 = late(&mut t, "/high/x", 2);
    assert!(t.woken(4).is_empty());
    t.heard(held[0], Heard::Done(200), 5);
    assert_eq!(t.woken(5), [h1]);
    // why: one that comes now stands behind those that wait already
    let h3 = late(&mut t, "/high/x", 5);
    go(t.pick(h1, 5));
    assert!(matches!(t.pick(h2, 6), Pick::Wait(_)));
    assert_eq!(t.woken(60), [h2, h3, l]);
    t.end(h2, 61);
    t.heard(held[1], Heard::Done(200), 61);
    assert_eq!(t.woken(61), [h3]);
    assert_eq!(t.counts().waiting, 2);
}

#[test]
fn no_refusal_while_half_the_places_are_free() {
    // why: a worker that turns requests away though it has room is tried again
    let mut t = table(usual(), many("web", 8, &[0, 0]));
    let mut draw = 5u64;
    let mut open: Vec<Rid> = Vec::new();
    let mut refused = 0;
    for now in (0..60_000).step_by(3) {
        draw = draw.wrapping_mul(6364136223846793005).wrapping_add(99);
        let x = draw >> 33;
        if x % 3 == 0 && !open.is_empty() {
            let r = open.swap_remove((x / 3) as usize % open.len());
            t.heard(r, Heard::Done(200), now);
            t.end(r, now);
        }
        if x % 5 < if now % 8000 < 4000 { 3 } else { 1 } {
            let r = t
                .begin("h", "/webonce/x", ask(&[]), now - now.min(300), now)
                .unwrap();
            match t.pick(r, now) {
                Pick::Go(_) => open.push(r),
                Pick::Refuse(p, _) => {
                    assert_eq!(p, Problem::NoWorker);
                    assert!(open.len() * 2 >= 16, "{} of 16 taken", open.len());
                    refused += 1;
                    t.end(r, now);
                }
                p => panic!("{p:?}"),
            }
        }
    }
    assert!(refused > 0);
}

#[test]
fn a_worker_without_connections_is_out_and_comes_back_by_trials() {
    let mut t = table(usual(), many("web", 6, &[0, 0, 0, 0]));
    let bad = "web1";
    let mut dead = true;
    let (mut hits, mut last) = (Vec::new(), 0);
    for now in (0..30_000u64).step_by(20) {
        if now == 12_000 {
            dead = false;
        }
        let r = begin(&mut t, "/web/x", now);
        let mut g = t.pick(r, now);
        while let Pick::Go(x) = &g {
            if x.name == bad {
                hits.push(now);
                last = now;
            }
            if x.name == bad && dead {
                t.heard(r, Heard::NoConn, now);
                g = t.pick(r, now);
            } else {
                t.heard(r, Heard::Done(200), now + 15);
                break;
            }
        }
        assert!(matches!(g, Pick::Go(_)), "{g:?}");
        t.end(r, now + 15);
    }
    let early: Vec<u64> = hits.iter().copied().filter(|h| *h < 12_000).collect();
    assert!(early.len() <= 6, "{early:?}");
    // why: the pause doubles
    assert!(
        early.windows(3).all(|w| w[2] - w[1] >= w[1] - w[0]),
        "{early:?}"
    );
    assert!(last > 29_000 && hits.len() > 100, "{} {last}", hits.len());
    assert_eq!(t.counts().out, 0);
}

#[test]
fn at_most_a_third_is_out_for_failures_and_all_out_is_still_served() {
    let mut t = table(usual(), many("web", 6, &[0; 9]));
    for now in 0..400u64 {
        let (r, _) = sent(&mut t, "/webonce/x", now);
        t.heard(r, Heard::Broke, now);
        t.end(r, now);
        assert!(t.counts().out <= 3);
    }
    assert_eq!(t.counts().out, 3);
    let mut t = table(usual(), many("web", 6, &[0; 3]));
    for now in 0..60u64 {
        let (r, _) = sent(&mut t, "/webonce/x", now);
        t.heard(r, Heard::NoConn, now);
        t.end(r, now);
    }
    assert_eq!(t.counts().out, 3);
    sent(&mut t, "/webonce/x", 61);
}

#[test]
fn a_full_worker_is_left_alone_for_a_while() {
    let mut t = table(usual(), many("web", 6, &[0, 0]));
    let (r, a) = sent(&mut t, "/webonce/x", 1000);
    t.heard(r, Heard::NotRun(Some((6, 24, 6))), 1001);
    let b = go(t.pick(r, 1001));
    assert_ne!(a.name, b.name);
    for now in 1002..1008 {
        assert_eq!(sent(&mut t, "/webonce/x", now).1.name, b.name);
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
    let mut all = many("web", 6000, &[0, 0]);
    all.extend(many("model", 48, &[0, 0]));
    let mut t = table(hosted(vec![r, n, z]), all);
    let share = |t: &mut Table, path: &str, f: &dyn Fn(u64) -> Vec<(u64, u32)>| {
        let hit = (0..2000u64).filter(|i| {
            let r = t.begin("h", path, ask(&f(*i)), *i, *i).unwrap();
            let g = go(t.pick(r, *i));
            t.end(r, *i);
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
    let mut t = table(usual(), many("model", 48, &[0, 0, 0]));
    let mut at: Vec<String> = Vec::new();
    for id in 1..4u64 {
        let r = t
            .begin("h", "/once/", ask(&[(id, 20_000)]), 10, 10)
            .unwrap();
        at.push(go(t.pick(r, 10)).name);
    }
    at.sort();
    at.dedup();
    assert_eq!(at.len(), 3);
}

#[test]
fn a_session_goes_back_to_what_is_kept() {
    let mut t = table(usual(), many("model", 48, &[0; 6]));
    let chain = |own: u32| ask(&[(5, 6000), (77, own)]);
    let mut at = Vec::new();
    for i in 0..5 {
        let r = t
            .begin("h", "/once/", chain(1000 + i * 500), 10, 10)
            .unwrap();
        at.push(go(t.pick(r, 10)).name);
        t.heard(r, Heard::First, 50);
        t.heard(r, Heard::Done(200), 60);
        t.end(r, 60);
    }
    at.dedup();
    assert_eq!(at.len(), 1);
}

#[test]
fn a_slow_worker_gets_less_and_plain_requests_stay_in_their_zone() {
    let mut t = table(usual(), many("web", 6, &[0, 0, 1]));
    let mut got = [0; 3];
    let mut ends: Vec<(u64, Rid)> = Vec::new();
    for now in 0..20_000u64 {
        for (_, r) in ends.iter().filter(|e| e.0 == now) {
            t.heard(*r, Heard::Done(200), now);
            t.end(*r, now);
        }
        ends.retain(|e| e.0 != now);
        if now % 30 == 0 {
            let (r, g) = sent(&mut t, "/web/x", now);
            got[g.worker as usize] += 1;
            ends.push((now + if g.worker == 1 { 180 } else { 60 }, r));
        }
    }
    assert!(got[0] > 2 * got[1], "{got:?}");
    assert!(got[2] * 4 < got[0] + got[1], "{got:?}");
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut t = table(usual(), many("model", 48, &[0, 0]));
    for i in 0..60_000u64 {
        let r = t
            .begin("h", "/once/", ask(&[(i, 300), (i | 1 << 40, 90)]), i, i)
            .unwrap();
        let p = t.pick(r, i);
        assert!(matches!(p, Pick::Go(_)));
        t.heard(r, Heard::Done(200), i + 1);
        t.end(r, i + 1);
    }
    let c = t.counts();
    assert_eq!((c.open, c.waiting, c.served), (0, 0, 60_000));
    assert!(format!("{t:?}").len() < 100_000);
}

#[test]
fn connections_and_priority_have_their_bounds() {
    let mut p = route("p", "/p/", Kind::Once, 0);
    p.priority = 200;
    let mut t = table(hosted(vec![p]), many("model", 48, &[0]));
    assert_eq!(sent(&mut t, "/p/x", 10).1.priority, Some(9));
    let sum: u32 = (0..93)
        .map(|i| {
            let mut t = Table::new(place(&format!("n{i}"), 0), bounds(), 1);
            t.take_hosted(usual(), 0);
            t.take_nodes((0..93).map(|i| (format!("n{i}"), 0)).collect());
            t.take_roster(&roster(1, many("model", 48, &[0])), 0);
            sent(&mut t, "/once/x", 10).1.max_conns
        })
        .sum();
    assert!((250..=330).contains(&sum), "{sum}");
}
