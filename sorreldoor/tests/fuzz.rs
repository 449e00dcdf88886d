//! Seeded fuzzing of every parser of external input: the result is a value
//! within bounds or an error with a message, never a panic.

use sorreldoor::configuration::{self, Site};
use sorreldoor::consensus::StateMachine;
use sorreldoor::discovery::{read_load, read_registry};
use sorreldoor::json;
use sorreldoor::replicated_state::{encode, Command, Outcome, ReplicatedState};
use sorreldoor::settings::{Overrides, Role, Settings};
use sorreldoor::wire::{
    decode_frame, encode_frame, frame_length, EdgeStatus, Hello, KnownVersions, Payload,
};
use std::path::Path;
use std::sync::Arc;

struct Random(u64);

impl Random {
    fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 >> 8
    }
    fn below(&mut self, n: usize) -> usize {
        (self.next() % n.max(1) as u64) as usize
    }
}

/// A copy of `original` with a few bytes changed, dropped, duplicated or replaced.
fn mutate(random: &mut Random, original: &[u8]) -> Vec<u8> {
    let mut bytes = original.to_vec();
    for _ in 0..1 + random.below(4) {
        let (i, j) = (random.below(bytes.len()), random.below(bytes.len()));
        let (start, end) = (i.min(j), i.max(j).min(i.min(j) + 40));
        match random.below(6) {
            0 if !bytes.is_empty() => bytes[i] = random.next() as u8,
            1 if !bytes.is_empty() => bytes[i] ^= 1 << random.below(8),
            2 => drop(bytes.drain(start..end)),
            3 => {
                let fragment = bytes[start..end].to_vec();
                bytes.splice(start..start, fragment);
            }
            4 => bytes.truncate(i),
            _ => {
                let fragments: [&[u8]; 8] = [
                    b"null",
                    b"-1",
                    b"1e999",
                    b"[[[[",
                    b"\"\\ud800\"",
                    b"18446744073709551616",
                    b"{}",
                    b"\xff\xfe",
                ];
                let fragment = fragments[random.below(fragments.len())];
                bytes.splice(start..end, fragment.iter().copied());
            }
        }
    }
    bytes
}

fn site() -> Site {
    Site {
        regions: vec!["north".into(), "south".into()],
        zones: vec![("n1".into(), 0), ("n2".into(), 0), ("s1".into(), 1)],
    }
}

fn example(name: &str) -> Vec<u8> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    std::fs::read(dir.join(name)).expect("an example")
}

fn frames() -> Vec<Payload> {
    let hello = Hello {
        node: "edge".into(),
        http: "127.0.0.1:1".into(),
        ..Hello::default()
    };
    let command = Command::Put {
        base: 1,
        new_version: None,
        document: "{}".into(),
    };
    let (no, have, edge_status) = (4, KnownVersions::default(), EdgeStatus::default());
    let requests = vec![sorreldoor::wire::SentRequest::from(("id".to_string(), 7)); 3];
    vec![
        Payload::Hello(hello),
        Payload::Renew {
            no,
            have,
            edge_status,
            unverified: sorreldoor::wire::Unverified::None,
        },
        Payload::Propose {
            request_id: 1,
            proposal_id: 2,
            cmd: command,
        },
        Payload::SentRequests { requests },
        Payload::Ping { no: 0 },
    ]
}

#[test]
fn damaged_frames_are_rejected_or_decoded() {
    let (mut decoded, mut rejected) = (0, 0);
    for seed in 1..4000 {
        let mut random = Random::new(seed);
        let all = frames();
        let frame = encode_frame("site", &all[random.below(all.len())]);
        let damaged_bytes = mutate(&mut random, &frame[4..]);
        match decode_frame("site", &damaged_bytes) {
            Ok(_) => decoded += 1,
            Err(error) => {
                rejected += 1;
                assert!(!error.to_string().is_empty());
            }
        }
        let length_prefix = [
            random.next() as u8,
            random.next() as u8,
            random.next() as u8,
            random.next() as u8,
        ];
        assert!(
            frame_length(length_prefix).map_or(true, |n| n <= sorreldoor::wire::MAX_FRAME_BYTES)
        );
    }
    println!("{decoded} decoded, {rejected} rejected");
    assert!(rejected > 2000 && decoded > 20);
}

#[test]
fn damaged_configurations_and_patches_are_rejected_or_valid() {
    let site = site();
    let document = example("press-setup.json");
    let (valid, _) = configuration::parse(&document, &site).expect("the example is valid");
    let (mut parsed, mut rejected) = (0, 0);
    for seed in 1..2500 {
        let mut random = Random::new(seed);
        let damaged_bytes = mutate(&mut random, &document);
        match configuration::parse(&damaged_bytes, &site) {
            Ok((configuration, _)) => {
                parsed += 1;
                assert!(configuration.retry_percent <= 20 && !configuration.routes.is_empty());
                let weight_in_bounds = |share: &configuration::Share| {
                    share.min_weight <= share.weight && share.weight <= share.max_weight
                };
                assert!(configuration
                    .routes
                    .iter()
                    .all(|route| route.shares.iter().all(weight_in_bounds)));
            }
            Err(faults) => {
                rejected += 1;
                assert!(
                    !faults.is_empty() && faults.iter().all(|f| f.contains(':')),
                    "{faults:?}"
                );
            }
        }
    }
    println!(
        "{parsed} parsed, {rejected} rejected; the valid one has {} routes",
        valid.routes.len()
    );
    assert!(rejected > 1000 && parsed > 5);
    // a patch is applied completely or not at all
    let mut state = ReplicatedState::new(Arc::new(site));
    let text = String::from_utf8(document).unwrap();
    let put = Command::Put {
        base: 0,
        new_version: None,
        document: text,
    };
    state.apply(1, 1, &encode(&put));
    let patch =
        br#"{"routes":{"draft":{"cutoff_ms":4000,"home":true}},"spill":{"north":{"south":5}}}"#;
    for seed in 1..1500u64 {
        let mut random = Random::new(seed);
        let damaged_bytes = mutate(&mut random, patch);
        let patch = String::from_utf8_lossy(&damaged_bytes).into_owned();
        let before = state.view();
        let base = before.version;
        let outcome = state.apply(
            2,
            u128::from(seed) + 10,
            &encode(&Command::MergePatch { base, patch }),
        );
        let outcome: Outcome = sorreldoor::replicated_state::decode(&outcome).expect("an outcome");
        match outcome {
            Outcome::Applied { version } => {
                assert_eq!((version, state.view().version), (base + 1, base + 1))
            }
            _ => assert_eq!(state.view(), before),
        }
    }
}

#[test]
fn damaged_settings_registries_and_load_reports_are_rejected_or_parsed() {
    let site = site();
    let registry_json = br#"{"serial":7,"workers":[{"name":"gpu0","addr":"10.0.0.5:9000","group":"gpu","zone":"n1","state":"up"},{"name":"w","addr":"10.0.0.6:9000","group":"web","zone":"s1","state":"leaving"}]}"#;
    let load_json = br#"{"worker":"gpu0","running":1,"queued":0,"slots":4,"finished":120,"adapters":["a"],"weights":"v1"}"#;
    let settings = example("press-edge.json");
    let mut rejected = 0;
    for seed in 1..2500 {
        let mut random = Random::new(seed);
        let registry = read_registry(&mutate(&mut random, registry_json), &site);
        rejected += usize::from(registry.is_err_and(|error| !error.is_empty()));
        let load_report = read_load(&mutate(&mut random, load_json), "gpu0");
        rejected += usize::from(load_report.is_err_and(|error| !error.is_empty()));
        let parsed_settings = Settings::parse(
            &mutate(&mut random, &settings),
            &Overrides::default(),
            Role::Edge,
        );
        rejected += usize::from(parsed_settings.is_err_and(|error| !error.is_empty()));
        let _ = json::parse(&mutate(&mut random, &settings), 1 << 16);
    }
    println!("{rejected} inputs rejected");
    assert!(rejected > 3500);
}
