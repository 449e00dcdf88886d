//! Property tests of the worker response parser: arbitrary bytes, split anywhere.

use super::harness::block_on_test;
use proptest::prelude::*;
use sorreldoor::proxy::http1::{parse_response_head, BodyDecoder, ReadBuffer, ReadError};
use sorreldoor::proxy::request_state::RequestEvent;
use sorreldoor::proxy::response_class::{classify_response, ExpectedRequest, ResponseClass};
use sorreldoor::proxy::{Dialect, PlainDialect, ResponseMetadata};

const OWN_ID: &str = "own";
const OTHER_ID: &str = "other";
const OWN_BODY: &str = "the body of its own answer\n0\r\n\r\nHTTP/1.1 200 OK\r\n";

/// One piece of output that a worker may write to the connection.
#[derive(Clone, Debug)]
enum WorkerOutput {
    OwnResponse {
        chunk: usize,
        status: u16,
    },
    ResponseToOther,
    MissingRequestId,
    Rejection {
        own: bool,
    },
    InterimResponse,
    /// An empty line, which the parser skips before a head.
    EmptyLine(&'static [u8]),
    Garbage(Vec<u8>),
}

fn response(id: &str, status: u16, chunk: usize) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} Said\r\nx-request-id: {id}\r\nx-stamp: s\r\n");
    if chunk == 0 {
        let length = OWN_BODY.len();
        return format!("{head}Content-Length: {length}\r\n\r\n{OWN_BODY}").into_bytes();
    }
    let mut stream = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    for part in OWN_BODY.as_bytes().chunks(chunk) {
        stream.extend_from_slice(format!("{:x};e=1\r\n", part.len()).as_bytes());
        stream.extend_from_slice(part);
        stream.extend_from_slice(b"\r\n");
    }
    stream.extend_from_slice(b"0\r\nX-Trailer: t\r\n\r\n");
    stream
}

fn encode(output: &WorkerOutput) -> Vec<u8> {
    match output {
        WorkerOutput::OwnResponse { chunk, status } => response(OWN_ID, *status, *chunk),
        WorkerOutput::ResponseToOther => response(OTHER_ID, 200, 0),
        WorkerOutput::MissingRequestId => {
            b"HTTP/1.1 200 OK\r\nx-stamp: s\r\nContent-Length: 2\r\n\r\nno".to_vec()
        }
        WorkerOutput::Rejection { own } => {
            let id = if *own { "x-request-id: own\r\n" } else { "" };
            let rest = "x-not-run: 1\r\nContent-Length: 0\r\n\r\n";
            format!("HTTP/1.1 503 B\r\n{id}{rest}").into_bytes()
        }
        WorkerOutput::InterimResponse => b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(),
        WorkerOutput::EmptyLine(bytes) => bytes.to_vec(),
        WorkerOutput::Garbage(bytes) => bytes.clone(),
    }
}

/// Bytes that are no response and start with no empty line, which is an output of its
/// own ([`WorkerOutput::EmptyLine`]).
fn garbage() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 1..60)
        .prop_filter("an empty line", |b| !b"\r\n".contains(&b[0]))
}

fn worker_output() -> impl Strategy<Value = WorkerOutput> {
    let status = prop_oneof![Just(200u16), Just(207), Just(404), Just(500), Just(503)];
    prop_oneof![
        4 => (0usize..9, status).prop_map(|(chunk, status)| WorkerOutput::OwnResponse { chunk, status }),
        2 => Just(WorkerOutput::ResponseToOther),
        1 => Just(WorkerOutput::MissingRequestId),
        2 => any::<bool>().prop_map(|own| WorkerOutput::Rejection { own }),
        1 => Just(WorkerOutput::InterimResponse),
        1 => prop_oneof![Just(&b"\r\n"[..]), Just(&b"\n"[..])].prop_map(WorkerOutput::EmptyLine),
        1 => garbage().prop_map(WorkerOutput::Garbage),
    ]
}

/// The result of reading one response from the received bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ParseOutcome {
    /// A response to the request itself; `nothing_buffered` is true if no
    /// surplus bytes follow it.
    Complete {
        body: Vec<u8>,
        nothing_buffered: bool,
    },
    NotRun,
    Misdirected,
    Unusable(RequestEvent),
    /// The connection ended before the response did.
    Truncated,
}

const EXPECTED: ExpectedRequest<'static> = ExpectedRequest {
    client_attempt_id: OWN_ID,
    method: "POST",
};

/// Feeds the bytes in parts split at `cuts`, and reads one response the way an
/// exchange does.
fn parse_response(stream: &[u8], cuts: &[usize]) -> ParseOutcome {
    let mut cuts: Vec<usize> = cuts.iter().map(|c| c % (stream.len() + 1)).collect();
    cuts.extend([0, stream.len()]);
    cuts.sort_unstable();
    let mut parts = cuts.windows(2).map(|w| &stream[w[0]..w[1]]);
    let mut buffer = ReadBuffer::default();
    let mut feed = |buffer: &mut ReadBuffer| {
        let part = parts.find(|p| !p.is_empty());
        let has_part = part.is_some();
        block_on_test(async {
            let mut part = part.unwrap_or_default();
            while !part.is_empty() {
                buffer.fill(&mut part).await.unwrap();
            }
        });
        has_part
    };
    let head = loop {
        match parse_response_head(&mut buffer) {
            Ok(Some(head)) if (100..200).contains(&head.status) => {}
            Ok(Some(head)) => break head,
            Ok(None) if feed(&mut buffer) => {}
            Ok(None) => return ParseOutcome::Truncated,
            Err(_) => return ParseOutcome::Unusable(RequestEvent::Malformed),
        }
    };
    let mut metadata = ResponseMetadata::default();
    for (name, value) in head.iter() {
        PlainDialect.read_response_header(head.status, name, value, &mut metadata);
    }
    let framing = match classify_response(&head, &metadata, &EXPECTED) {
        ResponseClass::Own(framing) => framing,
        ResponseClass::NotRun(_) => return ParseOutcome::NotRun,
        ResponseClass::Misdirected => return ParseOutcome::Misdirected,
        ResponseClass::Unusable(event) => return ParseOutcome::Unusable(event),
    };
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    loop {
        match decoder.decode(&mut buffer, &mut body) {
            Ok(true) => break,
            Ok(false) if feed(&mut buffer) => {}
            Ok(false) => return ParseOutcome::Truncated,
            Err(ReadError::Malformed) => return ParseOutcome::Unusable(RequestEvent::Malformed),
            Err(_) => return ParseOutcome::Unusable(RequestEvent::Closed),
        }
    }
    let nothing_buffered = buffer.is_empty();
    ParseOutcome::Complete {
        body,
        nothing_buffered,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..Default::default() })]

    #[test]
    fn only_the_requests_own_complete_response_is_accepted(
        outputs in prop::collection::vec(worker_output(), 0..4),
        cuts in prop::collection::vec(any::<usize>(), 0..6),
        truncated in prop::option::of((0usize..9, any::<usize>())),
    ) {
        let mut stream: Vec<u8> = outputs.iter().flat_map(encode).collect();
        if let Some((chunk, at)) = truncated {
            let own = response(OWN_ID, 200, chunk);
            stream.extend_from_slice(&own[..at % own.len()]);
        }
        let got = parse_response(&stream, &cuts);
        // the first output that is neither an interim response nor an empty line decides
        let first_final = outputs.iter()
            .find(|p| !matches!(p, WorkerOutput::InterimResponse | WorkerOutput::EmptyLine(_)));
        match (&got, first_final) {
            (ParseOutcome::Complete { body, .. }, Some(WorkerOutput::OwnResponse { .. })) => {
                prop_assert_eq!(body.as_slice(), OWN_BODY.as_bytes());
            }
            (ParseOutcome::Complete { .. }, other) => prop_assert!(false, "{:?} was accepted as the request's own response", other),
            (ParseOutcome::NotRun, first_final) => {
                let own = matches!(first_final, Some(WorkerOutput::Rejection { own: true }));
                prop_assert!(own, "{:?} was accepted as a rejection without a run", first_final);
            }
            (_, Some(WorkerOutput::OwnResponse { .. })) => prop_assert!(false, "the request's own response was not accepted: {:?}", got),
            _ => {}
        }
    }

    #[test]
    fn split_of_the_received_bytes_does_not_change_the_outcome(
        outputs in prop::collection::vec(worker_output(), 1..4),
        cuts in prop::collection::vec(any::<usize>(), 1..12),
    ) {
        let stream: Vec<u8> = outputs.iter().flat_map(encode).collect();
        let (unsplit, split) = (parse_response(&stream, &[]), parse_response(&stream, &cuts));
        match (&unsplit, &split) {
            // surplus bytes may not have been read yet
            (ParseOutcome::Complete { body: a, .. }, ParseOutcome::Complete { body: b, .. }) => prop_assert_eq!(a, b),
            _ => prop_assert_eq!(&unsplit, &split),
        }
    }

    #[test]
    fn surplus_bytes_after_a_complete_response_are_detected(
        chunk in 0usize..9,
        surplus in prop::collection::vec(any::<u8>(), 1..20),
    ) {
        let own = response(OWN_ID, 200, chunk);
        let alone = parse_response(&own, &[]);
        let body = OWN_BODY.as_bytes().to_vec();
        prop_assert_eq!(alone, ParseOutcome::Complete { body: body.clone(), nothing_buffered: true });
        let both = [own, surplus].concat();
        prop_assert_eq!(parse_response(&both, &[]), ParseOutcome::Complete { body, nothing_buffered: false });
    }
}
