//! Workers in trouble send an empty line more after an answer, or bytes that are no answer: the
//! lines of their heads end with LF alone. A client must get a failure or the worker's answer.

use crate::fleet::{Fleet, MACHINES};
use crate::operator::{self, HOST};
use crate::platform::{self, SharedTrouble, Trouble, PAGE};
use crate::record::Record;
use crate::Verdict;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::PoisonError;
use std::thread::sleep;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(20);
const TIMEOUT_MS: u64 = 2500;
/// An answer has ended if nothing follows for this time.
const QUIET: Duration = Duration::from_millis(500);

/// Sends a request on a kept connection, and returns all bytes that follow it.
fn exchange(stream: &mut TcpStream, id: &str, record: &Record) -> Result<Vec<u8>, String> {
    let request = format!(
        "POST /volo102/2f HTTP/1.1\r\nHost: {HOST}\r\nSorreldoor-Attempt-Id: {id}\r\nSorreldoor-Deadline-Ms: {TIMEOUT_MS}\r\nContent-Length: 1\r\n\r\nx"
    );
    record.write(&format!("client: sends {id} on its kept connection"));
    stream
        .write_all(request.as_bytes())
        .map_err(|e| e.to_string())?;
    let mut received = Vec::new();
    let mut part = [0; 4096];
    loop {
        let limit = match received.is_empty() {
            true => Duration::from_millis(TIMEOUT_MS),
            false => QUIET,
        };
        stream
            .set_read_timeout(Some(limit))
            .map_err(|e| e.to_string())?;
        match stream.read(&mut part) {
            Ok(count) if count > 0 => received.extend_from_slice(&part[..count]),
            _ => break,
        }
    }
    let shown = String::from_utf8_lossy(&received).into_owned();
    record.write(&format!("client: {id} gets {shown:?}"));
    Ok(received)
}

/// Why the bytes are not one whole answer that a client may get: a failure, or a success with
/// the worker's body. An empty line ends the head, whether its lines end with CRLF or LF.
fn fault(received: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(received);
    if text.is_empty() {
        return None;
    }
    let crlf = text.find("\r\n\r\n").map(|at| (at, at + 4));
    let lf = text.find("\n\n").map(|at| (at, at + 2));
    let Some((head_end, body_start)) = crlf.into_iter().chain(lf).min() else {
        return Some("bytes that are no answer".into());
    };
    let (head, body) = (&text[..head_end], &text[body_start..]);
    if !head.starts_with("HTTP/1.1 ") {
        return Some(format!("bytes that are no answer: {head:?}"));
    }
    let status: u16 = head
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let length = lines
        .filter(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .find_map(|(_, value)| value.trim().parse::<usize>().ok());
    let body_length = length.unwrap_or(body.len()).min(body.len());
    let (body, rest) = body.split_at(body_length);
    if (200..300).contains(&status) && body != PAGE {
        return Some(format!(
            "a success with the body {body:?} instead of {PAGE:?}"
        ));
    }
    (!rest.is_empty()).then(|| format!("bytes that belong to no answer: {rest:?}"))
}

/// Sends three requests on one connection; the workers are in trouble at the second.
fn three_requests(
    edge: SocketAddr,
    name: &str,
    trouble: Trouble,
    shared: &SharedTrouble,
    record: &Record,
) -> Result<Vec<String>, String> {
    let mut stream = TcpStream::connect(edge).map_err(|e| e.to_string())?;
    let mut faults = Vec::new();
    for (number, trouble) in [Trouble::None, trouble, Trouble::None]
        .into_iter()
        .enumerate()
    {
        *shared.lock().unwrap_or_else(PoisonError::into_inner) = trouble;
        record.write(&format!("trouble of the workers: {trouble:?}"));
        let Ok(received) = exchange(&mut stream, &format!("{name}{number:x}"), record) else {
            // the edge has closed the connection after an answer that says so or a failure
            break;
        };
        faults.extend(fault(&received).map(|fault| format!("{name}{number:x}: {fault}")));
    }
    Ok(faults)
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let shared = SharedTrouble::default();
    let provider = platform::start(record, &shared)?;
    let mut fleet = Fleet::new(provider, record)?;
    fleet.start_all()?;
    if !operator::put_first(&fleet, record, "idem", TIMEOUT_MS, PATIENCE) {
        return Err("the first configuration is not acknowledged".into());
    }
    // longer than contactMs, so that all machines are in touch
    sleep(Duration::from_secs(5));
    fleet.check_running()?;
    let mut faults = Vec::new();
    for machine in 0..MACHINES {
        let edge = fleet.edge_addr(machine);
        for kind in [Trouble::SurplusLine, Trouble::LineFeeds] {
            let name = format!("{:014x}{machine:x}", kind as u8);
            let kind = if trouble { kind } else { Trouble::None };
            faults.extend(three_requests(edge, &name, kind, &shared, record)?);
        }
    }
    match faults.is_empty() {
        true => Ok(Verdict::Held(
            "each answer is a failure or the worker's whole body".into(),
        )),
        false => Ok(Verdict::Broken(faults.join("; "))),
    }
}
