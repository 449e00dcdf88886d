//! Real processes in trouble: clocks, disks, links, and a rolling restart,
//! under callers of a deployment's mix.

use simd_json::prelude::*;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use testbed::fleet::{archive, press, Fleet};
use testbed::gateway_soak::{run_during, SoakSummary};

const LONG: Duration = Duration::from_secs(40);

fn dir(name: &str) -> PathBuf {
    let d = std::env::temp_dir().join(format!("sorreldoor-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&d);
    d
}

fn log(f: &Fleet, i: usize) -> String {
    let file = f.root.join(format!("{}.log", f.nodes[i].name));
    std::fs::read_to_string(file).unwrap_or_default()
}

/// An operator's change through a node; how long it took, its serial.
fn change(f: &Fleet, at: usize, n: u64) -> (Duration, u64) {
    let file = f.root.join("patch.json");
    std::fs::write(
        &file,
        format!(r#"{{"retry":{{"percent":{}}}}}"#, 5 + n % 10),
    )
    .unwrap();
    let from = Instant::now();
    let end = from + LONG;
    while Instant::now() < end {
        let base = f
            .get(at, "/v1/setup")
            .and_then(|(_, v)| v.get("serial").and_then(|s| s.as_u64()));
        let Some(base) = base else { continue };
        let (code, text) = f.ctl(
            at,
            &[
                "edit",
                &file.display().to_string(),
                "--base",
                &base.to_string(),
            ],
        );
        if code == 0 {
            return (from.elapsed(), base + 1);
        }
        println!("again: {code} {text}");
    }
    panic!("a change is taken within {LONG:?}");
}

fn version(f: &Fleet, i: usize) -> u64 {
    let v = f.get(i, "/v1/setup").map(|(_, v)| v).unwrap_or_default();
    v.get("serial").and_then(|s| s.as_u64()).unwrap_or(0)
}

fn sound(t: &SoakSummary) {
    println!(
        "asked {}, tries {}, served {}, refused {}, unsure {}, lost tries {}",
        t.requests, t.attempts, t.served, t.rejected, t.uncertain, t.lost
    );
    assert!(t.violations.is_empty(), "{:#?}", t.violations);
}

/// All twelve restarted, one by one, told to stop as a platform would: every
/// errand served in the end, no stream broken, every change there.
#[test]
fn a_rolling_restart_loses_nothing() {
    let mut f = Fleet::start(&dir("rolling"), press());
    f.serve();
    let mut top = 1;
    let t = run_during(&mut f, 21, 8, |f| {
        for i in 0..f.nodes.len() {
            assert_eq!(f.stop(i), Some(0), "{} ends cleanly", f.nodes[i].name);
            f.spawn(i);
            let ready = f.until(LONG, |f| f.get(i, "/ready").is_some_and(|(s, _)| s == 200));
            assert!(ready, "{} is ready again", f.nodes[i].name);
            let other = (i + 5) % f.nodes.len();
            let (took, s) = change(f, other, i as u64);
            println!(
                "{}: a change after it took {} ms",
                f.nodes[i].name,
                took.as_millis()
            );
            top = top.max(s);
        }
    });
    sound(&t);
    assert_eq!(t.served, t.requests, "every errand is served in the end");
    // a connection may stand in the system's queue at the moment a door shuts;
    // without that door it was one try in fifty
    assert!(
        t.lost * 100 < t.attempts,
        "{} of {} tries broke off",
        t.lost,
        t.attempts
    );
    for i in 0..f.nodes.len() {
        assert!(
            f.until(LONG, |f| version(f, i) == top),
            "{}",
            f.nodes[i].name
        );
    }
}

/// Clocks stepped both ways, disks slow, stuck and full, the regions cut.
#[test]
fn clocks_disks_and_ways_that_misbehave() {
    let mut f = Fleet::start_customized(&dir("troubles"), archive(), 3, |f| f.faulty_nodes = true);
    f.serve();
    let t = run_during(&mut f, 22, 8, |f| {
        let step = |f: &Fleet, ms: i64| {
            (0..f.nodes.len())
                .for_each(|i| f.set_node_faults(i, &format!(r#"{{"wall_ms":{ms}}}"#)));
        };
        let woken = |f: &Fleet, n: usize| {
            f.edges()
                .into_iter()
                .all(|i: usize| log(f, i).matches("E104").count() >= n)
        };
        step(f, 3_600_000);
        assert!(
            f.until(LONG, |f| woken(f, 1)),
            "every edge sees its clock step on"
        );
        assert!(f.until(LONG, Fleet::is_serving));
        step(f, -3_600_000);
        let back = |f: &Fleet, c: usize| {
            let wall = f
                .get(c, "/v1/status")
                .and_then(|(_, v)| v.get("wall_ms").and_then(|w| w.as_i64()));
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            wall.is_some_and(|w| w < now.map_or(0, |d| d.as_millis() as i64) - 3_000_000)
        };
        assert!(f.until(LONG, |f| f.cores().iter().all(|c| back(f, *c))));
        assert!(f.until(LONG, Fleet::is_serving));
        let (took, _) = change(f, f.edges()[3], 1);
        println!("clocks an hour back: a change took {} ms", took.as_millis());
        step(f, 0);
        assert!(f.until(LONG, |f| woken(f, 2)), "and back again");
        assert!(f.until(LONG, Fleet::is_serving));
        let cores = f.cores();
        for (i, c) in cores.iter().enumerate() {
            f.set_node_faults(*c, r#"{"slow_ms":150}"#);
            let (took, _) = change(f, f.edges()[i], i as u64);
            println!(
                "{} slow: a change took {} ms",
                f.nodes[*c].name,
                took.as_millis()
            );
            f.set_node_faults(*c, r#"{"stuck":true}"#);
            let (took, _) = change(f, f.edges()[i + 1], 3 + i as u64);
            println!(
                "{} stuck: a change took {} ms",
                f.nodes[*c].name,
                took.as_millis()
            );
            f.set_node_faults(*c, "{}");
            assert!(
                f.until(LONG, Fleet::is_bootstrapped),
                "all cores have a quorum again"
            );
        }
        f.partition_regions(true);
        let big: Vec<usize> = f
            .cores()
            .into_iter()
            .filter(|c| f.nodes[*c].region == "ulaanbaatar")
            .collect();
        let (took, top) = change(f, big[0], 9);
        println!("regions cut: a change took {} ms", took.as_millis());
        f.partition_regions(false);
        for e in f.edges() {
            assert!(f.until(LONG, |f| version(f, e) >= top));
        }
        let last = f.cores()[2];
        f.set_node_faults(last, r#"{"full":true}"#);
        let (took, _) = change(f, f.edges()[0], 4);
        println!("a disk full: a change took {} ms", took.as_millis());
        assert!(f.until(LONG, |f| log(f, last).contains("E220")));
        // room again: it takes part again without a restart
        f.set_node_faults(last, "{}");
        assert!(f.until(LONG, |f| log(f, last).contains("E224")));
        // and with one, on the same data folder
        f.kill(last);
        f.spawn(last);
        assert!(
            f.until(LONG, Fleet::is_bootstrapped),
            "it is back with what it had"
        );
    });
    sound(&t);
    assert!(t.served * 100 >= t.requests * 97, "{t:?}");
}
