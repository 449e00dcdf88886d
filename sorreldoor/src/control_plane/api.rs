//! Operators' HTTP at a core: each errand becomes an event for the controller.

use super::front::{Front, Looked};
use super::source::OperatorDoor;
use crate::error::ErrorCode;
use crate::http;
use crate::log_events::{log_event, LogEvent};
use crate::operator_api::{self, OperatorRequest};
use crate::settings::Settings;
use async_std::net::TcpListener;
use async_std::task;
use http_types::{Method, Request, Response};
use std::sync::Arc;

/// The door of the product's own HTTP interface.
pub struct Door {
    pub set: Arc<Settings>,
}

impl OperatorDoor for Door {
    fn open(self, front: Front, gate: http::Gate) -> Result<(), String> {
        let at = self.set.http;
        let web = task::block_on(TcpListener::bind(at))
            .map_err(|e| format!("http: cannot bind {at}: {e}"))?;
        let most = self.set.most_connections;
        let set = self.set;
        let api = Api { set, front };
        task::spawn(http::serve(web, most, gate, move |r, _| {
            api.clone().handle(r)
        }));
        log_event(LogEvent::Listening, format!("http {at}"));
        Ok(())
    }
}

#[derive(Clone)]
pub struct Api {
    pub set: Arc<Settings>,
    pub front: Front,
}

impl Api {
    pub async fn handle(self, mut req: Request) -> Response {
        let path = req.url().path().to_string();
        if req.method() == Method::Get && path == "/health" {
            return http::json(200, "{\"alive\":true}".into());
        }
        if req.method() == Method::Get && path == "/ready" {
            return self.ready().await;
        }
        match operator_api::read(&mut req, &self.set.names).await {
            None => http::shed(ErrorCode::UnknownPath, &path, 1),
            Some(Err(p)) => http::shed(p, "", 1),
            Some(Ok(op)) => self.run(op).await,
        }
    }

    async fn ready(&self) -> Response {
        match self.front.look().await {
            Some(Looked { ok: true, .. }) => http::json(200, "{\"ready\":true}".into()),
            Some(Looked { disk: false, .. }) => http::shed(ErrorCode::DiskFailed, "", 5),
            _ => http::shed(
                ErrorCode::NoControlPlane,
                "no quorum is reached from here",
                1,
            ),
        }
    }

    async fn run(&self, op: OperatorRequest) -> Response {
        match op {
            OperatorRequest::Check { faults } => operator_api::checked(&faults),
            OperatorRequest::Change { proposal_id, cmd } => {
                operator_api::result(proposal_id, &self.front.change(proposal_id, cmd).await)
            }
            OperatorRequest::DropCore { proposal_id, id } => {
                operator_api::result(proposal_id, &self.front.drop_core(proposal_id, id).await)
            }
            OperatorRequest::Configuration => match self.front.look().await {
                Some(Looked { ok: true, view, .. }) => {
                    let doc = view.doc.as_ref().map(|d| d.as_str());
                    let zones: Vec<String> = view
                        .evacuated
                        .iter()
                        .map(|z| self.set.names.zone_name(*z).to_string())
                        .collect();
                    operator_api::configuration_view(view.version, doc, &zones)
                }
                _ => http::shed(ErrorCode::NoControlPlane, "", 1),
            },
            OperatorRequest::Status => match self.front.look().await {
                Some(Looked { status, .. }) => http::json(200, status),
                _ => http::shed(ErrorCode::NoControlPlane, "", 1),
            },
            OperatorRequest::Metrics => match self.front.look().await {
                Some(Looked { status, .. }) => operator_api::metrics(&status),
                _ => http::shed(ErrorCode::NoControlPlane, "", 1),
            },
            OperatorRequest::Proposal(proposal_id) => {
                operator_api::result(proposal_id, &self.front.find(proposal_id).await)
            }
        }
    }
}
