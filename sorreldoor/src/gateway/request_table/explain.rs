//! What would become of an errand now, told to operators by the very
//! functions that serve it.

use super::{Claim, Plan, Request, RequestSpec, Stage, Table};
use crate::configuration::{Kind, Route};
use crate::error::ErrorCode;
use crate::json::Value;
use crate::placement::{self, PlacementRequest};
use simd_json::prelude::*;

impl Table {
    /// The way of an errand that came to this edge now.
    pub fn explain(&self, p: &Plan, a: RequestSpec) -> Result<Value, ErrorCode> {
        let s = p.configuration.clone().ok_or(ErrorCode::NoConfiguration)?;
        let route = s.route(&a.route).ok_or(ErrorCode::UnknownRoute)?;
        let r = &s.routes[route as usize];
        let e = trial(&a, route);
        let got = self.place(p, &e);
        let mut v = Value::object();
        let _ = v.insert("route", r.name.as_str());
        let _ = v.insert("key", a.key.as_str());
        let _ = v.insert("region", p.site.region_name(p.region));
        let _ = v.insert("serial", p.shown.view.version);
        let _ = v.insert("edges", p.edges_for(Some(p.region), r.home, &a.key));
        let _ = v.insert("services", shares(p, &a, route, r));
        let _ = v.insert("spill", limits(p));
        let _ = v.insert(
            "worker",
            got.map_or(Value::default(), |((_, i), _)| candidate(p, i)),
        );
        let chosen = got.map(|((v, _), _)| s.services[v as usize].name.clone());
        let _ = v.insert("service", chosen);
        let _ = v.insert("spilt", got.is_some_and(|(_, away)| away));
        let _ = v.insert("why", why(p, &a, r, got));
        Ok(v)
    }
}

fn trial(a: &RequestSpec, route: u16) -> Request {
    Request {
        asked: a.clone(),
        route,
        service: String::new(),
        repeats: false,
        stage: Stage::Waiting,
        since: 0,
        cutoff: 0,
        sent_at: 0,
        tries: 0,
        spilt: false,
        tried: Vec::new(),
        token: 0,
        claim: Claim::Needless,
        ready: false,
        left: false,
    }
}

/// The route's shares in the order in which they are tried for this errand.
fn shares(p: &Plan, a: &RequestSpec, route: u16, r: &Route) -> Vec<Value> {
    let Some(s) = &p.configuration else {
        return Vec::new();
    };
    let (key, id) = (a.key.as_str(), a.id.as_str());
    let ask = PlacementRequest {
        route,
        key,
        id,
        ..PlacementRequest::default()
    };
    let ws = &p.shown.view.weights;
    placement::services(s, ws, &ask)
        .into_iter()
        .filter_map(|v| r.shares.iter().find(|h| h.service == v))
        .map(|h| {
            let tuned = crate::weight_tuning::weight(ws, route, h.service);
            let mut o = Value::object();
            let _ = o.insert("service", s.services[h.service as usize].name.as_str());
            let _ = o.insert("weight", tuned.unwrap_or(h.weight));
            let _ = o.insert("set", h.weight);
            let _ = o.insert("least", h.least);
            let _ = o.insert("most", h.most);
            o
        })
        .collect()
}

fn limits(p: &Plan) -> Value {
    let mut v = Value::object();
    let all = p.configuration.iter().flat_map(|s| s.spill.iter());
    for ((from, to), n) in all.filter(|((from, _), _)| *from == p.region) {
        debug_assert!(from != to);
        let _ = v.insert(p.site.region_name(*to).to_string(), *n);
    }
    v
}

fn candidate(p: &Plan, i: usize) -> Value {
    let mut o = Value::object();
    if let Some(w) = p.candidates.get(i).and_then(|w| w.as_ref()) {
        let _ = o.insert("name", w.name.as_str());
        let _ = o.insert("zone", p.site.zone_name(w.zone));
        let _ = o.insert("region", p.site.region_name(w.region));
        let _ = o.insert("busy", w.busy);
        let _ = o.insert("slots", w.slots);
        let _ = o.insert("cap", w.cap);
    }
    o
}

fn why(p: &Plan, a: &RequestSpec, r: &Route, got: Option<((u16, usize), bool)>) -> String {
    let Some(((_, i), away)) = got else {
        return if p.evacuated(p.zone) {
            "this edge's zone is emptied".into()
        } else {
            "no worker that the setup allows has room now; it would wait".into()
        };
    };
    let full = |w: &placement::Candidate| w.busy >= w.slots.min(w.cap);
    let busy = p.candidates[i].as_ref().is_some_and(full);
    let first = match r.kind {
        Kind::Prefix if !a.key.is_empty() && !busy => {
            "the highest-ranked worker for this prefix that is not full"
        }
        Kind::Prefix => "the least full worker, since those ranked for this prefix are full",
        _ => "the least full worker",
    };
    let place = match (away, p.recovery(p.region)) {
        (true, _) => " in another region, within the spill limit",
        (false, crate::replicated_state::Recovery::Returning(_)) => {
            " here; the region is returning"
        }
        _ => " here",
    };
    format!("{first}{place}")
}
