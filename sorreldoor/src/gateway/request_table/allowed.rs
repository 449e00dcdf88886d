//! What the setup in force allows an errand, at the moment it is handed over.

use super::{Plan, Request, RequestProfile};
use crate::configuration::Route;
use crate::invariants::{broken, Invariant};
use crate::placement::Candidate;

/// The errand's route in the setup of now, under its own name.
fn route_of<'p>(p: &'p Plan, e: &Request) -> Option<&'p Route> {
    let s = p.configuration.as_ref()?;
    s.routes
        .get(e.route as usize)
        .filter(|r| r.name == e.asked.route)
}

/// Whether errands of the route are bound to their home.
pub(super) fn bound(r: &Route) -> bool {
    r.home && !broken(Invariant::Home)
}

pub(super) fn repeatable(p: &Plan, e: &Request) -> bool {
    route_of(p, e).is_some_and(|r| r.repeatable)
}

/// Whether the setup in force lets this errand go to this worker.
pub(super) fn allowed(p: &Plan, e: &Request, i: usize) -> bool {
    let worker = p.candidates.get(i).and_then(|w| w.as_ref());
    worker.is_some_and(|w| broken(Invariant::Allowed) || may(p, e, w, Some(&e.service)))
}

/// Whether any worker that the setup allows this errand is there at all.
pub(super) fn hope(p: &Plan, e: &Request) -> bool {
    let all = p.candidates.iter().enumerate();
    all.filter(|(i, _)| !e.tried.contains(i))
        .filter_map(|(_, w)| w.as_ref())
        .any(|w| w.open && may(p, e, w, None))
}

/// Whether a worker may have it, through the service given or through any.
fn may(p: &Plan, e: &Request, w: &Candidate, through: Option<&str>) -> bool {
    let Some((s, r)) = p.configuration.as_ref().zip(route_of(p, e)) else {
        return false;
    };
    let near = w.region == p.region;
    // setups may change between the match and this moment, and only
    // what the one in force allows may be done under it
    let home = !bound(r) || (near && e.asked.home == Some(w.region));
    let limit = s.spill.get(&(p.region, w.region));
    let spill = near || limit.is_some_and(|n| *n > 0) || broken(Invariant::Spill);
    let ws = &p.shown.view.weights;
    let share = r.shares.iter().any(|h| {
        let n = crate::weight_tuning::weight(ws, e.route, h.service).unwrap_or(h.weight);
        let v = &s.services[h.service as usize];
        let named = through.is_none_or(|t| t == v.name);
        n > 0 && named && v.groups.contains(&w.group)
    });
    home && spill && share && RequestProfile::of(r).like(&e.asked.profile)
}
