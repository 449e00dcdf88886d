//! The parser of workers' answers on bytes of any kind, split anywhere.

use super::harness::run;
use proptest::prelude::*;
use sorreldoor::proxy::attempt::Event;
use sorreldoor::proxy::http1::{parse_response_head, BodyDecoder, ReadBuffer, ReadError};
use sorreldoor::proxy::response_class::{classify_response, ExpectedRequest, ResponseClass};
use sorreldoor::proxy::{Dialect, PlainDialect, ResponseMetadata};

const OWN_ID: &str = "own";
const OTHER_ID: &str = "other";
const OWN_BODY: &str = "the body of its own answer\n0\r\n\r\nHTTP/1.1 200 OK\r\n";

/// One thing that a worker may write.
#[derive(Clone, Debug)]
enum Piece {
    Own { chunk: usize, status: u16 },
    Other,
    NoId,
    Refusal { own: bool },
    Interim,
    Garbage(Vec<u8>),
}

fn answer(id: &str, status: u16, chunk: usize) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} Said\r\nx-request-id: {id}\r\nx-stamp: s\r\n");
    if chunk == 0 {
        let length = OWN_BODY.len();
        return format!("{head}Content-Length: {length}\r\n\r\n{OWN_BODY}").into_bytes();
    }
    let mut all = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    for part in OWN_BODY.as_bytes().chunks(chunk) {
        all.extend_from_slice(format!("{:x};e=1\r\n", part.len()).as_bytes());
        all.extend_from_slice(part);
        all.extend_from_slice(b"\r\n");
    }
    all.extend_from_slice(b"0\r\nX-Trailer: t\r\n\r\n");
    all
}

fn bytes(piece: &Piece) -> Vec<u8> {
    match piece {
        Piece::Own { chunk, status } => answer(OWN_ID, *status, *chunk),
        Piece::Other => answer(OTHER_ID, 200, 0),
        Piece::NoId => b"HTTP/1.1 200 OK\r\nx-stamp: s\r\nContent-Length: 2\r\n\r\nno".to_vec(),
        Piece::Refusal { own } => {
            let id = if *own { "x-request-id: own\r\n" } else { "" };
            let rest = "x-not-run: 1\r\nContent-Length: 0\r\n\r\n";
            format!("HTTP/1.1 503 B\r\n{id}{rest}").into_bytes()
        }
        Piece::Interim => b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(),
        Piece::Garbage(bytes) => bytes.clone(),
    }
}

/// Bytes that are no answer; empty lines before a head are none either.
fn garbage() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 1..60)
        .prop_filter("an empty line", |b| !b"\r\n".contains(&b[0]))
}

fn piece() -> impl Strategy<Value = Piece> {
    let status = prop_oneof![Just(200u16), Just(207), Just(404), Just(500), Just(503)];
    prop_oneof![
        4 => (0usize..9, status).prop_map(|(chunk, status)| Piece::Own { chunk, status }),
        2 => Just(Piece::Other),
        1 => Just(Piece::NoId),
        2 => any::<bool>().prop_map(|own| Piece::Refusal { own }),
        1 => Just(Piece::Interim),
        1 => garbage().prop_map(Piece::Garbage),
    ]
}

/// What one exchange makes of the bytes that came.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Read {
    /// An answer of the request itself, and whether nothing stands behind it.
    Whole {
        body: Vec<u8>,
        clean: bool,
    },
    NotRun,
    Misdirected,
    Unusable(Event),
    /// The connection ended before the answer did.
    Cut,
}

const EXPECTED: ExpectedRequest<'static> = ExpectedRequest {
    attempt_id: OWN_ID,
    method: "POST",
};

/// Feeds the bytes in parts cut at `cuts`, and reads one answer as an exchange does.
fn read(all: &[u8], cuts: &[usize]) -> Read {
    let mut cuts: Vec<usize> = cuts.iter().map(|c| c % (all.len() + 1)).collect();
    cuts.extend([0, all.len()]);
    cuts.sort_unstable();
    let mut parts = cuts.windows(2).map(|w| &all[w[0]..w[1]]);
    let mut buf = ReadBuffer::default();
    let mut feed = |buf: &mut ReadBuffer| {
        let part = parts.find(|p| !p.is_empty());
        let fed = part.is_some();
        run(async {
            let mut part = part.unwrap_or_default();
            while !part.is_empty() {
                buf.fill(&mut part).await.unwrap();
            }
        });
        fed
    };
    let head = loop {
        match parse_response_head(&mut buf) {
            Ok(Some(head)) if (100..200).contains(&head.status) => {}
            Ok(Some(head)) => break head,
            Ok(None) if feed(&mut buf) => {}
            Ok(None) => return Read::Cut,
            Err(_) => return Read::Unusable(Event::Malformed),
        }
    };
    let mut metadata = ResponseMetadata::default();
    for (name, value) in head.iter() {
        PlainDialect.read_response_header(head.status, name, value, &mut metadata);
    }
    let framing = match classify_response(&head, &metadata, &EXPECTED) {
        ResponseClass::Own(framing) => framing,
        ResponseClass::NotRun(_) => return Read::NotRun,
        ResponseClass::Misdirected => return Read::Misdirected,
        ResponseClass::Unusable(event) => return Read::Unusable(event),
    };
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    loop {
        match decoder.decode(&mut buf, &mut body) {
            Ok(true) => break,
            Ok(false) if feed(&mut buf) => {}
            Ok(false) => return Read::Cut,
            Err(ReadError::Malformed) => return Read::Unusable(Event::Malformed),
            Err(_) => return Read::Unusable(Event::Closed),
        }
    }
    let clean = buf.is_empty();
    Read::Whole { body, clean }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..Default::default() })]

    #[test]
    fn only_its_own_whole_answer_reaches_a_request(
        pieces in prop::collection::vec(piece(), 0..4),
        cuts in prop::collection::vec(any::<usize>(), 0..6),
        cut_short in prop::option::of((0usize..9, any::<usize>())),
    ) {
        let mut all: Vec<u8> = pieces.iter().flat_map(bytes).collect();
        if let Some((chunk, at)) = cut_short {
            let own = answer(OWN_ID, 200, chunk);
            all.extend_from_slice(&own[..at % own.len()]);
        }
        let got = read(&all, &cuts);
        // interim answers are skipped; what stands first then decides
        let first = pieces.iter().find(|p| !matches!(p, Piece::Interim));
        match (&got, first) {
            (Read::Whole { body, .. }, Some(Piece::Own { .. })) => {
                prop_assert_eq!(body.as_slice(), OWN_BODY.as_bytes());
            }
            (Read::Whole { .. }, other) => prop_assert!(false, "{:?} was taken for its own", other),
            (Read::NotRun, first) => {
                let own = matches!(first, Some(Piece::Refusal { own: true }));
                prop_assert!(own, "a promise of {:?}", first);
            }
            (_, Some(Piece::Own { .. })) => prop_assert!(false, "its own answer is lost: {:?}", got),
            _ => {}
        }
    }

    #[test]
    fn where_bytes_are_split_changes_nothing(
        pieces in prop::collection::vec(piece(), 1..4),
        cuts in prop::collection::vec(any::<usize>(), 1..12),
    ) {
        let all: Vec<u8> = pieces.iter().flat_map(bytes).collect();
        let (whole, split) = (read(&all, &[]), read(&all, &cuts));
        match (&whole, &split) {
            // what stands behind may not have come yet
            (Read::Whole { body: a, .. }, Read::Whole { body: b, .. }) => prop_assert_eq!(a, b),
            _ => prop_assert_eq!(&whole, &split),
        }
    }

    #[test]
    fn a_surplus_byte_is_seen_behind_a_whole_answer(
        chunk in 0usize..9,
        surplus in prop::collection::vec(any::<u8>(), 1..20),
    ) {
        let own = answer(OWN_ID, 200, chunk);
        let alone = read(&own, &[]);
        let body = OWN_BODY.as_bytes().to_vec();
        prop_assert_eq!(alone, Read::Whole { body: body.clone(), clean: true });
        let both = [own, surplus].concat();
        prop_assert_eq!(read(&both, &[]), Read::Whole { body, clean: false });
    }
}
