//! JSON documents: strict parsing, canonical text, merge patches, and typed reading
//! that collects all faults with their paths.

mod canonical;
mod parse;
mod reader;

pub use canonical::{canonical, merge};
pub use parse::{parse, parse_canonical, JsonError, MAX_DEPTH};
pub use reader::{is_valid_name, join, Faults, ObjectReader};

/// A parsed JSON value.
pub type Value = simd_json::OwnedValue;
