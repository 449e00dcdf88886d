//! What each command changes in the state.

use super::{Command, Document, Outcome, ReplicatedState};
use super::{Epoch, Recovery, RegionIndex, TunedWeight, Version, ZoneIndex};
use crate::configuration::hosted_change::{HostedChange, ListChange};
use crate::configuration::{self, Configuration};
use crate::invariants::{is_disabled, Invariant};
use crate::json::{self, Value};
use std::sync::Arc;

/// Faults of a rejected change, each as `path: what is wrong`.
type Faults = Vec<String>;

/// Why an operator's change is rejected.
enum Rejection {
    /// The result would not be a valid configuration.
    Invalid(Faults),
    /// The content of the document would be larger than [`configuration::MAX_BYTES`].
    TooLarge { bytes: usize },
}

impl From<Faults> for Rejection {
    fn from(faults: Faults) -> Rejection {
        Rejection::Invalid(faults)
    }
}

impl From<Rejection> for Outcome {
    fn from(rejection: Rejection) -> Outcome {
        match rejection {
            Rejection::Invalid(faults) => Outcome::Invalid { faults },
            Rejection::TooLarge { bytes } => Outcome::TooLarge {
                bytes: bytes as u64,
                max_bytes: configuration::MAX_BYTES as u64,
            },
        }
    }
}

impl ReplicatedState {
    /// The outcome of a command and the state after it, without applying it.
    #[must_use]
    pub fn dry_run(&self, command: Command) -> (Outcome, ReplicatedState) {
        let mut state = self.clone();
        let outcome = state.execute(command);
        (outcome, state)
    }

    pub(super) fn execute(&mut self, command: Command) -> Outcome {
        match command {
            Command::Put {
                base,
                new_version,
                document,
            } => self.change_version(base, new_version, |state| {
                Ok(state.replace_document(document.into_bytes())?)
            }),
            Command::MergePatch { base, patch } => {
                self.change_version(base, None, |state| Ok(state.merge_patch(&patch)?))
            }
            Command::ChangeItems {
                base,
                new_version,
                set,
                drop,
            } => self.change_version(base, new_version, |state| state.change_items(&set, &drop)),
            Command::EvacuateUnversioned { zone, evacuated } => {
                self.evacuate_unversioned(zone, evacuated)
            }
            Command::EvacuateIfUnchanged {
                zone,
                evacuated,
                changes,
            } => self.evacuate_if_unchanged(zone, evacuated, changes),
            Command::EvacuateCounted {
                zone,
                evacuated,
                changes,
            } => self.evacuate_counted(zone, evacuated, changes),
            Command::EvacuateZone {
                base,
                zone,
                evacuated,
            } => self.change_version(
                base,
                None,
                |state| Ok(state.set_evacuated(zone, evacuated)?),
            ),
            Command::AcquireRole {
                holder,
                previous_epoch,
            } => self.acquire_role(holder, previous_epoch),
            Command::SetWeights {
                epoch,
                version,
                weights,
            } => self.set_weights(epoch, version, weights),
            Command::SetRegion {
                epoch,
                region,
                state,
            } => self.set_region(epoch, region, state),
        }
    }

    /// Applies an operator's change on `base` and raises the version.
    fn change_version(
        &mut self,
        base: Version,
        new_version: Option<Version>,
        change: impl FnOnce(&mut ReplicatedState) -> Result<(), Rejection>,
    ) -> Outcome {
        // of two changes that build on one version, only the first may be applied
        if base != self.data.version && !is_disabled(Invariant::BaseVersion) {
            if is_disabled(Invariant::RejectionLeavesNoTrace) && change(self).is_ok() {
                self.data.revision += 1;
            }
            return self.base_mismatch(base);
        }
        let current = self.data.version;
        let version = new_version.unwrap_or(current + 1);
        if version <= current {
            let faults = vec![format!(
                "serial: {version} must be above the current version {current}"
            )];
            return Outcome::Invalid { faults };
        }
        match change(self) {
            Err(rejection) => rejection.into(),
            Ok(()) => {
                self.data.version = version;
                self.raise_revision()
            }
        }
    }

    /// The outcome of a request whose base is not the current version.
    fn base_mismatch(&self, base: Version) -> Outcome {
        let version = self.data.version;
        // the base may exist when a duplicate of the request is applied, so this
        // copy must not be rejected for good
        if base > version && !is_disabled(Invariant::FutureBase) {
            return Outcome::BaseAhead { version };
        }
        Outcome::Stale { version }
    }

    fn raise_revision(&mut self) -> Outcome {
        self.data.revision += 1;
        Outcome::Applied {
            version: self.data.version,
        }
    }

    fn stale_epoch(&self) -> Outcome {
        Outcome::StaleEpoch {
            epoch: self.data.epoch,
        }
    }

    fn acquire_role(&mut self, holder: u64, previous_epoch: Epoch) -> Outcome {
        // of two nodes that race for the role only one may hold it
        if previous_epoch != self.data.epoch {
            return self.stale_epoch();
        }
        self.data.epoch += 1;
        self.data.holder = holder;
        self.raise_revision()
    }

    fn set_region(&mut self, epoch: Epoch, region: RegionIndex, state: Recovery) -> Outcome {
        if epoch != self.data.epoch {
            return self.stale_epoch();
        }
        self.data.regions.insert(region, state);
        self.raise_revision()
    }

    fn set_weights(
        &mut self,
        epoch: Epoch,
        version: Version,
        weights: Vec<TunedWeight>,
    ) -> Outcome {
        if epoch != self.data.epoch {
            return self.stale_epoch();
        }
        if version != self.data.version {
            let version = self.data.version;
            return Outcome::Stale { version };
        }
        let Some(configuration) = self.configuration.clone() else {
            let faults = vec!["tune: there is no configuration yet".into()];
            return Outcome::Invalid { faults };
        };
        for (route, service, weight) in weights {
            // the operator's bounds hold, whatever the tuner proposes
            if let Some(share) = configuration.share(route, service) {
                let weight = weight.clamp(share.min_weight, share.max_weight);
                self.data.weights.insert((route, service), weight);
            }
        }
        self.data.weights_revision = self.data.revision + 1;
        self.raise_revision()
    }

    /// Clears the tuned weights after a change of the document: they refer to
    /// routes and services by index.
    fn reset_weights(&mut self) {
        if !self.data.weights.is_empty() {
            self.data.weights = Default::default();
            self.data.weights_revision = self.data.revision + 1;
        }
    }

    fn evacuate_unversioned(&mut self, zone: ZoneIndex, evacuated: bool) -> Outcome {
        match self.set_evacuated(zone, evacuated) {
            Err(faults) => Outcome::Invalid { faults },
            Ok(()) => self.raise_revision(),
        }
    }

    fn evacuate_if_unchanged(&mut self, zone: ZoneIndex, evacuated: bool, changes: u64) -> Outcome {
        let done = self.data.evacuated.contains(&zone) == evacuated;
        let superseded =
            changes != self.zone_changes(zone) && !is_disabled(Invariant::ConditionalEvacuation);
        if superseded && !done {
            let version = self.data.version;
            return Outcome::Unknown { version };
        }
        self.evacuate_unversioned(zone, evacuated)
    }

    fn evacuate_counted(&mut self, zone: ZoneIndex, evacuated: bool, changes: u64) -> Outcome {
        let changes_before = self.zone_changes(zone);
        let outcome = self.evacuate_if_unchanged(zone, evacuated, changes);
        let applied = matches!(outcome, Outcome::Applied { .. });
        let uncounted = self.zone_changes(zone) == changes_before;
        if applied && uncounted && !is_disabled(Invariant::EvacuationCounted) {
            self.data.zone_changes.insert(zone, changes_before + 1);
        }
        outcome
    }

    fn set_evacuated(&mut self, zone: ZoneIndex, evacuated: bool) -> Result<(), Faults> {
        if self.site.zone_name(zone) == "?" {
            return Err(vec![format!("zone: there is no zone {zone}")]);
        }
        if evacuated == self.data.evacuated.contains(&zone) {
            return Ok(());
        }
        if evacuated {
            self.data.evacuated.insert(zone);
        } else {
            self.data.evacuated.remove(&zone);
        }
        let changes = self.zone_changes(zone) + 1;
        self.data.zone_changes.insert(zone, changes);
        Ok(())
    }

    fn replace_document(&mut self, text: Vec<u8>) -> Result<(), Faults> {
        let (configuration, value) = configuration::parse(&text, &self.site)?;
        let revision = self.data.revision + 1;
        let document = self.data.document.get_or_insert_with(Document::default);
        document.replace(&value, revision);
        self.configuration = Some(Arc::new(configuration));
        self.reset_weights();
        Ok(())
    }

    fn merge_patch(&mut self, patch: &str) -> Result<(), Faults> {
        let document = self.data.document.as_ref().map(Document::text);
        let document = document.ok_or(vec![
            "edit: there is no configuration to edit yet".to_string()
        ])?;
        let fault = |error| vec![format!("edit: {error}")];
        let patch = json::parse(patch.as_bytes(), configuration::MAX_BYTES).map_err(fault)?;
        let mut value = json::parse_canonical(&document);
        json::merge(&mut value, &patch);
        self.replace_document(json::canonical(&value).into_bytes())
    }

    /// Changes items of the document, at a cost that depends on the size of the
    /// change rather than of the document.
    fn change_items(&mut self, set: &str, drop: &str) -> Result<(), Rejection> {
        let parse = |text: &str| {
            json::parse(text.as_bytes(), configuration::MAX_BYTES).map_err(items_fault)
        };
        let (set, drop) = (parse(set)?, parse(drop)?);
        let mut document = self.data.document.clone().unwrap_or_default();
        document
            .change_items(&set, &drop, self.data.revision + 1)
            .map_err(items_fault)?;
        let bytes = document.content_bytes();
        if bytes > configuration::MAX_BYTES {
            return Err(Rejection::TooLarge { bytes });
        }
        let Some(current) = self.configuration.clone() else {
            return Ok(self.replace_document(document.text().into_bytes())?);
        };
        let changed = self.configuration_with(&current, &document, &set, &drop)?;
        self.configuration = Some(Arc::new(changed));
        self.data.document = Some(document);
        self.reset_weights();
        Ok(())
    }

    /// The current configuration with the changed items of `document`.
    fn configuration_with(
        &self,
        current: &Configuration,
        document: &Document,
        set: &Value,
        drop: &Value,
    ) -> Result<Configuration, Faults> {
        let rest = document.hosted_rest();
        let change = HostedChange {
            rest: Some(&rest),
            services: ListChange::of(set, drop, "services"),
            routes: ListChange::of(set, drop, "routes"),
            tenants: ListChange::of(set, drop, "tenants"),
            has_tenants: document.has_tenants(),
        };
        let hosted = current.hosted.clone().unwrap_or_default();
        let hosted = change.apply(&hosted, &self.site)?;
        Ok(Configuration {
            hosted: Some(Arc::new(hosted)),
            ..current.clone()
        })
    }
}

fn items_fault(error: impl std::fmt::Display) -> Faults {
    vec![format!("items: {error}")]
}
