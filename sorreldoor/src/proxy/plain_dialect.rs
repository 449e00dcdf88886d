//! The product's own names for what passes between callers, nodes and workers.

use super::dialect::{Dialect, ForwardHeaders, PromptSegment, RequestMetadata, ResponseMetadata};
use crate::balancer::LoadReport;

/// Headers beginning with `x-`, as docs/api.md lists them.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainDialect;

fn text(v: &[u8]) -> &str {
    std::str::from_utf8(v).map_or("", str::trim)
}

/// `ID:TOKENS`, with the id in hex, joined by commas; what is malformed is left out.
fn prompt_segments(v: &str) -> Vec<PromptSegment> {
    let one = |p: &str| {
        let (id, n) = p.trim().split_once(':')?;
        let id = u64::from_str_radix(id, 16).ok()?;
        n.parse().ok().map(|tokens| PromptSegment { id, tokens })
    };
    v.split(',').filter_map(one).collect()
}

impl Dialect for PlainDialect {
    fn read_request_header(&self, name: &str, value: &[u8], a: &mut RequestMetadata) -> bool {
        let v = text(value);
        match name.to_ascii_lowercase().as_str() {
            "x-request-id" => a.id = v.to_string(),
            "x-model" => a.model = v.to_string(),
            "x-prompt-parts" => a.prompt_segments = prompt_segments(v),
            "x-tokens" => {
                let mut n = v.split(',').map(|n| n.trim().parse().unwrap_or(0));
                a.tokens_in = n.next().unwrap_or(0);
                a.tokens_out = n.next().unwrap_or(0);
            }
            "x-deadline-ms" => {
                a.deadline_ms = v.parse().ok();
                return true;
            }
            "last-event-id" => {
                a.last_event = v.parse().ok();
                return true;
            }
            "x-worker" | "x-priority" => return true,
            _ => {}
        }
        false
    }

    fn write_forward_headers(&self, f: &ForwardHeaders, out: &mut Vec<u8>) {
        let mut put = |k: &str, v: String| {
            out.extend_from_slice(k.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(v.as_bytes());
            out.extend_from_slice(b"\r\n");
        };
        put("x-worker", f.worker.to_string());
        put("x-deadline-ms", f.remaining_ms.to_string());
        if let Some(p) = f.priority {
            put("x-priority", p.to_string());
        }
        if let Some(e) = f.last_event {
            put("last-event-id", e.to_string());
        }
    }

    fn read_response_header(
        &self,
        status: u16,
        name: &str,
        value: &[u8],
        t: &mut ResponseMetadata,
    ) {
        let v = text(value);
        t.misdirected |= status == 421;
        match name.to_ascii_lowercase().as_str() {
            "x-request-id" => t.id = Some(v.to_string()),
            "x-not-run" => t.not_run = true,
            "x-stamp" => t.signed_by_worker = true,
            "x-cold-ms" => t.warmup_remaining_ms = v.parse().ok(),
            "x-worker" => t.worker = Some(v.to_string()),
            "x-load" => {
                let n: Vec<u32> = v.split(',').filter_map(|n| n.trim().parse().ok()).collect();
                t.load = Some(n).filter(|n| n.len() == 3).map(|n| LoadReport {
                    running: n[0],
                    waiting: n[1],
                    slots: n[2],
                });
            }
            _ => {}
        }
    }
}
