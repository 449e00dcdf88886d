//! Workers whose response heads only a lenient parser accepts (RFC 9112, section 2.2):
//! the client gets a well-formed response (see `assert_well_formed` in the harness) with
//! the worker's status and body.

use super::harness::*;

const HEADERS: &str = "x-request-id: {id}\r\nx-stamp: s1\r\n";
const SURPLUS_LINES: [&str; 4] = ["\r\n", "\n", "\r\n\r\n", "\n\r\n"];
const PLAIN_PATHS: [&str; 2] = ["/get/2", "/once/2"];
const STREAM_PATHS: [&str; 2] = ["/say/2", "/ask/2"];

/// Sends three requests on one connection, of which the worker answers the second with
/// `bytes`. Returns status and body of that response.
async fn response_to(path: &str, bytes: &str) -> (u16, String) {
    let worker = start_stub_worker(vec![
        Behavior::Complete(200, "first"),
        Behavior::Bytes(bytes.to_string()),
        Behavior::Complete(200, "third"),
    ])
    .await;
    let proxy = start_proxy(&[&worker]).await;
    let mut client = Client::new(&proxy).await;
    let first = client.send_request("/get/1", "", "b").await.unwrap();
    assert_eq!(first.body, "first", "{bytes:?}");
    let response = client.send_request(path, "", "b").await.unwrap();
    assert!(response.complete, "{bytes:?}");
    // bytes left over from the second response would be read as part of the third
    let third = client.send_request("/get/3", "", "b").await.unwrap();
    assert_eq!(third.body, "third", "{bytes:?}");
    (response.status, response.body)
}

/// A response with a length, of which `line_end` ends each line of the head.
fn with_length(status_line: &str, line_end: &str) -> String {
    let head = format!("{status_line}\r\n{HEADERS}content-length: 4\r\n\r\n");
    head.replace("\r\n", line_end) + "page"
}

/// A stream of one event, of which `line_end` ends each line of the head.
fn with_event(line_end: &str) -> String {
    let head = format!("HTTP/1.1 200 OK\r\n{HEADERS}transfer-encoding: chunked\r\n\r\n");
    let event = event(1);
    let body = format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len());
    head.replace("\r\n", line_end) + &body
}

/// Guards against a status line that is lost behind a surplus empty line.
#[test]
fn a_surplus_empty_line_before_a_response_does_not_remove_its_status() {
    block_on_test(async {
        for surplus in SURPLUS_LINES {
            for path in PLAIN_PATHS {
                for status in [200, 404, 500] {
                    let response = with_length(&format!("HTTP/1.1 {status} Fine"), "\r\n");
                    let bytes = surplus.to_string() + &response;
                    let expected = (status, "page".to_string());
                    assert_eq!(
                        response_to(path, &bytes).await,
                        expected,
                        "{path} {bytes:?}"
                    );
                }
            }
        }
    });
}

/// Guards against a stream whose status line is lost behind a surplus empty line.
#[test]
fn a_surplus_empty_line_before_a_stream_does_not_remove_its_status() {
    block_on_test(async {
        for surplus in SURPLUS_LINES {
            for path in STREAM_PATHS {
                let bytes = surplus.to_string() + &with_event("\r\n");
                let response = response_to(path, &bytes).await;
                assert_eq!(response, (200, event(1)), "{path} {bytes:?}");
            }
        }
    });
}

/// Guards against a head with LF line ends that is forwarded as a part of the body.
#[test]
fn a_response_head_with_lf_line_ends_is_forwarded_with_crlf() {
    block_on_test(async {
        let all = with_length("HTTP/1.1 200 OK", "\n");
        let first_only = with_length("HTTP/1.1 200 OK", "\r\n").replacen("\r\n", "\n", 1);
        for bytes in [all, first_only] {
            for path in PLAIN_PATHS {
                let response = response_to(path, &bytes).await;
                assert_eq!(response, (200, "page".to_string()), "{path} {bytes:?}");
            }
        }
    });
}

/// Guards against a stream's head with LF line ends that is forwarded as events.
#[test]
fn a_stream_head_with_lf_line_ends_is_forwarded_with_crlf() {
    block_on_test(async {
        for path in STREAM_PATHS {
            let response = response_to(path, &with_event("\n")).await;
            assert_eq!(response, (200, event(1)), "{path}");
        }
    });
}

/// Guards against a status line without the space after the status.
#[test]
fn a_missing_or_unusual_reason_phrase_leaves_the_status_line_well_formed() {
    block_on_test(async {
        for status_line in [
            "HTTP/1.1 200",
            "HTTP/1.1 200 ",
            "HTTP/1.1 200 \u{e9}t\u{e9}",
            "HTTP/1.1 200 all  is\twell",
            "HTTP/1.0 200",
        ] {
            let response = response_to("/get/2", &with_length(status_line, "\r\n")).await;
            assert_eq!(response, (200, "page".to_string()), "{status_line:?}");
        }
    });
}

/// Guards against a chunked body after a status that has no body: the client takes its
/// bytes for the beginning of the next response.
#[test]
fn a_success_without_content_on_a_stream_route_has_no_body() {
    block_on_test(async {
        for path in STREAM_PATHS {
            for framing in [
                "",
                "content-length: 0\r\n",
                "transfer-encoding: chunked\r\n",
            ] {
                let bytes = format!("HTTP/1.1 204 No Content\r\n{HEADERS}{framing}\r\n");
                let response = response_to(path, &bytes).await;
                assert_eq!(response, (204, String::new()), "{path} {framing:?}");
            }
        }
    });
}

/// Guards against a status below 100 that is forwarded: clients take it for no response,
/// or for an interim one.
#[test]
fn a_response_with_an_invalid_status_is_not_forwarded() {
    block_on_test(async {
        for status in ["000", "099"] {
            let invalid = with_length(&format!("HTTP/1.1 {status} Odd"), "\r\n");
            for path in ["/get/1", "/once/1", "/say/1", "/ask/1"] {
                let worker = start_stub_worker(vec![Behavior::Bytes(invalid.clone())]).await;
                let proxy = start_proxy(&[&worker]).await;
                let mut client = Client::new(&proxy).await;
                let response = client.send_request(path, "", "b").await.unwrap();
                assert_eq!(response.status, 502, "{path} {status}");
            }
        }
    });
}
