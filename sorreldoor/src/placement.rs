//! Placement: which worker a request should go to, as a pure function of the
//! configuration and the state of the workers. Requests with a prefix key are
//! placed by rendezvous hashing (Thaler and Ravishankar, 1998).

use crate::configuration::{Configuration, Kind};
use crate::weight_tuning;

/// Tuned weights as (route index, service index, weight).
pub type TunedWeights = [(u16, u16, u32)];

/// The state of a worker that placement depends on.
#[derive(Clone, Debug, Default)]
pub struct Candidate {
    /// Name of the worker in the registry.
    pub name: String,
    /// Index of its group in the configuration.
    pub group: u16,
    /// Index of its zone.
    pub zone: u16,
    /// Index of its region.
    pub region: u8,
    /// Takes new requests: registered, live, neither draining nor in an
    /// evacuated zone.
    pub available: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests running or queued there: those reported, and those that this
    /// edge has sent since.
    pub in_flight: u32,
    /// Requests of this edge in flight there.
    pub own_in_flight: u32,
    /// Most requests of this edge in flight there at once.
    pub own_limit: u32,
    /// Most requests of all edges in flight there at once.
    pub total_limit: u32,
    /// Names of the adapters loaded there; empty: it takes any.
    pub adapters: Vec<String>,
}

impl Candidate {
    /// Whether it may take one more request, queued or not.
    fn has_capacity(&self) -> bool {
        let below_own_limit = self.own_in_flight < self.own_limit;
        self.available && below_own_limit && self.in_flight < self.total_limit
    }

    /// Whether another request would have to queue there.
    pub fn is_full(&self) -> bool {
        self.in_flight >= self.slots.min(self.total_limit)
    }

    /// Requests in flight per slot, in thousandths.
    fn utilization(&self) -> u64 {
        u64::from(self.in_flight) * 1000 / u64::from(self.slots.max(1))
    }

    fn has_adapter(&self, adapter: &str) -> bool {
        self.adapters.is_empty() || self.adapters.iter().any(|loaded| loaded == adapter)
    }
}

/// The properties of a request that its placement depends on.
#[derive(Clone, Debug, Default)]
pub struct PlacementRequest<'a> {
    /// Index of the route in the configuration.
    pub route: u16,
    /// Prefix key; empty if there is none.
    pub key: &'a str,
    /// Id of the request; breaks ties between workers, and draws the service on
    /// routes of any kind but [`Kind::Prefix`].
    pub id: &'a str,
    /// The only region whose workers may take it.
    pub home: Option<u8>,
    /// The adapter that it asks for; none: that of the service, if any.
    pub adapter: Option<&'a str>,
}

/// Where a request is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Index of the service in the configuration.
    pub service: u16,
    /// Index of the worker among the candidates.
    pub worker: usize,
}

/// A stable hash of two strings (FNV-1a with a final avalanche step).
pub fn hash_pair(a: &str, b: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    const SEPARATOR: u8 = 0xff;
    let mut hash = OFFSET_BASIS;
    for byte in a.bytes().chain([SEPARATOR]).chain(b.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}

/// The route's services with a weight above 0, in the order in which they are
/// tried. The first is drawn by weight.
pub fn ranked_services(
    configuration: &Configuration,
    tuned: &TunedWeights,
    request: &PlacementRequest,
) -> Vec<u16> {
    let route = &configuration.routes[request.route as usize];
    let weighted: Vec<(u16, u64)> = route
        .shares
        .iter()
        .map(|share| {
            let tuned = weight_tuning::weight(tuned, request.route, share.service);
            (share.service, u64::from(tuned.unwrap_or(share.weight)))
        })
        .filter(|(_, weight)| *weight > 0)
        .collect();
    // a prefix stays with one service, so that only one builds its cache
    let key = if route.kind == Kind::Prefix {
        request.key
    } else {
        request.id
    };
    let first = weighted_index(&weighted, hash_pair(key, &route.name));
    let mut services: Vec<u16> = weighted.iter().map(|(service, _)| *service).collect();
    if !services.is_empty() {
        services.rotate_left(first);
    }
    services
}

/// The index that a hash draws in proportion to the weights.
fn weighted_index(weighted: &[(u16, u64)], hash: u64) -> usize {
    let total: u64 = weighted.iter().map(|(_, weight)| weight).sum();
    let mut point = hash % total.max(1);
    for (index, (_, weight)) in weighted.iter().enumerate() {
        if point < *weight {
            return index;
        }
        point -= weight;
    }
    0
}

/// The service and worker for a request among the workers of `region`, or
/// none if no worker that it may use has capacity.
pub fn select_worker(
    configuration: &Configuration,
    tuned: &TunedWeights,
    candidates: &[Option<Candidate>],
    skip: &dyn Fn(usize) -> bool,
    request: &PlacementRequest,
    region: u8,
) -> Option<Placement> {
    // a home-bound request stays in its home region
    if request.home.is_some_and(|home| home != region) {
        return None;
    }
    let kind = configuration.routes[request.route as usize].kind;
    let services = ranked_services(configuration, tuned, request);
    services.into_iter().find_map(|index| {
        let service = &configuration.services[index as usize];
        let adapter = request.adapter.or(service.adapter.as_deref());
        let usable = |candidate: &Candidate| {
            candidate.region == region
                && service.groups.contains(&candidate.group)
                && candidate.has_capacity()
                && adapter.is_none_or(|adapter| candidate.has_adapter(adapter))
        };
        let usable: Vec<(usize, &Candidate)> = candidates
            .iter()
            .enumerate()
            .filter(|(worker, _)| !skip(*worker))
            .filter_map(|(worker, candidate)| Some((worker, candidate.as_ref()?)))
            .filter(|(_, candidate)| usable(candidate))
            .collect();
        let worker = pick(kind, &usable, request)?;
        let service = index;
        Some(Placement { service, worker })
    })
}

fn pick(kind: Kind, usable: &[(usize, &Candidate)], request: &PlacementRequest) -> Option<usize> {
    let least_utilized = usable
        .iter()
        .min_by_key(|(_, worker)| (worker.utilization(), hash_pair(request.id, &worker.name)))
        .map(|(index, _)| *index);
    if kind != Kind::Prefix {
        return least_utilized;
    }
    // the highest-ranked worker has the prefix cached, but queueing at a full
    // one would take longer than its cache saves
    usable
        .iter()
        .filter(|(_, worker)| !worker.is_full())
        .max_by_key(|(_, worker)| hash_pair(request.key, &worker.name))
        .map(|(index, _)| *index)
        .or(least_utilized)
}

/// The share of the edge with this rank in a limit for all edges together. The
/// shares add up to the limit; edges of low rank get the remainder.
pub fn share_of_limit(limit: u32, edges: usize, rank: usize) -> u32 {
    let edges = edges.max(1) as u32;
    let remainder = limit % edges;
    limit / edges + u32::from((rank as u32) < remainder)
}

/// The rank of edge `node` for the slots of one warming worker.
///
/// The slots of all warming workers are assigned round-robin over the edges in
/// order of their names: the slots of each worker begin after those of the
/// workers before it, at position `start`. Each edge thus gets a slot if there
/// are as many slots as edges; with an independent order for each worker, some
/// edges would get none.
pub fn edge_rank(edges: &[String], node: &str, start: u64) -> usize {
    let ring = edges.len().max(1) as u64;
    let position = edges.iter().filter(|edge| edge.as_str() < node).count() as u64;
    ((position + ring - start % ring) % ring) as usize
}
