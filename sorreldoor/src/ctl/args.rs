//! Command line of `sorreldoor ctl`. Names of operations and flags are public.

use gumdrop::Options;

/// Options of `sorreldoor ctl`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "show this help")]
    help: bool,
    #[options(
        help = "HTTP address of a node; repeatable, tried in order",
        meta = "IP:PORT"
    )]
    pub(super) at: Vec<String>,
    #[options(help = "print the JSON of the node's response")]
    pub(super) json: bool,
    #[options(command)]
    pub(super) operation: Option<Operation>,
}

#[derive(Debug, Options)]
pub(super) enum Operation {
    #[options(help = "print the current configuration")]
    Get(NoArguments),
    #[options(help = "replace the whole configuration: put FILE --base N")]
    Put(FileArgs),
    #[options(help = "change the configuration by a JSON merge patch: edit FILE --base N")]
    Edit(FileArgs),
    #[options(help = "validate a configuration without applying it: check FILE")]
    Check(FileArgs),
    #[options(help = "compare a configuration with the current one: diff FILE")]
    Diff(FileArgs),
    #[options(help = "stop sending new requests to a zone: evacuate ZONE --base N")]
    Evacuate(ZoneArgs),
    #[options(help = "the same as evacuate: drain ZONE --base N")]
    Drain(ZoneArgs),
    #[options(help = "end the evacuation of a zone: return ZONE --base N")]
    Return(ZoneArgs),
    #[options(help = "print the outcome of a change: ask PROPOSAL")]
    Ask(IdArgs),
    #[options(help = "remove a permanently lost core from the members: drop-core ID")]
    DropCore(IdArgs),
    #[options(help = "print the status of nodes, leaders and workers")]
    Status(NoArguments),
    #[options(help = "print which worker a request would go to, and why: placement --route R")]
    Placement(PlacementArgs),
}

#[derive(Debug, Options)]
pub(super) struct PlacementArgs {
    help: bool,
    #[options(no_short, help = "print the JSON of the node's response")]
    pub(super) json: bool,
    #[options(no_short, help = "route of the request", meta = "R")]
    pub(super) route: Option<String>,
    #[options(no_short, help = "prefix key of the request", meta = "K")]
    pub(super) key: Option<String>,
    #[options(no_short, help = "region of the caller", meta = "X")]
    pub(super) region: Option<String>,
}

#[derive(Debug, Options)]
pub(super) struct NoArguments {
    help: bool,
    #[options(no_short, help = "print the JSON of the node's response")]
    pub(super) json: bool,
}

#[derive(Debug, Options)]
pub(super) struct FileArgs {
    help: bool,
    #[options(no_short, help = "print the JSON of the node's response")]
    pub(super) json: bool,
    #[options(free)]
    pub(super) file: String,
    #[options(help = "version that the change is based on", meta = "N")]
    pub(super) base: Option<u64>,
    #[options(
        no_short,
        help = "proposal id; a retry under the same id is applied once",
        meta = "HEX"
    )]
    pub(super) id: Option<String>,
}

#[derive(Debug, Options)]
pub(super) struct ZoneArgs {
    help: bool,
    #[options(no_short, help = "print the JSON of the node's response")]
    pub(super) json: bool,
    #[options(free)]
    pub(super) zone: String,
    #[options(
        no_short,
        help = "wait up to this long until no requests are in flight in the zone",
        meta = "SECONDS"
    )]
    pub(super) wait: Option<u64>,
    #[options(help = "version that the change is based on", meta = "N")]
    pub(super) base: Option<u64>,
    #[options(
        no_short,
        help = "proposal id; a retry under the same id is applied once",
        meta = "HEX"
    )]
    pub(super) id: Option<String>,
}

#[derive(Debug, Options)]
pub(super) struct IdArgs {
    help: bool,
    #[options(no_short, help = "print the JSON of the node's response")]
    pub(super) json: bool,
    #[options(free)]
    pub(super) id: String,
}

impl Args {
    /// Whether `--json` is given before or after the operation.
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
