//! The command line of capacity measurements: runs as lines of JSON, and the
//! cost models fitted to them.

use super::{fit, read_rows, run, Fault, FittedModel, Row, Size};
use gumdrop::Options;
use std::path::Path;

#[derive(Debug, Options)]
pub struct HollowArgs {
    #[options(help = "show this help")]
    help: bool,
    #[options(no_short, help = "edges, all but a few of them hollow", default = "12")]
    nodes: usize,
    #[options(no_short, help = "cores", default = "3")]
    cores: usize,
    #[options(no_short, help = "regions", default = "3")]
    regions: usize,
    #[options(no_short, help = "zones; more than cores", default = "6")]
    zones: usize,
    #[options(no_short, help = "workers on the platform's list", default = "18")]
    workers: usize,
    #[options(no_short, help = "routes of the setup", default = "8")]
    routes: usize,
    #[options(no_short, help = "operators' changes a second", default = "0")]
    changes_per_s: f64,
    #[options(no_short, help = "errand ids claimed a second", default = "0")]
    claims_per_s: f64,
    #[options(no_short, help = "virtual seconds measured", default = "10")]
    seconds: u64,
    #[options(no_short, help = "nodes with the edge's whole reducer", default = "2")]
    full: usize,
    #[options(no_short, help = "routes nodes tell of, in percent", default = "100")]
    told: usize,
    #[options(no_short, help = "one way between regions, ms", default = "30")]
    far_ms: u64,
    #[options(no_short, help = "ids a core remembers at most", default = "200000")]
    most_claims: usize,
    #[options(no_short, help = "seed", default = "1")]
    seed: u64,
    #[options(no_short, help = "none, core, restart, zone or part", default = "none")]
    fault: String,
    #[options(no_short, help = "print one line of JSON instead of a page")]
    json: bool,
    #[options(
        no_short,
        help = "no run: slopes from these lines of JSON, and what they come to at the sizes given",
        meta = "FILE"
    )]
    fit: Option<String>,
    #[options(no_short, help = "fit what begins with one of these", meta = "KEYS")]
    keys: Option<String>,
}

impl HollowArgs {
    fn size(&self) -> Result<Size, String> {
        let fault = match self.fault.as_str() {
            "none" => Fault::None,
            "core" => Fault::Core,
            "restart" => Fault::Restart,
            "zone" => Fault::Zone,
            "part" => Fault::Part,
            other => return Err(format!("fault: there is no {other:?}")),
        };
        let size = Size {
            nodes: self.nodes,
            cores: self.cores,
            regions: self.regions,
            zones: self.zones,
            workers: self.workers,
            routes: self.routes,
            changes_per_s: self.changes_per_s,
            claims_per_s: self.claims_per_s,
            seconds: self.seconds.max(1),
            full: self.full.min(self.nodes),
            reported_percent: self.told,
            cross_region_ms: self.far_ms,
            most_claims: self.most_claims,
            seed: self.seed,
            fault,
        };
        let enough_zones =
            size.regions > 0 && size.zones >= size.regions && size.zones >= size.cores;
        Some(size)
            .filter(|size| enough_zones && size.cores > 0 && size.cores < 200 && size.routes > 0)
            .ok_or("zones: at least as many as regions and as cores, of these one or more".into())
    }
}

pub fn hollow(args: &HollowArgs, heap: super::Heap) -> Result<(), String> {
    let size = args.size()?;
    if let Some(file) = &args.fit {
        return print_slopes(Path::new(file), args.keys.as_deref().unwrap_or(""), &size);
    }
    let report = run(&size, heap);
    if args.json {
        println!("{}", to_json(&report.row)?);
    } else {
        print!("{report}");
    }
    Ok(())
}

fn to_json(row: &Row) -> Result<String, String> {
    simd_json::serde::to_string(row).map_err(|e| e.to_string())
}

fn print_slopes(file: &Path, keys: &str, at: &Size) -> Result<(), String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    // a site that rejects frames or never gets ready has no slope
    let is_usable = |row: &Row| row.get("ready") == Some(&1.0) && row.get("refused") == Some(&0.0);
    let rows: Vec<Row> = read_rows(&text)?.into_iter().filter(is_usable).collect();
    let mut keys_found: Vec<&String> = rows.iter().flat_map(|row| row.keys()).collect();
    keys_found.sort();
    keys_found.dedup();
    let wanted = |k: &str| keys.split(',').any(|p| k.starts_with(p));
    let at = super::dimensions(at);
    println!("| what | slopes | rms | worst | runs | at the size given |");
    println!("| --- | --- | --- | --- | --- | --- |");
    keys_found
        .into_iter()
        .filter(|k| wanted(k))
        .filter_map(|k| fit(k, &rows))
        .for_each(|model| println!("{}", table_row(&model, &at)));
    Ok(())
}

/// A number with about three significant digits.
fn format_significant(x: f64) -> String {
    if x.abs() >= 100.0 {
        format!("{x:.0}")
    } else if x.abs() >= 0.01 {
        format!("{x:.3}")
    } else {
        format!("{x:.2e}")
    }
}

fn table_row(model: &FittedModel, at: &Row) -> String {
    let terms: Vec<String> = model
        .terms
        .iter()
        .map(|(name, slope)| format!("{} per {name}", format_significant(*slope)))
        .collect();
    format!(
        "| {} | {} | {:.1} % | {:.1} % | {} | {} |",
        model.key,
        terms.join(" + "),
        model.rms * 100.0,
        model.worst * 100.0,
        model.rows,
        format_significant(model.at(at))
    )
}
