//! The operators' HTTP interface as both roles serve it: which request a call
//! is, and how its outcome is answered.

use crate::configuration::{self, Site};
use crate::discovery::{Loads, Worker};
use crate::error::ErrorCode;
use crate::http;
use crate::json::Value;
use crate::order_id::{format_proposal_id, parse_proposal_id, random_proposal_id};
use crate::replicated_state::{Command, Outcome};
use crate::types::ProposalId;
use crate::wire::OpOutcome;
use http_types::{Method, Request, Response};
use simd_json::prelude::*;
use std::time::Duration;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    Change {
        proposal_id: ProposalId,
        cmd: Command,
    },
    Check {
        faults: Vec<String>,
    },
    Configuration,
    Status,
    Metrics,
    Proposal(ProposalId),
    DropCore {
        proposal_id: ProposalId,
        id: u64,
    },
}

fn base(req: &Request) -> Result<u64, ErrorCode> {
    let b = http::query(req, "base").ok_or(ErrorCode::MissingBaseVersion)?;
    b.parse().map_err(|_| ErrorCode::MissingBaseVersion)
}

fn given_proposal_id(req: &Request) -> Result<ProposalId, ErrorCode> {
    http::query(req, "id").map_or_else(
        || Ok(random_proposal_id()),
        |s| parse_proposal_id(&s).ok_or(ErrorCode::InvalidRequestField),
    )
}

/// What an operator asks for; none where the path is no operator's.
pub async fn read(req: &mut Request, site: &Site) -> Option<Result<OperatorRequest, ErrorCode>> {
    let path = req.url().path().to_string();
    let rest = path.strip_prefix("/v1/")?;
    let parts: Vec<&str> = rest.split('/').collect();
    let m = req.method();
    Some(match (m, parts.as_slice()) {
        (Method::Get, ["setup"]) => Ok(OperatorRequest::Configuration),
        (Method::Get, ["status"]) => Ok(OperatorRequest::Status),
        (Method::Get, ["metrics"]) => Ok(OperatorRequest::Metrics),
        (Method::Get, ["proposals", id]) => parse_proposal_id(id)
            .map(OperatorRequest::Proposal)
            .ok_or(ErrorCode::InvalidRequestField),
        (Method::Put, ["setup"]) => {
            doc(req, |base, doc| Command::Put {
                base,
                new_version: None,
                document: doc,
            })
            .await
        }
        (Method::Patch, ["setup"]) => {
            doc(req, |base, patch| Command::MergePatch { base, patch }).await
        }
        (Method::Post, ["check"]) => check(req, site).await,
        (Method::Post, ["zones", z, "empty"]) => zone(req, site, z, true),
        (Method::Post, ["zones", z, "return"]) => zone(req, site, z, false),
        (Method::Post, ["cores", id, "drop"]) => u64::from_str_radix(id, 16)
            .map_err(|_| ErrorCode::InvalidRequestField)
            .and_then(|id| {
                given_proposal_id(req)
                    .map(|proposal_id| OperatorRequest::DropCore { proposal_id, id })
            }),
        (_, ["setup" | "status" | "metrics" | "check"] | ["proposals", _])
        | (_, ["zones", _, "empty" | "return"] | ["cores", _, "drop"]) => {
            Err(ErrorCode::MethodNotAllowed)
        }
        _ => return None,
    })
}

async fn text(req: &mut Request) -> Result<String, ErrorCode> {
    let b = http::body(req, configuration::MAX_BYTES, Duration::from_secs(10)).await?;
    String::from_utf8(b).map_err(|_| ErrorCode::InvalidJson)
}

async fn doc(
    req: &mut Request,
    f: impl Fn(u64, String) -> Command,
) -> Result<OperatorRequest, ErrorCode> {
    let base = base(req)?;
    let proposal_id = given_proposal_id(req)?;
    let t = text(req).await?;
    Ok(OperatorRequest::Change {
        proposal_id,
        cmd: f(base, t),
    })
}

async fn check(req: &mut Request, site: &Site) -> Result<OperatorRequest, ErrorCode> {
    let t = text(req).await?;
    let faults = configuration::parse(t.as_bytes(), site)
        .err()
        .unwrap_or_default();
    Ok(OperatorRequest::Check { faults })
}

fn zone(
    req: &Request,
    site: &Site,
    z: &str,
    evacuated: bool,
) -> Result<OperatorRequest, ErrorCode> {
    let zone = site.zone(z).ok_or(ErrorCode::UnknownZone)?;
    let base = base(req)?;
    let proposal_id = given_proposal_id(req)?;
    Ok(OperatorRequest::Change {
        proposal_id,
        cmd: Command::EvacuateZone {
            base,
            zone,
            evacuated,
        },
    })
}

fn list(v: &[String]) -> Value {
    Value::from(
        v.iter()
            .map(|s| Value::from(s.as_str()))
            .collect::<Vec<_>>(),
    )
}

/// The yes, the no, or the honest don't-know to a change.
pub fn result(proposal_id: ProposalId, o: &OpOutcome) -> Response {
    let mut v = Value::object();
    let _ = v.insert("proposal", format_proposal_id(proposal_id));
    let p = match o {
        OpOutcome::Got(Outcome::Applied { version }) => {
            let _ = v.insert("taken", true);
            let _ = v.insert("serial", *version);
            return http::ok(v);
        }
        OpOutcome::Got(Outcome::Stale { version }) => {
            let _ = v.insert("serial", *version);
            ErrorCode::StaleVersion
        }
        OpOutcome::Got(Outcome::Invalid { faults }) => {
            let _ = v.insert("faults", list(faults));
            ErrorCode::InvalidConfiguration
        }
        OpOutcome::Got(Outcome::StaleEpoch { epoch }) => {
            let _ = v.insert("epoch", *epoch);
            ErrorCode::StaleVersion
        }
        OpOutcome::Got(Outcome::BaseAhead { version }) => {
            let _ = v.insert("serial", *version);
            ErrorCode::BaseVersionAhead
        }
        OpOutcome::Got(Outcome::Unknown { .. }) | OpOutcome::Unknown => {
            ErrorCode::ChangeOutcomeUnknown
        }
        OpOutcome::NotTaken => ErrorCode::ChangeNotAccepted,
        OpOutcome::Nothing => ErrorCode::UnknownProposal,
    };
    // neither a yes nor a no may be read out of a don't-know
    if !matches!(
        p,
        ErrorCode::ChangeOutcomeUnknown | ErrorCode::BaseVersionAhead
    ) {
        let _ = v.insert("taken", false);
    }
    let _ = v.insert("problem", p.code());
    let _ = v.insert("text", p.message());
    let mut r = http::json(p.status(), v.encode());
    if p.is_retryable() {
        r.insert_header("retry-after", "1");
    }
    r
}

pub fn checked(faults: &[String]) -> Response {
    let mut v = Value::object();
    let _ = v.insert("good", faults.is_empty());
    let _ = v.insert("faults", list(faults));
    http::ok(v)
}

/// A status' numbers and flags, flat, for whoever gathers metrics.
pub fn metrics(status: &str) -> Response {
    let v = crate::json::parse(status.as_bytes(), usize::MAX).unwrap_or_default();
    let mut out = Value::object();
    let mut put = |prefix: &str, v: &Value| {
        for (k, x) in v.as_object().into_iter().flatten() {
            let name = format!("{prefix}{k}");
            if x.is_number() {
                let _ = out.insert(name, x.clone());
            } else if let Some(b) = x.as_bool() {
                let _ = out.insert(name, u64::from(b));
            } else if let Some(a) = x.as_array() {
                let _ = out.insert(name, a.len());
            }
        }
    };
    put("", &v);
    put("count_", v.get("counts").unwrap_or(&Value::default()));
    http::ok(out)
}

/// The setup in force, as any node shows it.
pub fn configuration_view(version: u64, doc: Option<&str>, evacuated: &[String]) -> Response {
    let mut v = Value::object();
    let _ = v.insert("serial", version);
    let doc = doc.and_then(|d| crate::json::parse(d.as_bytes(), usize::MAX).ok());
    let _ = v.insert("setup", doc.unwrap_or_default());
    let _ = v.insert("emptied", list(evacuated));
    http::ok(v)
}

/// Zone by zone: whether it is emptied, and what still runs there.
pub fn zones(
    site: &Site,
    evacuated: &[u16],
    workers: &[Worker],
    loads: &Loads,
    at_edges: impl Iterator<Item = (u16, u32)>,
) -> Vec<Value> {
    let mut busy_edges = vec![0u32; site.zones.len()];
    for (z, n) in at_edges {
        if let Some(all) = busy_edges.get_mut(usize::from(z)) {
            *all += n;
        }
    }
    let row = |z: u16, name: &str| {
        let mine = workers.iter().filter(|w| w.zone == z);
        let busy = |w: &Worker| loads.of(&w.name).map_or(0, |l| l.running + l.queued);
        let mut o = Value::object();
        let _ = o.insert("zone", name);
        let _ = o.insert("emptied", evacuated.contains(&z));
        let _ = o.insert("at_workers", mine.map(busy).sum::<u32>());
        let _ = o.insert("at_edges", busy_edges[usize::from(z)]);
        o
    };
    let names = site.zones.iter().enumerate();
    names.map(|(z, (n, _))| row(z as u16, n)).collect()
}
