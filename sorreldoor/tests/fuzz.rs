//! Seeded damage to everything that is read from outside: whatever comes of
//! it is a value or a named fault, never a panic, and what is read is in bounds.

use sorreldoor::configuration::{self, Site};
use sorreldoor::consensus::StateMachine;
use sorreldoor::discovery::{read_load, read_registry};
use sorreldoor::json;
use sorreldoor::replicated_state::{encode, Command, Outcome, ReplicatedState};
use sorreldoor::settings::{Overrides, Role, Settings};
use sorreldoor::wire::{length, pack, unpack, EdgeStatus, Hello, KnownVersions, Payload};
use std::path::Path;
use std::sync::Arc;

struct Dice(u64);

impl Dice {
    fn new(seed: u64) -> Dice {
        Dice(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    fn draw(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 >> 8
    }
    fn below(&mut self, n: usize) -> usize {
        (self.draw() % n.max(1) as u64) as usize
    }
}

/// A few bytes changed, dropped, doubled or moved.
fn damaged(d: &mut Dice, from: &[u8]) -> Vec<u8> {
    let mut b = from.to_vec();
    for _ in 0..1 + d.below(4) {
        let (i, j) = (d.below(b.len()), d.below(b.len()));
        let (lo, hi) = (i.min(j), i.max(j).min(i.min(j) + 40));
        match d.below(6) {
            0 if !b.is_empty() => b[i] = d.draw() as u8,
            1 if !b.is_empty() => b[i] ^= 1 << d.below(8),
            2 => drop(b.drain(lo..hi)),
            3 => {
                let part = b[lo..hi].to_vec();
                b.splice(lo..lo, part);
            }
            4 => b.truncate(i),
            _ => {
                let odd: [&[u8]; 8] = [
                    b"null",
                    b"-1",
                    b"1e999",
                    b"[[[[",
                    b"\"\\ud800\"",
                    b"18446744073709551616",
                    b"{}",
                    b"\xff\xfe",
                ];
                let part = odd[d.below(odd.len())];
                b.splice(lo..hi, part.iter().copied());
            }
        }
    }
    b
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
    let cmd = Command::Put {
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
        Payload::Op {
            request_id: 1,
            proposal_id: 2,
            cmd,
        },
        Payload::Sent { requests },
        Payload::Ping { no: 0 },
    ]
}

#[test]
fn damaged_frames_are_refused_or_read() {
    let (mut read, mut refused) = (0, 0);
    for seed in 1..4000 {
        let mut d = Dice::new(seed);
        let all = frames();
        let one = pack("site", &all[d.below(all.len())]);
        let b = damaged(&mut d, &one[4..]);
        match unpack("site", &b) {
            Ok(_) => read += 1,
            Err(e) => {
                refused += 1;
                assert!(!e.to_string().is_empty());
            }
        }
        let head = [
            d.draw() as u8,
            d.draw() as u8,
            d.draw() as u8,
            d.draw() as u8,
        ];
        assert!(length(head).map_or(true, |n| n <= sorreldoor::wire::MOST_FRAME));
    }
    println!("{read} read, {refused} refused");
    assert!(refused > 2000 && read > 20);
}

#[test]
fn damaged_setups_and_patches_have_faults_or_are_whole() {
    let site = site();
    let doc = example("press-setup.json");
    let (good, _) = configuration::parse(&doc, &site).expect("the example is good");
    let (mut ok, mut bad) = (0, 0);
    for seed in 1..2500 {
        let mut d = Dice::new(seed);
        let b = damaged(&mut d, &doc);
        match configuration::parse(&b, &site) {
            Ok((s, _)) => {
                ok += 1;
                assert!(s.retry_percent <= 20 && !s.routes.is_empty());
                let fits = |h: &configuration::Share| h.least <= h.weight && h.weight <= h.most;
                assert!(s.routes.iter().all(|r| r.shares.iter().all(fits)));
            }
            Err(faults) => {
                bad += 1;
                assert!(
                    !faults.is_empty() && faults.iter().all(|f| f.contains(':')),
                    "{faults:?}"
                );
            }
        }
    }
    println!(
        "{ok} read, {bad} faulty; {} routes in the good one",
        good.routes.len()
    );
    assert!(bad > 1000 && ok > 5);
    // patches on a record: taken whole or not at all
    let mut r = ReplicatedState::new(Arc::new(site));
    let text = String::from_utf8(doc).unwrap();
    let put = Command::Put {
        base: 0,
        new_version: None,
        document: text,
    };
    r.apply(1, 1, &encode(&put));
    let patch =
        br#"{"routes":{"draft":{"cutoff_ms":4000,"home":true}},"spill":{"north":{"south":5}}}"#;
    for seed in 1..1500u64 {
        let mut d = Dice::new(seed);
        let b = damaged(&mut d, patch);
        let patch = String::from_utf8_lossy(&b).into_owned();
        let before = r.view();
        let base = before.version;
        let out = r.apply(
            2,
            u128::from(seed) + 10,
            &encode(&Command::MergePatch { base, patch }),
        );
        let out: Outcome = sorreldoor::replicated_state::decode(&out).expect("an outcome");
        match out {
            Outcome::Applied { version } => {
                assert_eq!((version, r.view().version), (base + 1, base + 1))
            }
            _ => assert_eq!(r.view(), before),
        }
    }
}

#[test]
fn damaged_settings_lists_and_reports_are_named() {
    let site = site();
    let list = br#"{"serial":7,"workers":[{"name":"gpu0","addr":"10.0.0.5:9000","group":"gpu","zone":"n1","state":"up"},{"name":"w","addr":"10.0.0.6:9000","group":"web","zone":"s1","state":"leaving"}]}"#;
    let load = br#"{"worker":"gpu0","running":1,"queued":0,"slots":4,"finished":120,"adapters":["a"],"weights":"v1"}"#;
    let set = example("press-edge.json");
    let mut faults = 0;
    for seed in 1..2500 {
        let mut d = Dice::new(seed);
        let a = read_registry(&damaged(&mut d, list), &site);
        faults += usize::from(a.is_err_and(|e| !e.is_empty()));
        let b = read_load(&damaged(&mut d, load), "gpu0");
        faults += usize::from(b.is_err_and(|e| !e.is_empty()));
        let c = Settings::parse(&damaged(&mut d, &set), &Overrides::default(), Role::Edge);
        faults += usize::from(c.is_err_and(|e| !e.is_empty()));
        let _ = json::parse(&damaged(&mut d, &set), 1 << 16);
    }
    println!("{faults} faults named");
    assert!(faults > 3500);
}
