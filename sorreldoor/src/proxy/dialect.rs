//! [`Dialect`]: the header names of a protocol, and the metadata that its headers
//! carry.

use crate::balancer::LoadReport;
use crate::configuration::tenants::ApiKey;
use crate::invariants::{is_disabled, Invariant};

/// One segment of a prompt. Requests that share a segment share its cached prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Id of the segment; equal ids denote equal text.
    pub id: u64,
    /// Length of the segment.
    pub tokens: u32,
}

/// The request headers on which decisions depend, decoded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// The client's id of its own attempt; a retry by the client carries another.
    pub client_attempt_id: String,
    /// Milliseconds from sending the request until the client gives up.
    pub deadline_ms: Option<u64>,
    /// Name of the requested model; empty if not stated.
    pub model: String,
    /// Length of the prompt in tokens; 0 if not stated.
    pub prompt_tokens: u32,
    /// Limit on the tokens to generate; 0 if not stated.
    pub max_output_tokens: u32,
    /// Segments of the prompt in order; the last is the request's own.
    pub prompt_segments: Vec<PromptSegment>,
    /// Id of the event after which the client resumes a stream.
    pub last_event: Option<u64>,
    /// The key by which the client identifies its tenant.
    pub api_key: Option<ApiKey>,
}

impl RequestMetadata {
    /// Reads a value of the header `Authorization` (RFC 9110, section 11.6.2)
    /// with the scheme `Bearer` (RFC 6750). Any other value, or a second one,
    /// sets an empty key, which no tenant has. Returns whether the header is
    /// withheld from workers, which it always is.
    pub fn read_authorization(&mut self, value: &[u8]) -> bool {
        let repeated = self.api_key.is_some();
        let value = std::str::from_utf8(value).ok().map(str::trim);
        let (scheme, key) = value.and_then(|v| v.split_once(' ')).unwrap_or_default();
        let valid = scheme.eq_ignore_ascii_case("bearer") && !repeated;
        self.api_key = Some(ApiKey::new(if valid { key.trim() } else { "" }));
        !is_disabled(Invariant::KeyWithheld)
    }
}

/// The values of the headers that the proxy adds to a request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardHeaders<'a> {
    /// Name of the chosen worker; any other must not run the request.
    pub worker: &'a str,
    /// Milliseconds until the deadline.
    pub remaining_ms: u64,
    /// From 0 (most urgent) to 9; `None` if the service has no engine.
    pub priority: Option<u8>,
    /// Id of the event after which the worker resumes the stream.
    pub last_event: Option<u64>,
    /// Name of the tenant whose key the client sent.
    pub tenant: Option<&'a str>,
}

/// The headers of a worker's response, decoded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The client's id of the attempt to which this is the response.
    pub client_attempt_id: Option<String>,
    /// The worker states that the request did not and will not run.
    pub not_run: bool,
    /// Another worker than the chosen one responded.
    pub misdirected: bool,
    /// Whether the response carries the worker's signature.
    pub signed_by_worker: bool,
    /// The worker's load.
    pub load: Option<LoadReport>,
    /// Remaining warm-up time of the worker, in milliseconds.
    pub warmup_remaining_ms: Option<u64>,
    /// The worker's name, if stated.
    pub worker: Option<String>,
}

/// The header names of a protocol. It only encodes and decodes headers, and takes
/// no decisions.
pub trait Dialect: Send + Sync + 'static {
    /// Reads one header of a request. Returns true if the header must not be
    /// forwarded, because [`Dialect::write_forward_headers`] replaces it or because
    /// it is meant for the proxy alone, like an API key.
    fn read_request_header(&self, name: &str, value: &[u8], metadata: &mut RequestMetadata)
        -> bool;

    /// Appends the headers for a worker to `out`, each line with its CRLF.
    fn write_forward_headers(&self, headers: &ForwardHeaders, out: &mut Vec<u8>);

    /// Reads one header of a worker's response.
    fn read_response_header(
        &self,
        status: u16,
        name: &str,
        value: &[u8],
        metadata: &mut ResponseMetadata,
    );
}
