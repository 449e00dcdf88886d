//! The operators' client: HTTP to any node, text or JSON out, and an exit
//! code that scripts can act on.

mod args;
mod client;
mod placement;
mod show;
mod watch;

pub use args::Args;

use crate::configuration;
use crate::ids;
use crate::json::{self, Value};
use args::{FileArgs, Operation, ZoneArgs};
use client::{Client, Request};
use http_types::Method;
use simd_json::prelude::*;
use std::time::Duration;

/// Exit codes, as the operators' pages list them.
pub const DONE: i32 = 0;
/// The node rejected the request.
pub const REFUSED: i32 = 1;
/// Wrong use; nothing was sent.
pub const USAGE: i32 = 2;
/// No node answered, and nothing can have changed.
pub const UNREACHED: i32 = 3;
/// The outcome of a change is not known.
pub const UNKNOWN: i32 = 4;

/// The exit code of a failed step, which has already been reported.
type Failure = i32;

/// Runs one operation; returns the exit code.
pub fn run(args: Args) -> i32 {
    execute(args).map_or_else(|code| code, |()| DONE)
}

fn execute(args: Args) -> Result<(), Failure> {
    let mut nodes = Vec::new();
    for text in &args.at {
        let node = text.parse();
        nodes.push(node.map_err(|_| usage(&format!("--at: {text:?} is not IP:PORT")))?);
    }
    if nodes.is_empty() {
        return Err(usage("--at: name at least one node"));
    }
    let client = Client::new(nodes, args.wants_json());
    let Some(operation) = args.operation else {
        return Err(usage("say what to do; see --help"));
    };
    match operation {
        Operation::Get(_) => client.show("/v1/setup", show::configuration),
        Operation::Status(_) => client.show("/v1/status", show::status),
        Operation::Placement(args) => client.placement(args),
        Operation::Put(args) => client.change_configuration(Method::Put, args),
        Operation::Edit(args) => client.change_configuration(Method::Patch, args),
        Operation::Check(args) => client.check(&args.file),
        Operation::Diff(args) => client.diff(&args.file),
        Operation::Evacuate(args) | Operation::Drain(args) => client.change_zone(args, "empty"),
        Operation::Return(args) => client.change_zone(args, "return"),
        Operation::Ask(args) => {
            let path = format!("/v1/proposals/{}", args.id);
            client.change(Request::get(&path))
        }
        Operation::DropCore(args) => {
            let id = ids::format_proposal_id(ids::random_proposal_id());
            let path = format!("/v1/cores/{}/drop?id={id}", args.id);
            client.change(Request::change(Method::Post, path, Vec::new(), id))
        }
    }
}

fn usage(message: &str) -> Failure {
    eprintln!("ctl: {message}");
    USAGE
}

fn read_file(file: &str) -> Result<Vec<u8>, Failure> {
    std::fs::read(file).map_err(|error| usage(&format!("cannot read {file}: {error}")))
}

impl Client {
    /// Prints what a path shows.
    fn show(&self, path: &str, format: fn(&Value) -> String) -> Result<(), Failure> {
        let answer = self.fetch(&Request::get(path))?;
        self.print(&answer, format);
        Ok(())
    }

    /// Sends a change, or asks for the outcome of one, and prints its version.
    fn change(&self, request: Request) -> Result<(), Failure> {
        let answer = self.fetch(&request)?;
        self.print(&answer, |body| {
            let version = body.get("serial").and_then(|version| version.as_u64());
            format!("taken as serial {}\n", version.unwrap_or(0))
        });
        Ok(())
    }

    fn change_configuration(&self, method: Method, args: FileArgs) -> Result<(), Failure> {
        let body = read_file(&args.file)?;
        self.change_from("/v1/setup", method, body, (args.base, args.id))
    }

    fn change_zone(&self, args: ZoneArgs, action: &str) -> Result<(), Failure> {
        let path = format!("/v1/zones/{}/{action}", args.zone);
        self.change_from(&path, Method::Post, Vec::new(), (args.base, args.id))?;
        match args.wait {
            Some(seconds) => self.wait_until_empty(&args.zone, Duration::from_secs(seconds)),
            None => Ok(()),
        }
    }

    /// Sends a change that builds on a version, under a given or a new id.
    fn change_from(
        &self,
        path: &str,
        method: Method,
        body: Vec<u8>,
        (base, id): (Option<u64>, Option<String>),
    ) -> Result<(), Failure> {
        let Some(base) = base else {
            let message = "--base: say which serial this builds on; see: ctl get";
            return Err(usage(message));
        };
        let new_id = || ids::format_proposal_id(ids::random_proposal_id());
        let id = id.unwrap_or_else(new_id);
        if ids::parse_proposal_id(&id).is_none() {
            return Err(usage("--id: must be up to 32 hex digits"));
        }
        let path = format!("{path}?base={base}&id={id}");
        self.change(Request::change(method, path, body, id))
    }

    fn check(&self, file: &str) -> Result<(), Failure> {
        let body = read_file(file)?;
        let answer = self.fetch(&Request {
            method: Method::Post,
            path: "/v1/check".into(),
            body,
            proposal_id: None,
        })?;
        self.print(&answer, show::checked);
        let is_good = answer.body.get("good").and_then(|good| good.as_bool());
        match is_good {
            Some(true) => Ok(()),
            _ => Err(REFUSED),
        }
    }

    fn diff(&self, file: &str) -> Result<(), Failure> {
        let text = read_file(file)?;
        let new = json::parse(&text, configuration::MAX_BYTES).map_err(|error| {
            eprintln!("ctl: {file} {error}");
            REFUSED
        })?;
        let answer = self.fetch(&Request::get("/v1/setup"))?;
        let old = answer.body.get("setup").cloned().unwrap_or_default();
        let mut rows = Vec::new();
        show::differ("", &old, &new, &mut rows);
        if self.json() {
            let rows: Vec<Value> = rows.iter().map(|row| Value::from(row.as_str())).collect();
            println!("{}", Value::from(rows).encode());
        } else {
            rows.iter().for_each(|row| println!("{row}"));
        }
        Ok(())
    }
}
