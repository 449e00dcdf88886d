//! Heads and bodies on the wire: kept byte for byte, cut nowhere wrong, and
//! nothing that could be read in two ways is read at all.

use assert_matches::assert_matches;
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use sorreldoor::proxy::http1::*;

/// Both ends of a connection on this machine.
async fn pair() -> (TcpStream, TcpStream) {
    let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let a = TcpStream::connect(l.local_addr().unwrap()).await.unwrap();
    let (b, _) = l.accept().await.unwrap();
    (a, b)
}

/// A buffer that holds these bytes, read from a socket as they are in life.
fn buf(b: &[u8]) -> ReadBuffer {
    task::block_on(async {
        let (mut a, mut z) = pair().await;
        a.write_all(b).await.unwrap();
        drop(a);
        let mut got = ReadBuffer::default();
        while got.fill(&mut z).await.unwrap() > 0 {}
        got
    })
}

fn request(text: &str) -> Result<Head, ReadError> {
    parse_request_head(&mut buf(text.as_bytes()), 1 << 14).map(|h| h.expect("a whole head"))
}

#[test]
fn a_head_is_kept_as_it_came() {
    let h = request("POST /a%2Fb//c?x=%20&y HTTP/1.1\r\nHost: H.example:80\r\nX-Odd:  two  words \r\nx-odd: again\r\n\r\n").unwrap();
    assert_eq!((h.method(), h.target()), ("POST", "/a%2Fb//c?x=%20&y"));
    assert_eq!(h.path(), "/a%2Fb//c");
    let all: Vec<_> = h
        .iter()
        .map(|(n, v)| (n, String::from_utf8_lossy(v).into_owned()))
        .collect();
    assert_eq!(all[1], ("X-Odd", "two  words".to_string()));
    assert_eq!(all[2], ("x-odd", "again".to_string()));
}

#[test]
fn what_could_be_read_two_ways_is_refused() {
    let bad = [
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Content-Length: 4\r\nContent-Length: 5",
        "Content-Length: +4",
        "Content-Length: 4, 4",
        "Content-Length: ",
        "Content-Length: 99999999999999999999",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: identity",
    ];
    for b in bad {
        let h = request(&format!("POST / HTTP/1.1\r\nHost: h\r\n{b}\r\n\r\n")).unwrap();
        assert_eq!(h.request_framing(), Err(ReadError::Malformed), "{b}");
    }
    assert_matches!(
        request("GET / HTTP/1.1\r\nHost : h\r\n\r\n"),
        Err(ReadError::Malformed)
    );
    assert_matches!(
        request("GET /\u{1} HTTP/1.1\r\n\r\n"),
        Err(ReadError::Malformed)
    );
    let twice =
        request("POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\n").unwrap();
    assert_eq!(twice.request_framing(), Ok(Framing::Length(4)));
}

#[test]
fn a_head_over_the_limit_is_told_apart() {
    let long = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(300));
    assert_matches!(
        parse_request_head(&mut buf(long.as_bytes()), 200),
        Err(ReadError::HeadTooLarge)
    );
    let open = &long.as_bytes()[..260];
    assert_matches!(
        parse_request_head(&mut buf(open), 200),
        Err(ReadError::HeadTooLarge)
    );
    assert_matches!(parse_request_head(&mut buf(open), 400), Ok(None));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(200));
    assert_matches!(
        parse_request_head(&mut buf(many.as_bytes()), 1 << 14),
        Err(ReadError::HeadTooLarge)
    );
}

#[test]
fn chunks_are_put_together_wherever_they_are_cut() {
    let wire = b"5;ext=1\r\nhello\r\n1\r\n \r\nA\r\nworld12345\r\n0\r\nX-T: v\r\n\r\nNEXT";
    for cut in 0..wire.len() {
        task::block_on(async {
            let (mut a, mut z) = pair().await;
            let mut b = ReadBuffer::default();
            let mut d = BodyDecoder::new(Framing::Chunked);
            let mut out = Vec::new();
            for part in [&wire[..cut], &wire[cut..]] {
                if part.is_empty() {
                    continue;
                }
                a.write_all(part).await.unwrap();
                let mut n = 0;
                while n < part.len() {
                    n += b.fill(&mut z).await.unwrap();
                }
                d.decode(&mut b, &mut out).unwrap();
            }
            assert!(d.is_complete(), "cut at {cut}");
            assert_eq!(out, b"hello world12345");
            assert_eq!(b.unread(), b"NEXT", "what follows is the next request's");
        });
    }
}

#[test]
fn bad_chunks_are_refused_and_early_ends_are_seen() {
    for bad in [
        "x\r\n",
        "-1\r\n",
        "\r\n",
        "5\nhello",
        "2\r\nabc\r\n",
        "1000000000000000\r\n",
    ] {
        let mut d = BodyDecoder::new(Framing::Chunked);
        let got = d.decode(&mut buf(bad.as_bytes()), &mut Vec::new());
        assert_eq!(got, Err(ReadError::Malformed), "{bad:?}");
    }
    let mut d = BodyDecoder::new(Framing::Chunked);
    assert_eq!(d.decode(&mut buf(b"5\r\nhel"), &mut Vec::new()), Ok(false));
    assert!(!d.is_complete_at_close());
    let mut d = BodyDecoder::new(Framing::Length(9));
    assert_eq!(d.decode(&mut buf(b"12345678"), &mut Vec::new()), Ok(false));
    assert!(!d.is_complete_at_close());
    let mut d = BodyDecoder::new(Framing::Length(0));
    assert_eq!(d.decode(&mut buf(b"x"), &mut Vec::new()), Ok(true));
}

#[test]
fn a_body_over_the_limit_is_refused_before_it_is_read() {
    task::block_on(async {
        let (mut a, mut z) = pair().await;
        let mut b = ReadBuffer::default();
        let got = read_body(&mut z, &mut b, Framing::Length(11), 10).await;
        assert_eq!(got, Err(ReadError::BodyTooLarge));
        a.write_all(b"6\r\nabcdef\r\n6\r\nabcdef\r\n0\r\n\r\n")
            .await
            .unwrap();
        let got = read_body(&mut z, &mut b, Framing::Chunked, 10).await;
        assert_eq!(got, Err(ReadError::BodyTooLarge));
    });
}
