//! What a core shows of the site: leaders, members, sessions, workers.

use super::controller::Controller;
use crate::json::Val;
use crate::replicated_state::Recovery;
use simd_json::prelude::*;

fn hex(n: u64) -> Val {
    Val::from(format!("{n:x}"))
}

pub fn recovery_text(r: Recovery) -> String {
    match r {
        Recovery::Served => "served".into(),
        Recovery::Lost => "lost".into(),
        Recovery::Returning(p) => format!("returning {p}%"),
    }
}

impl Controller {
    pub fn status(&self) -> Val {
        let mut v = Val::object();
        let _ = v.insert("node", self.me.node.as_str());
        let _ = v.insert("id", hex(self.me.id));
        let _ = v.insert("founded", self.consensus.is_some());
        let _ = v.insert("leaving", self.leaving);
        let _ = v.insert("quorum", self.reads.quorum);
        let _ = v.insert("wall_ms", self.wall);
        let _ = v.insert("voters_wanted", self.membership.policy.voters);
        if let Some(a) = &self.consensus {
            let r = a.machine();
            let _ = v.insert("leads", a.leads_globally());
            let _ = v.insert("term", a.term());
            let _ = v.insert("commit", a.commit_idx());
            let _ = v.insert("disk_failed", a.disk_failed());
            let gl = a.global_leader().map_or(Val::default(), hex);
            let _ = v.insert("global_leader", gl);
            let mut d = Val::object();
            for (r, id) in a.domain_leaders() {
                let _ = d.insert(self.site.region_name(r).to_string(), hex(id));
            }
            let _ = v.insert("domain_leaders", d);
            let down: Vec<Val> = a
                .regions_down()
                .iter()
                .map(|r| Val::from(self.site.region_name(*r)))
                .collect();
            let _ = v.insert("regions_down", down);
            let ms: Vec<Val> = a
                .members()
                .iter()
                .map(|m| {
                    let mut o = Val::object();
                    let _ = o.insert("id", hex(m.id));
                    let _ = o.insert("zone", self.site.zone_name(m.zone));
                    let _ = o.insert("addr", m.addr.as_str());
                    let _ = o.insert("voter", m.voter);
                    let live = m.id == self.me.id || self.live_cores(1500).contains_key(&m.id);
                    let _ = o.insert("live", live);
                    o
                })
                .collect();
            let _ = v.insert("cores", ms);
            let voters = a.members().iter().filter(|m| m.voter).count();
            let _ = v.insert("voters", voters);
            let differ = self.membership.shortfall(a.members());
            let _ = v.insert("voters_differ", differ.map(|why| why.to_string()));
            let _ = v.insert("serial", r.version());
            let _ = v.insert("rev", r.revision());
            let _ = v.insert("epoch", r.epoch());
            let _ = v.insert("duty", hex(r.holder()));
            let _ = v.insert("emptied", self.evacuated());
            let mut rs = Val::object();
            for (i, n) in self.site.regions.iter().enumerate() {
                let _ = rs.insert(n.clone(), recovery_text(r.region(i as u8)));
            }
            let _ = v.insert("regions", rs);
        }
        let _ = v.insert("weights", self.weights());
        let mut c = Val::object();
        let _ = c.insert("remembered", self.idempotency.table().len());
        let _ = c.insert("most", self.idempotency.table().capacity());
        let _ = c.insert(
            "sure",
            self.consensus.is_some() && self.idempotency.is_caught_up(),
        );
        let _ = v.insert("claims", c);
        let evacuated = self
            .consensus
            .as_ref()
            .map(|a| a.machine().view().evacuated);
        let zones = crate::operator_api::zones(
            &self.site,
            &evacuated.unwrap_or_default(),
            self.worker_list.workers(),
            &self.loads,
            self.all_sessions()
                .iter()
                .map(|s| (s.hello.zone, s.running)),
        );
        let _ = v.insert("zones", zones);
        let _ = v.insert("edges", self.edges());
        let _ = v.insert("workers", self.workers());
        let _ = v.insert("roster_serial", self.worker_list.version());
        let _ = v.insert(
            "roster_problem",
            self.worker_list.error_code().map(str::to_string),
        );
        v
    }

    /// Every share with bounds of its own: its weight now, and by what it is
    /// tuned, as this core measured while it held the duty.
    fn weights(&self) -> Vec<Val> {
        let Some(a) = &self.consensus else {
            return Vec::new();
        };
        let (view, s) = (a.machine().view(), a.machine().configuration());
        let routes = s.iter().flat_map(|s| s.routes.iter().enumerate());
        let shares = routes.flat_map(|(i, r)| r.shares.iter().map(move |h| (i, r, h)));
        shares
            .filter(|(_, _, h)| h.least < h.most)
            .map(|(i, r, h)| {
                let name = s.map_or("", |s| &s.services[h.service as usize].name);
                let tuned = crate::weight_tuning::weight(&view.weights, i as u16, h.service);
                let took = self.duty.times().of(&r.name, name);
                let mut o = Val::object();
                let _ = o.insert("route", r.name.as_str());
                let _ = o.insert("service", name);
                let _ = o.insert("weight", tuned.unwrap_or(h.weight));
                let _ = o.insert("set", h.weight);
                let _ = o.insert("least", h.least);
                let _ = o.insert("most", h.most);
                let _ = o.insert("took_ms", took.map(|t| t / 10));
                o
            })
            .collect()
    }

    pub fn evacuated(&self) -> Vec<String> {
        self.consensus.as_ref().map_or(Vec::new(), |a| {
            a.machine()
                .view()
                .evacuated
                .iter()
                .map(|z| self.site.zone_name(*z).to_string())
                .collect()
        })
    }

    fn edges(&self) -> Vec<Val> {
        self.all_sessions()
            .iter()
            .map(|s| {
                let mut o = Val::object();
                let _ = o.insert("node", s.hello.node.as_str());
                let _ = o.insert("zone", self.site.zone_name(s.hello.zone));
                let _ = o.insert("http", s.hello.http.as_str());
                let _ = o.insert("serial", s.version);
                let _ = o.insert("permit", s.lease);
                let _ = o.insert("running", s.running);
                o
            })
            .collect()
    }

    fn workers(&self) -> Vec<Val> {
        let ws = self.worker_list.workers();
        ws.iter()
            .map(|w| {
                let mut o = Val::object();
                let l = self.loads.of(&w.name);
                let _ = o.insert("name", w.name.as_str());
                let _ = o.insert("addr", w.addr.to_string());
                let _ = o.insert("group", w.group.as_str());
                let _ = o.insert("zone", self.site.zone_name(w.zone));
                let _ = o.insert("leaving", w.leaving);
                let _ = o.insert("live", l.is_some_and(|l| l.live));
                let _ = o.insert("running", l.map_or(0, |l| l.running));
                let _ = o.insert("queued", l.map_or(0, |l| l.queued));
                let _ = o.insert("finished", l.map_or(0, |l| l.finished));
                o
            })
            .collect()
    }
}
