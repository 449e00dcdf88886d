//! The queues of requests that wait for capacity, ordered by priority and then by
//! arrival.

use super::index::ServiceIndex;
use super::priority::Rank;
use super::RequestId;
use crate::types::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum time between two decisions on a waiting request.
pub(super) const RECHECK_INTERVAL: Millis = 20;

/// The service and regions that may serve the requests of one queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    pub service: ServiceIndex,
    /// Regions allowed by homes, as a bit set; see `decide::allowed_regions`.
    pub regions: u64,
}

/// The position of a request in its queue; lower positions come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    pub rank: Rank,
    pub arrived_at: Millis,
    pub request_id: RequestId,
}

#[derive(Clone, Debug, Default)]
struct Queue {
    positions: BTreeSet<Position>,
    /// Number of slots freed since the last call of [`WaitQueue::take_ready`].
    freed_slots: u32,
    /// Time of the next decision on all of its requests.
    recheck_at: Millis,
}

/// The queues of waiting requests, by service and regions.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueue {
    queues: BTreeMap<QueueKey, Queue>,
}

impl WaitQueue {
    /// Number of waiting requests in all queues.
    pub fn len(&self) -> usize {
        self.queues
            .values()
            .map(|queue| queue.positions.len())
            .sum()
    }

    pub fn insert(&mut self, key: QueueKey, position: Position, now: Millis) {
        let queue = self.queues.entry(key).or_default();
        if queue.positions.is_empty() {
            queue.recheck_at = now + RECHECK_INTERVAL;
            queue.freed_slots = 0;
        }
        queue.positions.insert(position);
    }

    pub fn remove(&mut self, key: QueueKey, position: Position) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.positions.remove(&position);
            if queue.positions.is_empty() {
                self.queues.remove(&key);
            }
        }
    }

    /// Whether a request waits ahead of `position` in the queue of `key`.
    pub fn any_ahead_of(&self, key: QueueKey, position: Position) -> bool {
        let first = self
            .queues
            .get(&key)
            .and_then(|queue| queue.positions.first());
        first.is_some_and(|first| *first < position)
    }

    /// Records that a slot was freed at an endpoint of the service.
    pub fn record_freed_slot(&mut self, service: ServiceIndex) {
        let key = |regions| QueueKey { service, regions };
        self.queues
            .range_mut(key(0)..=key(u64::MAX))
            .for_each(|(_, queue)| queue.freed_slots += 1);
    }

    /// Makes all requests ready, after a change of the registry, the configuration or
    /// the evacuated zones.
    pub fn recheck_all(&mut self) {
        self.queues
            .values_mut()
            .for_each(|queue| queue.recheck_at = 0);
    }

    /// The requests to decide on again, in order: as many per queue as slots were
    /// freed, or all if its recheck is due. They stay in their queues until
    /// removed.
    pub fn take_ready(&mut self, now: Millis) -> Vec<RequestId> {
        let mut ready: Vec<Position> = Vec::new();
        for queue in self.queues.values_mut() {
            let count = match queue.recheck_at <= now {
                true => queue.positions.len(),
                false => queue.freed_slots as usize,
            };
            if queue.recheck_at <= now {
                queue.recheck_at = now + RECHECK_INTERVAL;
            }
            queue.freed_slots = 0;
            ready.extend(queue.positions.iter().take(count));
        }
        ready.sort_unstable();
        ready
            .into_iter()
            .map(|position| position.request_id)
            .collect()
    }
}
