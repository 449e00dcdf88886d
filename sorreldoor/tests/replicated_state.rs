//! The record: whose changes it refuses, and what tuning may not do.

use sorreldoor::configuration::Site;
use sorreldoor::consensus::StateMachine;
use sorreldoor::replicated_state::{
    decode, encode, Command, Outcome, Recovery, ReplicatedState, MAX_REMEMBERED_REQUESTS,
};
use std::sync::Arc;

fn site() -> Arc<Site> {
    Arc::new(Site {
        regions: vec!["a".into(), "b".into()],
        zones: vec![("a1".into(), 0), ("b1".into(), 1)],
    })
}

const DOC: &str = r#"{"groups":{"g":{"kind":"model"}},"services":{"s":{"groups":["g"]},"t":{"groups":["g"]}},
 "routes":{"r":{"kind":"decode","shares":{"s":{"weight":50,"least":40,"most":60},"t":{"weight":50}}}}}"#;

struct Run(ReplicatedState, u128);

impl Run {
    fn new() -> Run {
        Run(ReplicatedState::new(site()), 0)
    }
    fn act(&mut self, c: Command) -> Outcome {
        self.1 += 1;
        let b = self.0.apply(self.1 as u64, self.1, &encode(&c));
        decode(&b).expect("an outcome")
    }
    fn put(&mut self, base: u64) -> Outcome {
        let doc = DOC.to_string();
        self.act(Command::Put {
            base,
            new_version: None,
            document: doc,
        })
    }
}

#[test]
fn a_stale_duty_holder_is_refused() {
    let mut r = Run::new();
    assert_eq!(r.put(0), Outcome::Applied { version: 1 });
    let duty = |holder, above| Command::AcquireRole {
        holder,
        previous_epoch: above,
    };
    assert_eq!(r.act(duty(7, 0)), Outcome::Applied { version: 1 });
    // of two that race for the same epoch the second loses
    assert_eq!(r.act(duty(8, 0)), Outcome::StaleEpoch { epoch: 1 });
    assert_eq!(r.act(duty(8, 1)), Outcome::Applied { version: 1 });
    let tune = |epoch, version| Command::SetWeights {
        epoch,
        version,
        weights: vec![(0, 0, 99), (0, 1, 99)],
    };
    assert_eq!(r.act(tune(1, 1)), Outcome::StaleEpoch { epoch: 2 });
    let lost = Command::SetRegion {
        epoch: 1,
        region: 0,
        state: Recovery::Lost,
    };
    assert_eq!(r.act(lost), Outcome::StaleEpoch { epoch: 2 });
    assert_eq!(r.0.view().weights, vec![]);
    assert_eq!(r.act(tune(2, 0)), Outcome::Stale { version: 1 });
    assert_eq!(r.act(tune(2, 1)), Outcome::Applied { version: 1 });
    // within the operator's bounds, and not at all where none are given
    assert_eq!(r.0.view().weights, vec![(0, 0, 60), (0, 1, 50)]);
    assert_eq!(r.put(1), Outcome::Applied { version: 2 });
    assert_eq!(r.0.view().weights, vec![]);
}

#[test]
fn a_record_is_the_same_after_its_image() {
    let mut r = Run::new();
    r.put(0);
    let (base, zone, evacuated) = (1, 1, true);
    r.act(Command::EvacuateZone {
        base,
        zone,
        evacuated,
    });
    let image = r.0.image();
    let mut other = ReplicatedState::new(site());
    assert!(other.load(&image));
    assert_eq!(other.view(), r.0.view());
    assert_eq!(other.image(), image);
    // a retry after the image gets the first answer, and changes nothing
    let again = other.apply(
        99,
        1,
        &encode(&Command::Put {
            base: 0,
            new_version: None,
            document: DOC.into(),
        }),
    );
    assert_eq!(decode(&again), Some(Outcome::Applied { version: 1 }));
    assert_eq!(other.view(), r.0.view());
    assert!(!other.load(b"not an image"));
}

fn apply(r: &mut ReplicatedState, id: u128, cmd: &Command) -> Outcome {
    decode(&r.apply(0, id, &encode(cmd))).expect("an outcome")
}

fn put(base: u64, to: u64) -> Command {
    let doc = DOC.to_string();
    let to = Some(to);
    Command::Put {
        base,
        new_version: to,
        document: doc,
    }
}

#[test]
fn an_order_before_its_base_is_not_refused_and_is_taken_later() {
    let mut r = ReplicatedState::new(site());
    assert_eq!(
        apply(&mut r, 2, &put(7, 9)),
        Outcome::BaseAhead { version: 0 },
        "version 7 may still be on its way"
    );
    assert_eq!(r.answered(2), None, "nothing is kept of what was not taken");
    assert_eq!(
        apply(&mut r, 1, &put(0, 7)),
        Outcome::Applied { version: 7 }
    );
    assert_eq!(
        apply(&mut r, 2, &put(7, 9)),
        Outcome::Applied { version: 9 }
    );
    assert_eq!(
        apply(&mut r, 2, &put(7, 9)),
        Outcome::Applied { version: 9 }
    );
    assert_eq!(r.version(), 9);
}

#[test]
fn a_refusal_is_final_whatever_comes_after_it() {
    let mut r = ReplicatedState::new(site());
    apply(&mut r, 1, &put(0, 5));
    apply(&mut r, 2, &put(5, 6));
    // lost its race; not above its base; faulty on its base
    let stale = put(5, 7);
    let low = put(6, 6);
    let faulty = Command::MergePatch {
        base: 6,
        patch: r#"{"services":null}"#.into(),
    };
    assert_eq!(apply(&mut r, 3, &stale), Outcome::Stale { version: 6 });
    assert!(matches!(apply(&mut r, 4, &low), Outcome::Invalid { .. }));
    assert!(matches!(apply(&mut r, 5, &faulty), Outcome::Invalid { .. }));
    for base in 6..40 {
        for (id, cmd) in [(3, &stale), (4, &low), (5, &faulty)] {
            let again = apply(&mut r, id, cmd);
            let refused = matches!(again, Outcome::Stale { .. } | Outcome::Invalid { .. });
            assert!(refused, "{id} on {base}: {again:?}");
        }
        assert_eq!(r.version(), base, "a refused order changed the version");
        let next = apply(&mut r, 100 + u128::from(base), &put(base, base + 1));
        assert_eq!(next, Outcome::Applied { version: base + 1 });
    }
}

#[test]
fn one_number_with_other_content_is_refused() {
    let mut r = ReplicatedState::new(site());
    apply(&mut r, 1, &put(0, 5));
    assert_eq!(
        apply(&mut r, 2, &put(5, 7)),
        Outcome::Applied { version: 7 }
    );
    // another body has another id: same base and number, and it must lose
    assert_eq!(apply(&mut r, 3, &put(5, 7)), Outcome::Stale { version: 7 });
    assert_eq!(
        apply(&mut r, 2, &put(5, 7)),
        Outcome::Applied { version: 7 }
    );
}

fn zone(base: u64) -> Command {
    let (zone, evacuated) = (0, base.is_multiple_of(2));
    Command::EvacuateZone {
        base,
        zone,
        evacuated,
    }
}

#[test]
fn a_taken_order_is_acknowledged_again_or_left_open_never_refused() {
    let mut r = ReplicatedState::new(site());
    let limit = MAX_REMEMBERED_REQUESTS as u64;
    let all = limit + 300;
    for base in 0..all {
        let taken = Outcome::Applied { version: base + 1 };
        assert_eq!(apply(&mut r, u128::from(base) + 1, &zone(base)), taken);
        // the duty's own proposals must not push operators' orders out
        let tune = Command::SetWeights {
            epoch: 0,
            version: base + 1,
            weights: vec![],
        };
        apply(&mut r, (1 << 100) + u128::from(base), &tune);
    }
    let image = r.image();
    let mut restored = ReplicatedState::new(site());
    assert!(restored.load(&image));
    for r in [&mut r, &mut restored] {
        for base in 0..all {
            let again = apply(r, u128::from(base) + 1, &zone(base));
            let want = if base < 300 {
                Outcome::Unknown { version: all }
            } else {
                Outcome::Applied { version: base + 1 }
            };
            assert_eq!(again, want, "order on {base}");
        }
        assert_eq!(r.version(), all, "no repeat was entered twice");
        // an order on an old base that never was taken is refused still
        let late = apply(r, 1 << 90, &zone(400));
        assert_eq!(late, Outcome::Stale { version: all });
    }
    let bytes = image.len() as u64 / limit;
    println!("{} bytes of image for {limit} orders", image.len());
    assert!(bytes < 32, "{bytes} bytes an order");
}

#[test]
fn an_evacuation_held_up_until_after_its_end_has_no_effect() {
    let mut r = ReplicatedState::new(site());
    let order = |evacuated, changes| Command::EvacuateIfUnchanged {
        zone: 1,
        evacuated,
        changes,
    };
    // two copies of one call, one held up at another core
    assert_eq!(
        apply(&mut r, 1, &order(true, 0)),
        Outcome::Applied { version: 0 }
    );
    assert_eq!(
        apply(&mut r, 2, &order(true, 0)),
        Outcome::Applied { version: 0 }
    );
    assert_eq!(
        apply(&mut r, 3, &order(false, 1)),
        Outcome::Applied { version: 0 }
    );
    assert_eq!(
        apply(&mut r, 4, &order(true, 0)),
        Outcome::Unknown { version: 0 }
    );
    assert!(!r.evacuated(1), "a late copy emptied the zone again");
    // the same zone emptied anew is another call
    assert_eq!(
        apply(&mut r, 5, &order(true, 2)),
        Outcome::Applied { version: 0 }
    );
    assert!(r.evacuated(1));
    let mut restored = ReplicatedState::new(site());
    assert!(restored.load(&r.image()));
    assert_eq!(restored.zone_changes(1), 3);
}

/// The replicated state as the release before wrote it, as far as it matters.
#[derive(serde::Serialize)]
struct OldImage {
    #[serde(rename = "rev")]
    revision: u64,
    #[serde(rename = "serial")]
    version: u64,
    doc: Option<String>,
    #[serde(rename = "emptied")]
    evacuated: Vec<u16>,
    weights: std::collections::BTreeMap<(u16, u16), u32>,
    regions: std::collections::BTreeMap<u8, Recovery>,
    epoch: u64,
    holder: u64,
    answered: std::collections::BTreeMap<u128, Vec<u8>>,
    order: Vec<u128>,
}

#[test]
fn taken_orders_of_the_release_before_are_taken_over() {
    let taken = encode(&Outcome::Applied { version: 7 });
    let refused = encode(&Outcome::Stale { version: 7 });
    let old = OldImage {
        revision: 3,
        version: 7,
        doc: None,
        evacuated: vec![],
        weights: Default::default(),
        regions: Default::default(),
        epoch: 0,
        holder: 0,
        answered: [(1, taken), (2, refused)].into(),
        order: vec![1, 2],
    };
    let mut r = ReplicatedState::new(site());
    assert!(r.load(&encode(&old)));
    assert_eq!(apply(&mut r, 1, &zone(0)), Outcome::Applied { version: 7 });
    // refused there when 7 was not current yet
    assert_eq!(apply(&mut r, 2, &zone(7)), Outcome::Applied { version: 8 });
}
