//! Pure placement: which worker an errand should go to, given what is known.

use crate::configuration::{Configuration, Kind};

/// A worker as placement sees it, under its dense index.
#[derive(Clone, Debug, Default)]
pub struct Candidate {
    pub name: String,
    pub group: u16,
    pub zone: u16,
    pub region: u8,
    /// May take new errands: listed, not leaving, not in an emptied zone, live.
    pub open: bool,
    pub slots: u32,
    /// Errands running or queued there, as last reported and since.
    pub busy: u32,
    /// Errands of this edge that are there now.
    pub mine: u32,
    /// Most errands of this edge that may be there at once.
    pub most: u32,
    /// Most errands that may be there at once, of all edges.
    pub cap: u32,
    pub adapters: Vec<String>,
}

impl Candidate {
    fn room(&self) -> bool {
        self.open && self.mine < self.most && self.busy < self.cap
    }

    fn calm(&self) -> bool {
        self.room() && self.busy < self.slots.min(self.cap)
    }
}

/// What matters of an errand for its place.
#[derive(Clone, Debug, Default)]
pub struct PlacementRequest<'a> {
    pub route: u16,
    /// What spreads errands: the prefix where there is one, else the errand.
    pub key: &'a str,
    pub id: &'a str,
    pub home: Option<u8>,
    pub adapter: Option<&'a str>,
}

/// A stable hash of two texts (FNV-1a with a final mix).
pub fn mix(a: &str, b: &str) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325u64;
    for x in a.bytes().chain([0xff]).chain(b.bytes()) {
        h = (h ^ u64::from(x)).wrapping_mul(0x0100_0000_01b3);
    }
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^ (h >> 33)
}

/// Where the errand's services stand in order, the weighted draw first.
pub fn services(s: &Configuration, tuned: &[(u16, u16, u32)], a: &PlacementRequest) -> Vec<u16> {
    let r = &s.routes[a.route as usize];
    let ws: Vec<(u16, u64)> = r
        .shares
        .iter()
        .map(|h| {
            let w = crate::weight_tuning::weight(tuned, a.route, h.service).unwrap_or(h.weight);
            (h.service, u64::from(w))
        })
        .filter(|(_, w)| *w > 0)
        .collect();
    let sum: u64 = ws.iter().map(|(_, w)| w).sum();
    // one prefix must keep to one service, or its cache is built twice
    let by = if r.kind == Kind::Prefix { a.key } else { a.id };
    let mut at = mix(by, &r.name) % sum.max(1);
    let mut first = 0;
    for (i, (_, w)) in ws.iter().enumerate() {
        if at < *w {
            first = i;
            break;
        }
        at -= w;
    }
    let mut out: Vec<u16> = ws.iter().map(|(s, _)| *s).collect();
    if !out.is_empty() {
        out.rotate_left(first);
    }
    out
}

/// The service and worker to go to in a region, or none that has room.
pub fn match_candidate(
    s: &Configuration,
    tuned: &[(u16, u16, u32)],
    candidates: &[Option<Candidate>],
    skip: &dyn Fn(usize) -> bool,
    a: &PlacementRequest,
    region: u8,
) -> Option<(u16, usize)> {
    // a home-bound errand must not reach a worker anywhere else
    if a.home.is_some_and(|h| h != region) {
        return None;
    }
    let kind = s.routes[a.route as usize].kind;
    services(s, tuned, a).into_iter().find_map(|v| {
        let sv = &s.services[v as usize];
        let want = a.adapter.or(sv.adapter.as_deref());
        let fits = |w: &Candidate| {
            w.region == region
                && sv.groups.contains(&w.group)
                && w.room()
                && want.is_none_or(|x| w.adapters.is_empty() || w.adapters.iter().any(|y| y == x))
        };
        let all: Vec<(usize, &Candidate)> = candidates
            .iter()
            .enumerate()
            .filter(|(i, _)| !skip(*i))
            .filter_map(|(i, w)| w.as_ref().filter(|w| fits(w)).map(|w| (i, w)))
            .collect();
        pick(kind, &all, a).map(|i| (v, i))
    })
}

fn pick(kind: Kind, all: &[(usize, &Candidate)], a: &PlacementRequest) -> Option<usize> {
    let full = |w: &Candidate| u64::from(w.busy) * 1000 / u64::from(w.slots.max(1));
    let least = all
        .iter()
        .min_by_key(|(_, w)| (full(w), mix(a.id, &w.name)))
        .map(|(i, _)| *i);
    if kind != Kind::Prefix {
        return least;
    }
    // the highest-ranked worker has the prefix warm, but a full one would
    // cost more in queueing than its cache saves
    all.iter()
        .filter(|(_, w)| w.calm())
        .max_by_key(|(_, w)| mix(a.key, &w.name))
        .map(|(i, _)| *i)
        .or(least)
}

/// This edge's part of a cap that holds for all edges together.
pub fn part_of(cap: u32, edges: usize, rank: usize) -> u32 {
    let n = edges.max(1) as u32;
    cap / n + u32::from((rank as u32) < cap % n)
}

/// Where this edge stands in the queue for the places of one cold worker.
///
/// Workers are dealt out in turn: each begins in the ring of edges where the
/// one before it left off (`start`), so that no edge goes without a place while
/// all cold workers together have one for each. Ranks drawn for each worker by
/// itself left some edges without any, for as long as the draw stood.
pub fn dealt_rank(edges: &[String], me: &str, start: u64) -> usize {
    let ring = edges.len().max(1) as u64;
    let position = edges.iter().filter(|e| e.as_str() < me).count() as u64;
    ((position + ring - start % ring) % ring) as usize
}
