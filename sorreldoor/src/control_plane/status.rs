//! The status document of a core as JSON: leaders, members, sessions, workers.

use super::membership::MembershipPolicy;
use super::worker_list::WorkerListCache;
use crate::configuration::{Configuration, Route, Share, Site};
use crate::consensus::{Consensus, Member};
use crate::discovery::{Loads, Worker};
use crate::json::Value;
use crate::replicated_state::{Recovery, ReplicatedState};
use crate::types::NodeId;
use crate::weight_tuning::{self, ServiceLatencies};
use crate::wire::{EdgeSession, Hello};
use simd_json::prelude::*;
use std::collections::BTreeSet;

/// Units of the latencies in `weight_tuning`: tenths of a millisecond.
const LATENCY_UNITS_PER_MS: i64 = 10;

/// The part of the status about idempotency claims.
pub(super) struct ClaimsStatus {
    /// Number of claims in the table.
    pub remembered: usize,
    pub capacity: usize,
    /// Whether this core may vote on claims.
    pub can_vote: bool,
}

/// The state that the status document is made from.
pub(super) struct StatusSources<'a> {
    pub own_hello: &'a Hello,
    pub site: &'a Site,
    pub stopping: bool,
    /// Whether the last confirmation of leadership succeeded.
    pub has_quorum: bool,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub wall_ms: i64,
    pub policy: &'a MembershipPolicy,
    /// `None` until this core has bootstrapped or joined a site.
    pub consensus: Option<&'a Consensus<ReplicatedState>>,
    pub live_cores: BTreeSet<NodeId>,
    pub claims: ClaimsStatus,
    pub edge_sessions: &'a [EdgeSession],
    pub worker_list: &'a WorkerListCache,
    pub loads: &'a Loads,
    pub latencies: &'a ServiceLatencies,
}

/// A region's recovery state as the status document and log events show it.
pub(super) fn recovery_text(state: Recovery) -> String {
    match state {
        Recovery::Served => "served".into(),
        Recovery::Lost => "lost".into(),
        Recovery::Returning(percent) => format!("returning {percent}%"),
    }
}

fn hex(n: u64) -> Value {
    Value::from(format!("{n:x}"))
}

impl StatusSources<'_> {
    /// The complete document.
    pub fn to_json(&self) -> Value {
        let mut doc = Value::object();
        let _ = doc.insert("node", self.own_hello.node.as_str());
        let _ = doc.insert("id", hex(self.own_hello.id));
        let _ = doc.insert("founded", self.consensus.is_some());
        let _ = doc.insert("leaving", self.stopping);
        let _ = doc.insert("quorum", self.has_quorum);
        let _ = doc.insert("wall_ms", self.wall_ms);
        let _ = doc.insert("voters_wanted", self.policy.target_voters);
        if let Some(consensus) = self.consensus {
            self.put_consensus(&mut doc, consensus);
            self.put_members(&mut doc, consensus.members());
            self.put_replicated_state(&mut doc, consensus.state_machine());
        }
        let _ = doc.insert("weights", self.weights());
        let _ = doc.insert("claims", self.claims());
        let _ = doc.insert("zones", self.zones());
        let _ = doc.insert("edges", self.edges());
        let _ = doc.insert("workers", self.workers());
        let _ = doc.insert("roster_serial", self.worker_list.version());
        let read_error = self.worker_list.last_error().map(str::to_string);
        let _ = doc.insert("roster_problem", read_error);
        doc
    }

    fn put_consensus(&self, doc: &mut Value, consensus: &Consensus<ReplicatedState>) {
        let _ = doc.insert("leads", consensus.leads_globally());
        let _ = doc.insert("term", consensus.term());
        let _ = doc.insert("commit", consensus.committed());
        let _ = doc.insert("disk_failed", consensus.disk_failed());
        let global_leader = consensus.global_leader().map_or(Value::default(), hex);
        let _ = doc.insert("global_leader", global_leader);
        let mut domain_leaders = Value::object();
        for (region, id) in consensus.domain_leaders() {
            let name = self.site.region_name(region).to_string();
            let _ = domain_leaders.insert(name, hex(id));
        }
        let _ = doc.insert("domain_leaders", domain_leaders);
        let regions_down = consensus.unavailable_regions();
        let name = |region: &u8| Value::from(self.site.region_name(*region));
        let regions_down: Vec<Value> = regions_down.iter().map(name).collect();
        let _ = doc.insert("regions_down", regions_down);
    }

    fn put_members(&self, doc: &mut Value, members: &[Member]) {
        let cores: Vec<Value> = members.iter().map(|member| self.member(member)).collect();
        let _ = doc.insert("cores", cores);
        let voters = members.iter().filter(|member| member.voter).count();
        let _ = doc.insert("voters", voters);
        let mismatch = self.policy.voter_mismatch(members);
        let _ = doc.insert(
            "voters_differ",
            mismatch.map(|mismatch| mismatch.to_string()),
        );
    }

    fn member(&self, member: &Member) -> Value {
        let live = member.id == self.own_hello.id || self.live_cores.contains(&member.id);
        let mut row = Value::object();
        let _ = row.insert("id", hex(member.id));
        let _ = row.insert("zone", self.site.zone_name(member.zone));
        let _ = row.insert("addr", member.addr.as_str());
        let _ = row.insert("voter", member.voter);
        let _ = row.insert("live", live);
        row
    }

    fn put_replicated_state(&self, doc: &mut Value, state: &ReplicatedState) {
        let _ = doc.insert("serial", state.version());
        let _ = doc.insert("rev", state.revision());
        let _ = doc.insert("epoch", state.epoch());
        let _ = doc.insert("duty", hex(state.role_holder()));
        let evacuated = state.view().evacuated;
        let zone_name = |zone: &u16| self.site.zone_name(*zone).to_string();
        let evacuated: Vec<String> = evacuated.iter().map(zone_name).collect();
        let _ = doc.insert("emptied", evacuated);
        let mut regions = Value::object();
        for (region, name) in self.site.regions.iter().enumerate() {
            let _ = regions.insert(
                name.clone(),
                recovery_text(state.region_recovery(region as u8)),
            );
        }
        let _ = doc.insert("regions", regions);
    }

    /// One row per tunable share: its configured, current and limiting weights, and
    /// the latency that this core measured while it held the singleton role.
    fn weights(&self) -> Vec<Value> {
        let Some(state) = self.consensus.map(|c| c.state_machine()) else {
            return Vec::new();
        };
        let Some(configuration) = state.configuration() else {
            return Vec::new();
        };
        let tuned = state.view().weights;
        let routes = configuration.routes.iter().enumerate();
        let shares = routes.flat_map(|(index, route)| {
            let shares = route.shares.iter();
            shares.map(move |share| (index as u16, route, share))
        });
        shares
            .filter(|(_, _, share)| share.min_weight < share.max_weight)
            .map(|(index, route, share)| {
                let now = weight_tuning::weight(&tuned, index, share.service);
                self.weight(configuration, route, share, now)
            })
            .collect()
    }

    fn weight(
        &self,
        configuration: &Configuration,
        route: &Route,
        share: &Share,
        tuned: Option<u32>,
    ) -> Value {
        let service = &configuration.services[share.service as usize].name;
        let latency = self.latencies.of(&route.name, service);
        let mut row = Value::object();
        let _ = row.insert("route", route.name.as_str());
        let _ = row.insert("service", service.as_str());
        let _ = row.insert("weight", tuned.unwrap_or(share.weight));
        let _ = row.insert("set", share.weight);
        let _ = row.insert("least", share.min_weight);
        let _ = row.insert("most", share.max_weight);
        let _ = row.insert("took_ms", latency.map(|l| l / LATENCY_UNITS_PER_MS));
        row
    }

    fn claims(&self) -> Value {
        let mut claims = Value::object();
        let _ = claims.insert("remembered", self.claims.remembered);
        let _ = claims.insert("most", self.claims.capacity);
        let _ = claims.insert("sure", self.claims.can_vote);
        claims
    }

    fn zones(&self) -> Vec<Value> {
        let state = self.consensus.map(|c| c.state_machine());
        let evacuated = state.map(|state| state.view().evacuated);
        let sessions = self.edge_sessions.iter();
        crate::operator_api::zone_rows(
            self.site,
            &evacuated.unwrap_or_default(),
            self.worker_list.workers(),
            self.loads,
            sessions.map(|session| (session.hello.zone, session.running)),
        )
    }

    fn edges(&self) -> Vec<Value> {
        let edge = |session: &EdgeSession| {
            let mut row = Value::object();
            let _ = row.insert("node", session.hello.node.as_str());
            let _ = row.insert("zone", self.site.zone_name(session.hello.zone));
            let _ = row.insert("http", session.hello.http.as_str());
            let _ = row.insert("serial", session.version);
            let _ = row.insert("permit", session.lease);
            let _ = row.insert("running", session.running);
            row
        };
        self.edge_sessions.iter().map(edge).collect()
    }

    fn workers(&self) -> Vec<Value> {
        let workers = self.worker_list.workers().iter();
        workers.map(|worker| self.worker(worker)).collect()
    }

    fn worker(&self, worker: &Worker) -> Value {
        let load = self.loads.of(&worker.name);
        let mut row = Value::object();
        let _ = row.insert("name", worker.name.as_str());
        let _ = row.insert("addr", worker.addr.to_string());
        let _ = row.insert("group", worker.group.as_str());
        let _ = row.insert("zone", self.site.zone_name(worker.zone));
        let _ = row.insert("leaving", worker.leaving);
        let _ = row.insert("live", load.is_some_and(|load| load.live));
        let _ = row.insert("running", load.map_or(0, |load| load.running));
        let _ = row.insert("queued", load.map_or(0, |load| load.queued));
        let _ = row.insert("finished", load.map_or(0, |load| load.finished));
        row
    }
}
