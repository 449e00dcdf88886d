//! Faults of settings and configurations: each has its path and message.

use sorreldoor::configuration::{parse, Site};
use sorreldoor::settings::{Overrides, Role, Settings};

fn faults(text: &str) -> Vec<String> {
    Settings::parse(text.as_bytes(), &Overrides::default(), Role::Edge)
        .err()
        .unwrap_or_default()
}

const VALID: &str = r#"{"site":"s","regions":{"a":["a1","a2"],"b":["b1"]},"node":"n",
  "zone":"a1","http":"127.0.0.1:80","seeds":["127.0.0.1:1","127.0.0.1:2"]}"#;

fn valid_with(from: &str, to: &str) -> String {
    assert!(VALID.contains(from));
    VALID.replace(from, to)
}

#[test]
fn each_settings_fault_has_its_message() {
    assert_eq!(faults(VALID), Vec::<String>::new());
    let cases = [
        (
            valid_with(r#""node":"n""#, r#""node":"n","nod":1"#),
            "nod: unknown field",
        ),
        (valid_with(r#""zone":"a1","#, ""), "zone: is missing"),
        (
            valid_with(r#""zone":"a1""#, r#""zone":"x9""#),
            "zone: \"x9\" is in no region",
        ),
        (
            valid_with("127.0.0.1:80", "localhost:80"),
            "http: \"localhost:80\" is not IP:PORT",
        ),
        (
            valid_with("127.0.0.1:2", "127.0.0.1:1"),
            "seeds[1]: \"127.0.0.1:1\" is named twice",
        ),
        (
            valid_with("127.0.0.1:2", "nowhere"),
            "seeds[1]: \"nowhere\" is not IP:PORT",
        ),
        (
            valid_with(r#"["b1"]"#, r#"["a1"]"#),
            "regions.b: zone \"a1\" is named twice",
        ),
        (
            valid_with(r#""node":"n""#, r#""node":"n","ack_ms":5"#),
            "ack_ms: must be a whole number from 200 to 60000",
        ),
        (
            valid_with(r#""node":"n""#, r#""node":"n","node":"m""#),
            "settings: has the key \"node\" twice",
        ),
        (
            valid_with(r#""node":"n""#, r#""node":"n","listen":"127.0.0.1:80""#),
            "http: is the same address as listen",
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(faults(&text), vec![expected.to_string()], "{text}");
    }
}

#[test]
fn a_data_folder_that_is_not_writable_is_a_fault() {
    let text = valid_with(
        r#""node":"n""#,
        r#""node":"n","listen":"127.0.0.1:81","data":"/proc/none""#,
    );
    let faults_found = Settings::parse(text.as_bytes(), &Overrides::default(), Role::Core)
        .err()
        .unwrap_or_default();
    assert_eq!(faults_found.len(), 1);
    assert!(
        faults_found[0].starts_with("data: /proc/none is not writable:"),
        "{faults_found:?}"
    );
}

fn site() -> Site {
    Site {
        regions: vec!["a".into(), "b".into()],
        zones: vec![("a1".into(), 0), ("b1".into(), 1)],
    }
}

const CONFIGURATION: &str = r#"{"groups":{"g":{"kind":"model","slots":4},"w":{"kind":"web"}},
 "services":{"s":{"groups":["g"]},"t":{"groups":["g"]},"p":{"groups":["w"]}},
 "routes":{"r":{"kind":"prefix","shares":{"s":{"weight":50,"least":20,"most":80},"t":{"weight":50}}},
           "q":{"kind":"fetch","repeatable":true,"shares":{"p":{"weight":1}}}},
 "spill":{"a":{"b":30}},"retry":{"percent":15}}"#;

#[test]
fn each_configuration_fault_is_listed_under_its_path() {
    assert!(parse(CONFIGURATION.as_bytes(), &site()).is_ok());
    let cases = [
        (
            r#""slots":4"#,
            r#""slots":4,"slot":1"#,
            "groups.g.slot: unknown field",
        ),
        (
            r#""slots":4"#,
            r#""slots":0"#,
            "groups.g.slots: must be a whole number from 1 to 1024",
        ),
        (
            r#""kind":"web""#,
            r#""kind":"disk""#,
            "groups.w.kind: must be \"model\" or \"web\"",
        ),
        (
            r#""t":{"groups":["g"]}"#,
            r#""t":{"groups":["h"]}"#,
            "services.t.groups: there is no group \"h\"",
        ),
        (
            r#""t":{"weight":50}"#,
            r#""u":{"weight":50}"#,
            "routes.r.shares.u: there is no such service",
        ),
        (
            r#""weight":50,"least":20"#,
            r#""weight":10,"least":20"#,
            "routes.r.shares.s.weight: must lie within least and most",
        ),
        (
            r#""p":{"weight":1}"#,
            r#""s":{"weight":1}"#,
            "routes.q.shares.s: its groups are of the wrong kind for this route",
        ),
        (
            r#""p":{"weight":1}"#,
            r#""p":{"weight":0}"#,
            "routes.q.shares: must give some service a weight above 0",
        ),
        (
            r#""a":{"b":30}"#,
            r#""a":{"a":30}"#,
            "spill.a.a: a region does not spill to itself",
        ),
        (
            r#""a":{"b":30}"#,
            r#""c":{"b":30}"#,
            "spill.c: there is no such region",
        ),
        (
            r#""percent":15"#,
            r#""percent":40"#,
            "retry.percent: must be a whole number from 0 to 20",
        ),
        (
            r#""percent":15"#,
            r#""percent":15,"percent":16"#,
            "setup: has the key \"percent\" twice",
        ),
    ];
    for (from, to, expected) in cases {
        assert!(CONFIGURATION.contains(from), "{from}");
        let faults_found = parse(CONFIGURATION.replacen(from, to, 1).as_bytes(), &site()).err();
        assert_eq!(faults_found, Some(vec![expected.to_string()]), "{to}");
    }
    let deep = format!("{}1{}", "[".repeat(40), "]".repeat(40));
    let faults_found = parse(deep.as_bytes(), &site()).err();
    assert_eq!(
        faults_found,
        Some(vec!["setup: is nested deeper than 16".to_string()])
    );
    let big = format!("{{\"x\":\"{}\"}}", "y".repeat(4 << 20));
    let faults_found = parse(big.as_bytes(), &site()).err();
    assert_eq!(
        faults_found,
        Some(vec!["setup: is larger than 4194304 bytes".to_string()])
    );
    let two_faults = CONFIGURATION
        .replace(r#""slots":4"#, r#""slots":0"#)
        .replace(r#""percent":15"#, r#""percent":99"#);
    assert_eq!(
        parse(two_faults.as_bytes(), &site())
            .err()
            .map(|faults_found| faults_found.len()),
        Some(2)
    );
}

fn number_of(settings: &Settings, key: &str) -> u64 {
    match key {
        "lease_ms" => settings.lease_ms,
        "max_body" => settings.max_body as u64,
        "max_connections" => settings.max_connections as u64,
        "max_claims" => settings.max_claims as u64,
        _ => unreachable!("{key} has one name only"),
    }
}

/// Renamed keys: current name, deprecated name, a valid value, and the bounds.
const RENAMED: [(&str, &str, u64, &str); 4] = [
    ("lease_ms", "permit_ms", 700, "500 to 2500"),
    ("max_body", "most_body", 2048, "1024 to 67108864"),
    ("max_connections", "most_connections", 9, "1 to 65536"),
    ("max_claims", "most_claims", 1234, "1000 to 10000000"),
];

#[test]
fn a_renamed_key_is_accepted_under_either_name() {
    for (current, deprecated, value, _) in RENAMED {
        for key in [current, deprecated] {
            let text = valid_with(r#""node":"n""#, &format!(r#""node":"n","{key}":{value}"#));
            let settings = Settings::parse(text.as_bytes(), &Overrides::default(), Role::Edge);
            let settings = settings.expect("either name is accepted");
            assert_eq!(number_of(&settings, current), value, "{key}");
        }
    }
}

#[test]
fn a_fault_of_a_renamed_key_has_the_given_name() {
    for (current, deprecated, value, bounds) in RENAMED {
        for key in [current, deprecated] {
            let text = valid_with(r#""node":"n""#, &format!(r#""node":"n","{key}":0"#));
            let expected = format!("{key}: must be a whole number from {bounds}");
            assert_eq!(faults(&text), [expected]);
        }
        let both = format!(r#""node":"n","{current}":{value},"{deprecated}":{value}"#);
        let expected = format!("{deprecated}: is the old name of {current}, which is given too");
        assert_eq!(faults(&valid_with(r#""node":"n""#, &both)), [expected]);
    }
}
