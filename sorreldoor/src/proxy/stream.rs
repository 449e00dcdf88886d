//! Streams of events: passed on as they come, taken up at another worker
//! where the route allows, and never made to look finished when they are not.

use super::answer::stream_head;
use super::body::Decoder;
use super::carry::{give_back, Sending, Sent, LOOK};
use super::client::Client;
use super::dialect::Dialect;
use super::http1::{Framing, Head};
use super::listen::{listen, Woke};
use super::pool::Line;
use super::table::Heard;
use crate::consensus::Millis;
use crate::seam::Clock;

/// Silence in the middle of a stream is not taken for its end before this.
const LEAST_GAP: Millis = 400;

/// How far a caller's stream has come, over all workers that served it.
#[derive(Debug, Default)]
pub struct Flow {
    pub head_sent: bool,
    /// The last event that went to the caller, or that it said it has.
    pub last: Option<u64>,
    /// A worker's failure, kept in case no other worker does better.
    pub failed: Option<Vec<u8>>,
}

impl Flow {
    pub fn new(last: Option<u64>) -> Flow {
        Flow {
            last,
            ..Flow::default()
        }
    }
}

/// The length of the first whole event, with its empty line.
fn event(b: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(i) = b[at..].iter().position(|c| *c == b'\n') {
        let end = at + i + 1;
        let line = &b[at..end - 1];
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            return Some(end);
        }
        at = end;
    }
    None
}

fn id_of(ev: &[u8]) -> Option<u64> {
    ev.split(|b| *b == b'\n')
        .filter_map(|l| l.strip_prefix(b"id:"))
        .find_map(|v| std::str::from_utf8(v.trim_ascii()).ok()?.parse().ok())
}

/// Whole events at the front of `got`, less those the caller has.
fn pass(got: &mut Vec<u8>, last: &mut Option<u64>, all: bool) -> Vec<u8> {
    let mut out = Vec::new();
    let mut at = 0;
    while let Some(n) = event(&got[at..]) {
        let ev = &got[at..at + n];
        let id = id_of(ev);
        // a worker that goes on from an older event must not repeat one
        let new = id.is_none_or(|i| last.is_none_or(|l| i > l));
        if new {
            out.extend_from_slice(ev);
            *last = id.or(*last);
        }
        at += n;
    }
    got.drain(..at);
    if all {
        out.append(got);
    }
    out
}

fn chunk(c: &Client, b: &[u8], out: &mut Vec<u8>) {
    if c.old {
        out.extend_from_slice(b);
    } else if !b.is_empty() {
        out.extend_from_slice(format!("{:x}\r\n", b.len()).as_bytes());
        out.extend_from_slice(b);
        out.extend_from_slice(b"\r\n");
    }
}

pub async fn relay<D: Dialect, C: Clock>(
    s: &Sending<'_, D, C>,
    c: &mut Client,
    flow: &mut Flow,
    mut line: Line,
    head: Head,
    framing: Framing,
) -> Sent {
    let mut d = Decoder::new(framing);
    let mut got = Vec::new();
    let mut first = true;
    // a pause shorter than what makes it late gives no reason to move
    let gap = Some(s.route.gap_ms).filter(|g| *g > 0 && s.route.resume);
    let gap = gap.map_or(Millis::MAX / 4, |g| g.max(LEAST_GAP));
    let mut heard = s.now();
    let mut until = heard.saturating_add(gap);
    loop {
        let whole = match d.run(&mut line.buf, &mut got) {
            Ok(w) => w,
            Err(_) => return broke(s, line, Heard::Broke),
        };
        let mut out = Vec::new();
        let evs = pass(&mut got, &mut flow.last, whole);
        if !evs.is_empty() || whole {
            if !flow.head_sent {
                out = stream_head(c, &head);
                flow.head_sent = true;
            }
            chunk(c, &evs, &mut out);
            if whole && !c.old {
                out.extend_from_slice(b"0\r\n\r\n");
            }
            if !c.write(&out).await {
                return broke(s, line, Heard::Left);
            }
            if std::mem::take(&mut first) {
                s.heard(Heard::First);
            }
            heard = s.now();
            until = heard.saturating_add(gap);
        }
        if whole {
            give_back(s, line, &head, &d);
            s.heard(Heard::Done(head.status));
            return Sent::Answered(!c.close);
        }
        let now = s.now();
        if now >= s.deadline {
            return broke(s, line, Heard::Left);
        }
        if now >= until {
            // a worker that speaks to others is slow, but not for twice as long
            let slow = now >= heard.saturating_add(2 * gap);
            if s.may_move(if slow { 0 } else { gap }) {
                return broke(s, line, Heard::Broke);
            }
            until = now + LOOK;
        }
        match listen(&mut line, None, until.min(s.deadline) - now).await {
            Woke::Read => s.pulse(),
            Woke::Late => {}
            Woke::Gone => return broke(s, line, Heard::Left),
            Woke::Broke if d.ended() => {
                // only the worker's end tells the end of such a body, and the
                // caller gets it the same way
                c.close = true;
                let mut out = Vec::new();
                if !flow.head_sent {
                    out = stream_head(c, &head);
                }
                let evs = pass(&mut got, &mut flow.last, true);
                chunk(c, &evs, &mut out);
                if !c.old {
                    out.extend_from_slice(b"0\r\n\r\n");
                }
                let _ = c.write(&out).await;
                s.drop_line(line);
                s.heard(Heard::Done(head.status));
                return Sent::Answered(false);
            }
            Woke::Broke => return broke(s, line, Heard::Broke),
        }
    }
}

/// The stream ends here at this worker; whether it goes on is the table's to say.
fn broke<D: Dialect, C: Clock>(s: &Sending<'_, D, C>, line: Line, h: Heard) -> Sent {
    s.drop_line(line);
    let left = h == Heard::Left;
    s.heard(h);
    if left {
        Sent::Answered(false)
    } else {
        Sent::Again
    }
}
