//! The `hosted` part of a setup: what is read, what is refused, and how
//! operators' changes of whole documents and of single items go.

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

fn read(doc: &str) -> Result<Configuration, Vec<String>> {
    configuration::parse(doc.as_bytes(), &site()).map(|(s, _)| s)
}

#[test]
fn a_hosted_part_is_read_whole() {
    let s = read(DOC).expect("it is good");
    let h = s.hosted.expect("it is there");
    let r = &h.routes[0];
    assert_eq!((r.kind, r.timeout_ms, r.aim_ms), (Kind::Stream, 8001, 1000));
    assert_eq!((&r.split[..], r.attempts), (&[(0, 90), (1, 10)][..], 2));
    assert_eq!((r.sticky, r.resume, r.gap_ms), (true, true, 400));
    assert_eq!(r.homes, [1]);
    // a home that is not here is no leave to serve everywhere
    assert_eq!(h.routes[2].homes, [u8::MAX]);
    assert_eq!(h.routes[1].split, [(1, 1)]);
    let v = &h.services[0];
    assert_eq!(
        (v.warmup_ms, v.warmup_per_s, v.max_conns),
        (2500, 45.5, 330)
    );
    let e = v.engine.expect("it has an engine");
    assert_eq!((e.slots, e.kv_tokens, e.stride), (48, 318_206, 5));
    assert_eq!(h.limits.body_bytes, 2000);
    assert_eq!(h.find("a.example", "/x/y/z"), Some(1));
    assert_eq!(h.find("A.EXAMPLE", "/x/z"), Some(0));
    assert_eq!(h.find("a.example", "/x"), None);
    assert_eq!(h.find("b.example", "/any"), Some(2));
    assert_eq!(h.service("t"), Some(1));
}

#[test]
fn what_may_not_come_into_force_is_refused() {
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
    for (a, b) in bad {
        let doc = DOC.replacen(a, b, 1);
        assert_ne!(doc, DOC, "{a}");
        assert!(read(&doc).is_err(), "{a} to {b}");
    }
    let none = DOC.replace(":90}", ":0}").replace(":10}", ":0}");
    let faults = read(&none).expect_err("weights sum to 0");
    assert!(faults[0].contains("split"), "{faults:?}");
    // without a hosted part a setup is held to all it was held to before
    assert!(read("{}").is_err());
    assert!(read(r#"{"hosted":{}}"#).is_ok());
}

fn many(n: usize) -> String {
    let rs: Vec<String> = (0..n)
        .map(|i| {
            format!(
                r#"{{"name":"r{i}","host":"h{}.example","prefix":"/p{i}/","timeout_ms":50,"service":"s"}}"#,
                i % 3
            )
        })
        .collect();
    let rs = rs.join(",");
    format!(r#"{{"hosted":{{"routes":[{rs}],"services":[{{"name":"s"}}]}}}}"#)
}

#[test]
fn thousands_of_routes_are_read_and_found() {
    let h = read(&many(6000)).expect("good").hosted.expect("there");
    for i in [0, 1, 17, 5999] {
        let host = format!("h{}.example", i % 3);
        assert_eq!(h.find(&host, &format!("/p{i}/x/y")), Some(i as u32));
        assert_eq!(h.find("h9.example", &format!("/p{i}/x")), None);
    }
    assert_eq!(h.find("h0.example", "/p1/"), None);
}

struct Run(ReplicatedState, u128);

impl Run {
    fn new() -> Run {
        Run(ReplicatedState::new(Arc::new(site())), 0)
    }
    fn act(&mut self, c: Command) -> Outcome {
        self.1 += 1;
        let b = self.0.apply(self.1 as u64, self.1, &encode(&c));
        decode(&b).expect("an outcome")
    }
    fn put(&mut self, base: u64, to: u64) -> Outcome {
        let (to, doc) = (Some(to), DOC.to_string());
        self.act(Command::Put {
            base,
            new_version: to,
            document: doc,
        })
    }
    fn items(&mut self, base: u64, to: u64, set: &str, drop: &str) -> Outcome {
        let (to, set, drop) = (Some(to), set.to_string(), drop.to_string());
        self.act(Command::ChangeItems {
            base,
            new_version: to,
            set,
            drop,
        })
    }
    fn hosted(&self) -> Value {
        use simd_json::prelude::*;
        let d = self.0.view().doc.expect("there is a document");
        let v = json::parse(d.as_bytes(), usize::MAX).expect("it is JSON");
        v.get("hosted").cloned().unwrap_or_default()
    }
    fn names(&self, k: &str) -> Vec<String> {
        use simd_json::prelude::*;
        let h = self.hosted();
        let all = h.get(k).and_then(|v| v.as_array()).expect("a list");
        all.iter()
            .map(|v| v.get("name").and_then(|n| n.as_str()).unwrap_or("").into())
            .collect()
    }
}

#[test]
fn a_given_serial_rises_by_what_was_given() {
    let mut r = Run::new();
    assert_eq!(r.put(0, 7), Outcome::Applied { version: 7 });
    assert_eq!(r.put(0, 9), Outcome::Stale { version: 7 });
    assert!(matches!(r.put(7, 7), Outcome::Invalid { .. }));
    assert!(matches!(r.put(7, 6), Outcome::Invalid { .. }));
    assert_eq!(r.0.version(), 7);
    let (base, to, doc) = (7, None, DOC.to_string());
    let o = r.act(Command::Put {
        base,
        new_version: to,
        document: doc,
    });
    assert_eq!(o, Outcome::Applied { version: 8 });
    // a proposal without the field, as an older core wrote it, is read
    #[derive(serde::Serialize)]
    enum Old {
        Put { base: u64, doc: String },
    }
    let doc = DOC.to_string();
    let b = encode(&Old::Put { base: 8, doc });
    assert!(matches!(
        decode(&b),
        Some(Command::Put {
            new_version: None,
            ..
        })
    ));
}

/// All that was put comes back: fields not known here, the order of lists,
/// numbers, and the image of the record too.
#[test]
fn what_was_put_comes_back_field_for_field() {
    use simd_json::prelude::*;
    let mut r = Run::new();
    r.put(0, 7);
    let put = json::parse(DOC.as_bytes(), usize::MAX).expect("JSON");
    assert_eq!(Some(&r.hosted()), put.get("hosted"));
    let mut other = ReplicatedState::new(Arc::new(site()));
    assert!(other.load(&r.0.image()));
    assert_eq!(other.view(), r.0.view());
    assert_eq!(other.configuration(), r.0.configuration());
}

#[test]
fn items_are_set_and_dropped_by_name() {
    use simd_json::prelude::*;
    let mut r = Run::new();
    r.put(0, 7);
    let set = r#"{"routes":[
      {"name":"new","host":"c","prefix":"/","timeout_ms":1,"service":"t","x":[1,2.5]},
      {"name":"r2","host":"a.example","prefix":"/z/","timeout_ms":30,"service":"t"}],
      "limits":{"idle_ms":99}}"#;
    let drop = r#"{"routes":["r1","none"]}"#;
    assert_eq!(r.items(6, 9, set, drop), Outcome::Stale { version: 7 });
    assert_eq!(r.items(7, 9, set, drop), Outcome::Applied { version: 9 });
    assert_eq!(r.names("routes"), ["r2", "r3", "new"]);
    assert_eq!(r.names("services"), ["s", "t"]);
    let s =
        r.0.configuration()
            .and_then(|s| s.hosted.clone())
            .expect("hosted");
    assert_eq!(s.find("a.example", "/x/y/"), None);
    assert_eq!(s.find("a.example", "/z/"), Some(0));
    assert_eq!(s.limits.idle_ms, 99);
    assert_eq!(
        r.hosted().get("note").and_then(|n| n.as_str()),
        Some("kept")
    );
    // the whole result is checked, and nothing of a bad change stays
    let was = r.0.view();
    for (set, drop) in [
        ("{}", r#"{"services":["t"]}"#),
        (r#"{"routes":[{"name":"bad"}]}"#, "{}"),
        (r#"{"routes":[{"host":"h"}]}"#, "{}"),
        ("{", "{}"),
        ("[]", "{}"),
    ] {
        let o = r.items(9, 10, set, drop);
        assert!(matches!(o, Outcome::Invalid { .. }), "{set} {drop}: {o:?}");
    }
    assert_eq!(r.0.view(), was);
}

#[test]
fn a_zone_is_evacuated_without_a_new_serial() {
    let mut r = Run::new();
    r.put(0, 7);
    let revision = r.0.revision();
    let go = |zone, evacuated| Command::EvacuateUnversioned { zone, evacuated };
    assert_eq!(r.act(go(1, true)), Outcome::Applied { version: 7 });
    assert_eq!(
        (r.0.view().evacuated, r.0.revision()),
        (vec![1], revision + 1)
    );
    assert!(matches!(r.act(go(9, true)), Outcome::Invalid { .. }));
    assert_eq!(r.put(7, 8), Outcome::Applied { version: 8 });
    assert_eq!(r.0.view().evacuated, [1]);
    assert_eq!(r.act(go(1, false)), Outcome::Applied { version: 8 });
    assert_eq!(r.0.view().evacuated, Vec::<u16>::new());
}

/// Bytes take about as much room as they are long, and what an older core
/// wrote, as a list of numbers, is read as well.
#[test]
fn bytes_are_kept_as_bytes() {
    let b = Body::Data(Arc::new(vec![200; 10_000]));
    let now = encode(&b);
    assert!(now.len() < 10_100, "{}", now.len());
    assert_eq!(decode::<Body>(&now), Some(b.clone()));
    #[derive(serde::Serialize)]
    enum Old {
        Data(Vec<u8>),
    }
    let old = encode(&Old::Data(vec![200; 10_000]));
    assert!(old.len() > 19_000);
    assert_eq!(decode::<Body>(&old), Some(b));
}
