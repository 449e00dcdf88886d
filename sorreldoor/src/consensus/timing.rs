//! Timeouts, intervals and limits of the protocol.

use crate::types::Millis;

/// Timeouts, intervals and limits. [`Timing::for_ack`] derives the defaults from
/// `ack_ms`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Millis,
    /// Minimum election timeout; a random part is added.
    pub election_timeout: Millis,
    /// Target time for acknowledging a change; a proposal expires after twice this.
    pub ack_ms: Millis,
    /// Time without contact with a majority of a region's voters after which the
    /// region is unavailable, so that the region rules are waived for it.
    pub region_timeout: Millis,
    /// Time after which a region rule that is not met is waived, in elections and for
    /// entries.
    pub region_rule_timeout: Millis,
    /// Base interval for resending proposals, reads, appends, chunks and results.
    pub resend_interval: Millis,
    /// Time after which a pending read fails.
    pub read_timeout: Millis,
    /// Age of an unsynced save after which the disk counts as stalled.
    pub disk_stall_timeout: Millis,
    /// How often the leader's region is reconsidered: Tp of the CD-Raft paper,
    /// section III-E.
    pub placement_interval: Millis,
    /// Reads that arrive within this time share a round of heartbeats; at zero, each
    /// read starts a round.
    pub read_batch_interval: Millis,
    /// Minimum reduction of the total latency for moving the leader, in percent.
    pub min_placement_gain_percent: u64,
    /// Maximum entries between two snapshots.
    pub snapshot_entries: u64,
    /// Maximum of pending proposals, of pending reads and of uncommitted entries.
    pub max_pending: usize,
    /// Fast Return of the CD-Raft paper, section III-B; disabled only to measure its
    /// effect.
    pub fast_return: bool,
    /// A rule to break on purpose, in tests that show that a check detects it.
    pub injected_fault: InjectedFault,
}

/// A rule of the protocol to break, for tests that show that a check detects it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// The protocol is followed.
    #[default]
    None,
    /// Commit without a majority of all voters.
    SkipVoterMajority,
    /// Send messages before the saves that they depend on are synced.
    SendBeforeSync,
    /// Answer reads without confirming the leadership.
    SkipReadProof,
    /// Vote for candidates whose log is older than this node's.
    VoteForStaleLog,
    /// Send snapshots and large entries in one message, and resend them while
    /// the first is still in flight.
    SendUnchunked,
    /// Keep the entries after an installed snapshot that conflict with it.
    KeepConflictingLog,
    /// Compact all entries up to a new snapshot, also those that receivers of the
    /// previous one need.
    CompactWithoutTail,
    /// Use a silent Domain Leader as a relay for the whole of `region_timeout`.
    KeepSilentRelay,
    /// Abandon a campaign each time that the same rival asks for a pre-vote.
    YieldAlways,
    /// After an election, wait the whole of `region_timeout` for regions that did not
    /// vote.
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
