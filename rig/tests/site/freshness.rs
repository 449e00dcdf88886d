//! How soon each edge goes by what was acknowledged, while a core is cut off
//! from the other cores: every shape of cut, over several layouts of cores.

use super::*;
use rig::site::Cut;
use sorreldoor::consensus::{Millis, ProposalId};
use sorreldoor::core::ControllerEvent;
use sorreldoor::events::Ev;
use sorreldoor::freshness::FreshnessBudget;
use sorreldoor::pacing::Pacing;
use sorreldoor::record::Cmd;
use sorreldoor::rules::{break_only, Rule};
use sorreldoor::wire::OpOutcome;
use std::time::Duration;

/// Within so long of an acknowledgement every edge goes by it.
const APPLY_MS: Millis = 3000;
/// Within so long the majority's side acknowledges an order.
const ACK_MS: Millis = 5000;
/// An operator goes on to another core after so long, and gives up at last.
const SILENCE_MS: Millis = 1000;
const GIVEN_UP_MS: Millis = 20_000;
/// Between reads of the configuration at every core, and the longest that one
/// may be held.
const READ_EVERY_MS: Millis = 200;
const READ_MS: Millis = 900;
/// The longest that a record which is not proved current may be served where
/// another core can be asked.
const UNVERIFIED_MS: Millis = 1000;
/// Between orders.
const EVERY_MS: Millis = 700;
const CUT_MS: Millis = 20_000;
/// Of six voters two may be lost: the session's, and one tried in vain; two
/// more are allowed for.
const MOST_USELESS: u64 = 3;

/// As on machines where bytes and calls are dear.
fn hosted_pacing() -> Pacing {
    let budget = FreshnessBudget::for_apply(APPLY_MS);
    Pacing {
        tick_ms: 20,
        beat_ms: Some(150),
        renew_ms: budget.renew_ms,
        hedge_ms: budget.hedge_ms,
        ping_ms: 500,
        gather: false,
        claims: false,
        accounts: false,
        unverified_after_ms: Some(0),
        ..Pacing::default()
    }
}

fn one_region() -> rig::fleet::Shape {
    rig::fleet::Shape {
        regions: vec![("north", vec!["n1", "n2", "n3"], 10)],
        ..press()
    }
}

fn three_regions() -> rig::fleet::Shape {
    rig::fleet::Shape {
        regions: vec![
            ("north", vec!["n1"], 10),
            ("south", vec!["s1"], 8),
            ("west", vec!["w1"], 4),
        ],
        far: Duration::from_millis(35),
        ..press()
    }
}

/// A site with `more` cores beyond one a zone.
fn site(seed: u64, shape: rig::fleet::Shape, more: usize) -> World {
    let spills = r#"{"north": {"south": 50}, "south": {"north": 50}}"#;
    let doc = match shape.regions.len() {
        1 => rig::fleet::setup(&press()).replace(spills, "{}"),
        _ => rig::fleet::setup(&shape),
    };
    let mut w = World::ready_by(seed, shape, &doc, |w| {
        w.holder_polls = Some(500);
        w.pacing = hosted_pacing();
        w.grow = true;
        w.replace_ms = 2000;
        for n in 0..more {
            let zones = w.site.zones.clone();
            let zone = n % zones.len();
            let addr = ([127, 0, 0, 1], 7050 + n as u16).into();
            let name = format!("more-{n}");
            let p = w.add(&name, true, zone as u16, zones[zone].1, Some(addr));
            w.after(100, move |w| w.start(p));
        }
    });
    let cores = w.cores().len();
    let end = w.now + 10_000;
    let whole = w.run_until(end, |w| {
        let a = w.leader().and_then(|c| w.controller(c));
        let a = a.and_then(|h| h.consensus.as_ref());
        a.is_some_and(|a| a.members().iter().filter(|m| m.voter).count() == cores)
    });
    assert!(whole, "seed {seed}: all cores are voters");
    w
}

/// An order as its operator sees it: sent again elsewhere until it is taken.
struct Order {
    sent: Millis,
    base: u64,
    /// Two that race, as proposals.
    rivals: [ProposalId; 2],
    tries: u64,
    acked: Option<(Millis, u64)>,
}

/// Orders one after the other, and how late anything came.
#[derive(Default)]
struct Watch {
    orders: Vec<Order>,
    /// The longest that an edge went by something older than was acknowledged.
    stale: Millis,
    stale_at: String,
    ack: Millis,
    /// Reads under way: number, core, when asked, and the newest version that
    /// was acknowledged by then.
    reads: Vec<(u64, usize, Millis, u64)>,
    /// The longest that a read took, and what was shown as current and was not.
    read: Millis,
    wrong: Vec<String>,
}

/// An operator gives an order to a core, at first or again.
fn send(w: &mut World, core: usize, base: u64, pid: ProposalId) {
    let (zone, emptied) = (0, false);
    let cmd = Cmd::Zone {
        base,
        zone,
        emptied,
    };
    let rid = w.number();
    w.hub_step(core, ControllerEvent::Change { rid, pid, cmd });
}

/// When a core acknowledged one of the proposals.
fn taken(w: &World, pids: &[ProposalId]) -> Option<Millis> {
    let names = pids
        .iter()
        .map(|p| sorreldoor::order_id::format_proposal_id(*p));
    let names: Vec<String> = names.collect();
    let said = w.says.iter().filter(|(_, _, ev, _)| *ev == Ev::ChangeTaken);
    let of = |text: &str| names.iter().any(|n| text.starts_with(n.as_str()));
    said.filter(|(.., text)| of(text)).map(|(at, ..)| *at).min()
}

fn top(w: &World) -> u64 {
    let serials = w.cores().into_iter().filter_map(|c| w.serial_at(c));
    serials.max().unwrap_or(0)
}

impl Watch {
    /// Two operators give orders on the same version, and go on to other cores
    /// until one has been taken.
    fn run(&mut self, w: &mut World, ms: Millis) {
        let end = w.now + ms;
        let mut next = w.now;
        while w.now < end {
            let open = self.orders.last().is_some_and(|o| o.acked.is_none());
            if w.now >= next && !open {
                next = w.now + EVERY_MS;
                let acked = self.orders.iter().filter_map(|o| o.acked);
                // a core that applied it may be down by now
                let base = acked.map(|(_, serial)| serial).max().max(Some(top(w)));
                let base = base.unwrap_or(0);
                let rivals = [w.number(), w.number()].map(|n| u128::from(n) + (1 << 90));
                self.orders.push(Order {
                    sent: w.now,
                    base,
                    rivals,
                    tries: 0,
                    acked: None,
                });
            }
            self.press(w);
            self.read_all(w);
            w.run_for(20);
            self.look(w);
            self.look_at_reads(w);
        }
    }

    /// Send the newest orders, to other cores after a silence.
    fn press(&mut self, w: &mut World) {
        let Some(o) = self.orders.last_mut().filter(|o| o.acked.is_none()) else {
            return;
        };
        if w.now < o.sent + o.tries * SILENCE_MS {
            return;
        }
        let cores: Vec<usize> = w.cores().into_iter().filter(|c| w.procs[*c].up).collect();
        for (k, pid) in o.rivals.into_iter().enumerate() {
            let turn = (o.base + o.tries) as usize + k;
            send(w, cores[turn % cores.len()], o.base, pid);
        }
        o.tries += 1;
    }

    /// Ask every core for the configuration, as operators do.
    fn read_all(&mut self, w: &mut World) {
        if w.now % READ_EVERY_MS >= 20 {
            return;
        }
        let acked = self.orders.iter().filter_map(|o| o.acked);
        let newest = acked.map(|(_, serial)| serial).max().unwrap_or(0);
        for core in w.cores() {
            let rid = w.number();
            self.reads.push((rid, core, w.now, newest));
            w.hub_step(core, ControllerEvent::View { rid });
        }
    }

    fn look_at_reads(&mut self, w: &World) {
        let answered = |rid: &u64| w.reads.get(rid).copied();
        for (rid, core, asked, newest) in &self.reads {
            let Some(read) = answered(rid) else { continue };
            self.read = self.read.max(read.at - asked);
            if read.ok && read.serial < *newest {
                let name = &w.procs[*core].name;
                let (serial, at) = (read.serial, read.at);
                self.wrong
                    .push(format!("{name} showed {serial} for {newest} at {at}"));
            }
        }
        self.reads.retain(|(rid, ..)| answered(rid).is_none());
    }

    fn look(&mut self, w: &World) {
        if let Some(o) = self.orders.last_mut() {
            if o.acked.is_none() {
                if let Some(at) = taken(w, &o.rivals) {
                    o.acked = Some((at, o.base + 1));
                } else if w.now > o.sent + GIVEN_UP_MS {
                    o.acked = Some((w.now, 0));
                }
                if let Some((t, _)) = o.acked {
                    self.ack = self.ack.max(t - o.sent);
                }
            }
        }
        for e in w.edges() {
            let serial = w.serial_at(e).unwrap_or(0);
            let acked = self.orders.iter().filter_map(|o| o.acked);
            let Some((since, s)) = acked.filter(|(_, s)| *s > serial).min() else {
                continue;
            };
            let late = w.now - since;
            if late > self.stale {
                self.stale = late;
                self.stale_at = format!("{} lacks {s} at {}", w.procs[e].name, w.now);
            }
        }
    }
}

fn layout(n: u64) -> (&'static str, rig::fleet::Shape, usize) {
    match n {
        0 => ("one region", one_region(), 0),
        1 => ("two regions", press(), 0),
        2 => ("two regions, the far one", archive(), 0),
        3 => ("three regions", three_regions(), 0),
        4 => ("five cores", press(), 2),
        _ => ("six cores", press(), 3),
    }
}

fn day(seed: u64, layout_no: u64, cut: Cut) -> Watch {
    let (_, shape, more) = layout(layout_no);
    let mut w = site(seed, shape, more);
    let mut watch = Watch::default();
    let wait = w.rng.below(1500);
    watch.run(&mut w, 1500 + wait);
    let l = w.leader().expect("led");
    w.cut_off(l, cut);
    watch.run(&mut w, CUT_MS);
    w.heal();
    watch.run(&mut w, 6000);
    w.run_for(2000);
    sound(&w, seed);
    watch
}

/// What is over a bound in some days of a layout and a cut.
fn over_bounds(cut: Cut, layout_no: u64, days: std::ops::Range<u64>) -> Vec<String> {
    let (name, ..) = layout(layout_no);
    let mut over = Vec::new();
    let (mut stale, mut ack, mut read) = (0, 0, 0);
    for seed in seeds(days) {
        let watch = day(seed, layout_no, cut);
        stale = stale.max(watch.stale);
        ack = ack.max(watch.ack);
        read = read.max(watch.read);
        if watch.stale > APPLY_MS {
            over.push(format!(
                "stale: {cut:?}, {name}, {seed}: {}",
                watch.stale_at
            ));
        }
        if watch.ack > ACK_MS {
            over.push(format!("late: {cut:?}, {name}, {seed}: {} ms", watch.ack));
        }
        if watch.read > READ_MS {
            over.push(format!("held: {cut:?}, {name}, {seed}: {} ms", watch.read));
        }
        let wrong = watch.wrong.into_iter();
        over.extend(wrong.map(|w| format!("old: {cut:?}, {name}, {seed}: {w}")));
    }
    println!("{cut:?}, {name}: stale {stale} ms, acknowledged {ack} ms, read {read} ms");
    over
}

/// The leader is cut off in every shape: each edge goes by what was
/// acknowledged within the bound, the majority's side acknowledges each order,
/// and no core shows as current what is not.
#[test]
fn edges_follow_within_the_bound_whatever_the_cut() {
    let all = Cut::ALL
        .iter()
        .flat_map(|cut| (0..6).map(move |n| (*cut, n)));
    let over: Vec<String> = all
        .flat_map(|(cut, n)| over_bounds(cut, n, 9000..9003))
        .collect();
    assert!(over.is_empty(), "{over:#?}");
}

/// Each part of the mechanism taken away is seen by a bound that breaks.
#[test]
fn each_part_of_freshness_is_needed() {
    for (rule, word) in [
        (Rule::Hedge, "stale"),
        (Rule::Proof, "old"),
        (Rule::StepDown, "stale"),
    ] {
        break_only(Some(rule));
        let over = over_bounds(Cut::Deaf, 1, 9000..9003);
        break_only(None);
        let seen = over.iter().find(|o| o.starts_with(word));
        println!("{}: {seen:?}", rule.name());
        assert!(seen.is_some(), "{} broken was not seen", rule.name());
    }
}

/// The parts of the bound add up to less than it, with as many useless cores
/// as the largest group may lose.
#[test]
fn the_parts_of_the_budget_add_up() {
    for apply_ms in [3000, 4000] {
        let budget = FreshnessBudget::for_apply(apply_ms);
        let worst = budget.worst_ms(MOST_USELESS);
        println!("{budget:?}: {worst} ms with {MOST_USELESS} useless cores");
        assert!(worst < apply_ms, "{worst}");
        assert!(budget.renew_ms + budget.hedge_ms < budget.lease_ms);
    }
}

/// A core behind a cut refuses an order at once, once an election's time has
/// gone by, so that its operator goes on to another.
#[test]
fn a_core_that_is_cut_off_says_so_at_once() {
    for seed in seeds(9100..9103) {
        let mut w = site(seed, press(), 0);
        let cut_off = w.leader().expect("led");
        w.cut_off(cut_off, Cut::Silent);
        w.run_for(4000);
        let (base, zone, emptied) = (top(&w), 0, false);
        let c = w.change(
            cut_off,
            Cmd::Zone {
                base,
                zone,
                emptied,
            },
        );
        w.run_for(20);
        let outcome = &w.changes[c].outcome;
        assert_eq!(*outcome, Some(OpOutcome::Unknown), "seed {seed}");
        sound(&w, seed);
    }
}

/// The longest that edges which start while a core is cut off serve by
/// something older than was acknowledged before they started.
fn old_after_start(seed: u64, cut: Cut) -> Millis {
    let mut w = site(seed, press(), 0);
    let cut_off = w.leader().expect("led");
    w.cut_off(cut_off, cut);
    w.run_for(3000);
    let mut watch = Watch::default();
    watch.run(&mut w, 1500);
    let acked = watch.orders.iter().filter_map(|o| o.acked);
    let newest = acked.map(|(_, serial)| serial).max().expect("an order");
    w.run_for(1000);
    for e in w.edges() {
        w.crash(e);
        w.start(e);
    }
    let mut old = 0;
    for _ in 0..200 {
        w.run_for(20);
        let serves_old = |e: &usize| {
            let ready = w.edge_controller(*e).is_some_and(|h| h.ready().is_ok());
            ready && w.serial_at(*e) < Some(newest)
        };
        old += 20 * u64::from(w.edges().iter().any(serves_old));
    }
    let fresh = |e: &usize| w.serial_at(*e) >= Some(newest);
    assert!(w.edges().iter().all(fresh), "seed {seed}: all are fresh");
    old
}

/// An edge that starts takes no old record from a core behind a cut, or, where
/// that core has started too, only until another has been asked.
#[test]
fn an_edge_that_starts_goes_by_no_old_record_for_long() {
    let most = |cut: Cut| seeds(9200..9206).map(|s| old_after_start(s, cut)).max();
    for cut in [Cut::Silent, Cut::Mute, Cut::Deaf, Cut::Reset] {
        let old = most(cut);
        println!("{cut:?}: old for {old:?} ms");
        assert_eq!(old, Some(0));
    }
    let restarted = most(Cut::Restarted);
    println!("Restarted: old for {restarted:?} ms");
    assert!(restarted <= Some(UNVERIFIED_MS));
    break_only(Some(Rule::Unverified));
    let broken = most(Cut::Silent);
    break_only(None);
    println!("any record: old for {broken:?} ms");
    assert!(broken > Some(0));
}
