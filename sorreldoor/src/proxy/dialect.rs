//! The seam between what an outside protocol calls things and what they mean.

use crate::balancer::LoadReport;

/// One part of a prompt, shared with other requests that name the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    pub id: u64,
    pub tokens: u32,
}

/// What a request's head says that decisions rest on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// The caller's id of this try.
    pub id: String,
    /// How long the caller will wait, in milliseconds, from when it asked.
    pub deadline_ms: Option<u64>,
    pub model: String,
    /// Tokens of the prompt, and the most put out; 0: not said.
    pub tokens_in: u32,
    pub tokens_out: u32,
    /// Parts of the prompt in order; the last is the request's own.
    pub prompt_segments: Vec<PromptSegment>,
    /// The caller takes a stream up behind this event.
    pub last_event: Option<u64>,
}

/// What is told to a worker beside the caller's own head.
#[derive(Clone, Copy, Debug)]
pub struct ForwardHeaders<'a> {
    /// The worker meant; any other must not run it.
    pub worker: &'a str,
    /// What is left of the caller's time, in milliseconds.
    pub remaining_ms: u64,
    /// 0 first, 9 last; none where the service has no engine.
    pub priority: Option<u8>,
    /// Go on behind this event.
    pub last_event: Option<u64>,
}

/// What a worker's head says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The id of the request that it answers.
    pub id: Option<String>,
    /// The request did not run at this worker and will not.
    pub not_run: bool,
    /// The worker that should have been there is not.
    pub misdirected: bool,
    /// It bears the worker's stamp.
    pub signed_by_worker: bool,
    /// The worker's load.
    pub load: Option<LoadReport>,
    /// How much longer the worker stays cold, in milliseconds.
    pub warmup_remaining_ms: Option<u64>,
    /// The worker's name, where it gives it.
    pub worker: Option<String>,
}

/// Names what the product decides; it decides nothing itself.
pub trait Dialect: Send + Sync + 'static {
    /// Reads one header of a request; true if it must not be passed on as it
    /// stands, because `forward` writes it anew.
    fn read_request_header(&self, name: &str, value: &[u8], metadata: &mut RequestMetadata)
        -> bool;
    /// Writes the header lines that go to a worker, each ended by CRLF.
    fn write_forward_headers(&self, f: &ForwardHeaders, out: &mut Vec<u8>);
    /// Reads one header of a worker's answer.
    fn read_response_header(
        &self,
        status: u16,
        name: &str,
        value: &[u8],
        metadata: &mut ResponseMetadata,
    );
}
