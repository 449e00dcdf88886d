//! Callers' HTTP at an edge: where to go, errands, and operators' errands.

use super::event::EdgeEvent;
use super::relay::{Brought, Load, Piece};
use super::run::{Desk, Reply};
use crate::error::ErrorCode;
use crate::gateway::request_table::{RequestProfile, RequestSpec};
use crate::http;
use crate::json::{self, Value};
use crate::net::Ring;
use crate::operator_api::{self, OperatorRequest};
use crate::order_id;
use crate::settings::Settings;
use crate::types::ProposalId;
use async_std::channel::Receiver;
use async_std::future::timeout;
use async_std::io::{self, BufRead, Read};
use async_std::stream::Stream;
use http_types::{Body, Method, Request, Response, StatusCode};
use simd_json::prelude::*;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

#[derive(Clone)]
pub struct Api {
    pub set: Arc<Settings>,
    pub ring: Ring<EdgeEvent>,
    pub desk: Desk,
}

const BODY: Duration = Duration::from_secs(10);
const LAST: Duration = Duration::from_secs(700);

impl Api {
    pub async fn handle(self, mut req: Request, peer: http::Peer) -> Response {
        let path = req.url().path().to_string();
        let m = req.method();
        let r = match (m, path.as_str()) {
            (Method::Get, "/health") => http::json(200, "{\"alive\":true}".into()),
            (Method::Get, "/ready") => self.ready().await,
            (Method::Get, "/v1/where") => self.whither(&req).await,
            (Method::Get, "/v1/status") => self.status().await,
            (Method::Get, "/v1/placement") => self.placement(&req).await,
            _ if path.starts_with("/v1/errand/") => {
                return self.request(&mut req, &path, peer).await;
            }
            _ => match operator_api::read(&mut req, &self.set.names).await {
                None => http::shed(ErrorCode::UnknownPath, &path, 1),
                Some(Err(p)) => http::shed(p, "", 1),
                Some(Ok(op)) => self.op(op).await,
            },
        };
        r
    }

    async fn ask(&self, within: Duration, f: impl FnOnce(u64) -> EdgeEvent) -> Option<Reply> {
        let (request_id, rx) = self.desk.open();
        if self.ring.send(f(request_id)).await.is_err() {
            return None;
        }
        let got = timeout(within, rx.recv()).await.ok().and_then(|r| r.ok());
        self.desk.close(request_id);
        got
    }

    async fn soon(&self, f: impl FnOnce(u64) -> EdgeEvent) -> Option<Reply> {
        let most = Duration::from_millis(self.set.ack_ms * 3 + 1000);
        self.ask(most, f).await
    }

    async fn ready(&self) -> Response {
        match self
            .soon(|request_id| EdgeEvent::Status { request_id })
            .await
        {
            Some(Reply::Status { ready: Ok(()), .. }) => http::json(200, "{\"ready\":true}".into()),
            Some(Reply::Status { ready: Err(p), .. }) => http::shed(p, "", 1),
            _ => http::shed(ErrorCode::ShuttingDown, "", 1),
        }
    }

    async fn status(&self) -> Response {
        match self
            .soon(|request_id| EdgeEvent::Status { request_id })
            .await
        {
            Some(Reply::Status { text, .. }) => http::json(200, text),
            _ => http::shed(ErrorCode::ShuttingDown, "", 1),
        }
    }

    fn home(&self, name: Option<String>) -> Result<Option<u8>, ErrorCode> {
        name.map(|n| {
            self.set
                .names
                .region(&n)
                .ok_or(ErrorCode::InvalidRequestField)
        })
        .transpose()
    }

    /// An errand as a query describes it.
    fn described(&self, req: &Request) -> Result<RequestSpec, ErrorCode> {
        let home = self.home(http::query(req, "region"))?;
        Ok(RequestSpec {
            route: http::query(req, "route").ok_or(ErrorCode::InvalidRequestField)?,
            key: http::query(req, "key").unwrap_or_default(),
            id: order_id::format_proposal_id(order_id::random_proposal_id()),
            home,
            adapter: http::query(req, "adapter"),
            ..RequestSpec::default()
        })
    }

    async fn placement(&self, req: &Request) -> Response {
        let asked = match self.described(req) {
            Ok(a) => a,
            Err(p) => return http::shed(p, "", 1),
        };
        match self
            .soon(|request_id| EdgeEvent::Explain {
                request_id,
                spec: asked,
            })
            .await
        {
            Some(Reply::Status { text, .. }) => http::json(200, text),
            Some(Reply::Where(Err(p))) => http::shed(p, "", 1),
            _ => http::shed(ErrorCode::ShuttingDown, "", 1),
        }
    }

    async fn whither(&self, req: &Request) -> Response {
        let asked = match self.described(req) {
            Ok(a) => a,
            Err(p) => return http::shed(p, "", 1),
        };
        match self
            .soon(|request_id| EdgeEvent::LocateEdges {
                request_id,
                spec: asked,
            })
            .await
        {
            Some(Reply::Where(Ok(all))) => {
                let mut v = Value::object();
                let _ = v.insert("addresses", all);
                let _ = v.insert("ttl_ms", 2000);
                http::ok(v)
            }
            Some(Reply::Where(Err(p))) => http::shed(p, "", 1),
            _ => http::shed(ErrorCode::ShuttingDown, "", 1),
        }
    }

    async fn op(&self, op: OperatorRequest) -> Response {
        match op {
            OperatorRequest::Check { faults } => operator_api::checked(&faults),
            OperatorRequest::Change { proposal_id, cmd } => {
                let r = self
                    .soon(|request_id| EdgeEvent::Propose {
                        request_id,
                        proposal_id,
                        cmd,
                    })
                    .await;
                changed(proposal_id, r)
            }
            OperatorRequest::Proposal(proposal_id) => {
                let r = self
                    .soon(|request_id| EdgeEvent::QueryProposal {
                        request_id,
                        proposal_id,
                    })
                    .await;
                changed(proposal_id, r)
            }
            OperatorRequest::Configuration => {
                match self
                    .soon(|request_id| EdgeEvent::ReadConfiguration { request_id })
                    .await
                {
                    Some(Reply::Looked(true, view)) => {
                        let doc = view.doc.as_ref().map(|d| d.as_str());
                        let names = &self.set.names;
                        let zones: Vec<String> = view
                            .evacuated
                            .iter()
                            .map(|z| names.zone_name(*z).to_string())
                            .collect();
                        operator_api::configuration_view(view.version, doc, &zones)
                    }
                    _ => http::shed(ErrorCode::NoControlPlane, "", 1),
                }
            }
            OperatorRequest::Status => self.status().await,
            OperatorRequest::Metrics => match self
                .soon(|request_id| EdgeEvent::Status { request_id })
                .await
            {
                Some(Reply::Status { text, .. }) => operator_api::metrics(&text),
                _ => http::shed(ErrorCode::ShuttingDown, "", 1),
            },
            OperatorRequest::DropCore { .. } => http::shed(ErrorCode::UnknownPath, "ask a core", 1),
        }
    }

    fn asked(&self, req: &Request, route: &str) -> Result<RequestSpec, ErrorCode> {
        let head = |k: &str| req.header(k).map(|h| h.last().as_str().to_string());
        let given = head("x-errand-id");
        if given.as_deref().is_some_and(|i| !json::is_valid_name(i)) {
            return Err(ErrorCode::InvalidRequestField);
        }
        let id = given
            .clone()
            .unwrap_or_else(|| order_id::format_proposal_id(order_id::random_proposal_id()));
        let key = head("x-prefix-key").unwrap_or_default();
        Ok(RequestSpec {
            route: route.to_string(),
            client_supplied_id: given.is_some(),
            id,
            key,
            profile: RequestProfile::default(),
            home: self.home(head("x-home"))?,
            adapter: head("x-adapter"),
        })
    }

    async fn request(&self, req: &mut Request, path: &str, peer: http::Peer) -> Response {
        let rest = &path["/v1/errand/".len()..];
        let (route, tail) = rest.split_once('/').unwrap_or((rest, ""));
        let mut asked = match self.asked(req, route) {
            Ok(a) => a,
            Err(p) => return http::shed(p, "", 1),
        };
        // what is not wanted here is turned away before its body is read
        let a = asked.clone();
        let shown = match self
            .soon(|request_id| EdgeEvent::CheckAdmission {
                request_id,
                spec: a,
            })
            .await
        {
            Some(Reply::Come(shown)) => shown,
            Some(r) => return final_of(r, path, &asked.id),
            None => return http::shed(ErrorCode::ShuttingDown, "", 1),
        };
        asked.profile = shown;
        let model = shown.model;
        let method = req.method();
        let fits = if model {
            method == Method::Post
        } else {
            method == Method::Get
        };
        if !fits {
            return http::shed(ErrorCode::MethodNotAllowed, "", 1);
        }
        let body = match http::body(req, self.set.max_body, BODY).await {
            Ok(b) => b,
            Err(p) => return http::shed(p, "", 1),
        };
        if model && json::parse(&body, self.set.max_body).is_err() {
            return http::shed(ErrorCode::InvalidJson, "", 1);
        }
        let load = Load {
            id: asked.id.clone(),
            route: asked.route.clone(),
            key: asked.key.clone(),
            method,
            path: if model {
                "/errand".to_string()
            } else {
                format!("/{tail}")
            },
            body,
            model,
            streamed: shown.streamed,
            within: Duration::from_millis(shown.timeout_ms),
        };
        let id = asked.id.clone();
        let (request_id, rx) = self.desk.open();
        self.desk.bring(request_id, load);
        let ring = self.ring.clone();
        let watch = peer.watch(move || async move {
            let _ = ring
                .send(EdgeEvent::CallerDisconnected { request_id })
                .await;
        });
        let sent = self
            .ring
            .send(EdgeEvent::Submit {
                request_id,
                spec: asked,
            })
            .await;
        let got = match sent {
            Ok(()) => timeout(LAST, rx.recv()).await.ok().and_then(|r| r.ok()),
            Err(_) => None,
        };
        self.desk.close(request_id);
        match got {
            Some(Reply::Brought(Brought::Stream(rx))) => streamed(rx, &id, watch),
            Some(r) => {
                watch.stop();
                final_of(r, path, &id)
            }
            None => http::shed(ErrorCode::ShuttingDown, "", 1),
        }
    }
}

fn changed(proposal_id: ProposalId, r: Option<Reply>) -> Response {
    match r {
        Some(Reply::Done(o)) => operator_api::result(proposal_id, &o),
        _ => operator_api::result(proposal_id, &crate::wire::OpOutcome::Unknown),
    }
}

/// A final result that is not a stream.
fn final_of(r: Reply, path: &str, id: &str) -> Response {
    let mut out = match r {
        Reply::Shed(p, again) => http::shed(p, "", again),
        Reply::Elsewhere(addr) => {
            let mut r = http::shed(ErrorCode::HomeRegionRedirect, &addr, 1);
            r.insert_header("location", format!("http://{addr}{path}"));
            r
        }
        Reply::Brought(Brought::Whole {
            status,
            kind,
            location,
            body,
        }) => {
            let code = StatusCode::try_from(status).unwrap_or(StatusCode::BadGateway);
            let mut r = Response::new(code);
            r.set_body(Body::from_bytes(body));
            if !kind.is_empty() {
                r.insert_header("content-type", kind);
            } else {
                r.remove_header("content-type");
            }
            location.into_iter().for_each(|p| {
                r.insert_header("location", p);
            });
            r
        }
        _ => http::shed(ErrorCode::ShuttingDown, "", 1),
    };
    out.insert_header("x-errand-id", id);
    out
}

fn streamed(rx: Receiver<Piece>, id: &str, watch: http::Watch) -> Response {
    let mut r = Response::new(StatusCode::Ok);
    r.set_body(Body::from_reader(
        Pipe {
            rx,
            buf: Vec::new(),
            at: 0,
            ended: false,
            broken: false,
            _watch: watch,
        },
        None,
    ));
    r.insert_header("content-type", "application/x-ndjson");
    r.insert_header("x-errand-id", id);
    r
}

/// A stream's events as a body. A break is shown as an event of its own, and
/// then by a body that does not end as a whole one would.
struct Pipe {
    rx: Receiver<Piece>,
    buf: Vec<u8>,
    at: usize,
    ended: bool,
    broken: bool,
    _watch: http::Watch,
}

impl BufRead for Pipe {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let me = self.get_mut();
        while me.at >= me.buf.len() {
            if me.ended {
                return Poll::Ready(Ok(&[]));
            }
            if me.broken {
                let e = io::Error::new(io::ErrorKind::BrokenPipe, "the stream broke off");
                return Poll::Ready(Err(e));
            }
            let piece = match Pin::new(&mut me.rx).poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                // a relay that vanished has not said that this is the end
                Poll::Ready(None) => Piece::Broke(ErrorCode::StreamInterrupted),
                Poll::Ready(Some(p)) => p,
            };
            me.at = 0;
            match piece {
                Piece::Event(b) => me.buf = b,
                Piece::End => {
                    me.ended = true;
                    me.buf.clear();
                }
                Piece::Broke(p) => {
                    let mut v = Value::object();
                    let _ = v.insert("problem", p.code());
                    let _ = v.insert("text", ErrorCode::StreamInterrupted.message());
                    me.buf = (v.encode() + "\n").into_bytes();
                    me.broken = true;
                }
            }
        }
        Poll::Ready(Ok(&me.buf[me.at..]))
    }

    fn consume(self: Pin<&mut Self>, n: usize) {
        let me = self.get_mut();
        me.at = (me.at + n).min(me.buf.len());
    }
}

impl Read for Pipe {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let n = match self.as_mut().poll_fill_buf(cx) {
            Poll::Ready(Ok(b)) => {
                let n = b.len().min(into.len());
                into[..n].copy_from_slice(&b[..n]);
                n
            }
            Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
            Poll::Pending => return Poll::Pending,
        };
        self.consume(n);
        Poll::Ready(Ok(n))
    }
}
