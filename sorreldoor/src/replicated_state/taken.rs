//! Which orders have been taken: kept with the replicated state, so that an
//! order that is sent again is acknowledged again and never applied twice.
//!
//! Only taken orders are kept. A refusal needs no memory, because it is final
//! by itself: versions only rise, so an order whose base has been passed can
//! never become valid again.

use crate::types::ProposalId;
use im::{OrdMap, Vector};
use serde::{Deserialize, Serialize};

/// How many orders of operators are remembered.
pub const REMEMBERED_ORDERS: usize = 8192;

/// How many proposals without a base version are remembered: those of the
/// cores themselves, and evacuations. They repeat only while they are sent.
const REMEMBERED_PROPOSALS: usize = 512;

/// An id and a version, as they are written.
const ENTRY_BYTES: usize = 16 + 8;

/// The newest taken proposals with the version each was taken as.
#[derive(Clone, Debug, Default)]
struct Window {
    versions: OrdMap<ProposalId, u64>,
    order: Vector<ProposalId>,
}

impl Window {
    /// Remembers one more; the version of the one that is forgotten for it.
    fn insert(&mut self, id: ProposalId, version: u64, limit: usize) -> Option<u64> {
        if self.versions.insert(id, version).is_none() {
            self.order.push_back(id);
        }
        if self.order.len() <= limit {
            return None;
        }
        let oldest = self.order.pop_front()?;
        self.versions.remove(&oldest)
    }

    fn packed(&self) -> Bytes {
        let mut bytes = Vec::with_capacity(self.order.len() * ENTRY_BYTES);
        for id in &self.order {
            let version = self.versions.get(id).copied().unwrap_or(0);
            bytes.extend_from_slice(&id.to_le_bytes());
            bytes.extend_from_slice(&version.to_le_bytes());
        }
        Bytes(bytes)
    }

    fn unpacked(bytes: &Bytes) -> Result<Window, &'static str> {
        let mut window = Window::default();
        for entry in bytes.0.chunks(ENTRY_BYTES) {
            let (id, version) = entry.split_at_checked(16).ok_or(DAMAGED)?;
            let id = id.try_into().map_err(|_| DAMAGED)?;
            let version = version.try_into().map_err(|_| DAMAGED)?;
            let version = u64::from_le_bytes(version);
            window.insert(ProposalId::from_le_bytes(id), version, usize::MAX);
        }
        Ok(window)
    }
}

const DAMAGED: &str = "taken orders: not a whole number of entries";

/// Bytes that are written as one string.
#[derive(Clone, Debug, Deserialize)]
struct Bytes(Vec<u8>);

impl Serialize for Bytes {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

/// The proposals that were taken, as far back as they are remembered.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(into = "Packed", try_from = "Packed")]
pub(super) struct TakenOrders {
    orders: Window,
    proposals: Window,
    /// The highest version of an order that is remembered no longer.
    forgotten: u64,
}

#[derive(Serialize, Deserialize)]
struct Packed {
    orders: Bytes,
    proposals: Bytes,
    forgotten: u64,
}

impl From<TakenOrders> for Packed {
    fn from(taken: TakenOrders) -> Packed {
        Packed {
            orders: taken.orders.packed(),
            proposals: taken.proposals.packed(),
            forgotten: taken.forgotten,
        }
    }
}

impl TryFrom<Packed> for TakenOrders {
    type Error = &'static str;

    fn try_from(packed: Packed) -> Result<TakenOrders, &'static str> {
        Ok(TakenOrders {
            orders: Window::unpacked(&packed.orders)?,
            proposals: Window::unpacked(&packed.proposals)?,
            forgotten: packed.forgotten,
        })
    }
}

impl TakenOrders {
    /// The version that a proposal was taken as.
    pub fn version_of(&self, id: ProposalId) -> Option<u64> {
        let order = self.orders.versions.get(&id);
        order.or_else(|| self.proposals.versions.get(&id)).copied()
    }

    /// Remembers an order that named the version it builds on.
    pub fn insert_order(&mut self, id: ProposalId, version: u64) {
        let evicted = self.orders.insert(id, version, REMEMBERED_ORDERS);
        self.forgotten = self.forgotten.max(evicted.unwrap_or(0));
    }

    /// Remembers a proposal that builds on no version.
    pub fn insert_proposal(&mut self, id: ProposalId, version: u64) {
        self.proposals.insert(id, version, REMEMBERED_PROPOSALS);
    }

    /// Whether an unknown order on this base may have been taken once. Orders
    /// are taken, and forgotten, by rising versions, and each is above its base.
    pub fn may_have_forgotten(&self, base: u64) -> bool {
        base < self.forgotten
    }

    /// Orders may have been forgotten up to this version.
    pub fn forgotten_up_to(&mut self, version: u64) {
        self.forgotten = self.forgotten.max(version);
    }
}
