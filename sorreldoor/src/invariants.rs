//! The rules that must never be broken, each where the code keeps it. Test
//! builds can break one on purpose, to show that a check sees it; in what is
//! shipped there is no switch, and every rule holds.

macro_rules! invariants {
    ($($rule:ident $name:literal;)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Invariant { $($rule),* }

        impl Invariant {
            pub const ALL: &'static [Invariant] = &[$(Invariant::$rule),*];
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

/// Whether a test has broken this rule.
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
        static HERE: Cell<Option<Invariant>> = const { Cell::new(None) };
    }

    /// Rules that a whole process was started to break.
    fn told() -> &'static [Invariant] {
        static TOLD: OnceLock<Vec<Invariant>> = OnceLock::new();
        TOLD.get_or_init(|| {
            let names = std::env::var("SORRELDOOR_BREAK").unwrap_or_default();
            let one = |n: &str| Invariant::ALL.iter().find(|r| r.name() == n).copied();
            names.split(',').filter_map(one).collect()
        })
    }

    pub fn broken(r: Invariant) -> bool {
        HERE.get() == Some(r) || told().contains(&r)
    }

    /// From now on, on this thread, this rule is broken, or none is.
    pub fn break_only(r: Option<Invariant>) {
        HERE.set(r);
    }
}
