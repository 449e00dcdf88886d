//! The operators' HTTP interface as both roles serve it: parsing of requests
//! and responses for their outcomes.

use crate::configuration::{self, Site};
use crate::discovery::{Loads, Worker};
use crate::error::ErrorCode;
use crate::http;
use crate::ids::{format_proposal_id, parse_proposal_id, random_proposal_id};
use crate::json::Value;
use crate::replicated_state::{Command, Outcome};
use crate::types::ProposalId;
use crate::wire::ProposalOutcome;
use http_types::{Method, Request, Response};
use simd_json::prelude::*;
use std::time::Duration;

/// A request of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    /// Propose a change of the configuration or of the evacuated zones.
    Change {
        /// Given by the operator, so that a retry is applied once, or else
        /// random.
        proposal_id: ProposalId,
        /// The change.
        cmd: Command,
    },
    /// Check a configuration without applying it; it has been checked already.
    Check {
        /// The faults found; none if it is valid.
        faults: Vec<String>,
    },
    /// Show the configuration in force.
    Configuration,
    /// Show the status of the node.
    Status,
    /// Show the status as flat metrics.
    Metrics,
    /// Show the outcome of a proposal.
    Proposal(ProposalId),
    /// Remove a core from the members; only cores accept it.
    DropCore {
        /// As for a change.
        proposal_id: ProposalId,
        /// Identity of the core.
        id: u64,
    },
}

/// How long the body of a request may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

fn base(req: &Request) -> Result<u64, ErrorCode> {
    let base = http::query_parameter(req, "base").ok_or(ErrorCode::MissingBaseVersion)?;
    base.parse().map_err(|_| ErrorCode::MissingBaseVersion)
}

fn given_proposal_id(req: &Request) -> Result<ProposalId, ErrorCode> {
    http::query_parameter(req, "id").map_or_else(
        || Ok(random_proposal_id()),
        |s| parse_proposal_id(&s).ok_or(ErrorCode::InvalidRequestField),
    )
}

/// Parses a request; `None` if the path is not part of this interface.
///
/// # Errors
/// The method, a parameter or the body is not valid.
pub async fn read(req: &mut Request, site: &Site) -> Option<Result<OperatorRequest, ErrorCode>> {
    let path = req.url().path().to_string();
    let rest = path.strip_prefix("/v1/")?;
    let parts: Vec<&str> = rest.split('/').collect();
    let method = req.method();
    Some(match (method, parts.as_slice()) {
        (Method::Get, ["setup"]) => Ok(OperatorRequest::Configuration),
        (Method::Get, ["status"]) => Ok(OperatorRequest::Status),
        (Method::Get, ["metrics"]) => Ok(OperatorRequest::Metrics),
        (Method::Get, ["proposals", id]) => parse_proposal_id(id)
            .map(OperatorRequest::Proposal)
            .ok_or(ErrorCode::InvalidRequestField),
        (Method::Put, ["setup"]) => {
            document_change(req, |base, doc| Command::Put {
                base,
                new_version: None,
                document: doc,
            })
            .await
        }
        (Method::Patch, ["setup"]) => {
            document_change(req, |base, patch| Command::MergePatch { base, patch }).await
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

async fn body_text(req: &mut Request) -> Result<String, ErrorCode> {
    let body = http::read_body(req, configuration::MAX_BYTES, BODY_TIMEOUT).await?;
    String::from_utf8(body).map_err(|_| ErrorCode::InvalidJson)
}

/// A change whose body is a document or a patch.
async fn document_change(
    req: &mut Request,
    command: impl Fn(u64, String) -> Command,
) -> Result<OperatorRequest, ErrorCode> {
    let base = base(req)?;
    let proposal_id = given_proposal_id(req)?;
    let text = body_text(req).await?;
    Ok(OperatorRequest::Change {
        proposal_id,
        cmd: command(base, text),
    })
}

async fn check(req: &mut Request, site: &Site) -> Result<OperatorRequest, ErrorCode> {
    let text = body_text(req).await?;
    let faults = configuration::parse(text.as_bytes(), site)
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

/// The response to a change: applied, rejected, or outcome unknown.
pub fn result(proposal_id: ProposalId, outcome: &ProposalOutcome) -> Response {
    let mut v = Value::object();
    let _ = v.insert("proposal", format_proposal_id(proposal_id));
    let error_code = match outcome {
        ProposalOutcome::Committed(Outcome::Applied { version }) => {
            let _ = v.insert("taken", true);
            let _ = v.insert("serial", *version);
            return http::ok(v);
        }
        ProposalOutcome::Committed(Outcome::Stale { version }) => {
            let _ = v.insert("serial", *version);
            ErrorCode::StaleVersion
        }
        ProposalOutcome::Committed(Outcome::Invalid { faults }) => {
            let _ = v.insert("faults", list(faults));
            ErrorCode::InvalidConfiguration
        }
        ProposalOutcome::Committed(Outcome::StaleEpoch { epoch }) => {
            let _ = v.insert("epoch", *epoch);
            ErrorCode::StaleVersion
        }
        ProposalOutcome::Committed(Outcome::BaseAhead { version }) => {
            let _ = v.insert("serial", *version);
            ErrorCode::BaseVersionAhead
        }
        ProposalOutcome::Committed(Outcome::Unknown { .. }) | ProposalOutcome::Unknown => {
            ErrorCode::ChangeOutcomeUnknown
        }
        ProposalOutcome::Rejected => ErrorCode::ChangeNotAccepted,
        ProposalOutcome::NotFound => ErrorCode::UnknownProposal,
    };
    // an unknown outcome must not be read as applied or as rejected
    if !matches!(
        error_code,
        ErrorCode::ChangeOutcomeUnknown | ErrorCode::BaseVersionAhead
    ) {
        let _ = v.insert("taken", false);
    }
    let _ = v.insert("problem", error_code.code());
    let _ = v.insert("text", error_code.message());
    let mut r = http::json(error_code.status(), v.encode());
    if error_code.is_retryable() {
        r.insert_header("retry-after", "1");
    }
    r
}

/// The response to a check of a document.
pub fn checked(faults: &[String]) -> Response {
    let mut v = Value::object();
    let _ = v.insert("good", faults.is_empty());
    let _ = v.insert("faults", list(faults));
    http::ok(v)
}

/// The numbers and flags of a status as flat metrics.
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

/// The configuration in force, as any node shows it.
pub fn configuration_view(version: u64, doc: Option<&str>, evacuated: &[String]) -> Response {
    let mut v = Value::object();
    let _ = v.insert("serial", version);
    let doc = doc.and_then(|d| crate::json::parse(d.as_bytes(), usize::MAX).ok());
    let _ = v.insert("setup", doc.unwrap_or_default());
    let _ = v.insert("emptied", list(evacuated));
    http::ok(v)
}

/// For each zone, whether it is evacuated and the requests in flight there.
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
        let mut status = Value::object();
        let _ = status.insert("zone", name);
        let _ = status.insert("emptied", evacuated.contains(&z));
        let _ = status.insert("at_workers", mine.map(busy).sum::<u32>());
        let _ = status.insert("at_edges", busy_edges[usize::from(z)]);
        status
    };
    let names = site.zones.iter().enumerate();
    names.map(|(z, (n, _))| row(z as u16, n)).collect()
}
