//! Numbered log events: every line that a daemon logs starts with `E` and the
//! number of its event.
//!
//! The table below is the source of `docs/events.md`; a test compares the page
//! with it. Numbers are never reused, so that alerts stay valid.

use std::fmt;

macro_rules! log_events {
    ($($event:ident $number:literal $level:ident $message:literal $action:literal;)*) => {
        /// A kind of log line, with a fixed number and level.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum LogEvent { $(#[doc = $message] $event),* }

        impl LogEvent {
            /// All events in the order of their numbers.
            pub const ALL: &'static [LogEvent] = &[$(LogEvent::$event),*];

            /// The number after the `E`.
            #[must_use]
            pub fn number(self) -> u16 {
                match self { $(LogEvent::$event => $number),* }
            }

            /// The level at which it is logged.
            #[must_use]
            pub fn level(self) -> log::Level {
                match self { $(LogEvent::$event => log::Level::$level),* }
            }

            /// What happened, without the details of one occurrence.
            #[must_use]
            pub fn message(self) -> &'static str {
                match self { $(LogEvent::$event => $message),* }
            }

            /// What an engineer on call should do.
            #[must_use]
            pub fn action(self) -> &'static str {
                match self { $(LogEvent::$event => $action),* }
            }
        }
    };
}

log_events! {
    Started 100 Info "node started"
        "nothing";
    ShuttingDown 101 Info "shutdown requested; no new requests are accepted"
        "nothing; the node exits with 0 when running requests have ended or `drain_ms` has passed";
    Stopped 102 Info "stopped cleanly"
        "nothing";
    Listening 103 Info "listening"
        "nothing";
    ClockJump 104 Warn "clock jumped or process was frozen; lease dropped"
        "if frequent, look for a starved or paused machine";
    QueueFull 105 Warn "an event queue between threads is full; its newest entry is dropped"
        "find the thread that falls behind: the disk may be stuck, or frames may arrive too fast";
    RequestsCutOff 106 Warn "the grace period ended with requests in flight; their connections are closed"
        "if frequent, give the node a longer grace period or the routes shorter timeouts";
    IdentityCreated 200 Info "node identity created and synced"
        "nothing; expected once per data folder";
    ClusterBootstrapped 201 Info "cluster bootstrapped"
        "nothing; expected once per site";
    JoiningAsLearner 202 Info "blank core joins an existing cluster as a learner"
        "nothing; see replacing.md";
    BootstrapPromised 203 Info "promised to bootstrap with these cores"
        "if no bootstrap follows, see replacing.md on founding";
    GlobalLeader 210 Info "became Global Leader"
        "nothing";
    DomainLeader 211 Info "became Domain Leader"
        "nothing";
    SteppedDown 212 Warn "stepped down as leader"
        "see the reason given; `a newer term` is a normal transfer";
    RegionUnavailable 213 Warn "region unavailable to the Global Leader"
        "look at the cores of that region; commits continue with the core majority";
    RegionAvailable 214 Info "region available again"
        "nothing";
    LeadershipTransfer 215 Info "transferring the global leadership"
        "nothing";
    MembershipChanged 216 Info "core membership changed"
        "nothing";
    MembershipChangeStarted 217 Warn "membership change started"
        "nothing if planned; else check that the core named is permanently lost";
    DiskFailed 220 Error "disk cannot be written or synced; this core does not take part until it can"
        "free space or repair the disk (E224 follows); else replace the core as in replacing.md";
    DiskSlow 221 Warn "a write to disk was slow"
        "look at the disk if it persists";
    DiskCorrupt 222 Error "data folder is corrupt; its state is discarded and this core joins again"
        "look at the disk: synced data was lost; the core rejoins by itself as a blank one";
    TornWrite 223 Warn "an incomplete write at the end of the log was truncated"
        "nothing; the truncated write was never acknowledged";
    DiskRecovered 224 Info "disk accepts writes again; this core takes part again"
        "nothing";
    StateRepaired 225 Warn "the stored configuration named a key twice, and was repaired"
        "nothing; an earlier release wrote it so, and could not have read it again";
    FrameRejected 230 Warn "connection closed because of a rejected frame"
        "find the peer: a node of another site or an older release, or another program";
    SessionEstablished 240 Info "session with a core established"
        "nothing";
    SessionLost 241 Warn "session with a core lost"
        "look at the core that the session was with";
    EdgeConnected 242 Info "session of an edge established"
        "nothing";
    EdgeDisconnected 243 Warn "session of an edge lost"
        "nothing if the edge was stopped";
    SingletonAcquired 244 Info "acquired the singleton role under a new epoch"
        "nothing";
    ClaimsLearned 245 Info "claims on request ids read from the other cores; this core votes on new claims"
        "nothing; expected once after a blank core joined";
    ClaimTableFull 246 Warn "claim table is full; new request ids are rejected"
        "raise `max_claims`, or have clients send fewer requests under ids of their own";
    LeaseExpired 250 Warn "lease expired"
        "look at this edge's network path to the cores and at the Global Leader; a gateway rejects new requests, a node of hosted routes serves its last configuration";
    LeaseRenewed 251 Info "lease renewed"
        "nothing";
    ConfigurationApplied 252 Info "configuration applied"
        "nothing";
    ConfigurationUnreadable 253 Error "a received configuration could not be read and is not applied"
        "run this node with the release of the other nodes";
    NoConfirmation 254 Warn "no core confirms this edge's state"
        "if none of the cores named is connected, look at the network and at whether they still exist; if they answer without confirmation, look for the Global Leader";
    WorkerListChanged 260 Info "worker list changed"
        "nothing";
    WorkerListUnavailable 261 Warn "worker list of the platform cannot be read"
        "look at the platform; the last list read stays in force";
    WorkerUnresponsive 262 Warn "a worker does not report its load"
        "look at the worker; it gets no new requests meanwhile";
    WorkerResponsive 263 Info "a worker reports its load again"
        "nothing";
    OutcomeUnknown 270 Warn "outcome of a non-idempotent request is unknown"
        "look at the worker named; the caller received `outcome-unknown`";
    StreamInterrupted 271 Warn "a stream of a worker was interrupted"
        "look at the worker named; the client was sent an incomplete stream";
    WorkerResponseRejected 272 Warn "a response of a worker was rejected"
        "look at the worker named";
    ChangeCommitted 280 Info "a change of an operator was committed"
        "nothing";
    ChangeRejected 281 Info "a change of an operator was rejected"
        "nothing";
    RegionRecoveryChanged 282 Info "recovery state of a region changed"
        "nothing";
    CallAbandoned 283 Info "a call of an operator was dropped, as its connection was closed before the call was read"
        "nothing if this core was paused or overloaded before; the operator has sent the call elsewhere";
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{} {}", self.number(), self.message())
    }
}

/// Log target of all events outside the audit log.
const TARGET: &str = "sorreldoor";
/// Log target of the audit log, so that a filter can keep it and drop other
/// events of the same level.
pub const AUDIT_TARGET: &str = "sorreldoor::audit";

impl LogEvent {
    /// Whether the event belongs to the audit log of operators' changes.
    #[must_use]
    pub fn is_audited(self) -> bool {
        matches!(self, LogEvent::ChangeCommitted | LogEvent::ChangeRejected)
    }
}

/// Logs one event with the details of this occurrence.
pub fn log_event(event: LogEvent, details: impl fmt::Display) {
    let target = if event.is_audited() {
        AUDIT_TARGET
    } else {
        TARGET
    };
    log::log!(target: target, event.level(), "{event}: {details}");
}
