//! The CBOR encoding of stored data and of frames between nodes.

use serde::{de::DeserializeOwned, Serialize};

/// Encodes a value as CBOR.
///
/// # Panics
/// Only where the value's own `Serialize` fails; plain data never does.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // writing to memory fails only where serde itself is misused
    ciborium::into_writer(value, &mut bytes).expect("plain data always encodes");
    bytes
}

/// Decodes a value from CBOR; `None` if the bytes are no such value.
#[must_use]
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
