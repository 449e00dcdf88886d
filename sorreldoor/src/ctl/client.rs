//! Calls to the nodes, and reports of those that failed.

use super::{show, Failure, REFUSED, UNKNOWN, UNREACHED};
use crate::http::{self, Call, CallError, CompleteResponse};
use crate::json::{self, Value};
use async_std::task;
use http_types::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// How long one call may take.
const TIMEOUT: Duration = Duration::from_secs(15);
/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// The status of an answer that leaves the outcome open.
const GATEWAY_TIMEOUT: u16 = 504;

/// A request to any node.
pub(super) struct Request {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
    /// The id under which the outcome of a change can be asked for.
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

/// A successful answer.
pub(super) struct Answer {
    text: Vec<u8>,
    /// Its text parsed; null if it is no JSON.
    pub(super) body: Value,
}

/// A client of the nodes at some addresses.
pub(super) struct Client {
    nodes: Vec<SocketAddr>,
    json: bool,
}

impl Client {
    pub(super) fn new(nodes: Vec<SocketAddr>, json: bool) -> Client {
        Client { nodes, json }
    }

    /// Whether answers are printed as JSON.
    pub(super) fn json(&self) -> bool {
        self.json
    }

    /// Sends a request; reports a failure.
    pub(super) fn fetch(&self, request: &Request) -> Result<Answer, Failure> {
        let called = self.call(request);
        let called =
            called.map_err(|error| self.report_unreached(error, request.proposal_id.as_deref()))?;
        let body = json::parse(&called.body, usize::MAX).unwrap_or_default();
        if called.status != 200 {
            return Err(self.report_rejection(&called, &body));
        }
        Ok(Answer {
            text: called.body,
            body,
        })
    }

    /// The parsed answer of any status; reports that no node answered.
    pub(super) fn fetch_any(&self, request: &Request) -> Result<Value, Failure> {
        let called = self.call(request);
        let called =
            called.map_err(|error| self.report_unreached(error, request.proposal_id.as_deref()))?;
        Ok(json::parse(&called.body, usize::MAX).unwrap_or_default())
    }

    /// Tries the nodes in order until one is reached.
    pub(super) fn call(&self, request: &Request) -> Result<CompleteResponse, CallError> {
        for node in &self.nodes {
            let call = Call {
                method: request.method,
                path: request.path.clone(),
                headers: Vec::new(),
                body: request.body.clone(),
            };
            match task::block_on(http::call(*node, call, MAX_ANSWER_BYTES, TIMEOUT)) {
                // only what was surely not sent may simply go to the next
                Err(CallError::NotSent) => {}
                result => return result,
            }
        }
        Err(CallError::NotSent)
    }

    /// Prints an answer as it came, or formatted.
    pub(super) fn print(&self, answer: &Answer, format: impl FnOnce(&Value) -> String) {
        if self.json {
            println!("{}", String::from_utf8_lossy(&answer.text));
        } else {
            print!("{}", format(&answer.body));
        }
    }

    fn report_unreached(&self, error: CallError, proposal_id: Option<&str>) -> Failure {
        let nodes = &self.nodes;
        if error == CallError::NotSent {
            eprintln!("ctl: no node was reached at {nodes:?}; nothing was sent");
            return UNREACHED;
        }
        let Some(id) = proposal_id else {
            eprintln!("ctl: the node broke off ({error:?})");
            return UNREACHED;
        };
        eprintln!("ctl: outcome not known ({error:?}); ask with: ctl ask {id}");
        UNKNOWN
    }

    fn report_rejection(&self, called: &CompleteResponse, body: &Value) -> Failure {
        if self.json {
            println!("{}", String::from_utf8_lossy(&called.body));
        } else {
            eprint!("{}", show::refusal(body));
        }
        if called.status == GATEWAY_TIMEOUT {
            UNKNOWN
        } else {
            REFUSED
        }
    }
}
