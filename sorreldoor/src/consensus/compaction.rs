//! Log compaction by snapshots (thesis, chapter 5).

use super::entry::Snapshot;
use super::node::Consensus;
use super::save::Save;
use super::state_machine::StateMachine;
use super::timing::InjectedFault;
use std::sync::Arc;

/// Bytes by which the log may outgrow its snapshot before the next one.
const SPARE_LOG_BYTES: usize = 256 * 1024;
/// Entries kept behind a snapshot, as a multiple of those between two.
const TAIL_FACTOR: u64 = 4;

impl<M: StateMachine> Consensus<M> {
    /// A snapshot is due once the log has grown by about the snapshot's size,
    /// so that the cost of snapshots stays proportional to what is appended.
    fn snapshot_due(&self) -> bool {
        let (index, bytes) = self
            .snapshot
            .as_ref()
            .map_or((0, 0), |s| (s.last.index, s.image.len()));
        let entries = self.applied.saturating_sub(index);
        entries >= self.timing.snapshot_entries
            || (entries > 0 && self.log.bytes_after(index) > bytes + SPARE_LOG_BYTES)
    }

    /// Take a snapshot if one is due, and truncate the log before it.
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

    /// Last index to compact. A replica that is being sent the snapshot before
    /// still needs the entries that follow that one.
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
