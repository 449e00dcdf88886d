//! The closed list of rules that the doctor checks, and its findings.

use Severity::{Broken, Note, Warn};

/// How bad a finding is; the variants rise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// To be known; nothing is wrong.
    Note,
    /// Degraded, or about to fail.
    Warn,
    /// Something does not work.
    Broken,
}

impl Severity {
    /// The exit code of a run whose worst finding this is.
    #[must_use]
    pub fn exit_code(self) -> i32 {
        match self {
            Severity::Note => 0,
            Severity::Warn => 1,
            Severity::Broken => 2,
        }
    }

    /// The name as it is printed.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Severity::Note => "note",
            Severity::Warn => "warn",
            Severity::Broken => "broken",
        }
    }
}

/// A fault that the doctor knows, with its remedy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Never reused; printed as `D01` and so on.
    pub number: u8,
    /// How bad a finding of this rule is.
    pub severity: Severity,
    /// The fault, as it is printed.
    pub text: &'static str,
    /// What an operator should do, as it is printed.
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

/// Stands for a number that is not listed.
const UNLISTED: Rule = rule(0, Broken, "unlisted", "report this");

/// All rules, by rising numbers.
pub const RULES: &[Rule] = &[
    rule(
        1,
        Broken,
        "the settings have a fault",
        "correct the key that is named; --check tells when it is good",
    ),
    rule(
        2,
        Warn,
        "a seed address is not reached",
        "start that core, or correct the address here and its way",
    ),
    rule(
        3,
        Broken,
        "no seed address is reached",
        "check this machine's network, and that cores run at the seeds",
    ),
    rule(
        4,
        Broken,
        "a seed belongs to another site",
        "give both the same site, regions and zones, or another seed",
    ),
    rule(
        5,
        Broken,
        "a seed speaks another protocol",
        "bring all nodes to neighbouring releases, one after the other",
    ),
    rule(
        6,
        Warn,
        "a clock is far from this machine's",
        "set the clocks by one source; they are slewed, not stepped",
    ),
    rule(
        7,
        Broken,
        "the data folder does not sync",
        "replace the disk, then the core",
    ),
    rule(
        8,
        Warn,
        "the data folder syncs slowly",
        "look for what else uses the disk",
    ),
    rule(
        9,
        Warn,
        "the disk is nearly full",
        "free space; a core whose disk is full stands aside",
    ),
    rule(
        10,
        Broken,
        "there is no global leader",
        "bring back cores until a majority of all is up and connected",
    ),
    rule(
        11,
        Broken,
        "a core has stood aside over its disk",
        "replace its disk, then the core",
    ),
    rule(
        12,
        Warn,
        "a region is without its majority",
        "bring back that region's cores; commits go on without the region",
    ),
    rule(
        13,
        Warn,
        "a core is a member and not heard of",
        "start it, or replace it as the page on replacing says",
    ),
    rule(
        14,
        Warn,
        "the core has too few voters",
        "start a blank core in the zone that lacks one",
    ),
    rule(
        15,
        Broken,
        "no setup has been adopted",
        "put one: ctl put FILE --base 0",
    ),
    rule(
        16,
        Warn,
        "an edge lags behind the setup in force",
        "if it lasts over 3 s, restart the edge",
    ),
    rule(
        17,
        Warn,
        "an edge has no permit and serves nothing",
        "look for a leader first, then for the edge's way to the cores",
    ),
    rule(
        18,
        Broken,
        "no edge has a session",
        "start edges, or correct their seeds",
    ),
    rule(
        19,
        Warn,
        "a worker is dark",
        "look at the worker, or have the platform take it off the list",
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
        "a zone is left emptied",
        "if its work is done: ctl return ZONE --base SERIAL",
    ),
    rule(
        22,
        Warn,
        "a region is lost or not yet served in full",
        "look at its workers; it comes back by itself",
    ),
    rule(
        23,
        Warn,
        "a core's status cannot be read over HTTP",
        "look at that core, and at the way to its http address",
    ),
    rule(
        24,
        Warn,
        "the room for claims on errand ids is nearly used up",
        "raise max_claims on every core, or find who sends so many ids",
    ),
    rule(
        25,
        Note,
        "a tuned weight stands at its bound",
        "if the service should bear more or less, widen its least or most",
    ),
    rule(
        26,
        Warn,
        "a core has no say on claims yet",
        "wait until it has read the other cores; if it lasts, look at their ways",
    ),
    rule(
        27,
        Warn,
        "the voters are not what is wanted",
        "wait some seconds; if it lasts, bring back cores, or start a blank one",
    ),
];

/// A rule that applies, and to what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The rule that applies.
    pub rule: Rule,
    /// The node, address or value concerned.
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
