//! The command that compares load balancing policies in the emulator, on the same mixes
//! and seeds.

use crate::emulator::{
    check, drawn_mix, random_faults, three_region_mix, two_region_mix, uneven_region_mix,
    EarnedValue, Mix, PolicyKind, RunStatistics, World,
};
use gumdrop::Options;
use plotters::prelude::*;
use std::path::{Path, PathBuf};

#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "show this help")]
    help: bool,
    #[options(
        help = "desk, wide, uneven, drawn-SEED, or a JSON file with a mix",
        default = "desk"
    )]
    mix: String,
    #[options(
        help = "factor on the arrival rates of the mix",
        meta = "X",
        default = "1"
    )]
    load: f64,
    #[options(
        no_short,
        help = "seconds of arrivals; 0: as the mix says",
        default = "0"
    )]
    seconds: f64,
    #[options(help = "number of seeds", meta = "N", default = "3")]
    n: u64,
    #[options(no_short, help = "the first seed", meta = "SEED", default = "0")]
    from: u64,
    #[options(help = "random faults for each seed", meta = "N", default = "0")]
    troubles: usize,
    #[options(
        no_short,
        help = "factor on the arrival rates during a burst of 8 s",
        default = "1"
    )]
    burst: f64,
    #[options(no_short, help = "compare the balancer with and without fail-over")]
    moves: bool,
    #[options(no_short, help = "only the balancer, without baselines")]
    table: bool,
    #[options(no_short, help = "list the requests that were not served")]
    unserved: bool,
    #[options(
        help = "write a plot of the time to the first event",
        meta = "FILE.svg"
    )]
    plot: Option<PathBuf>,
}

/// The results of one policy over all seeds.
struct Row {
    name: &'static str,
    statistics: RunStatistics,
    violations: Vec<String>,
    worst: f64,
}

fn mix(a: &Args) -> Result<Mix, String> {
    let mut m = match a.mix.as_str() {
        "desk" => two_region_mix(),
        "wide" => three_region_mix(),
        "uneven" => uneven_region_mix(),
        name if name.starts_with("drawn-") => {
            let seed = name.trim_start_matches("drawn-").parse();
            drawn_mix(seed.map_err(|_| format!("{name}: the seed is not a number"))?)
        }
        f => {
            let mut b = std::fs::read(f).map_err(|e| format!("{f}: {e}"))?;
            simd_json::serde::from_slice(&mut b).map_err(|e| format!("{f}: {e}"))?
        }
    };
    m.load *= a.load;
    if a.seconds > 0.0 {
        m.seconds = a.seconds;
    }
    if a.burst > 1.0 {
        m.faults.push(crate::emulator::Fault {
            kind: "burst".into(),
            at_s: m.seconds / 3.0,
            for_s: 8.0,
            x: a.burst,
            ..Default::default()
        });
    }
    Ok(m)
}

fn run_policy(a: &Args, m: &Mix, policy_kind: PolicyKind) -> Row {
    let mut r = Row {
        name: policy_kind.name(),
        statistics: RunStatistics::default(),
        violations: Vec::new(),
        worst: 1.0,
    };
    for seed in a.from..a.from + a.n {
        let mut m = m.clone();
        m.faults.extend(random_faults(seed, &m, a.troubles));
        let w = World::new(seed, m, policy_kind).run();
        let t = w.statistics();
        if a.unserved {
            println!("seed {seed}: {}", w.describe());
            w.unserved()
                .iter()
                .for_each(|u| println!("seed {seed}: {u}"));
        }
        let found = check(&w);
        r.violations
            .extend(found.iter().map(|x| format!("seed {seed}: {x}")));
        r.worst = r.worst.min(t.worst_in_time_share(3));
        r.statistics.add(t);
    }
    r.statistics.sort();
    r
}

/// Runs the policies and prints a table; false if the balancer violated an invariant.
pub fn run(a: &Args) -> Result<bool, String> {
    let m = mix(a)?;
    let policies: &[PolicyKind] = match (a.table, a.moves) {
        (_, true) => &[
            PolicyKind::Balancer,
            PolicyKind::NoFailOverOnceBegun,
            PolicyKind::NoFailOver,
        ],
        (true, _) => &[PolicyKind::Balancer],
        _ => &[
            PolicyKind::Balancer,
            PolicyKind::RoundRobin,
            PolicyKind::LeastLoad,
        ],
    };
    let rows: Vec<Row> = policies.iter().map(|r| run_policy(a, &m, *r)).collect();
    let workers: u32 = m.services[0].workers.iter().sum();
    let nodes: u32 = m.nodes.iter().sum();
    println!(
        "{workers} workers of {} slots, {nodes} nodes, {} s, seeds {} to {}, load {}, {} random faults",
        m.services[0].slots,
        m.seconds,
        a.from,
        a.from + a.n - 1,
        a.load,
        a.troubles
    );
    let head = [
        "policy",
        "requests",
        "served %",
        "late %",
        "worst 3 s %",
        "first event p50",
        "p95",
        "p99 ms",
        "gap p99",
        "max gap ms",
        "recomputed k tokens",
        "other zone %",
        "other region %",
        "retries",
        "rejections",
        "while idle",
        "late rejections",
        "preemptions",
        "connections",
        "violations",
    ];
    println!("| {} |", head.join(" | "));
    println!("|{}", " --- |".repeat(head.len()));
    rows.iter()
        .for_each(|r| println!("| {} |", cells(r).join(" | ")));
    for r in &rows {
        let k: Vec<String> = r
            .statistics
            .percentages_by_kind()
            .iter()
            .map(|(n, s, l)| format!("{n} {s:.2}/{l:.2}"))
            .collect();
        println!("{}: served/in time % {}", r.name, k.join(", "));
        println!("{}: value earned % {}", r.name, value_text(&r.statistics));
        let rejections_by_error = r
            .statistics
            .rejections_by_error
            .iter()
            .map(|(k, n)| format!("{k} {} ({} idle)", n.0, n.1));
        println!(
            "{}: rejections by error: {}",
            r.name,
            rejections_by_error.collect::<Vec<_>>().join(", ")
        );
    }
    for r in &rows {
        r.violations
            .iter()
            .take(12)
            .for_each(|w| println!("{}: {w}", r.name));
    }
    if let Some(p) = &a.plot {
        plot(p, &rows).map_err(|e| e.to_string())?;
    }
    Ok(rows[0].violations.is_empty())
}

/// Percentages of the value earned: in all, by kind, and by the largest tenth of each
/// kind.
fn value_text(statistics: &RunStatistics) -> String {
    let value = &statistics.value;
    let percent = |value: &EarnedValue| 100.0 * value.share();
    let kinds = statistics
        .by_kind
        .iter()
        .zip(&value.all)
        .zip(&value.largest);
    let kinds = kinds.map(|(((name, _), all), largest)| {
        format!(
            "{name} {:.2} (largest {:.2})",
            percent(all),
            percent(largest)
        )
    });
    let kinds: Vec<String> = kinds.collect();
    format!("{:.2}: {}", percent(&value.total()), kinds.join(", "))
}

fn cells(r: &Row) -> Vec<String> {
    let t = &r.statistics;
    let of = |a: u64, b: u64| format!("{:.2}", 100.0 * a as f64 / b.max(1) as f64);
    let worker_attempts = t.same_zone_attempts + t.same_region_attempts + t.cross_region_attempts;
    vec![
        r.name.to_string(),
        t.requested.to_string(),
        of(t.served, t.requested),
        of(t.late, t.served),
        format!("{:.1}", 100.0 * r.worst),
        format!("{:.0}", t.first_event_quantile(0.5)),
        format!("{:.0}", t.first_event_quantile(0.95)),
        format!("{:.0}", t.first_event_quantile(0.99)),
        format!("{:.0}", t.gap_quantile(0.99)),
        format!("{:.0}", t.max_gap_ms),
        (t.recomputed_tokens / 1000).to_string(),
        of(t.same_region_attempts, worker_attempts),
        of(t.cross_region_attempts, worker_attempts),
        t.retries.to_string(),
        t.rejections.to_string(),
        t.idle_rejections.to_string(),
        t.late_rejections.to_string(),
        t.preemptions.to_string(),
        t.connections.to_string(),
        r.violations.len().to_string(),
    ]
}

type PlotResult = Result<(), Box<dyn std::error::Error>>;

/// Plots the share of requests whose first event arrived within a time.
fn plot(to: &Path, rows: &[Row]) -> PlotResult {
    let root = SVGBackend::new(to, (900, 520)).into_drawing_area();
    root.fill(&WHITE)?;
    let max_ms = rows
        .iter()
        .map(|r| r.statistics.first_event_quantile(0.999))
        .fold(100.0, f64::max);
    let mut c = ChartBuilder::on(&root)
        .caption("time to the first event", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d((10.0..max_ms).log_scale(), 0.0..1.0)?;
    c.configure_mesh()
        .x_desc("ms")
        .y_desc("share of all requests")
        .draw()?;
    for (i, r) in rows.iter().enumerate() {
        let color = [BLUE, RED, BLACK][i % 3];
        let n = r.statistics.requested.max(1) as f64;
        let each = (1..=200).map(|k| f64::from(k) / 200.0);
        let at: Vec<(f64, f64)> = each
            .map(|q| {
                (
                    r.statistics.first_event_quantile(q * 0.999),
                    q * r.statistics.served as f64 / n,
                )
            })
            .collect();
        c.draw_series(LineSeries::new(at, color))?
            .label(r.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    c.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
