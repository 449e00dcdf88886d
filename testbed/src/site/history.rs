//! What each serial may have said, worked out from operators' changes and
//! their outcomes alone, and what such a document allows. Nothing here uses
//! the product's own reading of a setup.

use super::{Handed, World};
use simd_json::prelude::*;
use sorreldoor::json::{self, Value};
use sorreldoor::replicated_state::{Command, Outcome};
use sorreldoor::wire::OpOutcome;
use std::collections::BTreeMap;
use std::rc::Rc;

pub struct History {
    /// The documents that a serial may stand for: one, or a few where the
    /// outcome of a change is not known.
    may: BTreeMap<u64, Vec<Rc<Value>>>,
    read: std::cell::RefCell<BTreeMap<usize, Rc<Value>>>,
}

/// RFC 7396, written again for the check.
fn patched(of: &Value, patch: &Value) -> Value {
    let Some(p) = patch.as_object() else {
        return patch.clone();
    };
    let mut out = if of.is_object() {
        of.clone()
    } else {
        Value::object()
    };
    for (k, v) in p.iter() {
        if v.is_null() {
            let _ = out.remove(k.as_str());
        } else {
            let old = out.get(k.as_str()).cloned().unwrap_or_default();
            let _ = out.insert(k.clone(), patched(&old, v));
        }
    }
    out
}

fn after(cmd: &Command, of: &Option<Rc<Value>>) -> Option<Rc<Value>> {
    let parse = |t: &str| json::parse(t.as_bytes(), usize::MAX).ok();
    match cmd {
        Command::Put { document: doc, .. } => parse(doc).map(Rc::new),
        Command::MergePatch { patch, .. } => of
            .as_ref()
            .zip(parse(patch))
            .map(|(o, p)| Rc::new(patched(o, &p))),
        _ => of.clone(),
    }
}

impl History {
    pub fn of(w: &World) -> History {
        let mut may: BTreeMap<u64, Vec<Rc<Value>>> = BTreeMap::new();
        let top = w.changes.iter().map(|c| c.base + 1).max().unwrap_or(0);
        for s in 1..=top {
            let taken = OpOutcome::Got(Outcome::Applied { version: s });
            let sure: Vec<&Command> = w
                .changes
                .iter()
                .filter(|c| c.outcome.as_ref() == Some(&taken))
                .map(|c| &c.cmd)
                .collect();
            let maybe: Vec<&Command> = w
                .changes
                .iter()
                .filter(|c| c.base + 1 == s)
                .filter(|c| matches!(c.outcome, None | Some(OpOutcome::Unknown)))
                .map(|c| &c.cmd)
                .collect();
            let from = may.get(&(s - 1)).cloned().unwrap_or_default();
            let olds: Vec<Option<Rc<Value>>> = if from.is_empty() {
                vec![None]
            } else {
                from.into_iter().map(Some).collect()
            };
            let mut out: Vec<Rc<Value>> = Vec::new();
            for c in if sure.is_empty() { maybe } else { sure } {
                for d in olds.iter().filter_map(|o| after(c, o)) {
                    if !out.contains(&d) {
                        out.push(d);
                    }
                }
            }
            may.insert(s, out);
        }
        History {
            may,
            read: Default::default(),
        }
    }

    fn text(&self, doc: &std::sync::Arc<String>) -> Rc<Value> {
        let at = std::sync::Arc::as_ptr(doc) as usize;
        self.read
            .borrow_mut()
            .entry(at)
            .or_insert_with(|| Rc::new(json::parse(doc.as_bytes(), usize::MAX).unwrap_or_default()))
            .clone()
    }

    /// The document that an edge acted on.
    pub fn doc(&self, h: &Handed) -> Rc<Value> {
        self.text(&h.doc)
    }

    /// Whether that document is one that its serial may stand for.
    pub fn known(&self, version: u64, doc: &std::sync::Arc<String>) -> bool {
        let d = self.text(doc);
        self.may
            .get(&version)
            .is_some_and(|all| all.iter().any(|o| **o == *d))
    }
}

pub fn flag(doc: &Value, route: &str, key: &str) -> bool {
    let r = doc.get("routes").and_then(|r| r.get(route));
    r.and_then(|r| r.get(key)).and_then(|b| b.as_bool()) == Some(true)
}

/// Whether the document lets an errand of `route`, taken in at `from` for
/// home `home`, go to a worker of `group` in region `to`.
pub fn allows(
    w: &World,
    doc: &Value,
    route: &str,
    group: &str,
    (from, to): (u8, u8),
    home: Option<u8>,
) -> Result<(), String> {
    let r = doc
        .get("routes")
        .and_then(|r| r.get(route))
        .ok_or("no such route")?;
    let shares = r.get("shares").and_then(|s| s.as_object());
    let goes = shares.is_some_and(|all| {
        all.iter().any(|(name, sh)| {
            let n = |k: &str| sh.get(k).and_then(|x| x.as_u64());
            let some = n("weight") > Some(0) || n("most") > Some(0);
            let gs = doc.get("services").and_then(|s| s.get(name.as_str()));
            let gs = gs.and_then(|s| s.get("groups")).and_then(|g| g.as_array());
            some && gs.is_some_and(|gs| gs.iter().any(|g| g.as_str() == Some(group)))
        })
    });
    if !goes {
        return Err(format!("no share of {route} has group {group}"));
    }
    if flag(doc, route, "home") && (home != Some(to) || from != to) {
        return Err(format!("bound to {home:?}, went {from} to {to}"));
    }
    let name = |r: u8| w.site.regions[r as usize].as_str();
    let spill = doc.get("spill").and_then(|s| s.get(name(from)));
    let spill = spill.and_then(|s| s.get(name(to))).and_then(|n| n.as_u64());
    if from != to && spill.unwrap_or(0) == 0 {
        return Err(format!("no spill from {} to {}", name(from), name(to)));
    }
    Ok(())
}

/// Every hand-over and every run, held against what operators were told.
pub fn services(w: &World, out: &mut Vec<String>) {
    let all = History::of(w);
    for h in &w.handed {
        let (e, k) = (&w.procs[h.edge].name, &w.workers[h.worker]);
        if !all.known(h.version, &h.doc) {
            out.push(format!(
                "{e} acted at {} on a setup nobody got a yes for, as {}",
                h.at, h.version
            ));
        }
        let c = &w.callers[&h.caller];
        let way = (w.procs[h.edge].region, k.region);
        if let Err(why) = allows(w, &all.doc(h), &c.route, &h.group, way, c.home) {
            out.push(format!(
                "{} of {e} was not allowed at {}: {why}",
                h.id, k.name
            ));
        }
    }
    for (i, k) in w.workers.iter().enumerate() {
        for (_, id) in &k.ran {
            if !w.handed.iter().any(|h| h.worker == i && h.id == *id) {
                out.push(format!("{} ran {id}, which no edge sent it", k.name));
            }
        }
    }
    for b in &w.bodies {
        let c = &w.callers[&b.caller];
        let doc = all.text(&b.doc);
        let at = &w.procs[b.edge];
        if flag(&doc, &c.route, "home") && c.home != Some(at.region) {
            out.push(format!("body of {} went to {}", c.id, at.name));
        }
    }
}

/// No errand ran twice unless the setup it was first sent under let it repeat;
/// and none whose own asking was refused ran at all.
pub fn ran_once(w: &World, out: &mut Vec<String>) {
    let all = History::of(w);
    let mut first: BTreeMap<&str, &Handed> = BTreeMap::new();
    for h in &w.handed {
        first.entry(h.id.as_str()).or_insert(h);
    }
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for (_, id) in w.workers.iter().flat_map(|k| &k.ran) {
        *runs.entry(id.as_str()).or_default() += 1;
    }
    for (id, n) in runs.iter().filter(|(_, n)| **n > 1) {
        let Some(h) = first.get(id) else { continue };
        let route = &w.callers[&h.caller].route;
        if !flag(&all.doc(h), route, "repeatable") {
            out.push(format!("errand {id} ({route}) ran {n} times"));
        }
    }
    // one id may be asked at several edges; each asking's word is its own
    for (at, caller, id) in w.workers.iter().flat_map(|k| &k.ran_for) {
        let c = &w.callers[caller];
        let again = first
            .get(id.as_str())
            .is_some_and(|h| flag(&all.doc(h), &c.route, "repeatable"));
        if !again && c.got.refused() {
            out.push(format!(
                "errand {id} was refused ({:?}) at {} and ran at {at}",
                c.got, c.end
            ));
        }
    }
}
