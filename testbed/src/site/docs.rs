//! Whole setups and edits as operators may send them in a bad week: routes
//! and services added, removed, renamed, moved, flipped; some of them faulty.

use super::World;
use crate::rand::Rand;
use sorreldoor::replicated_state::Command;
use sorreldoor::types::Millis;

/// Kinds, streaming and cutoffs stay, for the workers here know no others.
const ROUTES: [(&str, &str, bool, u64); 4] = [
    ("verdict", "prefix", true, 20_000),
    ("draft", "decode", true, 60_000),
    ("question", "decode", false, 20_000),
    ("page", "fetch", false, 5000),
];

fn some(r: &mut Rand, of: &[&str]) -> String {
    let all: Vec<String> = of.iter().map(|g| format!("{g:?}")).collect();
    let one = r.below(all.len() as u64) as usize;
    if r.chance(40) {
        all.join(",")
    } else {
        all[one].clone()
    }
}

fn share(r: &mut Rand, service: &str, weight: u64) -> String {
    let bounds = match r.below(3) {
        0 => format!(r#","least":0,"most":{}"#, weight + 40),
        1 if weight > 10 => format!(r#","least":10,"most":{weight}"#),
        _ => String::new(),
    };
    format!(r#"{service:?}:{{"weight":{weight}{bounds}}}"#)
}

fn route(r: &mut Rand, i: usize, llms: &[String], pages: &str) -> String {
    let (name, kind, streamed, cutoff) = ROUTES[i];
    let again = r.chance(if kind == "fetch" { 80 } else { 15 });
    let home = kind == "decode" && r.chance(45);
    let shares: Vec<String> = if kind == "fetch" {
        vec![share(r, pages, 100)]
    } else {
        let sure = r.below(llms.len() as u64) as usize;
        let all = llms.iter().enumerate();
        all.map(|(j, s)| {
            let w = [0, 30, 100][r.below(3) as usize];
            share(r, s, if j == sure { 50 } else { w })
        })
        .collect()
    };
    format!(
        r#"{name:?}:{{"kind":{kind:?},"streamed":{streamed},"repeatable":{again},"home":{home},"cutoff_ms":{cutoff},"shares":{{{}}}}}"#,
        shares.join(",")
    )
}

/// A setup like no other: `mark` is a service that only it names.
pub fn any_doc(r: &mut Rand, regions: &[String], mark: u64) -> String {
    let llms: Vec<String> = [["llm", "big"], ["alt", "zed"]]
        .iter()
        .map(|n| n[r.below(2) as usize].to_string())
        .collect();
    let pages = ["pages", "front"][r.below(2) as usize];
    let mut services = vec![format!(r#""mark-{mark}":{{"groups":["gpu"]}}"#)];
    for s in &llms {
        services.push(format!(
            r#"{s:?}:{{"groups":[{}]}}"#,
            some(r, &["gpu", "gpx"])
        ));
    }
    services.push(format!(
        r#"{pages:?}:{{"groups":[{}]}}"#,
        some(r, &["web", "wex"])
    ));
    let mut routes = Vec::new();
    for i in 0..r.below(4) {
        routes.push(format!(
            r#""a{i}":{{"kind":"fetch","repeatable":true,"shares":{{{pages:?}:{{"weight":1}}}}}}"#
        ));
    }
    let gone = r.below(7) as usize;
    for i in (0..ROUTES.len()).filter(|i| *i != gone) {
        routes.push(route(r, i, &llms, pages));
    }
    let mut spill = Vec::new();
    for (i, a) in regions.iter().enumerate() {
        if r.chance(60) {
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

fn spoilt(r: &mut Rand, doc: &str) -> String {
    match r.below(4) {
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

fn any_patch(r: &mut Rand, mark: u64) -> String {
    let more = match r.below(8) {
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
    let mark = format!(r#""services":{{"mark-{mark}":{{"groups":["gpu"]}}}}"#);
    if more.starts_with("\"services\"") {
        return format!("{{{more}}}");
    }
    format!("{{{more},{mark}}}")
}

impl World {
    /// Half the workers of each kind belong to a second group.
    pub fn regroup(&mut self) {
        for (i, w) in self.registry.workers.iter_mut().enumerate() {
            if i % 2 == 1 {
                w.group = if w.group == "gpu" { "gpx" } else { "wex" }.into();
            }
        }
    }

    fn any_doc_change(&mut self) {
        let p = self.rng.below(self.procs.len() as u64) as usize;
        let Some(top) = self.version_at(p) else {
            return;
        };
        // some build on what is long gone, or on what does not exist yet
        let base = match self.rng.below(10) {
            0 => top.saturating_sub(1),
            1 => top + 1,
            _ => top,
        };
        let mark = self.number();
        let regions = self.site.regions.clone();
        let doc = any_doc(&mut self.rng, &regions, mark);
        let cmd = match self.rng.below(10) {
            0 | 1 => {
                let doc = spoilt(&mut self.rng, &doc);
                Command::Put {
                    base,
                    new_version: None,
                    document: doc,
                }
            }
            2..=5 => Command::Put {
                base,
                new_version: None,
                document: doc,
            },
            _ => {
                let patch = any_patch(&mut self.rng, mark);
                Command::MergePatch { base, patch }
            }
        };
        let rival = self.rng.chance(25);
        if rival {
            let q = self.rng.below(self.procs.len() as u64) as usize;
            let mark = self.number();
            let doc = any_doc(&mut self.rng, &regions, mark);
            self.change(
                q,
                Command::Put {
                    base,
                    new_version: None,
                    document: doc,
                },
            );
        }
        self.change(p, cmd);
    }

    /// Operators at work until `end`, every `every` ms or so.
    pub fn operators(&mut self, every: Millis, end: Millis) {
        if self.now >= end {
            return;
        }
        self.any_doc_change();
        let gap = 50 + self.rng.below(2 * every);
        self.after(gap, move |w| w.operators(every, end));
    }

    /// Traffic whose callers all name their home, so that any route may bind.
    pub fn homed_traffic(&mut self, per_s: u64, end: Millis) {
        if self.now >= end {
            return;
        }
        let edges = self.edges();
        let e = edges[self.rng.below(edges.len() as u64) as usize];
        let home = Some(self.rng.below(self.site.regions.len() as u64) as u8);
        let key = format!("prefix{}", self.rng.below(24));
        let r = self.rng.below(10) as usize;
        let route = [
            "verdict", "verdict", "verdict", "draft", "draft", "question", "question", "page",
            "page", "page",
        ][r];
        self.ask(e, route, if route == "verdict" { &key } else { "" }, home);
        let gap = 1 + self.rng.below(2000 / per_s.max(1));
        self.after(gap, move |w| w.homed_traffic(per_s, end));
    }
}
