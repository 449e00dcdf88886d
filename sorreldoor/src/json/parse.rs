//! Strict parsing (RFC 8259) with bounds on size and depth.

use super::Value;
use simd_json::Node;
use snafu::{ensure, ResultExt, Snafu};
use std::collections::HashSet;

/// The deepest nesting of objects and lists that is accepted.
pub const MAX_DEPTH: usize = 16;

/// Why a text is rejected. The messages are predicates, to follow the name of a
/// document.
#[derive(Debug, Snafu)]
pub enum JsonError {
    /// The text exceeds the caller's limit; nothing of it was parsed.
    #[snafu(display("is larger than {max} bytes"))]
    TooLarge {
        /// The limit in bytes.
        max: usize,
    },
    /// The text does not follow RFC 8259.
    #[snafu(display("is not JSON: {source}"))]
    Syntax {
        /// The parser's error, with its position.
        source: simd_json::Error,
    },
    /// Objects and lists are nested deeper than [`MAX_DEPTH`].
    #[snafu(display("is nested deeper than {MAX_DEPTH}"))]
    TooDeep,
    /// An object repeats a key, which makes its meaning ambiguous.
    #[snafu(display("has the key {key:?} twice"))]
    DuplicateKey {
        /// The repeated key.
        key: String,
    },
}

/// Parses a document of at most `max` bytes.
///
/// # Errors
/// The text is too large, is not JSON, is nested too deep, or repeats a key.
pub fn parse(text: &[u8], max: usize) -> Result<Value, JsonError> {
    ensure!(text.len() <= max, TooLargeSnafu { max });
    let mut buffer = text.to_vec();
    let tape = simd_json::to_tape(&mut buffer).context(SyntaxSnafu)?;
    // a parsed value has lost repeated keys, so the tape is checked first
    check_node(&tape.0, 0, 0)?;
    let mut buffer = text.to_vec();
    simd_json::to_owned_value(&mut buffer).context(SyntaxSnafu)
}

/// Parses the output of [`canonical`](super::canonical()), which needs no checks; null
/// if the text is not JSON.
#[must_use]
pub fn parse_canonical(text: &str) -> Value {
    let mut buffer = text.as_bytes().to_vec();
    simd_json::to_owned_value(&mut buffer).unwrap_or_default()
}

/// Checks the nesting depth and the keys of the node at `index`; returns the index
/// after it.
fn check_node(tape: &[Node], index: usize, depth: usize) -> Result<usize, JsonError> {
    ensure!(depth <= MAX_DEPTH, TooDeepSnafu);
    match tape.get(index) {
        Some(Node::Object { len, .. }) => check_object(tape, index, *len, depth),
        Some(Node::Array { len, .. }) => {
            let mut next = index + 1;
            for _ in 0..*len {
                next = check_node(tape, next, depth + 1)?;
            }
            Ok(next)
        }
        _ => Ok(index + 1),
    }
}

fn check_object(tape: &[Node], index: usize, len: usize, depth: usize) -> Result<usize, JsonError> {
    let mut keys = HashSet::new();
    let mut next = index + 1;
    for _ in 0..len {
        if let Some(Node::String(key)) = tape.get(next) {
            ensure!(keys.insert(*key), DuplicateKeySnafu { key: *key });
        }
        next = check_node(tape, next + 1, depth + 1)?;
    }
    Ok(next)
}
