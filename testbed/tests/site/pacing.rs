//! What a site says when nothing happens, lists of workers that only the
//! duty's holder reads, and records that cannot be proved current.

use super::*;
use sorreldoor::discovery::{Worker, WorkerRegistry};
use sorreldoor::pacing::Pacing;

fn frugal() -> Pacing {
    Pacing {
        tick_ms: 50,
        beat_ms: Some(250),
        renew_ms: 1000,
        hedge_ms: 400,
        ping_ms: 500,
        batch_ms: 200,
        gather: false,
        claims: false,
        accounts: false,
        unverified_after_ms: None,
    }
}

fn with(seed: u64, f: impl FnOnce(&mut World)) -> World {
    let preset = press();
    let doc = testbed::fleet::configuration(&preset);
    World::ready_by(seed, preset, &doc, f)
}

/// Bytes a second of an edge, both ways, and of a core to other cores.
fn rates(w: &mut World) -> (u64, u64) {
    w.bytes.clear();
    w.run_for(20_000);
    let core = |p: usize| w.procs[p].core;
    let (mut e, mut c) = (0, 0);
    for ((a, b), n) in &w.bytes {
        *(if core(*a) && core(*b) { &mut c } else { &mut e }) += n;
    }
    let (es, cs) = (w.edges().len() as u64, w.cores().len() as u64);
    (e / 20 / es, c / 20 / cs)
}

#[test]
fn a_quiet_site_says_little() {
    let mut w = with(2, |_| {});
    let (e, c) = rates(&mut w);
    println!("usual: an edge {e} B/s both ways, a core {c} B/s to cores");
    assert!(e < 4500 && c < 13_000, "{e} {c}");
    let mut w = with(2, |w| {
        w.pacing = frugal();
        w.holder_polls = Some(1000);
    });
    let (e, c) = rates(&mut w);
    println!("frugal: an edge {e} B/s both ways, a core {c} B/s to cores");
    assert!(e < 250 && c < 4000, "{e} {c}");
    sound(&w, 2);
}

/// A running errand is no news to other edges.
#[test]
fn edges_are_not_told_what_others_are_doing() {
    for pacing in [Pacing::default(), frugal()] {
        let mut w = with(4, |w| w.pacing = pacing);
        let e = w.edges()[0];
        let at = |w: &World| w.edge_controller(e).map(|h| h.pull.have.edge_sessions);
        let was = at(&w);
        let end = w.now + 5000;
        w.traffic(60, end, |_, _| true);
        w.run_for(20_000);
        assert_eq!(at(&w), was);
        let (edge_sessions, n) = (
            &w.edge_controller(e)
                .expect("up")
                .cluster
                .snapshot
                .edge_sessions
                .1,
            w.edges().len(),
        );
        assert_eq!(edge_sessions.iter().filter(|p| p.ready).count(), n);
        sound(&w, 4);
    }
}

fn version(w: &World, e: usize) -> u64 {
    w.edge_controller(e)
        .map_or(0, |h| h.cluster.snapshot.registry.version)
}

fn holder(w: &World) -> Option<usize> {
    let on = |c: &usize| w.controller(*c).is_some_and(|h| h.holds_singleton_role());
    w.cores().into_iter().find(on)
}

/// One core reads the list; a list that changes is at every edge at once, and
/// after the holder is lost another reads on, under newer serials.
#[test]
fn the_holder_alone_reads_the_list() {
    for seed in seeds(7800..7806) {
        let mut w = with(seed, |w| {
            w.holder_polls = Some(1000);
            w.pacing = Pacing {
                gather: true,
                ..frugal()
            };
        });
        w.run_for(3000);
        let e = w.edges()[0];
        let first = version(&w, e);
        assert!(first >> 32 > 0, "seed {seed}: {first:x}");
        let polls = w.polls;
        w.run_for(10_000);
        let n = w.polls - polls;
        assert!((7..=11).contains(&n), "seed {seed}: {n} readings in 10 s");
        assert_eq!(version(&w, e), first, "an unchanged list is no news");
        let k = w.worker("north-gpu0");
        w.leave(k);
        let from = w.now;
        let seen = |w: &World| w.edges().iter().all(|e| version(w, *e) > first);
        assert!(w.run_until(from + 1400, seen), "seed {seed}");
        println!("seed {seed}: at every edge after {} ms", w.now - from);
        let second = version(&w, e);
        // the holder is killed and comes back at once, or stays away
        let h = holder(&w).expect("someone is on duty");
        w.crash(h);
        if seed % 2 == 0 {
            w.start(h);
        }
        w.run_for(8000);
        let polls = w.polls;
        w.run_for(5000);
        assert!(w.polls > polls + 2, "seed {seed}: someone reads on");
        let all = w.edges();
        let newer = all.iter().all(|e| version(&w, *e) > second);
        assert!(newer, "seed {seed}: a new holder's list is newer");
        sound(&w, seed);
    }
}

fn cold(cold_ms: u64) -> Worker {
    Worker {
        name: "w".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        group: "g".into(),
        zone: 0,
        region: 0,
        leaving: false,
        slots: 4,
        cold_ms,
        leaves_ms: None,
        software_version: "1".into(),
    }
}

/// Time that goes by is no news; what ends later than it was to is.
#[test]
fn a_list_is_news_only_when_it_says_something_new() {
    let version = 1;
    let workers = vec![cold(5000)];
    let r = WorkerRegistry { version, workers };
    assert!(r.same(&[cold(5000)], 0));
    assert!(r.same(&[cold(3000)], 2000));
    assert!(r.same(&[cold(0)], 5000));
    // it became cold anew
    assert!(!r.same(&[cold(5000)], 4500));
    assert!(!r.same(&[], 0));
    let left = Worker {
        leaves_ms: Some(900),
        ..cold(5000)
    };
    assert!(!r.same(&[left], 0));
    assert_eq!(r.aged(1500).workers[0].cold_ms, 3500);
}

/// Two of three cores are gone for good. An edge that starts now has nothing
/// and takes what the last one has; edges that had a proof serve no more, and
/// once a majority is back only what is proved counts.
#[test]
fn an_edge_without_any_record_takes_an_unverified_one() {
    for seed in seeds(7900..7910) {
        let mut w = with(seed, |w| w.pacing.unverified_after_ms = Some(3000));
        let all = w.cores();
        let (fresh, old) = (w.edges()[0], w.edges()[1]);
        w.crash(all[0]);
        w.crash(all[1]);
        w.crash(fresh);
        w.run_for(4000);
        w.start(fresh);
        let ready = |w: &World, e: usize| w.edge_controller(e).is_some_and(|h| h.ready().is_ok());
        w.run_for(2500);
        assert!(!ready(&w, fresh), "seed {seed}: not before its time");
        let end = w.now + 12_000;
        assert!(w.run_until(end, |w| ready(w, fresh)), "seed {seed}");
        println!(
            "seed {seed}: serves after {} ms",
            2500 + w.now + 12_000 - end
        );
        w.run_for(5000);
        assert!(ready(&w, fresh), "seed {seed}: and goes on");
        assert!(
            !ready(&w, old),
            "seed {seed}: it had a proof, and needs one"
        );
        w.start(all[0]);
        w.start(all[1]);
        let end = w.now + 8000;
        let both = |w: &World| ready(w, old) && ready(w, fresh);
        assert!(w.run_until(end, both), "seed {seed}");
        // now that it was proved, it holds to proofs
        w.run_for(1000);
        w.crash(all[0]);
        w.crash(all[1]);
        w.run_for(5000);
        assert!(!ready(&w, fresh), "seed {seed}: it has had a proof");
        sound(&w, seed);
    }
}

/// Without the setting an edge waits for a proof however long it takes.
#[test]
fn an_unverified_record_is_taken_only_where_that_is_set() {
    let mut w = with(3, |_| {});
    let all = w.cores();
    let e = w.edges()[0];
    w.crash(all[0]);
    w.crash(all[1]);
    w.crash(e);
    w.start(e);
    w.run_for(60_000);
    assert!(w.edge_controller(e).is_some_and(|h| h.ready().is_err()));
}
