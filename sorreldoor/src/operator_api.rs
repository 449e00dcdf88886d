//! The operators' HTTP interface that core and edge nodes serve: parses requests
//! and builds responses.

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

/// A parsed operator request.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    /// Propose a change of the configuration or of the evacuated zones.
    Change {
        /// Idempotency key: given by the operator, or else random.
        proposal_id: ProposalId,
        /// The change.
        cmd: Command,
    },
    /// Validate a configuration without applying it; parsing has done so.
    Check {
        /// The faults found; none if it is valid.
        faults: Vec<String>,
    },
    /// Show the configuration in force.
    Configuration,
    /// Show the status of the node.
    Status,
    /// Show the numbers and flags of the status as a flat JSON object.
    Metrics,
    /// Show the outcome of a proposal.
    Proposal(ProposalId),
    /// Remove a core from the members; edges reject it.
    DropCore {
        /// Idempotency key, as for a change.
        proposal_id: ProposalId,
        /// Identity of the core to remove.
        id: u64,
    },
}

/// Limit of receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

fn base_version(request: &Request) -> Result<u64, ErrorCode> {
    let base = http::query_parameter(request, "base").ok_or(ErrorCode::MissingBaseVersion)?;
    base.parse().map_err(|_| ErrorCode::MissingBaseVersion)
}

fn given_proposal_id(request: &Request) -> Result<ProposalId, ErrorCode> {
    http::query_parameter(request, "id").map_or_else(
        || Ok(random_proposal_id()),
        |id| parse_proposal_id(&id).ok_or(ErrorCode::InvalidRequestField),
    )
}

/// Parses a request; `None` if the path is not part of this interface.
///
/// # Errors
/// The method, a parameter or the body is not valid.
pub async fn parse_request(
    request: &mut Request,
    site: &Site,
) -> Option<Result<OperatorRequest, ErrorCode>> {
    let path = request.url().path().to_string();
    let rest = path.strip_prefix("/v1/")?;
    let parts: Vec<&str> = rest.split('/').collect();
    let method = request.method();
    Some(match (method, parts.as_slice()) {
        (Method::Get, ["setup"]) => Ok(OperatorRequest::Configuration),
        (Method::Get, ["status"]) => Ok(OperatorRequest::Status),
        (Method::Get, ["metrics"]) => Ok(OperatorRequest::Metrics),
        (Method::Get, ["proposals", id]) => parse_proposal_id(id)
            .map(OperatorRequest::Proposal)
            .ok_or(ErrorCode::InvalidRequestField),
        (Method::Put, ["setup"]) => replacement(request).await,
        (Method::Patch, ["setup"]) => merge_patch(request).await,
        (Method::Post, ["check"]) => validate(request, site).await,
        (Method::Post, ["zones", zone, "empty"]) => evacuation(request, site, zone, true),
        (Method::Post, ["zones", zone, "return"]) => evacuation(request, site, zone, false),
        (Method::Post, ["cores", id, "drop"]) => u64::from_str_radix(id, 16)
            .map_err(|_| ErrorCode::InvalidRequestField)
            .and_then(|id| {
                given_proposal_id(request)
                    .map(|proposal_id| OperatorRequest::DropCore { proposal_id, id })
            }),
        (_, ["setup" | "status" | "metrics" | "check"] | ["proposals", _])
        | (_, ["zones", _, "empty" | "return"] | ["cores", _, "drop"]) => {
            Err(ErrorCode::MethodNotAllowed)
        }
        _ => return None,
    })
}

async fn body_text(request: &mut Request) -> Result<String, ErrorCode> {
    let body = http::read_body(request, configuration::MAX_BYTES, BODY_TIMEOUT).await?;
    String::from_utf8(body).map_err(|_| ErrorCode::InvalidJson)
}

/// Reads a change whose body is a merge patch.
async fn merge_patch(request: &mut Request) -> Result<OperatorRequest, ErrorCode> {
    let base = base_version(request)?;
    let proposal_id = given_proposal_id(request)?;
    let patch = body_text(request).await?;
    let cmd = Command::MergePatch { base, patch };
    Ok(OperatorRequest::Change { proposal_id, cmd })
}

async fn replacement(request: &mut Request) -> Result<OperatorRequest, ErrorCode> {
    let base = base_version(request)?;
    let proposal_id = given_proposal_id(request)?;
    let document = body_text(request).await?;
    // numbers may be longer as they are stored than as they were sent
    let stored = crate::json::parse(document.as_bytes(), configuration::MAX_BYTES)
        .map(|value| crate::json::canonical(&value).len());
    if stored.is_ok_and(|bytes| bytes > configuration::MAX_BYTES) {
        return Err(ErrorCode::ConfigurationTooLarge);
    }
    let cmd = Command::Put {
        base,
        new_version: None,
        document,
    };
    Ok(OperatorRequest::Change { proposal_id, cmd })
}

async fn validate(request: &mut Request, site: &Site) -> Result<OperatorRequest, ErrorCode> {
    let text = body_text(request).await?;
    let faults = configuration::parse(text.as_bytes(), site)
        .err()
        .unwrap_or_default();
    Ok(OperatorRequest::Check { faults })
}

fn evacuation(
    request: &Request,
    site: &Site,
    zone_name: &str,
    evacuated: bool,
) -> Result<OperatorRequest, ErrorCode> {
    let zone = site.zone(zone_name).ok_or(ErrorCode::UnknownZone)?;
    let base = base_version(request)?;
    let proposal_id = given_proposal_id(request)?;
    Ok(OperatorRequest::Change {
        proposal_id,
        cmd: Command::EvacuateZone {
            base,
            zone,
            evacuated,
        },
    })
}

fn string_list(texts: &[String]) -> Value {
    Value::from(
        texts
            .iter()
            .map(|text| Value::from(text.as_str()))
            .collect::<Vec<_>>(),
    )
}

/// The response to a change: applied, rejected, or outcome unknown. It carries
/// `Retry-After` if a retry is safe.
pub fn change_response(proposal_id: ProposalId, outcome: &ProposalOutcome) -> Response {
    let mut body = Value::object();
    let _ = body.insert("proposal", format_proposal_id(proposal_id));
    let error_code = match outcome {
        ProposalOutcome::Committed(Outcome::Applied { version }) => {
            let _ = body.insert("taken", true);
            let _ = body.insert("serial", *version);
            return http::ok(body);
        }
        ProposalOutcome::Committed(Outcome::Stale { version }) => {
            let _ = body.insert("serial", *version);
            ErrorCode::StaleVersion
        }
        ProposalOutcome::Committed(Outcome::Invalid { faults }) => {
            let _ = body.insert("faults", string_list(faults));
            ErrorCode::InvalidConfiguration
        }
        ProposalOutcome::Committed(Outcome::TooLarge { bytes, max_bytes }) => {
            let _ = body.insert("bytes", *bytes);
            let _ = body.insert("max_bytes", *max_bytes);
            ErrorCode::ConfigurationTooLarge
        }
        ProposalOutcome::Committed(Outcome::StaleEpoch { epoch }) => {
            let _ = body.insert("epoch", *epoch);
            ErrorCode::StaleVersion
        }
        ProposalOutcome::Committed(Outcome::BaseAhead { version }) => {
            let _ = body.insert("serial", *version);
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
        let _ = body.insert("taken", false);
    }
    let _ = body.insert("problem", error_code.code());
    let _ = body.insert("text", error_code.message());
    let mut response = http::json(error_code.status(), body.encode());
    if error_code.is_retryable() {
        response.insert_header("retry-after", "1");
    }
    response
}

/// The response to a validation of a configuration.
pub fn check_response(faults: &[String]) -> Response {
    let mut body = Value::object();
    let _ = body.insert("good", faults.is_empty());
    let _ = body.insert("faults", string_list(faults));
    http::ok(body)
}

/// The numbers and flags of a status as a flat JSON object: a flag as 0 or 1, a
/// list as its length.
pub fn metrics_response(status: &str) -> Response {
    let status = crate::json::parse(status.as_bytes(), usize::MAX).unwrap_or_default();
    let mut metrics = Value::object();
    let mut put = |prefix: &str, fields: &Value| {
        for (key, field) in fields.as_object().into_iter().flatten() {
            let name = format!("{prefix}{key}");
            if field.is_number() {
                let _ = metrics.insert(name, field.clone());
            } else if let Some(flag) = field.as_bool() {
                let _ = metrics.insert(name, u64::from(flag));
            } else if let Some(list) = field.as_array() {
                let _ = metrics.insert(name, list.len());
            }
        }
    };
    put("", &status);
    put("count_", status.get("counts").unwrap_or(&Value::default()));
    http::ok(metrics)
}

/// The response to a read of the configuration in force.
pub fn configuration_response(
    version: u64,
    document: Option<&str>,
    evacuated: &[String],
) -> Response {
    let mut body = Value::object();
    let _ = body.insert("serial", version);
    let document = document.map(crate::json::parse_canonical);
    let _ = body.insert("setup", document.unwrap_or_default());
    let _ = body.insert("emptied", string_list(evacuated));
    http::ok(body)
}

/// For each zone, whether it is evacuated, and the numbers of requests in flight
/// at its workers and at its edges. `at_edges` has zones with their numbers.
pub fn zone_rows(
    site: &Site,
    evacuated: &[u16],
    workers: &[Worker],
    loads: &Loads,
    at_edges: impl Iterator<Item = (u16, u32)>,
) -> Vec<Value> {
    let mut in_flight_at_edges = vec![0u32; site.zones.len()];
    for (zone, count) in at_edges {
        if let Some(total) = in_flight_at_edges.get_mut(usize::from(zone)) {
            *total += count;
        }
    }
    let row = |zone: u16, name: &str| {
        let in_zone = workers.iter().filter(|worker| worker.zone == zone);
        let in_flight = |worker: &Worker| {
            loads
                .of(&worker.name)
                .map_or(0, |load| load.running + load.queued)
        };
        let mut status = Value::object();
        let _ = status.insert("zone", name);
        let _ = status.insert("emptied", evacuated.contains(&zone));
        let _ = status.insert("at_workers", in_zone.map(in_flight).sum::<u32>());
        let _ = status.insert("at_edges", in_flight_at_edges[usize::from(zone)]);
        status
    };
    let names = site.zones.iter().enumerate();
    names
        .map(|(zone, (name, _))| row(zone as u16, name))
        .collect()
}
