//! `sorreldoor ctl`, the operators' client: sends HTTP requests to any node,
//! prints text or JSON, and returns an exit code for scripts.

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

/// The operation succeeded. Exit codes are public and never change.
pub const EXIT_SUCCESS: i32 = 0;
/// The node rejected the request.
pub const EXIT_REJECTED: i32 = 1;
/// The command line is not valid; nothing was sent.
pub const EXIT_USAGE: i32 = 2;
/// No node responded, and nothing can have changed.
pub const EXIT_UNREACHABLE: i32 = 3;
/// The outcome of a change is not known.
pub const EXIT_OUTCOME_UNKNOWN: i32 = 4;

/// The exit code of a failed step; its message is already printed.
type ExitCode = i32;

/// Runs one operation; returns the exit code.
pub fn run(args: Args) -> i32 {
    execute(args).map_or_else(|code| code, |()| EXIT_SUCCESS)
}

fn execute(args: Args) -> Result<(), ExitCode> {
    let mut nodes = Vec::new();
    for text in &args.at {
        let node = text.parse();
        nodes.push(node.map_err(|_| usage_error(&format!("--at: {text:?} is not IP:PORT")))?);
    }
    if nodes.is_empty() {
        return Err(usage_error(
            "--at: the address of at least one node is required",
        ));
    }
    let client = Client::new(nodes, args.wants_json());
    let Some(operation) = args.operation else {
        return Err(usage_error("an operation is required; see --help"));
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

fn usage_error(message: &str) -> ExitCode {
    eprintln!("ctl: {message}");
    EXIT_USAGE
}

fn read_file(file: &str) -> Result<Vec<u8>, ExitCode> {
    std::fs::read(file).map_err(|error| usage_error(&format!("cannot read {file}: {error}")))
}

impl Client {
    /// Gets a path and prints the response.
    fn show(&self, path: &str, format: fn(&Value) -> String) -> Result<(), ExitCode> {
        let response = self.fetch(&Request::get(path))?;
        self.print(&response, format);
        Ok(())
    }

    /// Sends a change, or a query for the outcome of one, and prints the
    /// version that it was accepted as.
    fn change(&self, request: Request) -> Result<(), ExitCode> {
        let response = self.fetch(&request)?;
        self.print(&response, |body| {
            let version = body.get("serial").and_then(|version| version.as_u64());
            format!("accepted as version {}\n", version.unwrap_or(0))
        });
        Ok(())
    }

    fn change_configuration(&self, method: Method, args: FileArgs) -> Result<(), ExitCode> {
        let body = read_file(&args.file)?;
        self.change_from_base("/v1/setup", method, body, (args.base, args.id))
    }

    fn change_zone(&self, args: ZoneArgs, action: &str) -> Result<(), ExitCode> {
        let path = format!("/v1/zones/{}/{action}", args.zone);
        self.change_from_base(&path, Method::Post, Vec::new(), (args.base, args.id))?;
        match args.wait {
            Some(seconds) => self.wait_until_empty(&args.zone, Duration::from_secs(seconds)),
            None => Ok(()),
        }
    }

    /// Sends a change based on the version `base`, under the given id or a
    /// random one.
    fn change_from_base(
        &self,
        path: &str,
        method: Method,
        body: Vec<u8>,
        (base, id): (Option<u64>, Option<String>),
    ) -> Result<(), ExitCode> {
        let Some(base) = base else {
            let message =
                "--base: the version that the change is based on is required; see: ctl get";
            return Err(usage_error(message));
        };
        let new_id = || ids::format_proposal_id(ids::random_proposal_id());
        let id = id.unwrap_or_else(new_id);
        if ids::parse_proposal_id(&id).is_none() {
            return Err(usage_error("--id: must be up to 32 hex digits"));
        }
        let path = format!("{path}?base={base}&id={id}");
        self.change(Request::change(method, path, body, id))
    }

    fn check(&self, file: &str) -> Result<(), ExitCode> {
        let body = read_file(file)?;
        let response = self.fetch(&Request {
            method: Method::Post,
            path: "/v1/check".into(),
            body,
            proposal_id: None,
        })?;
        self.print(&response, show::check);
        let is_valid = response.body.get("good").and_then(|valid| valid.as_bool());
        match is_valid {
            Some(true) => Ok(()),
            _ => Err(EXIT_REJECTED),
        }
    }

    fn diff(&self, file: &str) -> Result<(), ExitCode> {
        let text = read_file(file)?;
        let new = json::parse(&text, configuration::MAX_BYTES).map_err(|error| {
            eprintln!("ctl: {file} {error}");
            EXIT_REJECTED
        })?;
        let response = self.fetch(&Request::get("/v1/setup"))?;
        let old = response.body.get("setup").cloned().unwrap_or_default();
        let mut rows = Vec::new();
        show::diff("", &old, &new, &mut rows);
        if self.json() {
            let rows: Vec<Value> = rows.iter().map(|row| Value::from(row.as_str())).collect();
            println!("{}", Value::from(rows).encode());
        } else {
            rows.iter().for_each(|row| println!("{row}"));
        }
        Ok(())
    }
}
