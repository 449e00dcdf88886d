//! Property test of configurations over whole lives: whatever the cores accept is restored
//! from a snapshot, read back as it is in force, and changed alike afterwards.
//!
//! `SORRELDOOR_CASES` sets the number of lives; a failing life is kept in
//! `testbed/proptest-regressions/` and played first from then on.

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, FileFailurePersistence, TestRunner};
use simd_json::prelude::*;
use sorreldoor::configuration::{Site, MAX_BYTES};
use sorreldoor::consensus::StateMachine;
use sorreldoor::invariants::{disable_only, Invariant};
use sorreldoor::json::{self, Value};
use sorreldoor::replicated_state::{
    decode, encode, Command, Outcome, ReplicatedState, StateReplica,
};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Lives that CI plays.
const CASES: u32 = 600;
/// Names of items; few, so that changes meet.
const NAMES: &[&str] = &["a", "b", "\\u00e9", "tenants", "x\\\"y"];
/// Fragments of JSON, valid and invalid, for fields that are not interpreted.
const VALUES: &[&str] = &[
    "null",
    "0",
    "-0.0",
    "1e15",
    "5e-324",
    "18446744073709551615",
    "-9223372036854775808",
    "1e400",
    "\"\"",
    "\"\\u0000\\ud83d\\ude00\\n\"",
    "\"\\ud800\"",
    "{\"k\":1,\"k\":2}",
    "{\"tenants\":null}",
    "[[[[[[[[[[[[[1]]]]]]]]]]]]]",
    "[[[[[[[[[[[[[[1]]]]]]]]]]]]]]",
    "[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]",
];
/// Keys that are not interpreted, or only at another place.
const OTHER_KEYS: &[&str] = &["note", "extra", "hosted", "limits"];

fn site() -> Arc<Site> {
    Arc::new(Site {
        regions: vec!["east".into(), "west".into()],
        zones: vec![("a".into(), 0), ("b".into(), 1)],
    })
}

/// One step in the life of a configuration.
#[derive(Clone, Debug)]
enum Step {
    Replace(String),
    Edit {
        set: String,
        drop: String,
    },
    Merge(String),
    Evacuate {
        zone: u16,
        evacuated: bool,
    },
    /// The core goes on from its snapshot.
    Restart,
}

fn one_of(texts: &'static [&'static str]) -> impl Strategy<Value = &'static str> {
    prop::sample::select(texts)
}

fn member(key: &str, value: &str) -> String {
    format!("\"{key}\":{value}")
}

fn object(members: &[String]) -> String {
    format!("{{{}}}", members.join(","))
}

/// The service of a route: mostly the one that each life begins with.
fn service_name() -> impl Strategy<Value = &'static str> {
    prop_oneof![4 => Just("a"), 1 => one_of(NAMES)]
}

/// An item of a list of the `hosted` section.
fn item(list: &'static str) -> impl Strategy<Value = String> {
    let other = prop::option::of((one_of(OTHER_KEYS), one_of(VALUES)));
    (one_of(NAMES), service_name(), 0..40u8, other).prop_map(
        move |(name, service, number, other)| {
            let mut members = vec![member("name", &format!("\"{name}\""))];
            match list {
                "routes" => members.extend([
                    member("host", "\"h\""),
                    member("prefix", &format!("\"/p{number}/\"")),
                    member("timeout_ms", "50.5"),
                    member("service", &format!("\"{service}\"")),
                ]),
                "tenants" => members.extend([
                    member("keys", &format!("[\"k{number}\"]")),
                    member("rate_per_s", "1.5"),
                    member("homes", "null"),
                ]),
                _ => members.push(member("max_conns", &number.to_string())),
            }
            members.extend(other.map(|(key, value)| member(key, value)));
            object(&members)
        },
    )
}

/// The value of a list: absent, null, or items.
fn list(key: &'static str) -> impl Strategy<Value = Option<String>> {
    let items = prop::collection::vec(item(key), 0..4);
    prop_oneof![
        2 => Just(None),
        2 => Just(Some("null".to_string())),
        6 => items.prop_map(|items| Some(format!("[{}]", items.join(",")))),
    ]
}

/// The members of the `hosted` section, or those that an edit sets.
fn section() -> impl Strategy<Value = String> {
    let other = prop::collection::vec((one_of(OTHER_KEYS), one_of(VALUES)), 0..2);
    (list("services"), list("routes"), list("tenants"), other).prop_map(
        |(services, routes, tenants, other)| {
            let lists = [
                ("services", services),
                ("routes", routes),
                ("tenants", tenants),
            ];
            let lists = lists.into_iter();
            let mut members: Vec<String> = lists
                .filter_map(|(key, list)| list.map(|list| member(key, &list)))
                .collect();
            members.extend(other.iter().map(|(key, value)| member(key, value)));
            object(&members)
        },
    )
}

fn dropped() -> impl Strategy<Value = String> {
    let names = prop::collection::vec(one_of(NAMES), 0..3);
    let key = one_of(&["routes", "services", "tenants", "extra"]);
    prop::collection::vec((key, names), 0..2).prop_map(|lists| {
        let members = lists.into_iter().map(|(key, names)| {
            let names: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
            member(key, &format!("[{}]", names.join(",")))
        });
        object(&members.collect::<Vec<_>>())
    })
}

fn step() -> impl Strategy<Value = Step> {
    let whole = || section().prop_map(|section| object(&[member("hosted", &section)]));
    prop_oneof![
        3 => whole().prop_map(Step::Replace),
        6 => (section(), dropped()).prop_map(|(set, drop)| Step::Edit { set, drop }),
        1 => whole().prop_map(Step::Merge),
        1 => (0..3u16, any::<bool>())
            .prop_map(|(zone, evacuated)| Step::Evacuate { zone, evacuated }),
        1 => Just(Step::Restart),
    ]
}

fn command(step: &Step, base: u64) -> Option<Command> {
    Some(match step.clone() {
        Step::Replace(document) => Command::Put {
            base,
            new_version: None,
            document,
        },
        Step::Edit { set, drop } => Command::ChangeItems {
            base,
            new_version: None,
            set,
            drop,
        },
        Step::Merge(patch) => Command::MergePatch { base, patch },
        Step::Evacuate { zone, evacuated } => Command::EvacuateUnversioned { zone, evacuated },
        Step::Restart => return None,
    })
}

fn apply(state: &mut ReplicatedState, index: usize, command: &Command) -> Outcome {
    let number = index as u64 + 1;
    let outcome = state.apply(number, u128::from(number), &encode(command));
    decode(&outcome).expect("an outcome")
}

/// The state of a blank core that loads the snapshot of `state`.
fn restored(state: &ReplicatedState) -> Result<ReplicatedState, TestCaseError> {
    let mut restored = ReplicatedState::new(site());
    prop_assert!(restored.load(&state.image()), "it cannot be restored");
    Ok(restored)
}

/// Plays a life on a core, on one that restarts before each step, and on a replica.
fn play(life: &[Step]) -> Result<(), TestCaseError> {
    let mut core = ReplicatedState::new(site());
    let mut replica = StateReplica::default();
    for (index, step) in life.iter().enumerate() {
        let mut other = restored(&core)?;
        assert_same(&other, &core)?;
        let Some(command) = command(step, core.version()) else {
            core = other;
            continue;
        };
        let outcome = apply(&mut core, index, &command);
        prop_assert_eq!(&apply(&mut other, index, &command), &outcome);
        assert_same(&other, &core)?;
        prop_assert!(replica.apply(&core.delta_since(replica.view().revision)));
        prop_assert_eq!(replica.view(), core.view());
        assert_read_back(&core)?;
    }
    restored(&core).map(|_| ())
}

fn assert_same(restored: &ReplicatedState, core: &ReplicatedState) -> Result<(), TestCaseError> {
    prop_assert_eq!(restored.view(), core.view());
    prop_assert_eq!(restored.configuration(), core.configuration());
    Ok(())
}

/// The text in force has each key once.
fn assert_read_back(core: &ReplicatedState) -> Result<(), TestCaseError> {
    if let Some(text) = core.view().document {
        let value = json::parse_canonical(&text);
        prop_assert!(has_each_key_once(&value), "{}", text);
        // large objects lose repeated keys when they are parsed
        prop_assert_eq!(json::canonical(&value).len(), text.len(), "{}", text);
    }
    Ok(())
}

fn has_each_key_once(value: &Value) -> bool {
    if let Some(object) = value.as_object() {
        let keys: BTreeSet<&String> = object.keys().collect();
        return keys.len() == object.len() && object.values().all(has_each_key_once);
    }
    let items = value.as_array();
    items.is_none_or(|items| items.iter().all(has_each_key_once))
}

fn lives() -> impl Strategy<Value = Vec<Step>> {
    let first = Step::Replace(r#"{"hosted":{"services":[{"name":"a"}]}}"#.into());
    prop::collection::vec(step(), 1..12).prop_map(move |mut life| {
        life.insert(0, first.clone());
        life
    })
}

fn runner(cases: u32) -> TestRunner {
    let file = FileFailurePersistence::SourceParallel("proptest-regressions");
    TestRunner::new(Config {
        cases,
        failure_persistence: Some(Box::new(file)),
        source_file: Some(file!()),
        ..Config::default()
    })
}

fn cases() -> u32 {
    let cases = std::env::var("SORRELDOOR_CASES").ok();
    cases.and_then(|cases| cases.parse().ok()).unwrap_or(CASES)
}

/// How many changes of these lives were applied, of how many.
fn count_applied(lives: &[Vec<Step>]) -> (usize, usize) {
    let mut applied = 0;
    let mut all = 0;
    for life in lives {
        let mut core = ReplicatedState::new(site());
        for (index, step) in life.iter().enumerate() {
            let Some(command) = command(step, core.version()) else {
                continue;
            };
            let outcome = apply(&mut core, index, &command);
            applied += usize::from(matches!(outcome, Outcome::Applied { .. }));
            all += 1;
        }
    }
    (applied, all)
}

#[test]
fn a_quarter_of_the_changes_drawn_is_accepted() {
    let mut runner = runner_without_corpus();
    let drawn = (0..CASES).map(|_| lives().new_tree(&mut runner).expect("a life").current());
    let (applied, all) = count_applied(&drawn.collect::<Vec<_>>());
    println!("{applied} of {all} changes applied");
    assert!(applied * 4 > all, "{applied} of {all} changes applied");
}

#[test]
fn what_the_cores_accept_is_restored_and_changed_alike() {
    let result = runner(cases()).run(&lives(), |life| play(&life));
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// A life that ends at most 64 bytes below the size limit, or above it.
fn large_life() -> impl Strategy<Value = Vec<Step>> {
    let padding = |name: &str, bytes: usize| Step::Edit {
        set: format!(
            "{{\"services\":[{{\"name\":\"{name}\",\"note\":\"{}\"}}]}}",
            "x".repeat(bytes)
        ),
        drop: "{}".into(),
    };
    let half = MAX_BYTES / 2;
    (0..200usize, prop::collection::vec(step(), 0..3)).prop_map(move |(below, mut more)| {
        let mut life = vec![
            Step::Replace("{\"hosted\":{\"tenants\":null}}".into()),
            padding("p", half),
            padding("q", half - below),
        ];
        life.append(&mut more);
        life
    })
}

#[test]
fn a_configuration_near_the_size_limit_is_restored_and_changed_alike() {
    let result = runner(cases() / 50).run(&large_life(), |life| play(&life));
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// Whether lives show that an invariant is disabled.
fn is_seen(invariant: Invariant, lives: &impl Fn(&mut TestRunner) -> bool) -> bool {
    disable_only(Some(invariant));
    let seen = lives(&mut runner_without_corpus());
    disable_only(None);
    seen
}

fn runner_without_corpus() -> TestRunner {
    TestRunner::new(Config {
        cases: CASES,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    })
}

#[test]
fn lives_show_each_cause_of_an_unreadable_state() {
    for invariant in [Invariant::KeyWrittenOnce, Invariant::AcceptedIsReadable] {
        let small = |runner: &mut TestRunner| runner.run(&lives(), |life| play(&life)).is_err();
        assert!(is_seen(invariant, &small), "{}", invariant.name());
    }
    let large = |runner: &mut TestRunner| runner.run(&large_life(), |life| play(&life)).is_err();
    let invariant = Invariant::AcceptedIsReadable;
    assert!(is_seen(invariant, &large), "{}", invariant.name());
}

/// The snapshot of a core whose document has null beside a list of the same key, as
/// releases before protocol 8 could make it.
fn snapshot_with_a_repeated_key() -> Vec<u8> {
    disable_only(Some(Invariant::KeyWrittenOnce));
    let mut core = ReplicatedState::new(site());
    let life = [
        Step::Replace(r#"{"hosted":{"tenants":null}}"#.into()),
        Step::Edit {
            set: r#"{"tenants":[{"name":"a","keys":["k"]}]}"#.into(),
            drop: "{}".into(),
        },
    ];
    for (index, step) in life.iter().enumerate() {
        let command = command(step, core.version()).expect("a command");
        let outcome = apply(&mut core, index, &command);
        assert!(matches!(outcome, Outcome::Applied { .. }), "{outcome:?}");
    }
    disable_only(None);
    assert!(assert_read_back(&core).is_err(), "the key is there once");
    core.image()
}

#[test]
fn a_snapshot_of_an_earlier_release_with_a_repeated_key_is_repaired() {
    let mut core = ReplicatedState::new(site());
    assert!(core.load(&snapshot_with_a_repeated_key()));
    assert!(core.was_repaired());
    assert_read_back(&core).expect("each key once");
    let hosted = core.configuration().and_then(|c| c.hosted.clone());
    assert!(hosted.is_some_and(|hosted| hosted.tenants.required()));
    let mut again = ReplicatedState::new(site());
    assert!(again.load(&core.image()) && !again.was_repaired());
    assert_eq!(again.view(), core.view());
}
