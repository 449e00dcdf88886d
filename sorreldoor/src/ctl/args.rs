//! Options and operations of the client. Names of operations and flags are
//! public.

use gumdrop::Options;

/// Options of `sorreldoor ctl`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "a node's HTTP address; repeat to try others", meta = "IP:PORT")]
    pub(super) at: Vec<String>,
    #[options(help = "print the node's JSON as it came")]
    pub(super) json: bool,
    #[options(command)]
    pub(super) operation: Option<Operation>,
}

#[derive(Debug, Options)]
pub(super) enum Operation {
    #[options(help = "print the setup in force")]
    Get(NoArguments),
    #[options(help = "put a whole setup: put FILE --base N")]
    Put(FileArgs),
    #[options(help = "edit the setup by a merge patch: edit FILE --base N")]
    Edit(FileArgs),
    #[options(help = "check a setup without effect: check FILE")]
    Check(FileArgs),
    #[options(help = "show what a setup would change: diff FILE")]
    Diff(FileArgs),
    #[options(help = "empty a zone: evacuate ZONE --base N")]
    Evacuate(ZoneArgs),
    #[options(help = "empty a zone, the same as evacuate: drain ZONE --base N")]
    Drain(ZoneArgs),
    #[options(help = "take a zone back: return ZONE --base N")]
    Return(ZoneArgs),
    #[options(help = "ask what became of a change: ask PROPOSAL")]
    Ask(Id),
    #[options(help = "give up a core that is lost for good: drop-core ID")]
    DropCore(Id),
    #[options(help = "show nodes, leaders, workers")]
    Status(NoArguments),
    #[options(help = "show where an errand would go, and why: placement --route R")]
    Placement(PlacementArgs),
}

#[derive(Debug, Options)]
pub(super) struct PlacementArgs {
    help: bool,
    #[options(no_short, help = "print the node's JSON as it came")]
    pub(super) json: bool,
    #[options(no_short, help = "the errand's route", meta = "R")]
    pub(super) route: Option<String>,
    #[options(no_short, help = "what prefix it shares", meta = "K")]
    pub(super) key: Option<String>,
    #[options(no_short, help = "the caller's region", meta = "X")]
    pub(super) region: Option<String>,
}

#[derive(Debug, Options)]
pub(super) struct NoArguments {
    help: bool,
    #[options(no_short, help = "print the node's JSON as it came")]
    pub(super) json: bool,
}

#[derive(Debug, Options)]
pub(super) struct FileArgs {
    help: bool,
    #[options(no_short, help = "print the node's JSON as it came")]
    pub(super) json: bool,
    #[options(free)]
    pub(super) file: String,
    #[options(help = "serial this builds on", meta = "N")]
    pub(super) base: Option<u64>,
    #[options(no_short, help = "proposal id, to ask again under it", meta = "HEX")]
    pub(super) id: Option<String>,
}

#[derive(Debug, Options)]
pub(super) struct ZoneArgs {
    help: bool,
    #[options(no_short, help = "print the node's JSON as it came")]
    pub(super) json: bool,
    #[options(free)]
    pub(super) zone: String,
    #[options(
        no_short,
        help = "wait so long for the zone's running work to end",
        meta = "SECONDS"
    )]
    pub(super) wait: Option<u64>,
    #[options(help = "serial this builds on", meta = "N")]
    pub(super) base: Option<u64>,
    #[options(no_short, help = "proposal id, to ask again under it", meta = "HEX")]
    pub(super) id: Option<String>,
}

#[derive(Debug, Options)]
pub(super) struct Id {
    help: bool,
    #[options(no_short, help = "print the node's JSON as it came")]
    pub(super) json: bool,
    #[options(free)]
    pub(super) id: String,
}

impl Args {
    /// Whether JSON is asked for; the flag may stand before or after the
    /// operation.
    pub(super) fn wants_json(&self) -> bool {
        self.json || self.operation.as_ref().is_some_and(Operation::json)
    }
}

impl Operation {
    fn json(&self) -> bool {
        match self {
            Operation::Get(args) | Operation::Status(args) => args.json,
            Operation::Put(args)
            | Operation::Edit(args)
            | Operation::Check(args)
            | Operation::Diff(args) => args.json,
            Operation::Evacuate(args) | Operation::Drain(args) | Operation::Return(args) => {
                args.json
            }
            Operation::Ask(args) | Operation::DropCore(args) => args.json,
            Operation::Placement(args) => args.json,
        }
    }
}
