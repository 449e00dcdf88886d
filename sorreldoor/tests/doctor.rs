//! The doctor's checks on what cannot be brought about safely in a test.

use simd_json::prelude::*;
use sorreldoor::doctor::{check, Disk, Seed, Seen, ALL};
use sorreldoor::json::{self, Value};

const SOUND: &str = r#"{"node":"c1","quorum":true,"wall_ms":1000000,"disk_failed":false,
 "voters_wanted":3,"voters":3,"voters_differ":null,"serial":4,"regions_down":[],"emptied":[],"roster_problem":null,
 "cores":[{"id":"1","voter":true,"live":true},{"id":"2","voter":true,"live":true},{"id":"3","voter":true,"live":true}],
 "edges":[{"node":"e1","zone":"z","serial":4,"permit":true}],"regions":{"a":"served"},
 "claims":{"remembered":5,"most":100,"sure":true},
 "weights":[{"route":"r","service":"s","weight":20,"set":50,"least":10,"most":90}],
 "workers":[{"name":"w","live":true,"leaving":false}]}"#;

fn seen(status: &str) -> Seen {
    let v: Value = json::parse(status.as_bytes(), 1 << 20).unwrap();
    assert!(v.is_object());
    Seen {
        cores: vec![("c1".into(), v)],
        wall_ms: 1_000_100,
        ..Seen::default()
    }
}

fn numbers(s: &Seen) -> Vec<u8> {
    check(s).iter().map(|f| f.no).collect()
}

#[test]
fn each_sign_has_its_finding() {
    assert_eq!(numbers(&seen(SOUND)), Vec::<u8>::new());
    let table: [(&str, &str, u8); 16] = [
        (
            "\"voters_differ\":null",
            "\"voters_differ\":\"a change of voters is not finished\"",
            27,
        ),
        ("\"remembered\":5", "\"remembered\":91", 24),
        ("\"weight\":20", "\"weight\":10", 25),
        ("\"sure\":true", "\"sure\":false", 26),
        ("\"wall_ms\":1000000", "\"wall_ms\":1009000", 6),
        ("\"quorum\":true", "\"quorum\":false", 10),
        ("\"disk_failed\":false", "\"disk_failed\":true", 11),
        ("\"regions_down\":[]", "\"regions_down\":[\"b\"]", 12),
        (
            "\"id\":\"2\",\"voter\":true,\"live\":true",
            "\"id\":\"2\",\"voter\":true,\"live\":false",
            13,
        ),
        (
            "\"id\":\"2\",\"voter\":true",
            "\"id\":\"2\",\"voter\":false",
            14,
        ),
        (
            "\"zone\":\"z\",\"serial\":4",
            "\"zone\":\"z\",\"serial\":3",
            16,
        ),
        ("\"permit\":true", "\"permit\":false", 17),
        (
            "{\"node\":\"e1\",\"zone\":\"z\",\"serial\":4,\"permit\":true}",
            "",
            18,
        ),
        (
            "\"name\":\"w\",\"live\":true",
            "\"name\":\"w\",\"live\":false",
            19,
        ),
        (
            "\"roster_problem\":null",
            "\"roster_problem\":\"refused\"",
            20,
        ),
        ("\"a\":\"served\"", "\"a\":\"lost\"", 22),
    ];
    for (from, to, no) in table {
        assert!(SOUND.contains(from), "{from}");
        assert_eq!(numbers(&seen(&SOUND.replace(from, to))), vec![no], "{to}");
    }
}

#[test]
fn disks_and_seeds_have_theirs() {
    let with = |sync_ms: Result<u64, String>, free: u64| Seen {
        disk: Some(Disk {
            sync_ms,
            free_percent: Some(free),
        }),
        ..Seen::default()
    };
    assert_eq!(numbers(&with(Ok(5), 60)), Vec::<u8>::new());
    assert_eq!(numbers(&with(Err("I/O error".into()), 60)), vec![7]);
    assert_eq!(numbers(&with(Ok(900), 60)), vec![8]);
    assert_eq!(numbers(&with(Ok(5), 3)), vec![9]);
    let seeds = |v: Vec<Seed>| Seen {
        seeds: v.into_iter().map(|s| ("a".to_string(), s)).collect(),
        ..Seen::default()
    };
    assert_eq!(
        numbers(&seeds(vec![Seed::Unreached, Seed::OtherProtocol(9)])),
        vec![5, 2]
    );
    assert_eq!(
        numbers(&seeds(vec![Seed::Unreached, Seed::Unreached])),
        vec![3]
    );
    assert_eq!(numbers(&seeds(vec![Seed::OtherSite("x".into())])), vec![4]);
    let all: std::collections::BTreeSet<u8> = ALL.iter().map(|r| r.0).collect();
    assert_eq!(all.len(), ALL.len());
}
