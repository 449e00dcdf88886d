//! The formats of frames and stored data are stable: each sample is encoded and
//! compared with `formats/samples.txt`, and decoded from there.
//!
//! A differing line means that this build cannot exchange frames with an earlier
//! one or cannot read its data directory. Replace a line only for a deliberate
//! change of format, with a new `PROTOCOL_VERSION` and a reader for the old data
//! (`SORRELDOOR_WRITE_SAMPLES=1 cargo test`).

mod commands;
mod legacy;
mod messages;
mod samples;

use samples::{durable_state, payloads, records, saves, site};
use sorreldoor::consensus::{Save, StateMachine};
use sorreldoor::replicated_state::{decode, encode, ReplicatedState};
use sorreldoor::store::DurableState;
use sorreldoor::wire::{decode_frame, encode_frame};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;

const SITE_NAME: &str = "press";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn parse_hex(hex: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

fn samples_path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/formats/samples.txt")
}

/// The encoding of every sample, by name.
fn samples() -> BTreeMap<String, Vec<u8>> {
    let mut all = BTreeMap::new();
    for (index, payload) in payloads().iter().enumerate() {
        all.insert(
            format!("frame-{index:02}"),
            encode_frame(SITE_NAME, payload),
        );
    }
    for (index, save) in saves().iter().enumerate() {
        all.insert(format!("save-{index:02}"), encode(save));
    }
    all.insert("state".into(), encode(&durable_state()));
    let (record, revision) = records();
    all.insert("record".into(), record.image());
    all.insert("update-whole".into(), encode(&record.delta_since(0)));
    all.insert("update".into(), encode(&record.delta_since(revision)));
    all
}

fn stored_samples() -> BTreeMap<String, Vec<u8>> {
    let text =
        std::fs::read_to_string(samples_path()).expect("tests/formats/samples.txt can be read");
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    lines
        .map(|(name, hex)| (name.to_string(), parse_hex(hex)))
        .collect()
}

#[test]
fn every_sample_has_its_stored_encoding() {
    let current = samples();
    if std::env::var_os("SORRELDOOR_WRITE_SAMPLES").is_some() {
        let lines = current
            .iter()
            .map(|(name, bytes)| format!("{name} {}\n", hex(bytes)));
        std::fs::write(samples_path(), lines.collect::<String>())
            .expect("tests/formats/samples.txt can be written");
    }
    let stored_samples = stored_samples();
    let stored_names: Vec<_> = stored_samples.keys().collect();
    assert_eq!(stored_names, current.keys().collect::<Vec<_>>());
    for (name, bytes) in &current {
        assert_eq!(hex(&stored_samples[name]), hex(bytes), "{name}");
    }
}

#[test]
fn every_stored_sample_decodes_to_its_value() {
    let stored_samples = stored_samples();
    for (index, payload) in payloads().iter().enumerate() {
        let body = &stored_samples[&format!("frame-{index:02}")][4..];
        assert_eq!(decode_frame(SITE_NAME, body).as_ref(), Ok(payload));
    }
    for (index, save) in saves().iter().enumerate() {
        let decoded: Option<Save> = decode(&stored_samples[&format!("save-{index:02}")]);
        assert_eq!(decoded.as_ref(), Some(save));
    }
    let state: DurableState = decode(&stored_samples["state"]).expect("a state");
    assert_eq!(encode(&state), encode(&durable_state()));
    let mut record = ReplicatedState::new(site());
    assert!(record.load(&stored_samples["record"]));
    assert_eq!(record.view(), records().0.view());
}
