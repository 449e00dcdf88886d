//! HTTP/1.1 on the wire (RFC 9112), over httparse: message heads and bodies are
//! read within limits, and kept byte for byte as received.

mod body;
mod framing;
mod head;
mod parse;
mod read_buffer;

pub use body::{read_body, BodyDecoder};
pub use framing::{Framing, ReadError};
pub use head::Head;
pub use parse::{parse_request_head, parse_response_head};
pub use read_buffer::ReadBuffer;
