//! The two deployments: their regions, sizes and delays, and their configuration.

use std::time::Duration;

/// Sizes and delays of a deployment.
#[derive(Clone, Debug)]
pub struct SitePreset {
    pub site: &'static str,
    /// Regions with their zones and numbers of model workers.
    pub regions: Vec<(&'static str, Vec<&'static str>, usize)>,
    pub web_workers: usize,
    /// One-way network delay between regions.
    pub region_delay: Duration,
    pub edges_per_zone: usize,
}

pub fn press() -> SitePreset {
    SitePreset {
        site: "press",
        regions: vec![("north", vec!["n1", "n2"], 10), ("south", vec!["s1"], 8)],
        web_workers: 3,
        region_delay: Duration::from_millis(25),
        edges_per_zone: 3,
    }
}

pub fn archive() -> SitePreset {
    SitePreset {
        site: "archive",
        regions: vec![
            ("kharkhorin", vec!["k1"], 5),
            ("ulaanbaatar", vec!["u1", "u2"], 6),
        ],
        web_workers: 3,
        region_delay: Duration::from_millis(35),
        edges_per_zone: 3,
    }
}

/// A configuration with a route for every kind of request of a deployment.
pub fn configuration(preset: &SitePreset) -> String {
    let a = preset.regions[0].0;
    let b = preset.regions[1].0;
    format!(
        r#"{{
  "groups": {{
    "gpu": {{"kind": "model", "slots": 4, "queue": 64, "warmup": {{"first": 2, "after": 2}}}},
    "web": {{"kind": "web", "slots": 16, "queue": 64}}
  }},
  "services": {{
    "llm": {{"groups": ["gpu"]}},
    "pages": {{"groups": ["web"]}}
  }},
  "routes": {{
    "verdict": {{"kind": "prefix", "streamed": true, "cutoff_ms": 20000, "shares": {{"llm": {{"weight": 100}}}}}},
    "draft": {{"kind": "decode", "streamed": true, "cutoff_ms": 60000, "shares": {{"llm": {{"weight": 100}}}}}},
    "question": {{"kind": "decode", "streamed": false, "home": true, "cutoff_ms": 20000, "shares": {{"llm": {{"weight": 100}}}}}},
    "page": {{"kind": "fetch", "repeatable": true, "streamed": false, "cutoff_ms": 5000, "shares": {{"pages": {{"weight": 100}}}}}}
  }},
  "spill": {{"{a}": {{"{b}": 50}}, "{b}": {{"{a}": 50}}}},
  "retry": {{"percent": 15}}
}}
"#
    )
}
