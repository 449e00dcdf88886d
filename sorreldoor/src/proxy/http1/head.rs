//! The head of a message: start line and headers.

use std::ops::Range;

/// Headers that are not forwarded: those of one connection (RFC 9110, section
/// 7.6.1), and those that the proxy sets or handles itself.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// A message head as received. Ranges are byte ranges of `raw`.
#[derive(Debug, Default)]
pub struct Head {
    /// All bytes, including the empty line at the end. The parser is lenient: they
    /// may begin with empty lines, and lines may end with LF alone. Heads are therefore
    /// forwarded by encoding the parsed parts.
    pub raw: Vec<u8>,
    /// Name and value of each header, in order.
    pub headers: Vec<(Range<usize>, Range<usize>)>,
    /// The method; empty in responses.
    pub method: Range<usize>,
    /// The target; empty in responses.
    pub target: Range<usize>,
    /// The status code; 0 in requests.
    pub status: u16,
    /// The reason phrase; empty in requests, and if it is not ASCII.
    pub reason: Range<usize>,
    /// 0 for HTTP/1.0, 1 for HTTP/1.1.
    pub minor_version: u8,
}

impl Head {
    fn text(&self, range: &Range<usize>) -> &str {
        std::str::from_utf8(&self.raw[range.clone()]).unwrap_or("")
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.text(&self.method)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.text(&self.target)
    }

    /// The reason phrase of a response.
    pub fn reason(&self) -> &str {
        self.text(&self.reason)
    }

    /// The target without its query.
    pub fn path(&self) -> &str {
        let target = self.target();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    /// Names and values of all headers, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.headers
            .iter()
            .map(|(name, value)| (self.text(name), &self.raw[value.clone()]))
    }

    /// The value of the first header with this name; `None` if it is not UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .and_then(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// Whether a header with this name has `token` in its comma-separated list.
    fn has_token(&self, name: &str, token: &str) -> bool {
        self.iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name))
            .filter_map(|(_, value)| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes_connection(&self) -> bool {
        self.has_token("connection", "close")
            || (self.minor_version == 0 && !self.has_token("connection", "keep-alive"))
    }

    /// Whether the header `name` must not be forwarded.
    pub fn is_hop_by_hop(&self, name: &str) -> bool {
        HOP_BY_HOP.iter().any(|h| name.eq_ignore_ascii_case(h))
            || self.has_token("connection", name)
    }

    /// The idle time-out of the peer in seconds, if its `Keep-Alive` header states one.
    pub fn keep_alive_timeout_s(&self) -> Option<u64> {
        let value = self.get("keep-alive")?;
        value
            .split(',')
            .find_map(|parameter| parameter.trim().strip_prefix("timeout="))
            .and_then(|seconds| seconds.trim().parse().ok())
    }
}
