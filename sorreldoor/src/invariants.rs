//! The invariants of the system, for mutation testing: the code that upholds an
//! invariant names it. Builds with the feature `mutants` can disable invariants,
//! to show that tests detect the violation; released builds cannot.

macro_rules! invariants {
    ($($rule:ident $name:literal;)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        /// A property that the code upholds and that a mutant can disable.
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
    // An edge serves requests only while it holds a lease.
    Lease "permit";
    // The lease is void after the process was suspended or the clock jumped.
    LeaseVoidAfterSuspension "woken";
    // A read is answered as current only after a majority has confirmed the leader.
    QuorumConfirmedRead "proof";
    // A node that reaches none of the cores it knows looks for others.
    IsolatedNodeSearches "isolated-search";
    // A request is rejected as the configuration demands only while a core has confirmed it.
    ConfirmedRejection "confirmed-rejection";
    // A lease renewal without a timely response is hedged to one more core.
    HedgedRenewal "hedge";
    // A leader without a live quorum steps down.
    StepDown "step-down";
    // After its first confirmation, a core sends starting edges only confirmed state.
    ConfirmedStateOnly "unverified";
    // A request goes only to workers that the current configuration allows.
    AllowedWorker "allowed";
    // A request runs only with a key of a tenant, unless its route is public.
    Authenticated "authenticated";
    // The key of a tenant is withheld from workers.
    KeyWithheld "key-withheld";
    // The requests of a tenant over all nodes stay within its quota.
    Quota "quota";
    // A proxy that shuts down responds to the requests that it has read.
    GracefulDrain "graceful-drain";
    // A proxy that shuts down sends a request only if it can be completed before the exit.
    CompletedBeforeExit "completed-before-exit";
    // A proxy applies each configuration update that it receives.
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
    // A request that may have run is not reported as not run.
    UnknownOutcome "unknown";
    // An attempt that was abandoned before sending is not sent.
    AbandonedNotSent "refusal";
    // A request with a claim pending is not sent.
    ClaimBeforeSend "claim";
    // A claim is acknowledged only after it is synced to disk.
    ClaimSynced "claim-synced";
    // A core votes on claims only after it has read those of its peers.
    ClaimsCaughtUp "learned";
    // Of two changes based on one version, only the first is applied.
    BaseVersion "base";
    // A change that is rejected leaves no trace in the state.
    RejectionLeavesNoTrace "loser";
    // The text of a document names each key once.
    KeyWrittenOnce "key-written-once";
    // A document that the cores have accepted is read whatever its size and depth.
    AcceptedIsReadable "accepted-readable";
    // A core that took part in a site's first start goes on with it after a restart.
    FoundingRemembered "founding-remembered";
    // A change based on a future version may be retried; it is not rejected for good.
    FutureBase "not-yet";
    // A proposal is applied at most once.
    AppliedOnce "applied-once";
    // A rejected proposal is not recorded as applied, so a retry is decided again.
    RejectionNotRecorded "refusal-kept";
    // Snapshots contain the ids of applied proposals.
    AppliedIdsInSnapshot "taken-in-image";
    // A conditional evacuation that was superseded is not applied.
    ConditionalEvacuation "evacuate-once";
    // An evacuation holds for the state of the zone when it was sent, not when it is read.
    EvacuationBoundWhenSent "evacuate-when-sent";
    // An evacuation that is acknowledged without an effect supersedes older ones, too.
    EvacuationCounted "evacuate-counted";
    // A body shorter than its Content-Length is not a complete response.
    CompleteBody "result-length";
    // A response that names another request is not forwarded.
    ResponseRequestId "result-owner";
    // Events of a stream are relayed in sequence, and only this request's.
    StreamSequence "sequence";
    // An attempt that may have run is retried only if running twice is harmless.
    SafeReattempt "send-once";
    // A client is told that its request did not run only if that is certain.
    CertainNotRun "honest-refusal";
    // A proxied response must name the attempt that it belongs to.
    ResponseAttemptId "answer-id";
    // A connection with unexpected bytes on it is not reused.
    CleanConnection "clean-connection";
    // A successful response that only the close of its connection ends is rejected.
    DelimitedResponse "whole-answer";
    // Replicas receive deltas unless they are empty or too far behind.
    DeltaUpdates "differences";
    // Delta updates of item lists include deletions.
    DeltaDeletions "deletions";
    // When a core connects with a new incarnation, or a new identity after losing its
    // disk, connections to the previous one are closed.
    SupersededConnection "superseded";
    // Frames are sent on a connection that still receives, if there is one.
    LiveConnection "live-connection";
    // Changes of many sessions are reported in one batch.
    SessionsBatched "sessions-gathered";
    // Messages of consensus are handled before the work for edges.
    ConsensusPriority "urgent-lane";
    // An edge that has state renews at the normal rate.
    UniformRenewalRate "unhurried";
    // The rate of endpoint list bytes that a core sends is bounded.
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
        // tests run in parallel, each on its own thread
        static DISABLED_HERE: Cell<Option<Invariant>> = const { Cell::new(None) };
    }

    /// The invariants that `SORRELDOOR_BREAK` disables for this process.
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
        DISABLED_HERE.get() == Some(invariant) || from_environment().contains(&invariant)
    }

    /// Disables this invariant, and no other, on the current thread.
    pub fn disable_only(invariant: Option<Invariant>) {
        DISABLED_HERE.set(invariant);
    }
}
