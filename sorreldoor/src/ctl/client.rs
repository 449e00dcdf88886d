//! HTTP calls to the nodes, and messages about failed ones.

use super::{show, ExitCode, EXIT_OUTCOME_UNKNOWN, EXIT_REJECTED, EXIT_UNREACHABLE};
use crate::http::{self, Call, CallError, CompleteResponse};
use crate::json::{self, Value};
use async_std::task;
use http_types::Method;
use std::net::SocketAddr;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Longer responses are treated as failed calls.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// HTTP status of a response that leaves the outcome of a change unknown.
const GATEWAY_TIMEOUT: u16 = 504;

/// An HTTP request to a node.
pub(super) struct Request {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
    /// The id by which the outcome of a change can be queried; `None` for reads.
    pub(super) proposal_id: Option<String>,
}

impl Request {
    /// A request that changes nothing.
    pub(super) fn get(path: &str) -> Request {
        Request {
            method: Method::Get,
            path: path.to_string(),
            body: Vec::new(),
            proposal_id: None,
        }
    }

    /// A request for a change.
    pub(super) fn change(method: Method, path: String, body: Vec<u8>, id: String) -> Request {
        Request {
            method,
            path,
            body,
            proposal_id: Some(id),
        }
    }
}

/// A response with status 200.
pub(super) struct Success {
    text: Vec<u8>,
    /// `text` as JSON; null if it is not valid JSON.
    pub(super) body: Value,
}

/// Sends requests to the first reachable of some nodes and prints responses.
pub(super) struct Client {
    nodes: Vec<SocketAddr>,
    json: bool,
}

impl Client {
    pub(super) fn new(nodes: Vec<SocketAddr>, json: bool) -> Client {
        Client { nodes, json }
    }

    /// Whether responses are printed as JSON.
    pub(super) fn json(&self) -> bool {
        self.json
    }

    /// Sends a request. A failed call and any status other than 200 are
    /// reported on stderr and returned as an exit code.
    pub(super) fn fetch(&self, request: &Request) -> Result<Success, ExitCode> {
        let called = self.call(request);
        let called = called
            .map_err(|error| self.report_failed_call(error, request.proposal_id.as_deref()))?;
        let body = json::parse(&called.body, usize::MAX).unwrap_or_default();
        if called.status != 200 {
            return Err(self.report_rejection(&called, &body));
        }
        Ok(Success {
            text: called.body,
            body,
        })
    }

    /// Sends a request and returns the response body as JSON, whatever its
    /// status. A failed call is reported on stderr.
    pub(super) fn fetch_any(&self, request: &Request) -> Result<Value, ExitCode> {
        let called = self.call(request);
        let called = called
            .map_err(|error| self.report_failed_call(error, request.proposal_id.as_deref()))?;
        Ok(json::parse(&called.body, usize::MAX).unwrap_or_default())
    }

    /// Sends a request to the first node that accepts a connection.
    pub(super) fn call(&self, request: &Request) -> Result<CompleteResponse, CallError> {
        for node in &self.nodes {
            let call = Call {
                method: request.method,
                path: request.path.clone(),
                headers: Vec::new(),
                body: request.body.clone(),
            };
            match task::block_on(http::call(*node, call, MAX_RESPONSE_BYTES, CALL_TIMEOUT)) {
                // a request that may have been sent could run twice on another node
                Err(CallError::NotSent) => {}
                result => return result,
            }
        }
        Err(CallError::NotSent)
    }

    /// Prints a response as JSON or formatted, as `--json` says.
    pub(super) fn print(&self, response: &Success, format: impl FnOnce(&Value) -> String) {
        if self.json {
            println!("{}", String::from_utf8_lossy(&response.text));
        } else {
            print!("{}", format(&response.body));
        }
    }

    fn report_failed_call(&self, error: CallError, proposal_id: Option<&str>) -> ExitCode {
        let nodes = &self.nodes;
        if error == CallError::NotSent {
            eprintln!("ctl: cannot connect to any node of {nodes:?}; nothing was sent");
            return EXIT_UNREACHABLE;
        }
        let Some(id) = proposal_id else {
            eprintln!("ctl: no complete response from the node ({error:?})");
            return EXIT_UNREACHABLE;
        };
        eprintln!(
            "ctl: the outcome of the change is unknown ({error:?}); query it with: ctl ask {id}"
        );
        EXIT_OUTCOME_UNKNOWN
    }

    fn report_rejection(&self, called: &CompleteResponse, body: &Value) -> ExitCode {
        if self.json {
            println!("{}", String::from_utf8_lossy(&called.body));
        } else {
            eprint!("{}", show::rejection(body));
        }
        if called.status == GATEWAY_TIMEOUT {
            EXIT_OUTCOME_UNKNOWN
        } else {
            EXIT_REJECTED
        }
    }
}
