//! Random configurations and patches that add, remove, rename and change routes and
//! services; some of them are invalid.

use super::World;
use crate::rand::Rand;
use sorreldoor::replicated_state::Command;
use sorreldoor::types::Millis;

/// How often, in percent, another operator submits a change on the same base.
const RIVAL_PERCENT: u64 = 25;

/// The routes: name, kind, whether streamed, and deadline in milliseconds.
/// They are fixed because the simulated clients use them.
const ROUTES: [(&str, &str, bool, u64); 4] = [
    ("verdict", "prefix", true, 20_000),
    ("draft", "decode", true, 60_000),
    ("question", "decode", false, 20_000),
    ("page", "fetch", false, 5000),
];

/// One of the names, or all of them.
fn one_or_all(rng: &mut Rand, of: &[&str]) -> String {
    let all: Vec<String> = of.iter().map(|g| format!("{g:?}")).collect();
    let one = rng.below(all.len() as u64) as usize;
    if rng.chance(40) {
        all.join(",")
    } else {
        all[one].clone()
    }
}

fn share(rng: &mut Rand, service: &str, weight: u64) -> String {
    let bounds = match rng.below(3) {
        0 => format!(r#","least":0,"most":{}"#, weight + 40),
        1 if weight > 10 => format!(r#","least":10,"most":{weight}"#),
        _ => String::new(),
    };
    format!(r#"{service:?}:{{"weight":{weight}{bounds}}}"#)
}

fn route(rng: &mut Rand, i: usize, llms: &[String], pages: &str) -> String {
    let (name, kind, streamed, cutoff) = ROUTES[i];
    let repeatable = rng.chance(if kind == "fetch" { 80 } else { 15 });
    let home = kind == "decode" && rng.chance(45);
    let shares: Vec<String> = if kind == "fetch" {
        vec![share(rng, pages, 100)]
    } else {
        let weighted = rng.below(llms.len() as u64) as usize;
        let all = llms.iter().enumerate();
        all.map(|(j, s)| {
            let other_weight = [0, 30, 100][rng.below(3) as usize];
            share(rng, s, if j == weighted { 50 } else { other_weight })
        })
        .collect()
    };
    format!(
        r#"{name:?}:{{"kind":{kind:?},"streamed":{streamed},"repeatable":{repeatable},"home":{home},"cutoff_ms":{cutoff},"shares":{{{}}}}}"#,
        shares.join(",")
    )
}

/// A random configuration with a service named after `marker`, which no other
/// document has.
pub fn random_document(rng: &mut Rand, regions: &[String], marker: u64) -> String {
    let llms: Vec<String> = [["llm", "big"], ["alt", "zed"]]
        .iter()
        .map(|n| n[rng.below(2) as usize].to_string())
        .collect();
    let pages = ["pages", "front"][rng.below(2) as usize];
    let mut services = vec![format!(r#""mark-{marker}":{{"groups":["gpu"]}}"#)];
    for s in &llms {
        services.push(format!(
            r#"{s:?}:{{"groups":[{}]}}"#,
            one_or_all(rng, &["gpu", "gpx"])
        ));
    }
    services.push(format!(
        r#"{pages:?}:{{"groups":[{}]}}"#,
        one_or_all(rng, &["web", "wex"])
    ));
    let mut routes = Vec::new();
    for i in 0..rng.below(4) {
        routes.push(format!(
            r#""a{i}":{{"kind":"fetch","repeatable":true,"shares":{{{pages:?}:{{"weight":1}}}}}}"#
        ));
    }
    let missing = rng.below(7) as usize;
    for i in (0..ROUTES.len()).filter(|i| *i != missing) {
        routes.push(route(rng, i, &llms, pages));
    }
    let mut spill = Vec::new();
    for (i, a) in regions.iter().enumerate() {
        if rng.chance(60) {
            let b = &regions[1 - i];
            spill.push(format!(r#"{a:?}:{{{b:?}:{}}}"#, [20, 50, 0][i % 3]));
        }
    }
    format!(
        r#"{{"groups":{{"gpu":{{"kind":"model","slots":4}},"gpx":{{"kind":"model","slots":3}},"web":{{"kind":"web","slots":16}},"wex":{{"kind":"web","slots":8}}}},"services":{{{}}},"routes":{{{}}},"spill":{{{}}},"retry":{{"percent":15}}}}"#,
        services.join(","),
        routes.join(","),
        spill.join(",")
    )
}

/// The document made invalid: a misspelt key, unknown names, cut short, or a value
/// out of range.
fn corrupted(rng: &mut Rand, doc: &str) -> String {
    match rng.below(4) {
        0 => doc.replacen("\"weight\"", "\"weigth\"", 1),
        1 => doc.replacen("\"gpx\",", "\"gpq\",", 1).replacen(
            "\"kind\":\"model\"",
            "\"kind\":\"modle\"",
            1,
        ),
        2 => doc[..doc.len() - 2].to_string(),
        _ => doc.replacen("\"percent\":15", "\"percent\":90", 1),
    }
}

fn random_patch(rng: &mut Rand, marker: u64) -> String {
    let more = match rng.below(8) {
        0 => r#""routes":{"draft":null}"#.to_string(),
        1 => r#""routes":{"draft":{"home":true,"repeatable":false}}"#.to_string(),
        2 => r#""spill":null"#.to_string(),
        3 => {
            r#""routes":{"a9":{"kind":"fetch","repeatable":true,"shares":{"pages":{"weight":1}}}}"#
                .to_string()
        }
        4 => r#""services":{"llm":null}"#.to_string(),
        5 => r#""routes":{"verdict":{"shares":{"llm":{"weight":0,"least":null,"most":null}}}}"#
            .to_string(),
        6 => r#""services":{"llm":{"groups":["gpx"]},"big":{"groups":["gpu"]}}"#.to_string(),
        _ => r#""routes":{"page":{"repeatable":false}}"#.to_string(),
    };
    let marker = format!(r#""services":{{"mark-{marker}":{{"groups":["gpu"]}}}}"#);
    if more.starts_with("\"services\"") {
        return format!("{{{more}}}");
    }
    format!("{{{more},{marker}}}")
}

impl World {
    /// Moves every other worker to a second group of its kind.
    pub fn split_worker_groups(&mut self) {
        for (i, worker) in self.registry.workers.iter_mut().enumerate() {
            if i % 2 == 1 {
                worker.group = if worker.group == "gpu" { "gpx" } else { "wex" }.into();
            }
        }
    }

    fn propose_random_document(&mut self) {
        let process = self.random_process();
        let Some(current) = self.version_at(process) else {
            return;
        };
        // one in ten is based on an old version, one in ten on a future one
        let base = match self.rng.below(10) {
            0 => current.saturating_sub(1),
            1 => current + 1,
            _ => current,
        };
        let command = self.random_command(base);
        if self.rng.chance(RIVAL_PERCENT) {
            let rival_process = self.random_process();
            let doc = self.random_marked_document();
            let rival = Command::Put {
                base,
                new_version: None,
                document: doc,
            };
            self.change(rival_process, rival);
        }
        self.change(process, command);
    }

    fn random_marked_document(&mut self) -> String {
        let marker = self.number();
        let regions = self.site.regions.clone();
        random_document(&mut self.rng, &regions, marker)
    }

    /// A valid document, a corrupted one, or a patch.
    fn random_command(&mut self, base: u64) -> Command {
        let marker = self.number();
        let regions = self.site.regions.clone();
        let doc = random_document(&mut self.rng, &regions, marker);
        match self.rng.below(10) {
            0 | 1 => Command::Put {
                base,
                new_version: None,
                document: corrupted(&mut self.rng, &doc),
            },
            2..=5 => Command::Put {
                base,
                new_version: None,
                document: doc,
            },
            _ => Command::MergePatch {
                base,
                patch: random_patch(&mut self.rng, marker),
            },
        }
    }

    /// Submits random configurations until `end`, about one every
    /// `mean_interval_ms`.
    pub fn random_document_changes(&mut self, mean_interval_ms: Millis, end: Millis) {
        if self.now >= end {
            return;
        }
        self.propose_random_document();
        let interval = 50 + self.rng.below(2 * mean_interval_ms);
        self.after(interval, move |world| {
            world.random_document_changes(mean_interval_ms, end)
        });
    }
}
