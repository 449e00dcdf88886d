//! Hollow sites: what control costs by size, and that slopes are read rightly.

use testbed::capacity::{fit, run, Fault, Row, Size};

/// Heap is counted by the program's own allocator only.
fn none() -> usize {
    0
}

fn get(r: &Row, k: &str) -> f64 {
    r.get(k).copied().unwrap_or_else(|| panic!("{k} is told"))
}

/// Nodes, cores and regions of a site some way towards the one foreseen.
fn wide() -> Size {
    Size {
        nodes: 95,
        cores: 9,
        regions: 9,
        zones: 23,
        seconds: 5,
        full: 1,
        ..Size::default()
    }
}

#[test]
fn a_change_is_in_force_everywhere_within_nine_seconds() {
    let size = Size {
        routes: 60,
        changes_per_s: 1.0,
        ..wide()
    };
    let r = run(&size, none).row;
    println!("{r:#?}");
    assert_eq!(get(&r, "ready"), 1.0);
    assert_eq!(get(&r, "refused"), 0.0);
    assert_eq!(get(&r, "change.missing"), 0.0);
    assert!(get(&r, "change.taken") >= 5.0);
    assert!(get(&r, "change.everywhere_most_ms") <= 9000.0);
}

/// Bounds are a tenth above what the code of this day came to.
#[test]
fn a_node_is_told_no_more_than_today() {
    let size = Size {
        workers: 100,
        routes: 40,
        ..wide()
    };
    let r = run(&size, none).row;
    println!(
        "in {} out {} core out {}",
        get(&r, "edge.in.bytes"),
        get(&r, "edge.out.bytes"),
        get(&r, "core.out.bytes")
    );
    assert_eq!(get(&r, "refused"), 0.0);
    assert!(get(&r, "edge.in.bytes") <= 62_451.0 * 1.1);
    assert!(get(&r, "edge.out.bytes") <= 6792.0 * 1.1);
    assert!(get(&r, "core.out.bytes") <= 1_435_729.0 * 1.1);
}

/// All but host time repeats for a seed.
#[test]
fn a_seed_gives_the_same_counts_twice() {
    let size = Size {
        changes_per_s: 1.0,
        claims_per_s: 50.0,
        seconds: 3,
        ..Size::default()
    };
    let counts = |r: Row| -> Row {
        let host = |k: &str| k.contains(".cpu.") || k.contains("longest.ms") || k.contains("host");
        r.into_iter().filter(|(k, _)| !host(k)).collect()
    };
    let (a, b) = (counts(run(&size, none).row), counts(run(&size, none).row));
    assert!(a.len() > 40);
    assert_eq!(a, b);
    let other = Size { seed: 2, ..size };
    assert_ne!(a, counts(run(&other, none).row));
}

#[test]
fn nodes_come_back_after_each_fault() {
    for (fault, most) in [
        (Fault::Core, 10_000.0),
        (Fault::Restart, 10_000.0),
        (Fault::Zone, 10_000.0),
        (Fault::Part, 20_000.0),
    ] {
        let size = Size {
            nodes: 40,
            seconds: 2,
            fault,
            ..wide()
        };
        let r = run(&size, none).row;
        let back = get(&r, "fault.back_ms");
        println!(
            "{fault:?}: back after {back} ms, {} dark for {} ms at most",
            get(&r, "fault.dark_nodes"),
            get(&r, "fault.longest_dark_ms")
        );
        assert!((0.0..=most).contains(&back), "{fault:?}: {back}");
    }
}

/// A site's claims cannot be lost from the account by any new kind of frame.
#[test]
fn kinds_add_up_to_the_whole() {
    let size = Size {
        claims_per_s: 50.0,
        seconds: 3,
        ..Size::default()
    };
    let r = run(&size, none).row;
    for (whole, begins) in [
        ("core.out.bytes", ["core.out.core.", "core.out.edge."]),
        ("edge.in.bytes", ["edge.in.core.", "edge.in.core."]),
    ] {
        let is = |k: &str| begins.iter().any(|b| k.starts_with(b)) && k.ends_with(".bytes");
        let sum: f64 = r.iter().filter(|(k, _)| is(k)).map(|(_, v)| v).sum();
        let all = get(&r, whole);
        assert!(all > 0.0 && (sum - all).abs() < all * 1e-9, "{whole}");
    }
}

fn made(f: impl Fn(f64, f64, f64) -> f64) -> Vec<Row> {
    let mut rows = Vec::new();
    let mut cores = 0.0;
    for n in [12.0, 48.0, 95.0, 380.0] {
        for w in [18.0, 200.0, 1000.0] {
            for t in [8.0, 200.0, 1400.0] {
                // cores come to differ in no step with the rest
                cores = if cores == 3.0 { 9.0 } else { 3.0 };
                let row = [
                    ("nodes", n),
                    ("cores", cores),
                    ("workers", w),
                    ("routes", t),
                    ("told", 100.0),
                    ("y", f(n, w, t)),
                ];
                rows.push(row.into_iter().map(|(k, v)| (k.to_string(), v)).collect());
            }
        }
    }
    rows
}

fn slope(rows: &[Row], term: &str) -> f64 {
    let f = fit("y", rows).expect("there is a fit");
    let t = f.terms.iter().find(|t| t.0 == term);
    t.unwrap_or_else(|| panic!("{term} is among {:?}", f.terms))
        .1
}

#[test]
fn the_fit_finds_slopes_that_were_put_in() {
    let near = |a: f64, b: f64| (a - b).abs() <= b.abs() * 0.02;
    let lines = made(|n, w, _| 500.0 + 90.0 * w + 7.0 * n);
    assert!(near(slope(&lines, "1"), 500.0));
    assert!(near(slope(&lines, "worker"), 90.0));
    assert!(near(slope(&lines, "node"), 7.0));
    let products = made(|n, w, t| 40.0 * n + 0.5 * n * w + 0.2 * n * t);
    assert!(near(slope(&products, "node x worker"), 0.5));
    assert!(near(slope(&products, "node x route told"), 0.2));
    let at = fit("y", &products).expect("there is a fit");
    let mut size = products[0].clone();
    size.insert("nodes".into(), 1000.0);
    size.insert("workers".into(), 6700.0);
    size.insert("routes".into(), 2500.0);
    let is = 40_000.0 + 0.5 * 6_700_000.0 + 0.2 * 2_500_000.0;
    assert!(near(at.at(&size), is), "{} for {is}", at.at(&size));
    assert!(at.worst < 0.01);
}

/// Noise of a few percent moves a slope by a few percent.
#[test]
fn the_fit_bears_noise() {
    let mut r = testbed::rand::Rand::new(7);
    let mut rows = made(|n, w, _| 0.5 * n * w + 300.0);
    for row in &mut rows {
        let by = 0.97 + r.below(60) as f64 / 1000.0;
        row.entry("y".into()).and_modify(|y| *y *= by);
    }
    let s = slope(&rows, "node x worker");
    assert!((0.48..=0.52).contains(&s), "{s}");
}

#[test]
fn what_cannot_be_told_apart_has_no_slope() {
    assert!(testbed::capacity::solve(&[vec![1.0, 2.0], vec![2.0, 4.0]], &[1.0, 2.0]).is_none());
}
