//! What an edge shows of itself.

use super::controller::EdgeController;
use crate::json::Value;
use simd_json::prelude::*;

impl EdgeController {
    pub fn status(&self) -> Value {
        let c = &self.table.counts;
        let mut v = Value::object();
        let _ = v.insert("node", self.me.node.as_str());
        let _ = v.insert("role", "edge");
        let _ = v.insert("serial", self.plan.shown.view.version);
        let _ = v.insert("rev", self.plan.shown.view.revision);
        let _ = v.insert("permit_left_ms", self.pull.left(self.now));
        let _ = v.insert("session", self.pull.conn.is_some());
        let _ = v.insert("core", self.pull.dialled.map(|a| a.to_string()));
        let _ = v.insert("leaving", self.leaving);
        let _ = v.insert("open_errands", self.table.rows.len());
        let s = &self.plan.shown;
        let zones = crate::operator_api::zones(
            &self.plan.site,
            &s.view.evacuated,
            &s.registry.workers,
            &s.loads,
            s.edge_sessions.1.iter().map(|p| (p.zone, p.running)),
        );
        let _ = v.insert("zones", zones);
        let mut n = Value::object();
        for (k, x) in [
            ("first", c.first),
            ("again", c.again),
            ("served", c.served),
            ("shed", c.shed),
            ("unknown", c.unknown),
            ("broken", c.broken),
            ("gone", c.gone),
            ("spilt", c.spilt),
        ] {
            let _ = n.insert(k, x);
        }
        let _ = v.insert("counts", n);
        v
    }
}
