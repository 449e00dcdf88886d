//! Callers' requests over HTTP: `/v1/request/ROUTE`, and its deprecated name
//! `/v1/errand/ROUTE`.

use super::api::Api;
use super::event::EdgeEvent;
use super::event_stream_body::EventStreamBody;
use super::pending_calls::Reply;
use super::worker_exchange::{StreamPart, WorkerRequest, WorkerResponse};
use crate::error::ErrorCode;
use crate::gateway::request_table::{RequestProfile, RequestSpec};
use crate::http;
use crate::ids;
use crate::json;
use async_std::channel::Receiver;
use async_std::future::timeout;
use http_types::{Body, Method, Request, Response, StatusCode};
use std::time::Duration;

/// Prefixes of the paths of requests: the documented one and a deprecated one.
const REQUEST_PREFIXES: [&str; 2] = ["/v1/request/", "/v1/errand/"];
/// Time for the body of a request to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for a response; longer than any request's deadline.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(700);
/// The path at which a model worker accepts requests.
const MODEL_WORKER_PATH: &str = "/errand";

/// The part after the prefix in the path of a request; `None` for other paths.
pub(super) fn request_path(path: &str) -> Option<&str> {
    REQUEST_PREFIXES
        .iter()
        .find_map(|prefix| path.strip_prefix(prefix))
}

impl Api {
    /// Serves a request to `ROUTE` or `ROUTE/any/path`. `path` is the
    /// complete path, which a redirect keeps.
    pub(super) async fn serve_request(
        &self,
        http_request: &mut Request,
        path: &str,
        route_path: &str,
        peer: http::Peer,
    ) -> Response {
        let (route, tail) = route_path.split_once('/').unwrap_or((route_path, ""));
        let mut spec = match self.read_spec(http_request, route) {
            Ok(spec) => spec,
            Err(error_code) => return http::error_response(error_code, "", 1),
        };
        // a request that is not admitted is rejected before its body is read
        let head = spec.clone();
        let admission = self.query(|request_id| EdgeEvent::CheckAdmission {
            request_id,
            spec: head,
        });
        spec.profile = match admission.await {
            Some(Reply::Admitted(profile)) => profile,
            Some(reply) => return final_response(reply, path, &spec.id),
            None => return http::error_response(ErrorCode::ShuttingDown, "", 1),
        };
        match self.read_request(http_request, &spec, tail).await {
            Ok(request) => self.submit(spec, request, path, peer).await,
            Err(error_code) => http::error_response(error_code, "", 1),
        }
    }

    /// Reads the specification of a request from its headers.
    fn read_spec(&self, http_request: &Request, route: &str) -> Result<RequestSpec, ErrorCode> {
        let header = |name: &str| {
            let values = http_request.header(name);
            values.map(|values| values.last().as_str().to_string())
        };
        let client_id = header("x-errand-id");
        let client_supplied_id = client_id.is_some();
        if client_id
            .as_deref()
            .is_some_and(|id| !json::is_valid_name(id))
        {
            return Err(ErrorCode::InvalidRequestField);
        }
        let id = client_id.unwrap_or_else(|| ids::format_proposal_id(ids::random_proposal_id()));
        Ok(RequestSpec {
            route: route.to_string(),
            client_supplied_id,
            id,
            key: header("x-prefix-key").unwrap_or_default(),
            profile: RequestProfile::default(),
            home: self.region(header("x-home"))?,
            adapter: header("x-adapter"),
        })
    }

    /// Reads the body of an admitted request.
    async fn read_request(
        &self,
        http_request: &mut Request,
        spec: &RequestSpec,
        tail: &str,
    ) -> Result<WorkerRequest, ErrorCode> {
        let RequestProfile {
            model,
            streamed,
            timeout_ms,
        } = spec.profile;
        let method = http_request.method();
        let expected = if model { Method::Post } else { Method::Get };
        if method != expected {
            return Err(ErrorCode::MethodNotAllowed);
        }
        let max_bytes = self.settings.max_body;
        let body = http::read_body(http_request, max_bytes, BODY_TIMEOUT).await?;
        if model && json::parse(&body, max_bytes).is_err() {
            return Err(ErrorCode::InvalidJson);
        }
        let path = if model {
            MODEL_WORKER_PATH.to_string()
        } else {
            format!("/{tail}")
        };
        Ok(WorkerRequest {
            id: spec.id.clone(),
            route: spec.route.clone(),
            key: spec.key.clone(),
            method,
            path,
            body,
            model,
            streamed,
            timeout: Duration::from_millis(timeout_ms),
        })
    }

    /// Submits a request to the controller and waits for its response.
    async fn submit(
        &self,
        spec: RequestSpec,
        request: WorkerRequest,
        path: &str,
        peer: http::Peer,
    ) -> Response {
        let id = spec.id.clone();
        let (request_id, reply) = self.calls.open();
        self.calls.store_request(request_id, request);
        let events = self.events.clone();
        let watch = peer.watch(move || async move {
            let event = EdgeEvent::CallerDisconnected { request_id };
            let _ = events.send(event).await;
        });
        let submitted = self
            .events
            .send(EdgeEvent::Submit { request_id, spec })
            .await;
        let reply = match submitted {
            Ok(()) => timeout(RESPONSE_TIMEOUT, reply.recv())
                .await
                .ok()
                .and_then(|reply| reply.ok()),
            Err(_) => None,
        };
        self.calls.close(request_id);
        match reply {
            Some(Reply::WorkerResponse(WorkerResponse::Stream(parts))) => {
                stream_response(parts, &id, watch)
            }
            Some(reply) => {
                watch.stop();
                final_response(reply, path, &id)
            }
            None => http::error_response(ErrorCode::ShuttingDown, "", 1),
        }
    }
}

/// The response to a request that is not streamed.
fn final_response(reply: Reply, path: &str, id: &str) -> Response {
    let mut response = match reply {
        Reply::Rejected {
            error_code,
            retry_after_s,
        } => http::error_response(error_code, "", retry_after_s),
        Reply::Redirect(addr) => {
            let mut response = http::error_response(ErrorCode::HomeRegionRedirect, &addr, 1);
            response.insert_header("location", format!("http://{addr}{path}"));
            response
        }
        Reply::WorkerResponse(WorkerResponse::Complete {
            status,
            content_type,
            location,
            body,
        }) => {
            let status = StatusCode::try_from(status).unwrap_or(StatusCode::BadGateway);
            let mut response = Response::new(status);
            response.set_body(Body::from_bytes(body));
            if content_type.is_empty() {
                response.remove_header("content-type");
            } else {
                response.insert_header("content-type", content_type);
            }
            if let Some(location) = location {
                response.insert_header("location", location);
            }
            response
        }
        _ => http::error_response(ErrorCode::ShuttingDown, "", 1),
    };
    response.insert_header("x-errand-id", id);
    response
}

fn stream_response(
    parts: Receiver<StreamPart>,
    id: &str,
    watch: http::DisconnectWatch,
) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    let body = EventStreamBody::new(parts, watch);
    response.set_body(Body::from_reader(body, None));
    response.insert_header("content-type", "application/x-ndjson");
    response.insert_header("x-errand-id", id);
    response
}
