//! The operators' HTTP interface of a core. Requests are passed to the controller
//! through its client.

use super::client::{ControllerClient, StateSnapshot};
use super::integration::{bind, OperatorServer};
use crate::error::ErrorCode;
use crate::http;
use crate::log_events::{log_event, LogEvent};
use crate::operator_api::{self, OperatorRequest};
use crate::settings::Settings;
use crate::start_error::StartError;
use async_std::task;
use http_types::{Method, Request, Response};
use std::sync::Arc;

/// `Retry-After` of rejected requests, in seconds.
const RETRY_AFTER_S: u64 = 1;
/// `Retry-After` while the disk of this core has failed, in seconds.
const DISK_RETRY_AFTER_S: u64 = 5;

/// The server of the product's own HTTP interface.
pub struct HttpOperatorServer {
    /// The settings of this core.
    pub settings: Arc<Settings>,
}

impl OperatorServer for HttpOperatorServer {
    fn start(
        self,
        client: ControllerClient,
        shutdown: http::ShutdownHandle,
    ) -> Result<(), StartError> {
        let address = self.settings.http;
        let listener = bind("http", address)?;
        let max_connections = self.settings.max_connections;
        let settings = self.settings;
        let api = Api { settings, client };
        task::spawn(http::serve(
            listener,
            max_connections,
            shutdown,
            move |request, _| api.clone().handle(request),
        ));
        log_event(LogEvent::Listening, format!("http {address}"));
        Ok(())
    }
}

/// The handlers of the HTTP interface.
#[derive(Clone)]
pub struct Api {
    /// The settings of this core.
    pub settings: Arc<Settings>,
    /// The controller that serves the requests.
    pub client: ControllerClient,
}

impl Api {
    /// Answers one request.
    pub async fn handle(self, mut request: Request) -> Response {
        let path = request.url().path().to_string();
        if request.method() == Method::Get && path == "/health" {
            return http::json(200, "{\"alive\":true}".into());
        }
        if request.method() == Method::Get && path == "/ready" {
            return self.ready().await;
        }
        match operator_api::parse_request(&mut request, &self.settings.names).await {
            None => http::error_response(ErrorCode::UnknownPath, &path, RETRY_AFTER_S),
            Some(Err(code)) => http::error_response(code, "", RETRY_AFTER_S),
            Some(Ok(request)) => self.handle_operator(request).await,
        }
    }

    async fn ready(&self) -> Response {
        match self.client.read_status().await {
            Some(StateSnapshot {
                confirmed: true, ..
            }) => http::json(200, "{\"ready\":true}".into()),
            Some(StateSnapshot { disk_ok: false, .. }) => {
                http::error_response(ErrorCode::DiskFailed, "", DISK_RETRY_AFTER_S)
            }
            _ => http::error_response(
                ErrorCode::NoControlPlane,
                "this core cannot reach a quorum",
                RETRY_AFTER_S,
            ),
        }
    }

    async fn handle_operator(&self, request: OperatorRequest) -> Response {
        match request {
            OperatorRequest::Check { faults } => operator_api::check_response(&faults),
            OperatorRequest::Change { proposal_id, cmd } => {
                let outcome = self.client.change(proposal_id, cmd).await;
                operator_api::change_response(proposal_id, &outcome)
            }
            OperatorRequest::DropCore { proposal_id, id } => {
                let outcome = self.client.remove_core(proposal_id, id).await;
                operator_api::change_response(proposal_id, &outcome)
            }
            OperatorRequest::Proposal(proposal_id) => {
                let outcome = self.client.find_outcome(proposal_id).await;
                operator_api::change_response(proposal_id, &outcome)
            }
            OperatorRequest::Configuration => self.configuration().await,
            OperatorRequest::Status => match self.client.read_status().await {
                Some(state) => http::json(200, state.status),
                None => no_control_plane(),
            },
            OperatorRequest::Metrics => match self.client.read_status().await {
                Some(state) => operator_api::metrics_response(&state.status),
                None => no_control_plane(),
            },
        }
    }

    async fn configuration(&self) -> Response {
        let state = self.client.read_status().await;
        let Some(state) = state.filter(|state| state.confirmed) else {
            return no_control_plane();
        };
        let view = state.view;
        let document = view.document.as_ref().map(|document| document.as_str());
        let zone_name = |zone: &u16| self.settings.names.zone_name(*zone).to_string();
        let evacuated: Vec<String> = view.evacuated.iter().map(zone_name).collect();
        operator_api::configuration_response(view.version, document, &evacuated)
    }
}

fn no_control_plane() -> Response {
    http::error_response(ErrorCode::NoControlPlane, "", RETRY_AFTER_S)
}
