//! The metrics of a core.

use super::{Kind, Metric};

/// The values of a core from which its metrics are read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CoreFigures {
    /// It is the Global Leader.
    pub is_leader: bool,
    /// It is the Domain Leader of its region.
    pub is_domain_leader: bool,
    /// It has had no contact with a leader for longer than an election takes, so that it
    /// is likely partitioned.
    pub is_partitioned: bool,
    /// Its disk refuses writes.
    pub disk_failed: bool,
    /// It holds the singleton role.
    pub holds_singleton_role: bool,
    /// The highest term that it has seen.
    pub term: u64,
    /// Its commit index.
    pub committed: u64,
    /// Index of the last entry applied.
    pub applied: u64,
    /// Log entries in memory.
    pub log_entries: u64,
    /// Size of the newest snapshot in bytes.
    pub snapshot_bytes: u64,
    /// Members of the consensus group.
    pub members: u64,
    /// Voters among them.
    pub voters: u64,
    /// Version of the applied configuration.
    pub configuration_version: u64,
    /// Epoch of the singleton role.
    pub epoch: u64,
    /// Edges that have a session with any core.
    pub edge_sessions: u64,
    /// Workers in the newest list.
    pub workers: u64,
}

const fn gauge(
    name: &'static str,
    help: &'static str,
    value: fn(&CoreFigures) -> u64,
) -> Metric<CoreFigures> {
    Metric {
        name,
        kind: Kind::Gauge,
        help,
        value,
    }
}

/// The metrics of a core.
pub const CORE_METRICS: &[Metric<CoreFigures>] = &[
    gauge("raft_leader", "1 if this core is the Global Leader.", |f| {
        f.is_leader.into()
    }),
    gauge(
        "raft_domain_leader",
        "1 if this core is the Domain Leader of its region.",
        |f| f.is_domain_leader.into(),
    ),
    gauge(
        "raft_partitioned",
        "1 if this core has had no contact with a leader for longer than an election takes.",
        |f| f.is_partitioned.into(),
    ),
    gauge(
        "raft_term",
        "The newest term that this core has seen.",
        |f| f.term,
    ),
    gauge("raft_commit_index", "The commit index.", |f| f.committed),
    gauge(
        "raft_applied_index",
        "Index of the last entry applied.",
        |f| f.applied,
    ),
    gauge("raft_log_entries", "Entries of the log in memory.", |f| {
        f.log_entries
    }),
    gauge(
        "raft_snapshot_bytes",
        "Size of the newest snapshot in bytes.",
        |f| f.snapshot_bytes,
    ),
    gauge("raft_members", "Members of the consensus group.", |f| {
        f.members
    }),
    gauge("raft_voters", "Voters among the members.", |f| f.voters),
    gauge("disk_failed", "1 if the disk refuses writes.", |f| {
        f.disk_failed.into()
    }),
    gauge(
        "configuration_version",
        "Version of the configuration that is applied; 0 before the first.",
        |f| f.configuration_version,
    ),
    gauge(
        "singleton_holder",
        "1 if this core holds the singleton role.",
        |f| f.holds_singleton_role.into(),
    ),
    gauge("singleton_epoch", "Epoch of the singleton role.", |f| {
        f.epoch
    }),
    gauge("edge_sessions", "Edges with a session at any core.", |f| {
        f.edge_sessions
    }),
    gauge("workers", "Workers of the newest list.", |f| f.workers),
];
