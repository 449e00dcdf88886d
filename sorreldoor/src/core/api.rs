//! Operators' HTTP at a core: each errand becomes an event for the hub.

use super::events::HubEvent;
use super::run::{Answers, Reply};
use crate::http;
use crate::net::Ring;
use crate::ops::{self, Op};
use crate::problem::Problem;
use crate::settings::Settings;
use async_std::future::timeout;
use http_types::{Method, Request, Response};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone)]
pub struct Api {
    pub set: Arc<Settings>,
    pub ring: Ring<HubEvent>,
    pub answers: Answers,
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
        match ops::read(&mut req, &self.set.names).await {
            None => http::shed(Problem::UnknownPath, &path, 1),
            Some(Err(p)) => http::shed(p, "", 1),
            Some(Ok(op)) => self.run(op).await,
        }
    }

    async fn ask(&self, f: impl FnOnce(u64) -> HubEvent) -> Option<Reply> {
        let (rid, rx) = self.answers.open();
        if self.ring.send(f(rid)).await.is_err() {
            return None;
        }
        // why: the reducer gives up by itself first; this is only the last resort
        let most = Duration::from_millis(self.set.ack_ms * 3 + 1000);
        let got = timeout(most, rx.recv()).await.ok().and_then(|r| r.ok());
        self.answers.close(rid);
        got
    }

    async fn look(&self) -> Option<Reply> {
        self.ask(|rid| HubEvent::Look { rid }).await
    }

    async fn ready(&self) -> Response {
        match self.look().await {
            Some(Reply::Looked { ok: true, .. }) => http::json(200, "{\"ready\":true}".into()),
            Some(Reply::Looked { disk: false, .. }) => http::shed(Problem::DiskFailed, "", 5),
            _ => http::shed(Problem::NoCore, "no quorum is reached from here", 1),
        }
    }

    async fn run(&self, op: Op) -> Response {
        match op {
            Op::Check { faults } => ops::checked(&faults),
            Op::Change { pid, cmd } => {
                let r = self.ask(|rid| HubEvent::Change { rid, pid, cmd }).await;
                changed(pid, r)
            }
            Op::DropCore { pid, id } => {
                let r = self
                    .ask(|rid| HubEvent::Reform { rid, pid, drop: id })
                    .await;
                changed(pid, r)
            }
            Op::Setup => match self.look().await {
                Some(Reply::Looked { ok: true, view, .. }) => {
                    let doc = view.doc.as_ref().map(|d| d.as_str());
                    let zones: Vec<String> = view
                        .emptied
                        .iter()
                        .map(|z| self.set.names.zone_name(*z).to_string())
                        .collect();
                    ops::setup_view(view.serial, doc, &zones)
                }
                _ => http::shed(Problem::NoCore, "", 1),
            },
            Op::Status => match self.look().await {
                Some(Reply::Looked { status, .. }) => http::json(200, status),
                _ => http::shed(Problem::NoCore, "", 1),
            },
            Op::Metrics => match self.look().await {
                Some(Reply::Looked { status, .. }) => ops::metrics(&status),
                _ => http::shed(Problem::NoCore, "", 1),
            },
            Op::Proposal(pid) => {
                let r = self.ask(|rid| HubEvent::Find { rid, pid }).await;
                changed(pid, r)
            }
        }
    }
}

fn changed(pid: crate::agree::Pid, r: Option<Reply>) -> Response {
    match r {
        Some(Reply::Done(o)) => ops::result(pid, &o),
        _ => ops::result(pid, &crate::wire::OpOutcome::Unknown),
    }
}
