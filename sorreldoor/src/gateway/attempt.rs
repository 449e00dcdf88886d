//! The task that carries out one attempt of a request at a worker: it connects,
//! waits for permission, sends the request and relays the response.

use super::event::EdgeEvent;
use super::stream_relay::StreamRelay;
use super::worker_exchange::{AttemptCommand, StreamPart, WorkerRequest, WorkerResponse};
use crate::error::ErrorCode;
use crate::gateway::request_table::{AttemptEvent, AttemptReport, AttemptToken, RequestId};
use crate::http::{self, Call, CallError};
use crate::invariants::{is_disabled, Invariant};
use crate::json;
use crate::runtime::EventSender;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::future::timeout;
use async_std::io::BufReader;
use async_std::net::TcpStream;
use http_types::Response;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest complete response in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Events of a stream that are buffered for a slow caller.
const STREAM_BUFFER: usize = 16;

/// One attempt of a request.
pub(super) struct AttemptTask {
    pub request_id: RequestId,
    pub token: AttemptToken,
    pub request: Arc<WorkerRequest>,
    pub events: EventSender<EdgeEvent>,
    pub commands: Receiver<AttemptCommand>,
    pub response: Sender<WorkerResponse>,
}

impl AttemptTask {
    async fn report(&self, event: AttemptEvent) {
        let report = AttemptReport {
            request_id: self.request_id,
            token: self.token,
            event,
        };
        let _ = self.events.send(EdgeEvent::Attempt(report)).await;
    }

    /// Carries out the attempt at the worker with this address.
    pub async fn run(self, worker: SocketAddr) {
        let Ok(stream) = http::connect(worker, CONNECT_TIMEOUT).await else {
            return self.report(AttemptEvent::ConnectFailed).await;
        };
        self.report(AttemptEvent::Connected).await;
        let Ok(AttemptCommand::Send(adapter)) = self.commands.recv().await else {
            return;
        };
        let sent = timeout(self.request.timeout, self.send(stream, adapter)).await;
        match sent.unwrap_or(Err(CallError::TimedOut)) {
            Ok(response) if self.is_stream(&response) => self.relay_stream(response).await,
            Ok(response) => self.read_complete(response).await,
            Err(error) => self.report(AttemptEvent::Failed(error_code(error))).await,
        }
    }

    fn is_stream(&self, response: &Response) -> bool {
        self.request.streamed && u16::from(response.status()) == 200
    }

    async fn send(
        &self,
        stream: TcpStream,
        adapter: Option<String>,
    ) -> Result<Response, CallError> {
        let request = &self.request;
        let mut headers = vec![
            ("x-errand-id", request.id.clone()),
            ("x-route", request.route.clone()),
        ];
        if !request.key.is_empty() {
            headers.push(("x-prefix-key", request.key.clone()));
        }
        headers.extend(adapter.map(|adapter| ("x-adapter", adapter)));
        let call = Call {
            method: request.method,
            path: request.path.clone(),
            headers,
            body: request.body.clone(),
        };
        http::send(stream, call).await
    }

    async fn read_complete(&self, response: Response) {
        // reported by the worker itself, so a retry is safe
        let not_run = response
            .header("x-ran")
            .is_some_and(|values| values.last().as_str() == "no");
        let read = http::read_response(response, MAX_RESPONSE_BYTES);
        let read = timeout(self.request.timeout, read).await;
        let response = match read.unwrap_or(Err(CallError::TimedOut)) {
            Ok(response) => response,
            Err(error) => return self.report(AttemptEvent::Failed(error_code(error))).await,
        };
        if not_run && matches!(response.status, 503 | 429) {
            return self.report(AttemptEvent::NotExecuted).await;
        }
        if let Err(error_code) = self.validate(&response) {
            return self.report(AttemptEvent::Failed(error_code)).await;
        }
        let _ = self.response.try_send(WorkerResponse::Complete {
            status: response.status,
            content_type: response.content_type,
            location: response.location,
            body: response.body,
        });
        self.report(AttemptEvent::Complete).await;
    }

    /// Checks that a complete response belongs to this request.
    fn validate(&self, response: &http::CompleteResponse) -> Result<(), ErrorCode> {
        let id = response.request_id.as_deref();
        let other_id = id.is_some_and(|id| id != self.request.id);
        if other_id && !is_disabled(Invariant::ResponseRequestId) {
            return Err(ErrorCode::MismatchedRequestId);
        }
        if !self.request.model {
            return Ok(());
        }
        let is_json = has_media_type(&response.content_type, "application/json")
            && json::parse(&response.body, MAX_RESPONSE_BYTES).is_ok();
        if id.is_none() || !is_json {
            return Err(ErrorCode::InvalidWorkerResponse);
        }
        Ok(())
    }

    /// Checks that the head of a stream belongs to this request.
    fn validate_stream(&self, response: &Response) -> Result<(), ErrorCode> {
        let id = response
            .header("x-errand-id")
            .map(|values| values.last().as_str());
        let content_type = response
            .header("content-type")
            .map_or("", |values| values.last().as_str());
        let is_ndjson = has_media_type(content_type, "application/x-ndjson");
        if !http::has_valid_framing(response) || !is_ndjson || id.is_none() {
            return Err(ErrorCode::InvalidWorkerResponse);
        }
        if id != Some(&self.request.id) {
            return Err(ErrorCode::MismatchedRequestId);
        }
        Ok(())
    }

    async fn relay_stream(&self, mut response: Response) {
        if let Err(error_code) = self.validate_stream(&response) {
            return self.report(AttemptEvent::Failed(error_code)).await;
        }
        let (parts, receiver) = bounded(STREAM_BUFFER);
        let _ = self.response.try_send(WorkerResponse::Stream(receiver));
        self.report(AttemptEvent::StreamStarted).await;
        let lines = BufReader::new(response.take_body());
        let relay = StreamRelay {
            request: &self.request,
            commands: &self.commands,
            parts: &parts,
        };
        let relayed = timeout(self.request.timeout, relay.run(lines)).await;
        let event = match relayed.unwrap_or(Err(ErrorCode::StreamInterrupted)) {
            Ok(()) => {
                let _ = parts.send(StreamPart::End).await;
                AttemptEvent::StreamEnded
            }
            Err(error_code) => {
                // distinguishes the failure from the end of the stream
                let _ = parts.send(StreamPart::Broken(error_code)).await;
                AttemptEvent::Failed(error_code)
            }
        };
        self.report(event).await;
    }
}

/// Whether a content type has this media type; parameters are ignored.
fn has_media_type(content_type: &str, media_type: &str) -> bool {
    let essence = content_type.split(';').next().unwrap_or("").trim();
    essence.eq_ignore_ascii_case(media_type)
}

fn error_code(error: CallError) -> ErrorCode {
    match error {
        CallError::Truncated => ErrorCode::TruncatedResponse,
        CallError::InvalidResponse => ErrorCode::InvalidWorkerResponse,
        _ => ErrorCode::WorkerDisconnected,
    }
}
