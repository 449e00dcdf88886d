//! Time-outs, intervals and limits of the protocol.

use crate::types::Millis;

/// Time-outs, intervals and limits; all follow from `ack_ms` by default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Millis,
    /// The least election time-out; a random part is added.
    pub election_timeout: Millis,
    /// Time within which a change should be acknowledged.
    pub ack_ms: Millis,
    /// Silence after which a region counts as unavailable for commits.
    pub region_timeout: Millis,
    /// Time after which a region rule that cannot be met is waived.
    pub region_rule_timeout: Millis,
    /// Time without an answer after which a proposal, a read, an append or a
    /// result is sent again.
    pub resend_interval: Millis,
    /// A read without a proven read index after this long fails.
    pub read_timeout: Millis,
    /// Age of an unsynced save after which the disk counts as stalled.
    pub disk_stall_timeout: Millis,
    /// How often the leader's region is reconsidered: Tp of the CD-Raft paper,
    /// section III-E.
    pub placement_interval: Millis,
    /// Reads within this time share a heartbeat; zero: each sends its own.
    pub read_batch_interval: Millis,
    /// The least latency that moving the leader must save, in percent.
    pub min_placement_gain_percent: u64,
    /// Entries between two snapshots at most.
    pub snapshot_entries: u64,
    /// Proposals, reads and uncommitted entries at most, each.
    pub max_pending: usize,
    /// Fast Return of the CD-Raft paper, section III-B; off only to measure its
    /// effect.
    pub fast_return: bool,
    /// A rule broken on purpose, by tests that show that a checker can fail.
    pub injected_fault: InjectedFault,
}

/// A rule of the protocol to break, for tests of the tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// The protocol is followed.
    #[default]
    None,
    /// Commit without a majority of all voters.
    SkipVoterMajority,
    /// Send what depends on a save before it is synced.
    SendBeforeSync,
    /// Answer reads without proof of leadership.
    SkipReadProof,
    /// Vote for logs older than the own.
    VoteForStaleLog,
    /// Send snapshots and large entries in one message, and resend them while
    /// the first is still in flight.
    SendUnchunked,
    /// Keep entries behind an installed snapshot that conflict with it.
    KeepConflictingLog,
    /// Keep no entries behind a new snapshot for receivers of the last one.
    CompactWithoutTail,
    /// Rely on a silent Domain Leader to relay for as long as on its region.
    KeepSilentRelay,
    /// Give up a campaign for the same rival again and again.
    YieldAlways,
    /// After an election, wait for regions that took no part in it.
    WaitForSilentRegions,
    /// During a change of voters, require a majority of the new set only.
    IgnoreOutgoingVoters,
}

impl Timing {
    /// The defaults for a target of `ack_ms` for acknowledging a change.
    pub fn for_ack(ack_ms: Millis) -> Timing {
        Timing {
            heartbeat_interval: (ack_ms / 40).clamp(20, 100),
            election_timeout: ack_ms / 5,
            ack_ms,
            region_timeout: ack_ms / 5,
            region_rule_timeout: ack_ms / 5,
            resend_interval: ack_ms / 10,
            read_timeout: ack_ms * 2 / 5,
            disk_stall_timeout: ack_ms / 3,
            placement_interval: ack_ms * 5,
            read_batch_interval: 0,
            min_placement_gain_percent: 15,
            snapshot_entries: 512,
            max_pending: 512,
            fast_return: true,
            injected_fault: InjectedFault::None,
        }
    }
}
