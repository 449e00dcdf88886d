//! Priorities of requests, by tenant first and route second, and their mapping to
//! the priorities of engines.

use super::request_table::Request;
use super::state::Balancer;
use crate::configuration::hosted::{Hosted, Route};

/// The least urgent priority of an engine; 0 is the most urgent.
const MAX_ENGINE_PRIORITY: usize = 9;

/// Combined priority of tenant (high byte) and route (low byte); lower ranks are
/// served first.
pub(super) type Rank = u16;

/// Maps the ranks of a configuration to engine priorities, in the same order.
/// Adjacent ranks share a priority if there are more ranks than priorities.
#[derive(Clone, Debug, Default)]
pub(super) struct EnginePriorities {
    /// All ranks of the configuration in ascending order; empty if it has no tenants,
    /// in which case the route's priority is used.
    ranks: Vec<Rank>,
}

impl EnginePriorities {
    pub fn new(hosted: &Hosted) -> EnginePriorities {
        if !hosted.tenants.required() {
            return EnginePriorities::default();
        }
        let tenants = hosted.tenants.all().iter().map(|tenant| tenant.priority);
        // a request without a tenant has tenant priority 0
        let mut tenants: Vec<u8> = tenants.chain([0]).collect();
        let mut routes: Vec<u8> = hosted.routes.iter().map(|route| route.priority).collect();
        for priorities in [&mut tenants, &mut routes] {
            priorities.sort_unstable();
            priorities.dedup();
        }
        let pairs = tenants
            .iter()
            .flat_map(|tenant| routes.iter().map(|route| rank(*tenant, *route)));
        EnginePriorities {
            ranks: pairs.collect(),
        }
    }

    fn of(&self, rank: Rank) -> u8 {
        let count = self.ranks.len();
        if count == 0 {
            return usize::from(rank).min(MAX_ENGINE_PRIORITY) as u8;
        }
        let position = self.ranks.partition_point(|known| *known < rank);
        let position = position.min(count - 1);
        let levels = MAX_ENGINE_PRIORITY + 1;
        match count <= levels {
            true => position as u8,
            false => (position * levels / count) as u8,
        }
    }
}

fn rank(tenant: u8, route: u8) -> Rank {
    Rank::from(tenant) << 8 | Rank::from(route)
}

impl Request {
    /// The request's rank on a route.
    pub fn rank(&self, route: &Route) -> Rank {
        let tenant = self.caller.tenant().map_or(0, |tenant| tenant.priority);
        rank(tenant, route.priority)
    }
}

impl Balancer {
    /// The priority of a request at an engine, from 0 (most urgent) to 9.
    pub(super) fn engine_priority(&self, request: &Request, route: &Route) -> u8 {
        self.engine_priorities.of(request.rank(route))
    }
}
