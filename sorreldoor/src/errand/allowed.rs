//! What the setup in force allows an errand, at the moment it is handed over.

use super::{Errand, Plan, Shape};
use crate::rules::{broken, Rule};
use crate::setup::Route;

/// The errand's route in the setup of now, under its own name.
fn route_of<'p>(p: &'p Plan, e: &Errand) -> Option<&'p Route> {
    let s = p.setup.as_ref()?;
    s.routes
        .get(e.route as usize)
        .filter(|r| r.name == e.asked.route)
}

/// Whether errands of the route are bound to their home.
pub(super) fn bound(r: &Route) -> bool {
    r.home && !broken(Rule::Home)
}

pub(super) fn repeatable(p: &Plan, e: &Errand) -> bool {
    route_of(p, e).is_some_and(|r| r.repeatable)
}

/// Whether the setup in force lets this errand go to this worker.
pub(super) fn allowed(p: &Plan, e: &Errand, i: usize) -> bool {
    let way = p.setup.as_ref().zip(route_of(p, e));
    let worker = p.spots.get(i).and_then(|w| w.as_ref());
    if broken(Rule::Allowed) {
        return worker.is_some();
    }
    way.zip(worker).is_some_and(|((s, r), w)| {
        let near = w.region == p.region;
        // why: setups may change between the match and this moment, and only
        // what the one in force allows may be done under it
        let home = !bound(r) || (near && e.asked.home == Some(w.region));
        let limit = s.spill.get(&(p.region, w.region));
        let spill = near || limit.is_some_and(|n| *n > 0) || broken(Rule::Spill);
        let ws = &p.shown.view.weights;
        let share = r.shares.iter().any(|h| {
            let n = crate::tune::weight(ws, e.route, h.service).unwrap_or(h.weight);
            let v = &s.services[h.service as usize];
            n > 0 && v.name == e.service && v.groups.contains(&w.group)
        });
        home && spill && share && Shape::of(r).like(&e.asked.shape)
    })
}
