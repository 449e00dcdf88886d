//! The syntax of response heads as a strict client requires it. The proxy's parser, which
//! the soak's clients share, accepts more (RFC 9112, section 2.2).

use sorreldoor::proxy::http1::Head;

/// What a client that accepts only CRLF line ends would refuse in this head, if anything.
pub fn syntax_fault(head: &Head) -> Option<String> {
    let text = String::from_utf8_lossy(&head.raw);
    let status_line = format!("HTTP/1.1 {} ", head.status);
    if !text.starts_with(&status_line) {
        return Some(format!(
            "a head that does not begin with {status_line:?}: {text:?}"
        ));
    }
    if text.replace("\r\n", "").contains(['\r', '\n']) {
        return Some(format!("a head with line ends other than CRLF: {text:?}"));
    }
    None
}
