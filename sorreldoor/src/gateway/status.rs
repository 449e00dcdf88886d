//! The status of an edge as JSON.

use super::controller::EdgeController;
use crate::json::Value;
use crate::operator_api;
use simd_json::prelude::*;

impl EdgeController {
    /// The status that `/v1/status` returns.
    pub(super) fn status(&self) -> Value {
        let view = &self.cluster.snapshot.view;
        let core = self.pull.session_addr.map(|addr| addr.to_string());
        let mut v = Value::object();
        let _ = v.insert("node", self.hello.node.as_str());
        let _ = v.insert("role", "edge");
        let _ = v.insert("serial", view.version);
        let _ = v.insert("rev", view.revision);
        let _ = v.insert("permit_left_ms", self.pull.lease_left_ms(self.now));
        let _ = v.insert("session", self.pull.conn.is_some());
        let _ = v.insert("core", core);
        let _ = v.insert("leaving", self.shutting_down);
        let _ = v.insert("open_errands", self.table.requests.len());
        let _ = v.insert("zones", self.zones_json());
        let _ = v.insert("counts", self.counters_json());
        v
    }

    fn zones_json(&self) -> Vec<Value> {
        let snapshot = &self.cluster.snapshot;
        let edges = snapshot.edge_sessions.1.iter();
        operator_api::zone_rows(
            &self.cluster.site,
            &snapshot.view.evacuated,
            &snapshot.registry.workers,
            &snapshot.loads,
            edges.map(|edge| (edge.zone, edge.running)),
        )
    }

    fn counters_json(&self) -> Value {
        let counters = &self.table.counters;
        let mut v = Value::object();
        let _ = v.insert("first", counters.accepted);
        let _ = v.insert("again", counters.retries);
        let _ = v.insert("served", counters.served);
        let _ = v.insert("shed", counters.rejected);
        let _ = v.insert("unknown", counters.outcome_unknown);
        let _ = v.insert("broken", counters.broken_streams);
        let _ = v.insert("gone", counters.disconnected);
        let _ = v.insert("spilt", counters.spilled);
        v
    }
}
