//! Translation between an outside protocol's header names and what they mean
//! to the proxy.

use crate::balancer::LoadReport;
use crate::configuration::tenants::ApiKey;
use crate::invariants::{broken, Invariant};

/// One segment of a prompt, shared with all requests that name the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Id of the segment; equal ids mean equal text.
    pub id: u64,
    /// Length of the segment.
    pub tokens: u32,
}

/// What a request's headers say that decisions depend on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// The client's id of this attempt.
    pub client_attempt_id: String,
    /// How long the client will wait, in milliseconds, from when it sent the
    /// request.
    pub deadline_ms: Option<u64>,
    /// Name of the model asked for; empty: not stated.
    pub model: String,
    /// Tokens of the prompt; 0: not stated.
    pub prompt_tokens: u32,
    /// The most tokens to generate; 0: not stated.
    pub max_output_tokens: u32,
    /// Segments of the prompt in order; the last is the request's own.
    pub prompt_segments: Vec<PromptSegment>,
    /// The client resumes a stream after this event.
    pub last_event: Option<u64>,
    /// The key by which the client identifies its tenant.
    pub api_key: Option<ApiKey>,
}

impl RequestMetadata {
    /// Reads a value of the header `Authorization` (RFC 9110, section 11.6.2)
    /// with the scheme `Bearer` (RFC 6750). Any other value, or a second one,
    /// is no tenant's key. Returns whether the header is withheld from
    /// workers, which it always is.
    pub fn read_authorization(&mut self, value: &[u8]) -> bool {
        let repeated = self.api_key.is_some();
        let value = std::str::from_utf8(value).ok().map(str::trim);
        let (scheme, key) = value.and_then(|v| v.split_once(' ')).unwrap_or_default();
        let valid = scheme.eq_ignore_ascii_case("bearer") && !repeated;
        self.api_key = Some(ApiKey::new(if valid { key.trim() } else { "" }));
        !broken(Invariant::KeyWithheld)
    }
}

/// What the proxy tells a worker beside the client's own headers.
#[derive(Clone, Copy, Debug)]
pub struct ForwardHeaders<'a> {
    /// The intended worker; any other must not run the request.
    pub worker: &'a str,
    /// Milliseconds until the deadline.
    pub remaining_ms: u64,
    /// From 0 (most urgent) to 9; none where the service has no engine.
    pub priority: Option<u8>,
    /// Resume the stream after this event.
    pub last_event: Option<u64>,
    /// Name of the tenant whose key the client sent.
    pub tenant: Option<&'a str>,
}

/// What the headers of a worker's response say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The id of the request that it answers.
    pub client_attempt_id: Option<String>,
    /// The worker promises that the request did not and will not run.
    pub not_run: bool,
    /// Another worker than the intended one responded.
    pub misdirected: bool,
    /// It carries the worker's signature.
    pub signed_by_worker: bool,
    /// The worker's load.
    pub load: Option<LoadReport>,
    /// How much longer the worker warms up, in milliseconds.
    pub warmup_remaining_ms: Option<u64>,
    /// The worker's name, if stated.
    pub worker: Option<String>,
}

/// The header names of a protocol; it names what the proxy decides, and
/// decides nothing itself.
pub trait Dialect: Send + Sync + 'static {
    /// Reads one header of a request; true if it must not be forwarded as it
    /// is, because [`Dialect::write_forward_headers`] replaces it or because it
    /// is for this node alone, as a key is.
    fn read_request_header(&self, name: &str, value: &[u8], metadata: &mut RequestMetadata)
        -> bool;

    /// Appends the header lines for a worker to `out`, each ended by CRLF.
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
