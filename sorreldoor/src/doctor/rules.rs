//! The rules that `doctor` checks, and its findings.

use Severity::{Broken, Note, Warn};

/// How severe a finding is, in rising order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Worth knowing, but no fault.
    Note,
    /// Degraded, or about to fail.
    Warn,
    /// Something does not work.
    Broken,
}

impl Severity {
    /// The exit code of a run whose most severe finding has this severity.
    #[must_use]
    pub fn exit_code(self) -> i32 {
        match self {
            Severity::Note => 0,
            Severity::Warn => 1,
            Severity::Broken => 2,
        }
    }

    /// The printed name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Severity::Note => "note",
            Severity::Warn => "warn",
            Severity::Broken => "broken",
        }
    }
}

/// A condition that `doctor` checks for, with its remedy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Never reused; printed as `D01` and so on.
    pub number: u8,
    /// Severity of its findings.
    pub severity: Severity,
    /// The printed condition.
    pub text: &'static str,
    /// The printed instruction to the operator.
    pub remedy: &'static str,
}

const fn rule(number: u8, severity: Severity, text: &'static str, remedy: &'static str) -> Rule {
    Rule {
        number,
        severity,
        text,
        remedy,
    }
}

/// Used for a number that is missing in `RULES`.
const UNLISTED: Rule = rule(0, Broken, "unlisted", "report this");

/// All rules, in the order of their numbers.
pub const RULES: &[Rule] = &[
    rule(
        1,
        Broken,
        "the settings are not valid",
        "correct the key that is named; verify with --check",
    ),
    rule(
        2,
        Warn,
        "a seed address cannot be reached",
        "start that core, or correct the address or the network path to it",
    ),
    rule(
        3,
        Broken,
        "no seed address can be reached",
        "check this machine's network, and that cores run at the seeds",
    ),
    rule(
        4,
        Broken,
        "a seed belongs to another site",
        "give both nodes the same site, regions and zones, or correct the seed",
    ),
    rule(
        5,
        Broken,
        "a seed uses another protocol version",
        "bring all nodes to adjacent releases, one after the other",
    ),
    rule(
        6,
        Warn,
        "a core's clock differs too much from this machine's",
        "synchronize all clocks to one source, slewed rather than stepped",
    ),
    rule(
        7,
        Broken,
        "the data folder cannot be synced",
        "replace the disk, then the core",
    ),
    rule(
        8,
        Warn,
        "syncing the data folder is slow",
        "look for other processes that use the disk",
    ),
    rule(
        9,
        Warn,
        "the disk is nearly full",
        "free space; a core with a full disk stops taking part",
    ),
    rule(
        10,
        Broken,
        "there is no global leader",
        "restore cores until a majority of all is up and connected",
    ),
    rule(
        11,
        Broken,
        "a core does not take part because its disk failed",
        "replace its disk, then the core",
    ),
    rule(
        12,
        Warn,
        "a region lacks a majority of its cores",
        "restore that region's cores; commits continue without the region",
    ),
    rule(
        13,
        Warn,
        "a member core does not respond",
        "start it, or replace it as in replacing.md",
    ),
    rule(
        14,
        Warn,
        "the consensus group has too few voters",
        "start a blank core in the zone that lacks one",
    ),
    rule(
        15,
        Broken,
        "no configuration is in force",
        "put one: ctl put FILE --base 0",
    ),
    rule(
        16,
        Warn,
        "an edge has not applied the current configuration",
        "if it lasts over 3 s, restart the edge",
    ),
    rule(
        17,
        Warn,
        "an edge has no lease and serves nothing",
        "look for a global leader first, then at the edge's network path to the cores",
    ),
    rule(
        18,
        Broken,
        "no edge has a session with a core",
        "start edges, or correct their seeds",
    ),
    rule(
        19,
        Warn,
        "a worker does not report its load",
        "look at the worker, or have the platform remove it from the list",
    ),
    rule(
        20,
        Warn,
        "the platform's worker list cannot be read",
        "look at the platform; the last list stays in force",
    ),
    rule(
        21,
        Note,
        "a zone is evacuated",
        "if the work on it is done: ctl return ZONE --base N",
    ),
    rule(
        22,
        Warn,
        "a region is lost or still recovering",
        "look at its workers; it recovers by itself",
    ),
    rule(
        23,
        Warn,
        "a core's status cannot be read over HTTP",
        "look at that core and at the network path to its http address",
    ),
    rule(
        24,
        Warn,
        "the claim table for request ids is nearly full",
        "raise max_claims on every core, or find the client that sends so many ids",
    ),
    rule(
        25,
        Note,
        "a tuned weight is at its bound",
        "if the service should get more or less traffic, widen its least or most",
    ),
    rule(
        26,
        Warn,
        "a core does not vote on claims yet",
        "wait until it has read the other cores' claims; if it lasts, look at the network paths to them",
    ),
    rule(
        27,
        Warn,
        "the number of voters is not the wanted one, or is changing",
        "wait some seconds; if it lasts, restore cores, or start a blank one",
    ),
];

/// A rule whose condition is met, and the subject that meets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The rule.
    pub rule: Rule,
    /// The node, address or value that meets the condition.
    pub subject: String,
}

impl Finding {
    /// A finding of the rule `number`.
    pub fn new(number: u8, subject: impl Into<String>) -> Finding {
        let rule = RULES.iter().find(|rule| rule.number == number);
        Finding {
            rule: rule.copied().unwrap_or(UNLISTED),
            subject: subject.into(),
        }
    }
}
