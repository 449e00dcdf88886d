//! Hosted routes carried to workers: requests pass byte for byte, decisions
//! are the table's, and names of headers are a dialect's.

pub mod dialect;
pub mod table;

pub use dialect::{Asked, Dialect, Forward, Part, Told};
