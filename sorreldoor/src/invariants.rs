//! The invariants of the system, for mutation testing: each is named where the
//! code upholds it. Builds with the feature `mutants` can disable one, to show
//! that a check notices; shipped builds have no such switch.

macro_rules! invariants {
    ($($rule:ident $name:literal;)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        /// A property that the code upholds, and that a mutant can give up.
        pub enum Invariant {
            $(
                /// Described by the comment on its name in `invariants!`.
                $rule
            ),*
        }

        impl Invariant {
            /// All invariants.
            pub const ALL: &'static [Invariant] = &[$(Invariant::$rule),*];
            /// Its name in `SORRELDOOR_BREAK`.
            pub fn name(self) -> &'static str {
                match self { $(Invariant::$rule => $name),* }
            }
        }
    };
}

invariants! {
    // An edge serves only while it holds a lease.
    Lease "permit";
    // The lease is void after the process was suspended or the clock jumped.
    LeaseVoidAfterSuspension "woken";
    // A core answers reads as current only once a majority has confirmed it.
    QuorumConfirmedRead "proof";
    // A renewal without an answer goes to one more core.
    HedgedRenewal "hedge";
    // A leader without a live quorum steps down.
    StepDown "step-down";
    // Once a core has confirmed its state, it offers none unconfirmed to edges that start.
    ConfirmedStateOnly "unverified";
    // A request goes only to workers that the current configuration allows.
    AllowedWorker "allowed";
    // A request runs only with a key of a tenant, unless its route is public.
    Authenticated "authenticated";
    // The key of a tenant is withheld from workers.
    KeyWithheld "key-withheld";
    // The requests of a tenant, over all nodes, stay within its quota.
    Quota "quota";
    // A proxy that is told to stop answers what it has read.
    GracefulDrain "graceful-drain";
    // A proxy applies each update of the configuration that it is sent.
    UpdatesApplied "updates-applied";
    // A home-bound request stays in its home region.
    HomeRegion "home";
    // Requests go to another region only where a spill limit allows it.
    SpillLimit "spill";
    // A draining worker takes no new requests.
    DrainingWorker "leaving";
    // An evacuated zone takes no new requests.
    EvacuatedZone "emptied";
    // A worker in slow start takes a growing number of requests.
    SlowStart "warm";
    // Retries stay within the retry budget.
    RetryBudget "budget";
    // A request that may have run is retried only if it is idempotent.
    RetryOnlyIdempotent "repeat";
    // A request that may have run is not reported as rejected.
    UnknownOutcome "unknown";
    // An attempt that was given up before sending is not sent.
    AbandonedNotSent "refusal";
    // A request with a claim pending is not sent.
    ClaimBeforeSend "claim";
    // A claim is answered only once it is synced to disk.
    ClaimSynced "claim-synced";
    // A core votes on claims only once it has read those of its peers.
    ClaimsCaughtUp "learned";
    // Of two changes based on one version, only the first is applied.
    BaseVersion "base";
    // A change that is rejected leaves no trace in the state.
    RejectionLeavesNoTrace "loser";
    // A change based on a future version is undecided, not rejected for good.
    FutureBase "not-yet";
    // A proposal is applied at most once.
    AppliedOnce "applied-once";
    // A rejected proposal is not recorded as applied, so it may be decided anew.
    RejectionNotRecorded "refusal-kept";
    // Snapshots contain the ids of applied proposals.
    AppliedIdsInSnapshot "taken-in-image";
    // A conditional evacuation that was superseded is not applied.
    ConditionalEvacuation "evacuate-once";
    // A body shorter than its Content-Length is not a complete response.
    CompleteBody "result-length";
    // A response that names another request is not forwarded.
    ResponseRequestId "result-owner";
    // Events of a stream are relayed in sequence, and only this request's.
    StreamSequence "sequence";
    // An attempt that may have run is followed by another only if that is harmless.
    SafeReattempt "send-once";
    // A client is told that its request did not run only if that is certain.
    CertainNotRun "honest-refusal";
    // A proxied response must name the attempt that it belongs to.
    ResponseAttemptId "answer-id";
    // A connection with unexpected bytes on it is not reused.
    CleanConnection "clean-connection";
    // A successful response ended only by the close of its connection is not trusted.
    DelimitedResponse "whole-answer";
    // Replicas get updates as deltas, unless they are empty or too far behind.
    DeltaUpdates "differences";
    // Updates of item lists contain the deletions.
    DeltaDeletions "deletions";
    // Connections to an earlier incarnation of a core, or to the identity whose disk
    // was lost, are closed once the next one introduces itself.
    SupersededConnection "superseded";
    // Frames go on a connection that still receives, if there is one.
    LiveConnection "live-connection";
    // Changes of many sessions are merged and reported together.
    SessionsBatched "sessions-gathered";
    // Messages of consensus are handled before the work for edges.
    ConsensusPriority "urgent-lane";
    // An edge that has state renews no more often than others.
    UniformRenewalRate "unhurried";
    // The bytes of endpoint lists that a core sends per time are bounded.
    EndpointListRate "endpoints-paced";
    // The bytes of large updates in flight are bounded.
    LargeUpdatesBounded "copies-bounded";
}

/// Whether a test has disabled this invariant.
#[cfg(not(feature = "mutants"))]
pub const fn is_disabled(_: Invariant) -> bool {
    false
}

#[cfg(feature = "mutants")]
pub use switch::{disable_only, is_disabled};

#[cfg(feature = "mutants")]
mod switch {
    use super::Invariant;
    use std::cell::Cell;
    use std::sync::OnceLock;

    thread_local! {
        // tests run side by side, each on a thread of its own
        static ON_THIS_THREAD: Cell<Option<Invariant>> = const { Cell::new(None) };
    }

    /// The invariants that this process was started without.
    fn from_environment() -> &'static [Invariant] {
        static DISABLED: OnceLock<Vec<Invariant>> = OnceLock::new();
        DISABLED.get_or_init(|| {
            let names = std::env::var("SORRELDOOR_BREAK").unwrap_or_default();
            let by_name = |name: &str| Invariant::ALL.iter().find(|i| i.name() == name).copied();
            names.split(',').filter_map(by_name).collect()
        })
    }

    /// Whether a test has disabled this invariant.
    pub fn is_disabled(invariant: Invariant) -> bool {
        ON_THIS_THREAD.get() == Some(invariant) || from_environment().contains(&invariant)
    }

    /// Disables this invariant on this thread from now on, and no other.
    pub fn disable_only(invariant: Option<Invariant>) {
        ON_THIS_THREAD.set(invariant);
    }
}
