//! The operators' client: HTTP to any node, text or JSON out, useful exits.

mod show;
mod watch;

use crate::http::{self, Broke, Call, Called};
use crate::json::{self, Value};
use crate::order_id;
use async_std::task;
use gumdrop::Options;
use http_types::Method;
use simd_json::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

/// Exit codes, as the operators' pages list them.
pub const DONE: i32 = 0;
pub const REFUSED: i32 = 1;
pub const USAGE: i32 = 2;
pub const UNREACHED: i32 = 3;
pub const UNKNOWN: i32 = 4;

#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "a node's HTTP address; repeat to try others", meta = "IP:PORT")]
    at: Vec<String>,
    #[options(help = "print the node's JSON as it came")]
    json: bool,
    #[options(command)]
    what: Option<What>,
}

#[derive(Debug, Options)]
enum What {
    #[options(help = "print the setup in force")]
    Get(Bare),
    #[options(help = "put a whole setup: put FILE --base N")]
    Put(File),
    #[options(help = "edit the setup by a merge patch: edit FILE --base N")]
    Edit(File),
    #[options(help = "check a setup without effect: check FILE")]
    Check(File),
    #[options(help = "show what a setup would change: diff FILE")]
    Diff(File),
    #[options(help = "empty a zone: evacuate ZONE --base N")]
    Evacuate(Zone),
    #[options(help = "empty a zone, the same as evacuate: drain ZONE --base N")]
    Drain(Zone),
    #[options(help = "take a zone back: return ZONE --base N")]
    Return(Zone),
    #[options(help = "ask what became of a change: ask PROPOSAL")]
    Ask(One),
    #[options(help = "give up a core that is lost for good: drop-core ID")]
    DropCore(One),
    #[options(help = "show nodes, leaders, workers")]
    Status(Bare),
    #[options(help = "show where an errand would go, and why: placement --route R")]
    Placement(Placement),
}

#[derive(Debug, Options)]
struct Placement {
    help: bool,
    #[options(no_short, help = "print the node's JSON as it came")]
    json: bool,
    #[options(no_short, help = "the errand's route", meta = "R")]
    route: Option<String>,
    #[options(no_short, help = "what prefix it shares", meta = "K")]
    key: Option<String>,
    #[options(no_short, help = "the caller's region", meta = "X")]
    region: Option<String>,
}

#[derive(Debug, Options)]
struct Bare {
    help: bool,
    #[options(no_short, help = "print the node's JSON as it came")]
    json: bool,
}

#[derive(Debug, Options)]
struct File {
    help: bool,
    #[options(no_short, help = "print the node's JSON as it came")]
    json: bool,
    #[options(free)]
    file: String,
    #[options(help = "serial this builds on", meta = "N")]
    base: Option<u64>,
    #[options(no_short, help = "proposal id, to ask again under it", meta = "HEX")]
    id: Option<String>,
}

#[derive(Debug, Options)]
struct Zone {
    help: bool,
    #[options(no_short, help = "print the node's JSON as it came")]
    json: bool,
    #[options(free)]
    zone: String,
    #[options(
        no_short,
        help = "wait so long for the zone's running work to end",
        meta = "SECONDS"
    )]
    wait: Option<u64>,
    #[options(help = "serial this builds on", meta = "N")]
    base: Option<u64>,
    #[options(no_short, help = "proposal id, to ask again under it", meta = "HEX")]
    id: Option<String>,
}

#[derive(Debug, Options)]
struct One {
    help: bool,
    #[options(no_short, help = "print the node's JSON as it came")]
    json: bool,
    #[options(free)]
    id: String,
}

const WITHIN: Duration = Duration::from_secs(15);

struct Ctl {
    at: Vec<SocketAddr>,
    json: bool,
}

pub fn run(a: Args) -> i32 {
    let mut at = Vec::new();
    for s in &a.at {
        match s.parse() {
            Ok(x) => at.push(x),
            Err(_) => return usage(&format!("--at: {s:?} is not IP:PORT")),
        }
    }
    if at.is_empty() {
        return usage("--at: name at least one node");
    }
    let Some(what) = a.what else {
        return usage("say what to do; see --help");
    };
    // people write the flag before or after what they ask for
    let json = a.json
        || match &what {
            What::Get(b) | What::Status(b) => b.json,
            What::Put(f) | What::Edit(f) | What::Check(f) | What::Diff(f) => f.json,
            What::Evacuate(z) | What::Drain(z) | What::Return(z) => z.json,
            What::Ask(o) | What::DropCore(o) => o.json,
            What::Placement(p) => p.json,
        };
    let c = Ctl { at, json };
    match what {
        What::Get(_) => c.read("/v1/setup", show::configuration),
        What::Status(_) => c.read("/v1/status", show::status),
        What::Placement(p) => c.placement(p),
        What::Put(f) => c.file(Method::Put, f),
        What::Edit(f) => c.file(Method::Patch, f),
        What::Check(f) => c.check(&f.file),
        What::Diff(f) => c.diff(&f.file),
        What::Evacuate(z) | What::Drain(z) => c.zone(z, "empty"),
        What::Return(z) => c.zone(z, "return"),
        What::Ask(o) => c.change(
            Method::Get,
            &format!("/v1/proposals/{}", o.id),
            Vec::new(),
            "",
        ),
        What::DropCore(o) => {
            let id = order_id::format_proposal_id(order_id::random_proposal_id());
            let path = format!("/v1/cores/{}/drop?id={id}", o.id);
            c.change(Method::Post, &path, Vec::new(), &id)
        }
    }
}

fn usage(s: &str) -> i32 {
    eprintln!("ctl: {s}");
    USAGE
}

fn load(file: &str) -> Result<Vec<u8>, i32> {
    std::fs::read(file).map_err(|e| usage(&format!("cannot read {file}: {e}")))
}

impl Ctl {
    /// Try the nodes in order until one is reached.
    fn call(&self, m: Method, path: &str, body: &[u8]) -> Result<Called, Broke> {
        let mut last = Broke::Unsent;
        for a in &self.at {
            let c = Call {
                method: m,
                path: path.to_string(),
                heads: Vec::new(),
                body: body.to_vec(),
            };
            match task::block_on(http::call(*a, c, 64 << 20, WITHIN)) {
                Ok(c) => return Ok(c),
                // only what was surely not sent may simply go to the next
                Err(Broke::Unsent) => last = Broke::Unsent,
                Err(b) => return Err(b),
            }
        }
        Err(last)
    }

    fn unreached(&self, b: Broke, id: &str) -> i32 {
        if b == Broke::Unsent {
            eprintln!(
                "ctl: no node was reached at {:?}; nothing was sent",
                self.at
            );
            return UNREACHED;
        }
        if id.is_empty() {
            eprintln!("ctl: the node broke off ({b:?})");
            return UNREACHED;
        }
        eprintln!("ctl: outcome not known ({b:?}); ask with: ctl ask {id}");
        UNKNOWN
    }

    fn read(&self, path: &str, f: fn(&Value) -> String) -> i32 {
        match self.call(Method::Get, path, &[]) {
            Err(b) => self.unreached(b, ""),
            Ok(c) => {
                let v = json::parse(&c.body, usize::MAX).unwrap_or_default();
                if c.status != 200 {
                    return self.refused(&c, &v);
                }
                if self.json {
                    println!("{}", String::from_utf8_lossy(&c.body));
                } else {
                    print!("{}", f(&v));
                }
                DONE
            }
        }
    }

    fn refused(&self, c: &Called, v: &Value) -> i32 {
        if self.json {
            println!("{}", String::from_utf8_lossy(&c.body));
        } else {
            eprint!("{}", show::refusal(v));
        }
        if c.status == 504 {
            UNKNOWN
        } else {
            REFUSED
        }
    }

    fn change(&self, m: Method, path: &str, body: Vec<u8>, id: &str) -> i32 {
        match self.call(m, path, &body) {
            Err(b) => self.unreached(b, id),
            Ok(c) => {
                let v = json::parse(&c.body, usize::MAX).unwrap_or_default();
                if c.status != 200 {
                    return self.refused(&c, &v);
                }
                if self.json {
                    println!("{}", String::from_utf8_lossy(&c.body));
                } else {
                    let n = v.get("serial").and_then(|s| s.as_u64()).unwrap_or(0);
                    println!("taken as serial {n}");
                }
                DONE
            }
        }
    }

    fn file(&self, m: Method, f: File) -> i32 {
        let body = match load(&f.file) {
            Ok(b) => b,
            Err(c) => return c,
        };
        self.based("/v1/setup", m, body, f.base, f.id)
    }

    fn zone(&self, z: Zone, what: &str) -> i32 {
        let path = format!("/v1/zones/{}/{what}", z.zone);
        let done = self.based(&path, Method::Post, Vec::new(), z.base, z.id);
        match z.wait.filter(|_| done == DONE) {
            Some(s) => self.watch(&z.zone, Duration::from_secs(s)),
            None => done,
        }
    }

    fn based(
        &self,
        path: &str,
        m: Method,
        body: Vec<u8>,
        base: Option<u64>,
        id: Option<String>,
    ) -> i32 {
        let Some(base) = base else {
            return usage("--base: say which serial this builds on; see: ctl get");
        };
        let id = id.unwrap_or_else(|| order_id::format_proposal_id(order_id::random_proposal_id()));
        if order_id::parse_proposal_id(&id).is_none() {
            return usage("--id: must be up to 32 hex digits");
        }
        self.change(m, &format!("{path}?base={base}&id={id}"), body, &id)
    }

    fn check(&self, file: &str) -> i32 {
        let body = match load(file) {
            Ok(b) => b,
            Err(c) => return c,
        };
        match self.call(Method::Post, "/v1/check", &body) {
            Err(b) => self.unreached(b, ""),
            Ok(c) => {
                let v = json::parse(&c.body, usize::MAX).unwrap_or_default();
                if c.status != 200 {
                    return self.refused(&c, &v);
                }
                if self.json {
                    println!("{}", String::from_utf8_lossy(&c.body));
                } else {
                    print!("{}", show::checked(&v));
                }
                let good = v.get("good").and_then(|g| g.as_bool()) == Some(true);
                if good {
                    DONE
                } else {
                    REFUSED
                }
            }
        }
    }

    fn diff(&self, file: &str) -> i32 {
        let body = match load(file) {
            Ok(b) => b,
            Err(c) => return c,
        };
        let new = match json::parse(&body, crate::configuration::MAX_BYTES) {
            Ok(v) => v,
            Err(e) => {
                eprintln!("ctl: {file} {e}");
                return REFUSED;
            }
        };
        match self.call(Method::Get, "/v1/setup", &[]) {
            Err(b) => self.unreached(b, ""),
            Ok(c) => {
                let v = json::parse(&c.body, usize::MAX).unwrap_or_default();
                if c.status != 200 {
                    return self.refused(&c, &v);
                }
                let old = v.get("setup").cloned().unwrap_or_default();
                let mut rows = Vec::new();
                show::differ("", &old, &new, &mut rows);
                if self.json {
                    let rows: Vec<Value> = rows.iter().map(|r| Value::from(r.as_str())).collect();
                    println!("{}", Value::from(rows).encode());
                } else {
                    rows.iter().for_each(|r| println!("{r}"));
                }
                DONE
            }
        }
    }
}
