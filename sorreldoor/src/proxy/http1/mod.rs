//! HTTP/1.1 messages (RFC 9112): heads are parsed by httparse and bodies decoded,
//! within size limits; bytes are kept as received.

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
