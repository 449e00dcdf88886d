//! The HTTP endpoint for scrapes.

use super::CONTENT_TYPE;
use crate::error::ErrorCode;
use crate::http::{self, ShutdownHandle};
use async_std::net::TcpListener;
use http_types::{Method, Response, StatusCode};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::sync::Arc;

/// The maximum number of open connections of scrapers.
const MAX_CONNECTIONS: usize = 8;

/// Port and path of the metrics endpoint; written as `PORT/PATH`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsEndpoint {
    /// The TCP port.
    pub port: u16,
    /// The path of the metrics, with the leading slash.
    pub path: String,
}

/// A text that is not a valid [`MetricsEndpoint`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseEndpointError {
    text: String,
}

impl fmt::Display for ParseEndpointError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not PORT/PATH, as in 9464/metrics", self.text)
    }
}

impl std::error::Error for ParseEndpointError {}

impl FromStr for MetricsEndpoint {
    type Err = ParseEndpointError;

    fn from_str(text: &str) -> Result<MetricsEndpoint, ParseEndpointError> {
        let fault = || ParseEndpointError {
            text: text.to_string(),
        };
        let (port, path) = text.split_once('/').ok_or_else(fault)?;
        let port: u16 = port.parse().map_err(|_| fault())?;
        if port == 0 || path.is_empty() || path.contains(['?', '#', ' ']) {
            return Err(fault());
        }
        let path = format!("/{path}");
        Ok(MetricsEndpoint { port, path })
    }
}

impl MetricsEndpoint {
    /// The address to listen on.
    #[must_use]
    pub fn address(&self, ip: IpAddr) -> SocketAddr {
        (ip, self.port).into()
    }
}

/// Serves the metrics until the future is dropped; `encode` returns their text.
pub(crate) async fn serve(
    listener: TcpListener,
    endpoint: MetricsEndpoint,
    encode: impl Fn() -> String + Send + Sync + 'static,
) {
    let page = Arc::new((endpoint, encode));
    http::serve(
        listener,
        MAX_CONNECTIONS,
        ShutdownHandle::default(),
        move |request, _| {
            let page = page.clone();
            async move {
                let (endpoint, encode) = &*page;
                let is_page = request.url().path() == endpoint.path;
                match request.method() {
                    Method::Get if is_page => text(encode()),
                    _ if is_page => http::error_response(ErrorCode::MethodNotAllowed, "", 1),
                    _ => http::error_response(ErrorCode::UnknownPath, "", 1),
                }
            }
        },
    )
    .await;
}

fn text(body: String) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response.insert_header("content-type", CONTENT_TYPE);
    response
}
