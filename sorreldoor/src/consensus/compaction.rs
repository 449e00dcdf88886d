//! Log compaction by snapshots (thesis, chapter 5).

use super::entry::Snapshot;
use super::node::Consensus;
use super::save::Save;
use super::state_machine::StateMachine;
use super::timing::InjectedFault;
use std::sync::Arc;

/// Bytes by which the entries after a snapshot may exceed its size before the next
/// one is taken.
const SPARE_LOG_BYTES: usize = 256 * 1024;
/// Maximum entries retained up to a snapshot, as a multiple of `snapshot_entries`.
const TAIL_FACTOR: u64 = 4;

impl<M: StateMachine> Consensus<M> {
    /// Whether a snapshot is due: after `snapshot_entries` entries, or once the log has
    /// grown by about the size of the last snapshot, so that the cost of snapshots
    /// stays proportional to the bytes appended.
    fn snapshot_due(&self) -> bool {
        let (index, bytes) = self
            .snapshot
            .as_ref()
            .map_or((0, 0), |s| (s.last.index, s.image.len()));
        let entries = self.applied.saturating_sub(index);
        entries >= self.timing.snapshot_entries
            || (entries > 0 && self.log.bytes_after(index) > bytes + SPARE_LOG_BYTES)
    }

    /// Take a snapshot if one is due, and compact the log except for a tail.
    pub(super) fn compact(&mut self) {
        if !self.snapshot_due() {
            return;
        }
        let Some(last) = self.log.at(self.applied) else {
            return;
        };
        let snapshot = Snapshot {
            last,
            members: self.log.members_at(last.index).to_vec(),
            image: Arc::new(self.state_machine.image()),
        };
        self.log.compact(self.compaction_index(&snapshot));
        self.snapshot = Some(snapshot.clone());
        self.save(Save::Snapshot {
            snapshot,
            discard_log: false,
        });
    }

    /// Last index to compact. A replica that is receiving the previous snapshot still
    /// needs the entries after that one.
    fn compaction_index(&self, snapshot: &Snapshot) -> u64 {
        let last = snapshot.last.index;
        if self.timing.injected_fault == InjectedFault::CompactWithoutTail {
            return last;
        }
        let bytes = snapshot.image.len() + SPARE_LOG_BYTES;
        let count = self.timing.snapshot_entries * TAIL_FACTOR;
        self.log.index_before_tail(last, count, bytes)
    }
}
