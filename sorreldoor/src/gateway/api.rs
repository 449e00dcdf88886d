//! The HTTP API of an edge: health checks, queries and operators' requests.
//! [`super::request_api`] serves callers' requests.

use super::event::EdgeEvent;
use super::pending_calls::{PendingCalls, Reply};
use super::request_api::request_path;
use crate::error::ErrorCode;
use crate::gateway::request_table::{RequestId, RequestSpec};
use crate::http;
use crate::ids;
use crate::json::Value;
use crate::operator_api::{self, OperatorRequest};
use crate::replicated_state::View;
use crate::runtime::EventSender;
use crate::settings::Settings;
use crate::types::{ProposalId, RegionId};
use crate::wire::ProposalOutcome;
use async_std::future::timeout;
use http_types::{Method, Request, Response};
use simd_json::prelude::*;
use std::sync::Arc;
use std::time::Duration;

/// How long callers may keep the result of `/v1/where`.
const EDGES_TTL_MS: u64 = 2000;

/// Serves the HTTP connections of an edge.
#[derive(Clone)]
pub(super) struct Api {
    pub settings: Arc<Settings>,
    /// The controller's queue of events.
    pub events: EventSender<EdgeEvent>,
    pub calls: PendingCalls,
}

impl Api {
    /// Serves one HTTP request.
    pub async fn handle(self, mut request: Request, peer: http::Peer) -> Response {
        let path = request.url().path().to_string();
        match (request.method(), path.as_str()) {
            (Method::Get, "/health") => http::json(200, "{\"alive\":true}".into()),
            (Method::Get, "/ready") => self.ready().await,
            (Method::Get, "/v1/where") => self.locate_edges(&request).await,
            (Method::Get, "/v1/status") => self.status().await,
            (Method::Get, "/v1/placement") => self.explain(&request).await,
            _ => match request_path(&path) {
                Some(route_path) => {
                    self.serve_request(&mut request, &path, route_path, peer)
                        .await
                }
                None => self.serve_operator(&mut request, &path).await,
            },
        }
    }

    /// Sends an event to the controller and waits for its reply.
    pub(super) async fn query(&self, event: impl FnOnce(RequestId) -> EdgeEvent) -> Option<Reply> {
        let limit = Duration::from_millis(self.settings.ack_ms * 3 + 1000);
        let (request_id, reply) = self.calls.open();
        if self.events.send(event(request_id)).await.is_err() {
            return None;
        }
        let reply = timeout(limit, reply.recv()).await;
        self.calls.close(request_id);
        reply.ok()?.ok()
    }

    async fn query_status(&self) -> Option<(String, Result<(), ErrorCode>)> {
        let reply = self.query(|request_id| EdgeEvent::Status { request_id });
        match reply.await {
            Some(Reply::Status { json, ready }) => Some((json, ready)),
            _ => None,
        }
    }

    async fn ready(&self) -> Response {
        match self.query_status().await {
            Some((_, Ok(()))) => http::json(200, "{\"ready\":true}".into()),
            Some((_, Err(error_code))) => http::error_response(error_code, "", 1),
            None => http::error_response(ErrorCode::ShuttingDown, "", 1),
        }
    }

    async fn status(&self) -> Response {
        match self.query_status().await {
            Some((json, _)) => http::json(200, json),
            None => http::error_response(ErrorCode::ShuttingDown, "", 1),
        }
    }

    async fn metrics(&self) -> Response {
        match self.query_status().await {
            Some((json, _)) => operator_api::metrics_response(&json),
            None => http::error_response(ErrorCode::ShuttingDown, "", 1),
        }
    }

    /// The region with this name; `InvalidRequestField` if there is none.
    pub(super) fn region(&self, name: Option<String>) -> Result<Option<RegionId>, ErrorCode> {
        let Some(name) = name else { return Ok(None) };
        let region = self.settings.names.region(&name);
        region.map(Some).ok_or(ErrorCode::InvalidRequestField)
    }

    /// The request that a query string describes.
    fn described_request(&self, request: &Request) -> Result<RequestSpec, ErrorCode> {
        Ok(RequestSpec {
            home: self.region(http::query_parameter(request, "region"))?,
            route: http::query_parameter(request, "route").ok_or(ErrorCode::InvalidRequestField)?,
            key: http::query_parameter(request, "key").unwrap_or_default(),
            id: ids::format_proposal_id(ids::random_proposal_id()),
            adapter: http::query_parameter(request, "adapter"),
            ..RequestSpec::default()
        })
    }

    async fn explain(&self, request: &Request) -> Response {
        let spec = match self.described_request(request) {
            Ok(spec) => spec,
            Err(error_code) => return http::error_response(error_code, "", 1),
        };
        let reply = self.query(|request_id| EdgeEvent::Explain { request_id, spec });
        match reply.await {
            Some(Reply::Status { json, .. }) => http::json(200, json),
            Some(Reply::EdgesLocated(Err(error_code))) => http::error_response(error_code, "", 1),
            _ => http::error_response(ErrorCode::ShuttingDown, "", 1),
        }
    }

    async fn locate_edges(&self, request: &Request) -> Response {
        let spec = match self.described_request(request) {
            Ok(spec) => spec,
            Err(error_code) => return http::error_response(error_code, "", 1),
        };
        let reply = self.query(|request_id| EdgeEvent::LocateEdges { request_id, spec });
        match reply.await {
            Some(Reply::EdgesLocated(Ok(addresses))) => {
                let mut v = Value::object();
                let _ = v.insert("addresses", addresses);
                let _ = v.insert("ttl_ms", EDGES_TTL_MS);
                http::ok(v)
            }
            Some(Reply::EdgesLocated(Err(error_code))) => http::error_response(error_code, "", 1),
            _ => http::error_response(ErrorCode::ShuttingDown, "", 1),
        }
    }

    async fn serve_operator(&self, request: &mut Request, path: &str) -> Response {
        match operator_api::parse_request(request, &self.settings.names).await {
            None => http::error_response(ErrorCode::UnknownPath, path, 1),
            Some(Err(error_code)) => http::error_response(error_code, "", 1),
            Some(Ok(operation)) => self.operate(operation).await,
        }
    }

    async fn operate(&self, operation: OperatorRequest) -> Response {
        match operation {
            OperatorRequest::Check { faults } => operator_api::check_response(&faults),
            OperatorRequest::Change { proposal_id, cmd } => {
                let reply = self.query(|request_id| EdgeEvent::Propose {
                    request_id,
                    proposal_id,
                    cmd,
                });
                proposal_response(proposal_id, reply.await)
            }
            OperatorRequest::Proposal(proposal_id) => {
                let reply = self.query(|request_id| EdgeEvent::QueryProposal {
                    request_id,
                    proposal_id,
                });
                proposal_response(proposal_id, reply.await)
            }
            OperatorRequest::Configuration => self.configuration().await,
            OperatorRequest::Status => self.status().await,
            OperatorRequest::Metrics => self.metrics().await,
            OperatorRequest::DropCore { .. } => {
                http::error_response(ErrorCode::UnknownPath, "ask a core", 1)
            }
        }
    }

    async fn configuration(&self) -> Response {
        let reply = self.query(|request_id| EdgeEvent::ReadConfiguration { request_id });
        match reply.await {
            Some(Reply::ConfigurationRead { proved: true, view }) => {
                self.configuration_response(&view)
            }
            _ => http::error_response(ErrorCode::NoControlPlane, "", 1),
        }
    }

    fn configuration_response(&self, view: &View) -> Response {
        let document = view.document.as_ref().map(|document| document.as_str());
        let evacuated: Vec<String> = view
            .evacuated
            .iter()
            .map(|zone| self.settings.names.zone_name(*zone).to_string())
            .collect();
        operator_api::configuration_response(view.version, document, &evacuated)
    }
}

fn proposal_response(proposal_id: ProposalId, reply: Option<Reply>) -> Response {
    match reply {
        Some(Reply::ProposalResult(outcome)) => {
            operator_api::change_response(proposal_id, &outcome)
        }
        _ => operator_api::change_response(proposal_id, &ProposalOutcome::Unknown),
    }
}
