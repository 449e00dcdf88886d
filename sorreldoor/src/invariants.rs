//! The invariants of the system, for mutation testing: each is named where the
//! code upholds it. Builds with the feature `mutants` can disable one, to show
//! that a check notices; shipped builds have no such switch.

macro_rules! invariants {
    ($($rule:ident $name:literal;)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        /// A property that the code upholds, and that a mutant can give up.
        pub enum Invariant { $($rule),* }

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
    Lease "permit";
    Woken "woken";
    Proof "proof";
    Hedge "hedge";
    StepDown "step-down";
    Unverified "unverified";
    Allowed "allowed";
    Home "home";
    Spill "spill";
    Leaving "leaving";
    Evacuated "emptied";
    Warm "warm";
    Budget "budget";
    Repeat "repeat";
    Unknown "unknown";
    Refusal "refusal";
    Claim "claim";
    ClaimSynced "claim-synced";
    Learned "learned";
    Base "base";
    Loser "loser";
    NotYet "not-yet";
    AppliedOnce "applied-once";
    RefusalKept "refusal-kept";
    TakenInImage "taken-in-image";
    EvacuateOnce "evacuate-once";
    ResultLength "result-length";
    ResultOwner "result-owner";
    Sequence "sequence";
    SendOnce "send-once";
    HonestRefusal "honest-refusal";
    AnswerId "answer-id";
    CleanConnection "clean-connection";
    WholeAnswer "whole-answer";
    Differences "differences";
    Deletions "deletions";
    CopiesBounded "copies-bounded";
}

/// Whether a test has disabled this invariant.
#[cfg(not(feature = "mutants"))]
pub const fn broken(_: Invariant) -> bool {
    false
}

#[cfg(feature = "mutants")]
pub use switch::{break_only, broken};

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
    pub fn broken(invariant: Invariant) -> bool {
        ON_THIS_THREAD.get() == Some(invariant) || from_environment().contains(&invariant)
    }

    /// Disables this invariant on this thread from now on, and no other.
    pub fn break_only(invariant: Option<Invariant>) {
        ON_THIS_THREAD.set(invariant);
    }
}
