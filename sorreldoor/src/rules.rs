//! The rules that must never be broken, each where the code keeps it. Test
//! builds can break one on purpose, to show that a check sees it; in what is
//! shipped there is no switch, and every rule holds.

macro_rules! rules {
    ($($rule:ident $name:literal;)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Rule { $($rule),* }

        impl Rule {
            pub const ALL: &'static [Rule] = &[$(Rule::$rule),*];
            pub fn name(self) -> &'static str {
                match self { $(Rule::$rule => $name),* }
            }
        }
    };
}

rules! {
    Permit "permit";
    Woken "woken";
    Proof "proof";
    Hedge "hedge";
    StepDown "step-down";
    Unverified "unverified";
    Allowed "allowed";
    Home "home";
    Spill "spill";
    Leaving "leaving";
    Emptied "emptied";
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
pub const fn broken(_: Rule) -> bool {
    false
}

#[cfg(feature = "mutants")]
pub use switch::{break_only, broken};

#[cfg(feature = "mutants")]
mod switch {
    use super::Rule;
    use std::cell::Cell;
    use std::sync::OnceLock;

    thread_local! {
        // tests run side by side, each on a thread of its own
        static HERE: Cell<Option<Rule>> = const { Cell::new(None) };
    }

    /// Rules that a whole process was started to break.
    fn told() -> &'static [Rule] {
        static TOLD: OnceLock<Vec<Rule>> = OnceLock::new();
        TOLD.get_or_init(|| {
            let names = std::env::var("SORRELDOOR_BREAK").unwrap_or_default();
            let one = |n: &str| Rule::ALL.iter().find(|r| r.name() == n).copied();
            names.split(',').filter_map(one).collect()
        })
    }

    pub fn broken(r: Rule) -> bool {
        HERE.get() == Some(r) || told().contains(&r)
    }

    /// From now on, on this thread, this rule is broken, or none is.
    pub fn break_only(r: Option<Rule>) {
        HERE.set(r);
    }
}
