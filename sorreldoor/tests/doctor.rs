//! Rules of `doctor`, on constructed observations.

use simd_json::prelude::*;
use sorreldoor::doctor::{check, DiskStatus, Observations, SeedStatus, RULES};
use sorreldoor::json::{self, Value};

const HEALTHY_STATUS: &str = r#"{"node":"c1","quorum":true,"wall_ms":1000000,"disk_failed":false,
 "voters_wanted":3,"voters":3,"voters_differ":null,"serial":4,"regions_down":[],"emptied":[],"roster_problem":null,
 "cores":[{"id":"1","voter":true,"live":true},{"id":"2","voter":true,"live":true},{"id":"3","voter":true,"live":true}],
 "edges":[{"node":"e1","zone":"z","serial":4,"permit":true}],"regions":{"a":"served"},
 "claims":{"remembered":5,"most":100,"sure":true},
 "weights":[{"route":"r","service":"s","weight":20,"set":50,"least":10,"most":90}],
 "workers":[{"name":"w","live":true,"leaving":false}]}"#;

fn observations_of(status: &str) -> Observations {
    let status: Value = json::parse(status.as_bytes(), 1 << 20).unwrap();
    assert!(status.is_object());
    Observations {
        cores: vec![("c1".into(), status)],
        wall_ms: 1_000_100,
        ..Observations::default()
    }
}

fn rule_numbers(observations: &Observations) -> Vec<u8> {
    check(observations)
        .iter()
        .map(|finding| finding.rule.number)
        .collect()
}

#[test]
fn each_faulty_status_has_its_finding_and_a_healthy_one_none() {
    assert_eq!(
        rule_numbers(&observations_of(HEALTHY_STATUS)),
        Vec::<u8>::new()
    );
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
    for (from, to, number) in table {
        assert!(HEALTHY_STATUS.contains(from), "{from}");
        assert_eq!(
            rule_numbers(&observations_of(&HEALTHY_STATUS.replace(from, to))),
            vec![number],
            "{to}"
        );
    }
}

#[test]
fn disk_and_seed_faults_have_their_findings_and_rule_numbers_are_distinct() {
    let with = |sync_ms: Result<u64, String>, free: u64| Observations {
        disk: Some(DiskStatus {
            sync_ms,
            free_percent: Some(free),
        }),
        ..Observations::default()
    };
    assert_eq!(rule_numbers(&with(Ok(5), 60)), Vec::<u8>::new());
    assert_eq!(rule_numbers(&with(Err("I/O error".into()), 60)), vec![7]);
    assert_eq!(rule_numbers(&with(Ok(900), 60)), vec![8]);
    assert_eq!(rule_numbers(&with(Ok(5), 3)), vec![9]);
    let seeds = |statuses: Vec<SeedStatus>| Observations {
        seeds: statuses
            .into_iter()
            .map(|status| ("a".to_string(), status))
            .collect(),
        ..Observations::default()
    };
    assert_eq!(
        rule_numbers(&seeds(vec![
            SeedStatus::Unreachable,
            SeedStatus::OtherProtocol(9)
        ])),
        vec![5, 2]
    );
    assert_eq!(
        rule_numbers(&seeds(vec![
            SeedStatus::Unreachable,
            SeedStatus::Unreachable
        ])),
        vec![3]
    );
    assert_eq!(
        rule_numbers(&seeds(vec![SeedStatus::OtherSite("x".into())])),
        vec![4]
    );
    let distinct: std::collections::BTreeSet<u8> = RULES.iter().map(|rule| rule.number).collect();
    assert_eq!(distinct.len(), RULES.len());
}
