//! Applying committed entries: the same everywhere, in the same order.

use super::{decode, encode, Command, Document, Kept, Outcome, ReplicatedState};
use crate::configuration::hosted_change::{HostedChange, ListChange};
use crate::configuration::{self, Configuration};
use crate::consensus::StateMachine;
use crate::invariants::{broken, Invariant};
use crate::json;
use crate::types::ProposalId;
use std::sync::Arc;

impl ReplicatedState {
    fn run(&mut self, cmd: Command) -> Outcome {
        match cmd {
            Command::Put { base, to, doc } => self.based(base, to, |r| r.put(doc.into_bytes())),
            Command::Edit { base, patch } => self.based(base, None, |r| r.edit(&patch)),
            Command::Items {
                base,
                to,
                set,
                drop,
            } => self.based(base, to, |r| r.items(&set, &drop)),
            Command::Evacuate { zone, evacuated } => self
                .zone(zone, evacuated)
                .map_or_else(|faults| Outcome::Bad { faults }, |()| self.changed()),
            Command::EvacuateOnce {
                zone,
                evacuated,
                changes,
            } => self.evacuate_once(zone, evacuated, changes),
            Command::Zone {
                base,
                zone,
                evacuated,
            } => self.based(base, None, |r| r.zone(zone, evacuated)),
            Command::Duty { holder, above } => {
                // two that raced for the duty must not both think they hold it
                if above != self.kept.epoch {
                    return self.old_epoch();
                }
                self.kept.epoch += 1;
                self.kept.holder = holder;
                self.changed()
            }
            Command::Tune {
                epoch,
                version,
                weights,
            } => self.tune(epoch, version, weights),
            Command::Region {
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
        self.kept.revision += 1;
        Outcome::Taken {
            version: self.kept.version,
        }
    }

    fn based(
        &mut self,
        base: u64,
        to: Option<u64>,
        f: impl FnOnce(&mut ReplicatedState) -> Result<(), Vec<String>>,
    ) -> Outcome {
        // of two changes that build on one serial, only the first may win
        if base != self.kept.version && !broken(Invariant::Base) {
            if broken(Invariant::Loser) && f(self).is_ok() {
                self.kept.revision += 1;
            }
            return self.not_current(base);
        }
        let version = to.unwrap_or(self.kept.version + 1);
        if version <= self.kept.version {
            let faults = vec![format!(
                "serial: {version} is not above {}",
                self.kept.version
            )];
            return Outcome::Bad { faults };
        }
        f(self).map_or_else(
            |faults| Outcome::Bad { faults },
            |()| {
                self.kept.version = version;
                self.changed()
            },
        )
    }

    /// The outcome of an order on another version than the current one.
    fn not_current(&self, base: u64) -> Outcome {
        let version = self.kept.version;
        // a base that is still to come may be current when another copy of
        // the order is applied, so this copy must not be answered with a no
        if base > version && !broken(Invariant::NotYet) {
            return Outcome::NotYet { version };
        }
        Outcome::Stale { version }
    }

    fn evacuate_once(&mut self, zone: u16, evacuated: bool, changes: u64) -> Outcome {
        let done = self.kept.evacuated.contains(&zone) == evacuated;
        let overtaken = changes != self.zone_changes(zone) && !broken(Invariant::EvacuateOnce);
        if overtaken && !done {
            return Outcome::Unsure {
                version: self.kept.version,
            };
        }
        self.run(Command::Evacuate { zone, evacuated })
    }

    fn put(&mut self, doc: Vec<u8>) -> Result<(), Vec<String>> {
        let (s, v) = configuration::read(&doc, &self.site)?;
        let revision = self.kept.revision + 1;
        let document = self.kept.document.get_or_insert_with(Document::default);
        document.replace(&v, revision);
        self.configuration = Some(Arc::new(s));
        self.forget_weights();
        Ok(())
    }

    /// Tuned weights speak of routes by index, which a new setup moves.
    fn forget_weights(&mut self) {
        if !self.kept.weights.is_empty() {
            self.kept.weights = Default::default();
            self.kept.weights_revision = self.kept.revision + 1;
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
        let p = json::parse(patch.as_bytes(), configuration::MOST_BYTES).map_err(one)?;
        let mut v = json::parse(doc.as_bytes(), usize::MAX).map_err(one)?;
        json::merge(&mut v, &p);
        self.put(json::canon(&v).into_bytes())
    }

    /// Costs what is changed, not what is there.
    fn items(&mut self, set: &str, drop: &str) -> Result<(), Vec<String>> {
        let one = |e: String| vec![format!("items: {e}")];
        let part = |t: &str| json::parse(t.as_bytes(), configuration::MOST_BYTES).map_err(one);
        let (set, drop) = (part(set)?, part(drop)?);
        let mut document = self.kept.document.clone().unwrap_or_default();
        document
            .change_items(&set, &drop, self.kept.revision + 1)
            .map_err(one)?;
        if document.bytes() > configuration::MOST_BYTES {
            let most = configuration::MOST_BYTES;
            return Err(one(format!("the setup would be larger than {most} bytes")));
        }
        let Some(old) = self.configuration.clone() else {
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
        self.configuration = Some(Arc::new(Configuration {
            hosted: Some(Arc::new(hosted)),
            ..(*old).clone()
        }));
        self.kept.document = Some(document);
        self.forget_weights();
        Ok(())
    }

    fn zone(&mut self, zone: u16, evacuated: bool) -> Result<(), Vec<String>> {
        if self.site.zone_name(zone) == "?" {
            return Err(vec![format!("zone: there is no zone {zone}")]);
        }
        if evacuated == self.kept.evacuated.contains(&zone) {
            return Ok(());
        }
        if evacuated {
            self.kept.evacuated.insert(zone);
        } else {
            self.kept.evacuated.remove(&zone);
        }
        let changes = self.zone_changes(zone) + 1;
        self.kept.zone_changes.insert(zone, changes);
        Ok(())
    }

    fn tune(&mut self, epoch: u64, version: u64, ws: Vec<(u16, u16, u32)>) -> Outcome {
        if epoch != self.kept.epoch {
            return self.old_epoch();
        }
        if version != self.kept.version {
            return Outcome::Stale {
                version: self.kept.version,
            };
        }
        let Some(s) = self.configuration.clone() else {
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
        self.kept.weights_revision = self.kept.revision + 1;
        self.changed()
    }

    /// What a change would do, without doing it.
    pub fn tried(&self, cmd: Command) -> (Outcome, ReplicatedState) {
        let mut r = self.clone();
        let o = r.run(cmd);
        (o, r)
    }
}

impl ReplicatedState {
    /// The outcome of a proposal that was taken before.
    fn taken_before(&self, id: ProposalId) -> Option<Outcome> {
        let known = self.kept.taken.version_of(id);
        let version = known.filter(|_| !broken(Invariant::AppliedOnce))?;
        if broken(Invariant::RefusalKept) && version == REFUSED {
            let version = self.kept.version;
            return Some(Outcome::Stale { version });
        }
        Some(Outcome::Taken { version })
    }

    /// Applies a proposal that is not known to have been taken.
    fn apply_new(&mut self, id: ProposalId, cmd: Command) -> Outcome {
        let base = cmd.base();
        if base.is_some_and(|base| self.kept.taken.may_have_forgotten(base)) {
            let version = self.kept.version;
            return Outcome::Unsure { version };
        }
        let outcome = self.run(cmd);
        match (&outcome, base) {
            (Outcome::Taken { version }, Some(_)) => self.kept.taken.insert_order(id, *version),
            (Outcome::Taken { version }, None) => self.kept.taken.insert_proposal(id, *version),
            (_, Some(_)) if broken(Invariant::RefusalKept) => {
                self.kept.taken.insert_order(id, REFUSED)
            }
            _ => {}
        }
        outcome
    }
}

/// Stands for a refusal where a test has them kept; no version is 0.
const REFUSED: u64 = 0;

impl StateMachine for ReplicatedState {
    fn apply(&mut self, _idx: u64, proposal_id: ProposalId, data: &[u8]) -> Vec<u8> {
        // a copy of an order that was taken, from another core or another try
        let outcome =
            self.taken_before(proposal_id)
                .unwrap_or_else(|| match decode::<Command>(data) {
                    Some(cmd) => self.apply_new(proposal_id, cmd),
                    None => Outcome::Bad {
                        faults: vec!["proposal: cannot be read".into()],
                    },
                });
        encode(&outcome)
    }

    fn answered(&self, proposal_id: ProposalId) -> Option<Arc<Vec<u8>>> {
        let before = self.taken_before(proposal_id)?;
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
        if broken(Invariant::TakenInImage) {
            k.taken = Default::default();
        }
        let older = k.doc.take();
        if let Some(d) = k.document.as_mut() {
            d.index();
        }
        let text = older.or_else(|| k.document.as_ref().map(|d| Arc::new(d.text())));
        let read = text.map(|d| configuration::read(d.as_bytes(), &self.site));
        if read.as_ref().is_some_and(|s| s.is_err()) {
            return false;
        }
        let (configuration, value) = read.and_then(|s| s.ok()).unzip();
        if let Some(v) = value.filter(|_| k.document.is_none()) {
            let mut document = Document::default();
            document.replace(&v, k.revision);
            k.document = Some(document);
            k.weights_revision = k.revision;
        }
        self.configuration = configuration.map(Arc::new);
        self.kept = k;
        true
    }
}
