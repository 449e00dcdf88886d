//! CD-Raft as a pure reducer: an event and the current time in, effects out.
//! Nothing in this module reads a clock, does I/O or starts a thread.
//!
//! Raft follows Ongaro, "Consensus: Bridging Theory and Practice" ("the thesis"
//! in the comments). The hierarchy of Domain Leaders below one Global Leader
//! follows Wang, Cheng, Dong and Xu, "CD-Raft: Reducing the Latency of
//! Distributed Consensus in Cross-Domain Sites", arXiv 2603.10555 ("the
//! paper"); a domain is a region here. `docs/cd-raft.md` lists the deviations.
//!
//! [`Consensus`] in `node` holds the state and dispatches events. Each other
//! module implements one mechanism on it, or is a data type of its own.

mod append_reply;
mod apply;
mod commit;
mod compaction;
mod confchange;
mod domain_election;
mod election;
mod election_timer;
mod entry;
mod errors;
mod event;
mod fast_return;
mod follower;
mod leader;
pub mod leader_position;
mod leader_transfer;
mod members;
mod messages;
mod node;
mod pending;
mod persistence;
mod progress;
mod proposal;
pub mod quorum;
mod raft_log;
mod read_index;
mod replication;
mod role;
mod save;
mod snapshot_transfer;
mod state_machine;
mod status;
mod term;
mod timing;
mod transfer_state;

pub use entry::{Body, Entry, HardState, LogPosition, Member, Snapshot};
pub use errors::ProposalError;
pub use event::{Effect, Event, SilentVoter, StateChange, StepDownReason};
pub use leader_position::RegionLoad;
pub use messages::{
    AppendReply, AppendRequest, Chunk, ContentHeader, Msg, ReplicaProgress, VoteReply,
};
pub use node::Consensus;
pub use raft_log::RaftLog;
pub use save::{ClaimRecord, RecoveredState, Save};
pub use state_machine::StateMachine;
pub use timing::{InjectedFault, Timing};
pub use transfer_state::{TRANSFER_CHUNK_BYTES, TRANSFER_WINDOW_BYTES};
