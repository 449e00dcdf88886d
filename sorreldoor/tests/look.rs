//! Look-ups of workers by name: the same as a search, and few.

use sorreldoor::roster::{Load, Loads, Roster, Worker};
use sorreldoor::setup::{Group, Kind, Route, Service, Setup, Share, Warm};
use sorreldoor::tune::{self, Now, Smooth, Times};

fn draw(x: &mut u64) -> u64 {
    *x ^= *x << 13;
    *x ^= *x >> 7;
    *x ^= *x << 17;
    *x >> 8
}

fn loads(n: u64, x: &mut u64) -> Loads {
    let row = |i: u64| Load {
        // why: some names come twice, and some listed workers have no row
        name: format!("w{}", if i % 17 == 3 { i - 1 } else { i }),
        running: (draw(x) % 9) as u32,
        queued: (draw(x) % 4) as u32,
        slots: (draw(x) % 9) as u32,
        live: draw(x) % 5 != 0,
        ..Load::default()
    };
    Loads::new(1, 1, (0..n).map(row).collect())
}

fn roster(n: u64, x: &mut u64) -> Roster {
    let row = |i: u64| Worker {
        name: format!("w{i}"),
        group: format!("g{}", draw(x) % 6),
        leaving: draw(x) % 7 == 0,
        ..Worker::blank()
    };
    let workers = (0..n + 3).map(row).collect();
    Roster { serial: 1, workers }
}

fn setup(routes: usize) -> Setup {
    let warm = Warm { first: 1, after: 1 };
    let group = |i: usize| Group {
        name: format!("g{i}"),
        model: true,
        slots: 8,
        queue: 8,
        warm,
    };
    let service = |(i, g): (usize, &[u16])| Service {
        name: format!("s{i}"),
        groups: g.to_vec(),
        adapter: None,
    };
    let share = |service| Share {
        service,
        weight: 50,
        least: 0,
        most: 100,
    };
    let route = |i: usize| Route {
        name: format!("r{i}"),
        kind: Kind::Decode,
        repeatable: true,
        streamed: false,
        home: false,
        cutoff_ms: 1000,
        shares: (0..4).map(share).collect(),
    };
    let of: [&[u16]; 4] = [&[0, 1], &[2, 2], &[], &[3, 0]];
    Setup {
        groups: (0..5).map(group).collect(),
        services: of.into_iter().enumerate().map(service).collect(),
        routes: (0..routes).map(route).collect(),
        ..Setup::default()
    }
}

/// As it was before the index: each worker searched for, service by service.
fn searched(s: &Setup, v: usize, ro: &Roster, ls: &Loads, sm: &Smooth) -> Option<i64> {
    let groups = &s.services[v].groups;
    let (mut used, mut room) = (0i64, 0i64);
    for w in ro.workers.iter().filter(|w| !w.leaving) {
        let in_group = s.group(&w.group).is_some_and(|g| groups.contains(&g));
        let l = ls.rows().iter().find(|l| l.name == w.name);
        if let Some(l) = l.filter(|l| l.live && in_group) {
            used += sm.of(&l.name);
            room += i64::from(l.slots.max(1));
        }
    }
    (room > 0).then(|| used / room)
}

#[test]
fn looked_up_as_searched() {
    let mut x = 0x9e37_79b9_7f4a_7c15;
    for n in (0..60).chain([300]) {
        let (ls, ro, s) = (loads(n, &mut x), roster(n, &mut x), setup(1));
        for w in &ro.workers {
            let old = ls.rows().iter().find(|l| l.name == w.name);
            assert_eq!(ls.of(&w.name), old);
            assert_eq!(ls.clone().of(&w.name), old);
        }
        let mut sm = Smooth::default();
        sm.take(&ls);
        let new = tune::pressures(&s, &ro, &ls, &sm);
        let old = (0..4).map(|v| searched(&s, v, &ro, &ls, &sm));
        assert_eq!(new, old.collect::<Vec<_>>());
    }
}

#[test]
fn a_step_looks_each_worker_up_once() {
    let mut x = 7;
    let (ls, ro, s) = (loads(6700, &mut x), roster(6700, &mut x), setup(50));
    let (smooth, times) = (Smooth::default(), Times::default());
    let now = Now {
        ro: &ro,
        loads: &ls,
        smooth: &smooth,
        times: &times,
    };
    tune::step(&s, &[], &now);
    let n = ls.looks();
    assert!(n > 0 && n <= ro.workers.len() as u64, "{n} look-ups");
}
