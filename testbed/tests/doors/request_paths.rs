//! The documented request path and its deprecated alias behave the same.

use super::*;

const DOCUMENTED: &str = "/v1/request";
const DEPRECATED: &str = "/v1/errand";

/// The parts of a response that do not depend on the worker.
#[derive(Debug, PartialEq, Eq)]
struct Answer {
    status: u16,
    error_code: String,
    content_type: String,
    request_id: Option<String>,
    /// Path of a redirect, relative to the prefix of the request.
    redirect: Option<String>,
}

fn answer(
    fleet: &Fleet,
    prefix: &str,
    method: Method,
    path: &str,
    home: &str,
    body: &[u8],
) -> Answer {
    let headers = [("x-home", home), ("x-prefix-key", "k1")];
    let path = format!("{prefix}{path}");
    let called = send_request(fleet, method, &path, &headers, body);
    let below_prefix = |location: &String| {
        let (_, path) = location.split_once(prefix).expect("the prefix is kept");
        path.to_string()
    };
    Answer {
        status: called.status,
        error_code: error_code(&called),
        content_type: called.content_type.clone(),
        request_id: called.request_id.as_ref().map(|id| id.len().to_string()),
        redirect: called.location.as_ref().map(below_prefix),
    }
}

/// Waits until the edge that is called knows a ready one of a region: a ready edge is named
/// to the others with their later renewals.
fn wait_until_edges_are_known(fleet: &Fleet, region: &str) {
    let path = format!("/v1/where?route=question&region={region}");
    let edge = fleet.edges()[0];
    let known = fleet.until(WAIT_LIMIT, |fleet| {
        let response = fleet.get(edge, &path);
        response.is_some_and(|(status, _)| status == 200)
    });
    assert!(known, "no edge of {region} becomes known");
}

/// Accepted, rejected and redirected requests get the same under both paths.
pub fn both_request_paths_work_alike(fleet: &Fleet) {
    let (get, post) = (Method::Get, Method::Post);
    let cases: [(Method, &str, &str, &[u8], u16); 8] = [
        (post, "/question", "north", b"{}", 200),
        (post, "/draft", "north", b"{\"events\":2}", 200),
        (get, "/page/a/b", "north", b"", 200),
        (post, "/question", "south", b"{}", 307),
        (post, "/question", "mars", b"{}", 400),
        (post, "/draft", "north", b"{bad", 400),
        (post, "/none", "north", b"{}", 404),
        (post, "/page/a", "north", b"{}", 405),
    ];
    wait_until_edges_are_known(fleet, "south");
    for (method, path, home, body, status) in cases {
        let documented = answer(fleet, DOCUMENTED, method, path, home, body);
        let deprecated = answer(fleet, DEPRECATED, method, path, home, body);
        assert_eq!(documented, deprecated, "{method} {path} {home}");
        assert_eq!(documented.status, status, "{method} {path} {home}");
        let redirect = (status == 307).then(|| path.to_string());
        assert_eq!(documented.redirect, redirect, "{method} {path} {home}");
    }
    // neither name is a prefix of other paths
    for path in ["/v1/requests/draft", "/v1/request", "/v1/errand"] {
        let called = send_request(fleet, post, path, &[], b"{}");
        assert_eq!(error_code(&called), "unknown-path", "{path}");
    }
}
