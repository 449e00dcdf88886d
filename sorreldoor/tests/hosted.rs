//! The `hosted` section of a configuration: parsing, validation, and changes of
//! complete documents and of single items.

use sorreldoor::configuration::hosted::Kind;
use sorreldoor::configuration::{self, Configuration, Site};
use sorreldoor::consensus::{Body, StateMachine};
use sorreldoor::json::{self, Value};
use sorreldoor::replicated_state::{decode, encode, Command, Outcome, ReplicatedState};
use std::sync::Arc;

fn site() -> Site {
    Site {
        regions: vec!["east".into(), "west".into()],
        zones: vec![("a".into(), 0), ("b".into(), 1)],
    }
}

const DOC: &str = r#"{"hosted":{"note":"kept","routes":[
 {"name":"r1","host":"A.example","prefix":"/x/","kind":"stream","timeout_ms":8000.5,"aim_ms":1000,
  "priority":1,"split":[{"service":"s","weight":90},{"service":"t","weight":10}],"attempts":2,
  "sticky":true,"resume":true,"gap_ms":400,"homes":["west"],"pin":true},
 {"name":"r2","host":"a.example","prefix":"/x/y/","kind":"once","timeout_ms":20,"service":"t"},
 {"name":"r3","host":"b.example","prefix":"/","timeout_ms":20,"service":"s","homes":["nowhere"]}],
 "services":[
 {"name":"s","health":"/h","max_conns":330,"warmup_s":2.5,"warmup_per_s":45.5,
  "engine":{"slots":48,"kv_tokens":318206,"stride":5,"models":[{"name":"m"}]}},
 {"name":"t"}],"limits":{"header_bytes":1000,"body_bytes":2000,"header_ms":30,"idle_ms":40}}}"#;

fn parse_document(doc: &str) -> Result<Configuration, Vec<String>> {
    configuration::parse(doc.as_bytes(), &site()).map(|(configuration, _)| configuration)
}

#[test]
fn every_field_of_the_hosted_section_is_parsed() {
    let configuration = parse_document(DOC).expect("a valid document");
    let hosted_routes = configuration.hosted.expect("a hosted section");
    let route = &hosted_routes.routes[0];
    assert_eq!(
        (route.kind, route.timeout_ms, route.latency_target_ms),
        (Kind::Stream, 8001, 1000)
    );
    assert_eq!(
        (&route.split[..], route.attempts),
        (&[(0, 90), (1, 10)][..], 2)
    );
    assert_eq!(
        (route.prefix_affinity, route.resume, route.gap_ms),
        (true, true, 400)
    );
    assert_eq!(route.homes, [1]);
    // an unknown home region must not become an empty list, which allows all regions
    assert_eq!(hosted_routes.routes[2].homes, [u8::MAX]);
    assert_eq!(hosted_routes.routes[1].split, [(1, 1)]);
    let service = &hosted_routes.services[0];
    assert_eq!(
        (service.warmup_ms, service.warmup_per_s, service.max_conns),
        (2500, 45.5, 330)
    );
    let engine = service.engine.expect("it has an engine");
    assert_eq!(
        (engine.slots, engine.kv_tokens, engine.stride),
        (48, 318_206, 5)
    );
    assert_eq!(hosted_routes.limits.body_bytes, 2000);
    assert_eq!(hosted_routes.find("a.example", "/x/y/z"), Some(1));
    assert_eq!(hosted_routes.find("A.EXAMPLE", "/x/z"), Some(0));
    assert_eq!(hosted_routes.find("a.example", "/x"), None);
    assert_eq!(hosted_routes.find("b.example", "/any"), Some(2));
    assert_eq!(hosted_routes.service("t"), Some(1));
}

#[test]
fn each_invalid_hosted_section_is_rejected() {
    let bad = [
        (r#""service":"t""#, r#""service":"u""#),
        (r#""prefix":"/x/y/""#, r#""prefix":"/x/""#),
        (r#""prefix":"/x/y/""#, r#""prefix":"/x/y""#),
        (r#""prefix":"/x/y/""#, r#""prefix":"x/""#),
        (r#""weight":90"#, r#""weight":-1"#),
        (
            r#""timeout_ms":20,"service":"t""#,
            r#""timeout_ms":0,"service":"t""#,
        ),
        (r#""timeout_ms":20,"service":"t""#, r#""service":"t""#),
        (r#""name":"r2""#, r#""name":"r1""#),
        (r#""name":"t""#, r#""name":"s""#),
        (r#""kind":"once""#, r#""kind":"twice""#),
        (r#""host":"b.example","#, ""),
        (r#""limits":{"#, r#""limits":{"x":1},"limits":{"#),
        ("}}}", "}}"),
    ];
    for (from, to) in bad {
        let doc = DOC.replacen(from, to, 1);
        assert_ne!(doc, DOC, "{from}");
        assert!(parse_document(&doc).is_err(), "{from} to {to}");
    }
    let zero_weights = DOC.replace(":90}", ":0}").replace(":10}", ":0}");
    let faults = parse_document(&zero_weights).expect_err("weights sum to 0");
    assert!(faults[0].contains("split"), "{faults:?}");
    // without a hosted section the other sections are required
    assert!(parse_document("{}").is_err());
    assert!(parse_document(r#"{"hosted":{}}"#).is_ok());
}

fn document_with_routes(n: usize) -> String {
    let rows: Vec<String> = (0..n)
        .map(|i| {
            format!(
                r#"{{"name":"r{i}","host":"h{}.example","prefix":"/p{i}/","timeout_ms":50,"service":"s"}}"#,
                i % 3
            )
        })
        .collect();
    let rows = rows.join(",");
    format!(r#"{{"hosted":{{"routes":[{rows}],"services":[{{"name":"s"}}]}}}}"#)
}

#[test]
fn a_route_is_found_among_thousands() {
    let hosted_routes = parse_document(&document_with_routes(6000))
        .expect("a valid document")
        .hosted
        .expect("a hosted section");
    for i in [0, 1, 17, 5999] {
        let host = format!("h{}.example", i % 3);
        assert_eq!(
            hosted_routes.find(&host, &format!("/p{i}/x/y")),
            Some(i as u32)
        );
        assert_eq!(hosted_routes.find("h9.example", &format!("/p{i}/x")), None);
    }
    assert_eq!(hosted_routes.find("h0.example", "/p1/"), None);
}

struct TestState(ReplicatedState, u128);

impl TestState {
    fn new() -> TestState {
        TestState(ReplicatedState::new(Arc::new(site())), 0)
    }
    fn apply_next(&mut self, command: Command) -> Outcome {
        self.1 += 1;
        let bytes = self.0.apply(self.1 as u64, self.1, &encode(&command));
        decode(&bytes).expect("an outcome")
    }
    fn put(&mut self, base: u64, new_version: u64) -> Outcome {
        let (new_version, doc) = (Some(new_version), DOC.to_string());
        self.apply_next(Command::Put {
            base,
            new_version,
            document: doc,
        })
    }
    fn change_items(&mut self, base: u64, new_version: u64, set: &str, drop: &str) -> Outcome {
        let (new_version, set, drop) = (Some(new_version), set.to_string(), drop.to_string());
        self.apply_next(Command::ChangeItems {
            base,
            new_version,
            set,
            drop,
        })
    }
    fn hosted(&self) -> Value {
        use simd_json::prelude::*;
        let document = self.0.view().document.expect("there is a document");
        let value = json::parse(document.as_bytes(), usize::MAX).expect("it is JSON");
        value.get("hosted").cloned().unwrap_or_default()
    }
    fn item_names(&self, section: &str) -> Vec<String> {
        use simd_json::prelude::*;
        let hosted = self.hosted();
        let all = hosted
            .get(section)
            .and_then(|items| items.as_array())
            .expect("a list");
        all.iter()
            .map(|item| {
                item.get("name")
                    .and_then(|name| name.as_str())
                    .unwrap_or("")
                    .into()
            })
            .collect()
    }
}

#[test]
fn a_requested_version_must_be_above_its_base() {
    let mut state = TestState::new();
    assert_eq!(state.put(0, 7), Outcome::Applied { version: 7 });
    assert_eq!(state.put(0, 9), Outcome::Stale { version: 7 });
    assert!(matches!(state.put(7, 7), Outcome::Invalid { .. }));
    assert!(matches!(state.put(7, 6), Outcome::Invalid { .. }));
    assert_eq!(state.0.version(), 7);
    let (base, new_version, doc) = (7, None, DOC.to_string());
    let outcome = state.apply_next(Command::Put {
        base,
        new_version,
        document: doc,
    });
    assert_eq!(outcome, Outcome::Applied { version: 8 });
    // the encoding of older cores, without the field, is still decoded
    #[derive(serde::Serialize)]
    enum Legacy {
        Put { base: u64, doc: String },
    }
    let doc = DOC.to_string();
    let bytes = encode(&Legacy::Put { base: 8, doc });
    assert!(matches!(
        decode(&bytes),
        Some(Command::Put {
            new_version: None,
            ..
        })
    ));
}

/// Unknown fields, the order of lists and the form of numbers are preserved, also in
/// the image of the state.
#[test]
fn a_stored_document_is_returned_field_for_field() {
    use simd_json::prelude::*;
    let mut state = TestState::new();
    state.put(0, 7);
    let put = json::parse(DOC.as_bytes(), usize::MAX).expect("JSON");
    assert_eq!(Some(&state.hosted()), put.get("hosted"));
    let mut other = ReplicatedState::new(Arc::new(site()));
    assert!(other.load(&state.0.image()));
    assert_eq!(other.view(), state.0.view());
    assert_eq!(other.configuration(), state.0.configuration());
}

#[test]
fn items_are_set_and_deleted_by_name_and_an_invalid_change_has_no_effect() {
    use simd_json::prelude::*;
    let mut state = TestState::new();
    state.put(0, 7);
    let set = r#"{"routes":[
      {"name":"new","host":"c","prefix":"/","timeout_ms":1,"service":"t","x":[1,2.5]},
      {"name":"r2","host":"a.example","prefix":"/z/","timeout_ms":30,"service":"t"}],
      "limits":{"idle_ms":99}}"#;
    let drop = r#"{"routes":["r1","none"]}"#;
    assert_eq!(
        state.change_items(6, 9, set, drop),
        Outcome::Stale { version: 7 }
    );
    assert_eq!(
        state.change_items(7, 9, set, drop),
        Outcome::Applied { version: 9 }
    );
    assert_eq!(state.item_names("routes"), ["r2", "r3", "new"]);
    assert_eq!(state.item_names("services"), ["s", "t"]);
    let hosted_routes = state
        .0
        .configuration()
        .and_then(|configuration| configuration.hosted.clone())
        .expect("hosted");
    assert_eq!(hosted_routes.find("a.example", "/x/y/"), None);
    assert_eq!(hosted_routes.find("a.example", "/z/"), Some(0));
    assert_eq!(hosted_routes.limits.idle_ms, 99);
    assert_eq!(
        state.hosted().get("note").and_then(|n| n.as_str()),
        Some("kept")
    );
    // the resulting section is validated, and an invalid change has no effect
    let before = state.0.view();
    for (set, drop) in [
        ("{}", r#"{"services":["t"]}"#),
        (r#"{"routes":[{"name":"bad"}]}"#, "{}"),
        (r#"{"routes":[{"host":"h"}]}"#, "{}"),
        ("{", "{}"),
        ("[]", "{}"),
    ] {
        let outcome = state.change_items(9, 10, set, drop);
        assert!(
            matches!(outcome, Outcome::Invalid { .. }),
            "{set} {drop}: {outcome:?}"
        );
    }
    assert_eq!(state.0.view(), before);
}

#[test]
fn an_evacuation_does_not_raise_the_version() {
    let mut state = TestState::new();
    state.put(0, 7);
    let revision = state.0.revision();
    let set_evacuated = |zone, evacuated| Command::EvacuateUnversioned { zone, evacuated };
    assert_eq!(
        state.apply_next(set_evacuated(1, true)),
        Outcome::Applied { version: 7 }
    );
    assert_eq!(
        (state.0.view().evacuated, state.0.revision()),
        (vec![1], revision + 1)
    );
    assert!(matches!(
        state.apply_next(set_evacuated(9, true)),
        Outcome::Invalid { .. }
    ));
    assert_eq!(state.put(7, 8), Outcome::Applied { version: 8 });
    assert_eq!(state.0.view().evacuated, [1]);
    assert_eq!(
        state.apply_next(set_evacuated(1, false)),
        Outcome::Applied { version: 8 }
    );
    assert_eq!(state.0.view().evacuated, Vec::<u16>::new());
}

/// A byte string is encoded in about its length; the list of numbers written by older
/// cores is still decoded.
#[test]
fn byte_strings_are_encoded_compactly() {
    let body = Body::Data(Arc::new(vec![200; 10_000]));
    let encoded = encode(&body);
    assert!(encoded.len() < 10_100, "{}", encoded.len());
    assert_eq!(decode::<Body>(&encoded), Some(body.clone()));
    #[derive(serde::Serialize)]
    enum Legacy {
        Data(Vec<u8>),
    }
    let legacy = encode(&Legacy::Data(vec![200; 10_000]));
    assert!(legacy.len() > 19_000);
    assert_eq!(decode::<Body>(&legacy), Some(body));
}
