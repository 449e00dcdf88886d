//! Applying committed entries: the same everywhere, in the same order.

use super::{decode, encode, Cmd, Document, Kept, Outcome, Record};
use crate::consensus::{Machine, ProposalId};
use crate::json;
use crate::rules::{broken, Rule};
use crate::setup::hosted_change::{HostedChange, ListChange};
use crate::setup::{self, Setup};
use std::sync::Arc;

impl Record {
    fn run(&mut self, cmd: Cmd) -> Outcome {
        match cmd {
            Cmd::Put { base, to, doc } => self.based(base, to, |r| r.put(doc.into_bytes())),
            Cmd::Edit { base, patch } => self.based(base, None, |r| r.edit(&patch)),
            Cmd::Items {
                base,
                to,
                set,
                drop,
            } => self.based(base, to, |r| r.items(&set, &drop)),
            Cmd::Evacuate { zone, emptied } => self
                .zone(zone, emptied)
                .map_or_else(|faults| Outcome::Bad { faults }, |()| self.changed()),
            Cmd::EvacuateOnce {
                zone,
                emptied,
                changes,
            } => self.evacuate_once(zone, emptied, changes),
            Cmd::Zone {
                base,
                zone,
                emptied,
            } => self.based(base, None, |r| r.zone(zone, emptied)),
            Cmd::Duty { holder, above } => {
                // two that raced for the duty must not both think they hold it
                if above != self.kept.epoch {
                    return self.old_epoch();
                }
                self.kept.epoch += 1;
                self.kept.holder = holder;
                self.changed()
            }
            Cmd::Tune {
                epoch,
                serial,
                weights,
            } => self.tune(epoch, serial, weights),
            Cmd::Region {
                epoch,
                region,
                state,
            } => {
                if epoch != self.kept.epoch {
                    return self.old_epoch();
                }
                self.kept.regions.insert(region, state);
                self.changed()
            }
        }
    }

    fn old_epoch(&self) -> Outcome {
        Outcome::OldEpoch {
            epoch: self.kept.epoch,
        }
    }

    fn changed(&mut self) -> Outcome {
        self.kept.rev += 1;
        Outcome::Taken {
            serial: self.kept.serial,
        }
    }

    fn based(
        &mut self,
        base: u64,
        to: Option<u64>,
        f: impl FnOnce(&mut Record) -> Result<(), Vec<String>>,
    ) -> Outcome {
        // of two changes that build on one serial, only the first may win
        if base != self.kept.serial && !broken(Rule::Base) {
            if broken(Rule::Loser) && f(self).is_ok() {
                self.kept.rev += 1;
            }
            return self.not_current(base);
        }
        let serial = to.unwrap_or(self.kept.serial + 1);
        if serial <= self.kept.serial {
            let faults = vec![format!(
                "serial: {serial} is not above {}",
                self.kept.serial
            )];
            return Outcome::Bad { faults };
        }
        f(self).map_or_else(
            |faults| Outcome::Bad { faults },
            |()| {
                self.kept.serial = serial;
                self.changed()
            },
        )
    }

    /// The outcome of an order on another version than the current one.
    fn not_current(&self, base: u64) -> Outcome {
        let serial = self.kept.serial;
        // a base that is still to come may be current when another copy of
        // the order is applied, so this copy must not be answered with a no
        if base > serial && !broken(Rule::NotYet) {
            return Outcome::NotYet { serial };
        }
        Outcome::Stale { serial }
    }

    fn evacuate_once(&mut self, zone: u16, emptied: bool, changes: u64) -> Outcome {
        let done = self.kept.emptied.contains(&zone) == emptied;
        let overtaken = changes != self.zone_changes(zone) && !broken(Rule::EvacuateOnce);
        if overtaken && !done {
            return Outcome::Unsure {
                serial: self.kept.serial,
            };
        }
        self.run(Cmd::Evacuate { zone, emptied })
    }

    fn put(&mut self, doc: Vec<u8>) -> Result<(), Vec<String>> {
        let (s, v) = setup::read(&doc, &self.site)?;
        let revision = self.kept.rev + 1;
        let document = self.kept.document.get_or_insert_with(Document::default);
        document.replace(&v, revision);
        self.setup = Some(Arc::new(s));
        self.forget_weights();
        Ok(())
    }

    /// Tuned weights speak of routes by index, which a new setup moves.
    fn forget_weights(&mut self) {
        if !self.kept.weights.is_empty() {
            self.kept.weights = Default::default();
            self.kept.weights_revision = self.kept.rev + 1;
        }
    }

    fn edit(&mut self, patch: &str) -> Result<(), Vec<String>> {
        let doc = self
            .kept
            .document
            .as_ref()
            .map(Document::text)
            .ok_or(vec!["edit: there is no setup to edit yet".to_string()])?;
        let one = |e| vec![format!("edit: {e}")];
        let p = json::parse(patch.as_bytes(), setup::MOST_BYTES).map_err(one)?;
        let mut v = json::parse(doc.as_bytes(), usize::MAX).map_err(one)?;
        json::merge(&mut v, &p);
        self.put(json::canon(&v).into_bytes())
    }

    /// Costs what is changed, not what is there.
    fn items(&mut self, set: &str, drop: &str) -> Result<(), Vec<String>> {
        let one = |e: String| vec![format!("items: {e}")];
        let part = |t: &str| json::parse(t.as_bytes(), setup::MOST_BYTES).map_err(one);
        let (set, drop) = (part(set)?, part(drop)?);
        let mut document = self.kept.document.clone().unwrap_or_default();
        document
            .change_items(&set, &drop, self.kept.rev + 1)
            .map_err(one)?;
        if document.bytes() > setup::MOST_BYTES {
            let most = setup::MOST_BYTES;
            return Err(one(format!("the setup would be larger than {most} bytes")));
        }
        let Some(old) = self.setup.clone() else {
            return self.put(document.text().into_bytes());
        };
        let hosted = old.hosted.clone().unwrap_or_default();
        let rest = document.hosted_rest();
        let change = HostedChange {
            rest: Some(&rest),
            services: ListChange::of(&set, &drop, "services"),
            routes: ListChange::of(&set, &drop, "routes"),
        };
        let hosted = change.apply(&hosted, &self.site)?;
        self.setup = Some(Arc::new(Setup {
            hosted: Some(Arc::new(hosted)),
            ..(*old).clone()
        }));
        self.kept.document = Some(document);
        self.forget_weights();
        Ok(())
    }

    fn zone(&mut self, zone: u16, emptied: bool) -> Result<(), Vec<String>> {
        if self.site.zone_name(zone) == "?" {
            return Err(vec![format!("zone: there is no zone {zone}")]);
        }
        if emptied == self.kept.emptied.contains(&zone) {
            return Ok(());
        }
        if emptied {
            self.kept.emptied.insert(zone);
        } else {
            self.kept.emptied.remove(&zone);
        }
        let changes = self.zone_changes(zone) + 1;
        self.kept.zone_changes.insert(zone, changes);
        Ok(())
    }

    fn tune(&mut self, epoch: u64, serial: u64, ws: Vec<(u16, u16, u32)>) -> Outcome {
        if epoch != self.kept.epoch {
            return self.old_epoch();
        }
        if serial != self.kept.serial {
            return Outcome::Stale {
                serial: self.kept.serial,
            };
        }
        let Some(s) = self.setup.clone() else {
            return Outcome::Bad {
                faults: vec!["tune: there is no setup".into()],
            };
        };
        for (r, v, w) in ws {
            let share = s
                .routes
                .get(r as usize)
                .and_then(|x| x.shares.iter().find(|h| h.service == v));
            // whatever a tuner thinks, the operator's bounds hold here
            if let Some(h) = share {
                self.kept.weights.insert((r, v), w.clamp(h.least, h.most));
            }
        }
        self.kept.weights_revision = self.kept.rev + 1;
        self.changed()
    }

    /// What a change would do, without doing it.
    pub fn tried(&self, cmd: Cmd) -> (Outcome, Record) {
        let mut r = self.clone();
        let o = r.run(cmd);
        (o, r)
    }
}

impl Record {
    /// The outcome of a proposal that was taken before.
    fn taken_before(&self, id: ProposalId) -> Option<Outcome> {
        let known = self.kept.taken.version_of(id);
        let serial = known.filter(|_| !broken(Rule::AppliedOnce))?;
        if broken(Rule::RefusalKept) && serial == REFUSED {
            let serial = self.kept.serial;
            return Some(Outcome::Stale { serial });
        }
        Some(Outcome::Taken { serial })
    }

    /// Applies a proposal that is not known to have been taken.
    fn apply_new(&mut self, id: ProposalId, cmd: Cmd) -> Outcome {
        let base = cmd.base();
        if base.is_some_and(|base| self.kept.taken.may_have_forgotten(base)) {
            let serial = self.kept.serial;
            return Outcome::Unsure { serial };
        }
        let outcome = self.run(cmd);
        match (&outcome, base) {
            (Outcome::Taken { serial }, Some(_)) => self.kept.taken.insert_order(id, *serial),
            (Outcome::Taken { serial }, None) => self.kept.taken.insert_proposal(id, *serial),
            (_, Some(_)) if broken(Rule::RefusalKept) => self.kept.taken.insert_order(id, REFUSED),
            _ => {}
        }
        outcome
    }
}

/// Stands for a refusal where a test has them kept; no version is 0.
const REFUSED: u64 = 0;

impl Machine for Record {
    fn apply(&mut self, _idx: u64, pid: ProposalId, data: &[u8]) -> Vec<u8> {
        // a copy of an order that was taken, from another core or another try
        let outcome = self
            .taken_before(pid)
            .unwrap_or_else(|| match decode::<Cmd>(data) {
                Some(cmd) => self.apply_new(pid, cmd),
                None => Outcome::Bad {
                    faults: vec!["proposal: cannot be read".into()],
                },
            });
        encode(&outcome)
    }

    fn answered(&self, pid: ProposalId) -> Option<Arc<Vec<u8>>> {
        let before = self.taken_before(pid)?;
        Some(Arc::new(encode(&before)))
    }

    fn image(&self) -> Vec<u8> {
        encode(&self.kept)
    }

    fn load(&mut self, image: &[u8]) -> bool {
        let Some(mut k) = decode::<Kept>(image) else {
            return false;
        };
        k.upgrade();
        if broken(Rule::TakenInImage) {
            k.taken = Default::default();
        }
        let older = k.doc.take();
        if let Some(d) = k.document.as_mut() {
            d.index();
        }
        let text = older.or_else(|| k.document.as_ref().map(|d| Arc::new(d.text())));
        let read = text.map(|d| setup::read(d.as_bytes(), &self.site));
        if read.as_ref().is_some_and(|s| s.is_err()) {
            return false;
        }
        let (setup, value) = read.and_then(|s| s.ok()).unzip();
        if let Some(v) = value.filter(|_| k.document.is_none()) {
            let mut document = Document::default();
            document.replace(&v, k.rev);
            k.document = Some(document);
            k.weights_revision = k.rev;
        }
        self.setup = setup.map(Arc::new);
        self.kept = k;
        true
    }
}
