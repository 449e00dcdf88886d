//! HTTP/1.1 heads and bodies: preserved byte for byte, decoded at any split;
//! ambiguous framing is rejected (RFC 9112, section 6.3).

use assert_matches::assert_matches;
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use sorreldoor::proxy::http1::*;

/// Both ends of a loopback connection.
async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (server, _) = listener.accept().await.unwrap();
    (client, server)
}

/// A buffer that was filled from a socket with these bytes.
fn buffer_of(bytes: &[u8]) -> ReadBuffer {
    task::block_on(async {
        let (mut client, mut server) = connected_pair().await;
        client.write_all(bytes).await.unwrap();
        drop(client);
        let mut result = ReadBuffer::default();
        while result.fill(&mut server).await.unwrap() > 0 {}
        result
    })
}

fn request(text: &str) -> Result<Head, ReadError> {
    parse_request_head(&mut buffer_of(text.as_bytes()), 1 << 14)
        .map(|head| head.expect("a complete head"))
}

#[test]
fn a_head_is_preserved_byte_for_byte() {
    let head = request("POST /a%2Fb//c?x=%20&y HTTP/1.1\r\nHost: H.example:80\r\nX-Odd:  two  words \r\nx-odd: again\r\n\r\n").unwrap();
    assert_eq!(
        (head.method(), head.target()),
        ("POST", "/a%2Fb//c?x=%20&y")
    );
    assert_eq!(head.path(), "/a%2Fb//c");
    let headers: Vec<_> = head
        .iter()
        .map(|(name, value)| (name, String::from_utf8_lossy(value).into_owned()))
        .collect();
    assert_eq!(headers[1], ("X-Odd", "two  words".to_string()));
    assert_eq!(headers[2], ("x-odd", "again".to_string()));
}

/// Guards against a lenient parser that loses parts of a response head which it accepts.
#[test]
fn a_response_head_with_lenient_line_ends_is_parsed_into_the_same_parts() {
    let strict = "HTTP/1.1 207 All  fine\r\nX-Odd: two  words\r\nContent-Length: 0\r\n\r\n";
    let surplus_line = format!("\r\n{strict}");
    let lf_only = strict.replace("\r\n", "\n");
    for bytes in [strict, &surplus_line, &lf_only] {
        let mut buffer = buffer_of(bytes.as_bytes());
        let head = parse_response_head(&mut buffer).unwrap().unwrap();
        assert_eq!(
            (head.status, head.reason()),
            (207, "All  fine"),
            "{bytes:?}"
        );
        assert_eq!(head.get("x-odd"), Some("two  words"), "{bytes:?}");
        assert_eq!(head.response_framing("POST"), Ok(Framing::Length(0)));
        assert!(buffer.is_empty(), "{bytes:?}");
    }
}

#[test]
fn ambiguous_framing_is_rejected() {
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
    for headers in bad {
        let head = request(&format!("POST / HTTP/1.1\r\nHost: h\r\n{headers}\r\n\r\n")).unwrap();
        assert_eq!(
            head.request_framing(),
            Err(ReadError::Malformed),
            "{headers}"
        );
    }
    assert_matches!(
        request("GET / HTTP/1.1\r\nHost : h\r\n\r\n"),
        Err(ReadError::Malformed)
    );
    assert_matches!(
        request("GET /\u{1} HTTP/1.1\r\n\r\n"),
        Err(ReadError::Malformed)
    );
    let repeated_length =
        request("POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\n").unwrap();
    assert_eq!(repeated_length.request_framing(), Ok(Framing::Length(4)));
}

#[test]
fn an_oversized_head_is_distinguished_from_an_incomplete_one() {
    let long = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(300));
    assert_matches!(
        parse_request_head(&mut buffer_of(long.as_bytes()), 200),
        Err(ReadError::HeadTooLarge)
    );
    let incomplete = &long.as_bytes()[..260];
    assert_matches!(
        parse_request_head(&mut buffer_of(incomplete), 200),
        Err(ReadError::HeadTooLarge)
    );
    assert_matches!(
        parse_request_head(&mut buffer_of(incomplete), 400),
        Ok(None)
    );
    let many_headers = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(200));
    assert_matches!(
        parse_request_head(&mut buffer_of(many_headers.as_bytes()), 1 << 14),
        Err(ReadError::HeadTooLarge)
    );
}

#[test]
fn a_chunked_body_is_decoded_at_any_split() {
    let wire = b"5;ext=1\r\nhello\r\n1\r\n \r\nA\r\nworld12345\r\n0\r\nX-T: v\r\n\r\nNEXT";
    for split_at in 0..wire.len() {
        task::block_on(async {
            let (mut client, mut server) = connected_pair().await;
            let mut buffer = ReadBuffer::default();
            let mut decoder = BodyDecoder::new(Framing::Chunked);
            let mut body = Vec::new();
            for chunk in [&wire[..split_at], &wire[split_at..]] {
                if chunk.is_empty() {
                    continue;
                }
                client.write_all(chunk).await.unwrap();
                let mut received = 0;
                while received < chunk.len() {
                    received += buffer.fill(&mut server).await.unwrap();
                }
                decoder.decode(&mut buffer, &mut body).unwrap();
            }
            assert!(decoder.is_complete(), "split at {split_at}");
            assert_eq!(body, b"hello world12345");
            assert_eq!(
                buffer.unread(),
                b"NEXT",
                "bytes after the body stay in the buffer"
            );
        });
    }
}

#[test]
fn malformed_chunks_and_truncated_bodies_are_detected() {
    for bad in [
        "x\r\n",
        "-1\r\n",
        "\r\n",
        "5\nhello",
        "2\r\nabc\r\n",
        "1000000000000000\r\n",
    ] {
        let mut decoder = BodyDecoder::new(Framing::Chunked);
        let result = decoder.decode(&mut buffer_of(bad.as_bytes()), &mut Vec::new());
        assert_eq!(result, Err(ReadError::Malformed), "{bad:?}");
    }
    let mut decoder = BodyDecoder::new(Framing::Chunked);
    assert_eq!(
        decoder.decode(&mut buffer_of(b"5\r\nhel"), &mut Vec::new()),
        Ok(false)
    );
    assert!(!decoder.is_complete_at_close());
    let mut decoder = BodyDecoder::new(Framing::Length(9));
    assert_eq!(
        decoder.decode(&mut buffer_of(b"12345678"), &mut Vec::new()),
        Ok(false)
    );
    assert!(!decoder.is_complete_at_close());
    let mut decoder = BodyDecoder::new(Framing::Length(0));
    assert_eq!(
        decoder.decode(&mut buffer_of(b"x"), &mut Vec::new()),
        Ok(true)
    );
}

#[test]
fn an_oversized_body_is_rejected_before_it_is_read() {
    task::block_on(async {
        let (mut client, mut server) = connected_pair().await;
        let mut buffer = ReadBuffer::default();
        let result = read_body(&mut server, &mut buffer, Framing::Length(11), 10).await;
        assert_eq!(result, Err(ReadError::BodyTooLarge));
        client
            .write_all(b"6\r\nabcdef\r\n6\r\nabcdef\r\n0\r\n\r\n")
            .await
            .unwrap();
        let result = read_body(&mut server, &mut buffer, Framing::Chunked, 10).await;
        assert_eq!(result, Err(ReadError::BodyTooLarge));
    });
}
