//! The default [`Dialect`]: header names that begin with `x-` (docs/hosted.md).

use super::dialect::{Dialect, ForwardHeaders, PromptSegment, RequestMetadata, ResponseMetadata};
use crate::balancer::LoadReport;

/// HTTP status 421 (RFC 9110, section 15.5.20).
const MISDIRECTED_REQUEST: u16 = 421;

/// The default dialect, with header names that begin with `x-`.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainDialect;

fn text(value: &[u8]) -> &str {
    std::str::from_utf8(value).map_or("", str::trim)
}

/// Parses a list `ID:TOKENS,...` with hexadecimal ids; skips malformed entries.
fn prompt_segments(value: &str) -> Vec<PromptSegment> {
    value.split(',').filter_map(prompt_segment).collect()
}

fn prompt_segment(text: &str) -> Option<PromptSegment> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptSegment {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}

/// Parses `PROMPT,OUTPUT`: the length of the prompt and the limit on generated
/// tokens; 0 for a number that is missing or malformed.
fn token_counts(value: &str) -> (u32, u32) {
    let mut counts = value.split(',').map(|n| n.trim().parse().unwrap_or(0));
    (counts.next().unwrap_or(0), counts.next().unwrap_or(0))
}

/// Parses `RUNNING,WAITING,SLOTS`.
fn worker_load(value: &str) -> Option<LoadReport> {
    let numbers: Vec<u32> = value
        .split(',')
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    match numbers[..] {
        [running, waiting, slots] => Some(LoadReport {
            running,
            waiting,
            slots,
        }),
        _ => None,
    }
}

impl Dialect for PlainDialect {
    fn read_request_header(
        &self,
        name: &str,
        value: &[u8],
        metadata: &mut RequestMetadata,
    ) -> bool {
        let value = text(value);
        match name.to_ascii_lowercase().as_str() {
            "x-request-id" => metadata.client_attempt_id = value.to_string(),
            "x-model" => metadata.model = value.to_string(),
            "x-prompt-parts" => metadata.prompt_segments = prompt_segments(value),
            "x-tokens" => {
                (metadata.prompt_tokens, metadata.max_output_tokens) = token_counts(value)
            }
            "x-deadline-ms" => {
                metadata.deadline_ms = value.parse().ok();
                return true;
            }
            "last-event-id" => {
                metadata.last_event = value.parse().ok();
                return true;
            }
            "authorization" => {
                return metadata.read_authorization(value.as_bytes());
            }
            "x-worker" | "x-priority" | "x-tenant" => return true,
            _ => {}
        }
        false
    }

    fn write_forward_headers(&self, headers: &ForwardHeaders, out: &mut Vec<u8>) {
        let mut write = |name: &str, value: String| {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value.as_bytes());
            out.extend_from_slice(b"\r\n");
        };
        write("x-worker", headers.worker.to_string());
        write("x-deadline-ms", headers.remaining_ms.to_string());
        if let Some(priority) = headers.priority {
            write("x-priority", priority.to_string());
        }
        if let Some(event) = headers.last_event {
            write("last-event-id", event.to_string());
        }
        if let Some(tenant) = headers.tenant {
            write("x-tenant", tenant.to_string());
        }
    }

    fn read_response_header(
        &self,
        status: u16,
        name: &str,
        value: &[u8],
        metadata: &mut ResponseMetadata,
    ) {
        let value = text(value);
        metadata.misdirected |= status == MISDIRECTED_REQUEST;
        match name.to_ascii_lowercase().as_str() {
            "x-request-id" => metadata.client_attempt_id = Some(value.to_string()),
            "x-not-run" => metadata.not_run = true,
            "x-stamp" => metadata.signed_by_worker = true,
            "x-cold-ms" => metadata.warmup_remaining_ms = value.parse().ok(),
            "x-worker" => metadata.worker = Some(value.to_string()),
            "x-load" => metadata.load = worker_load(value),
            _ => {}
        }
    }
}
