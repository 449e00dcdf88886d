//! The record: whose changes it refuses, and what tuning may not do.

use sorreldoor::consensus::Machine;
use sorreldoor::record::{decode, encode, Cmd, Outcome, Record, Recovery};
use sorreldoor::setup::Site;
use std::sync::Arc;

fn site() -> Arc<Site> {
    Arc::new(Site {
        regions: vec!["a".into(), "b".into()],
        zones: vec![("a1".into(), 0), ("b1".into(), 1)],
    })
}

const DOC: &str = r#"{"groups":{"g":{"kind":"model"}},"services":{"s":{"groups":["g"]},"t":{"groups":["g"]}},
 "routes":{"r":{"kind":"decode","shares":{"s":{"weight":50,"least":40,"most":60},"t":{"weight":50}}}}}"#;

struct Run(Record, u128);

impl Run {
    fn new() -> Run {
        Run(Record::new(site()), 0)
    }
    fn act(&mut self, c: Cmd) -> Outcome {
        self.1 += 1;
        let b = self.0.apply(self.1 as u64, self.1, &encode(&c));
        decode(&b).expect("an outcome")
    }
    fn put(&mut self, base: u64) -> Outcome {
        let doc = DOC.to_string();
        self.act(Cmd::Put {
            base,
            to: None,
            doc,
        })
    }
}

#[test]
fn a_stale_duty_holder_is_refused() {
    let mut r = Run::new();
    assert_eq!(r.put(0), Outcome::Taken { serial: 1 });
    let duty = |holder, above| Cmd::Duty { holder, above };
    assert_eq!(r.act(duty(7, 0)), Outcome::Taken { serial: 1 });
    // of two that race for the same epoch the second loses
    assert_eq!(r.act(duty(8, 0)), Outcome::OldEpoch { epoch: 1 });
    assert_eq!(r.act(duty(8, 1)), Outcome::Taken { serial: 1 });
    let tune = |epoch, serial| Cmd::Tune {
        epoch,
        serial,
        weights: vec![(0, 0, 99), (0, 1, 99)],
    };
    assert_eq!(r.act(tune(1, 1)), Outcome::OldEpoch { epoch: 2 });
    let lost = Cmd::Region {
        epoch: 1,
        region: 0,
        state: Recovery::Lost,
    };
    assert_eq!(r.act(lost), Outcome::OldEpoch { epoch: 2 });
    assert_eq!(r.0.view().weights, vec![]);
    assert_eq!(r.act(tune(2, 0)), Outcome::Stale { serial: 1 });
    assert_eq!(r.act(tune(2, 1)), Outcome::Taken { serial: 1 });
    // within the operator's bounds, and not at all where none are given
    assert_eq!(r.0.view().weights, vec![(0, 0, 60), (0, 1, 50)]);
    assert_eq!(r.put(1), Outcome::Taken { serial: 2 });
    assert_eq!(r.0.view().weights, vec![]);
}

#[test]
fn a_record_is_the_same_after_its_image() {
    let mut r = Run::new();
    r.put(0);
    let (base, zone, emptied) = (1, 1, true);
    r.act(Cmd::Zone {
        base,
        zone,
        emptied,
    });
    let image = r.0.image();
    let mut other = Record::new(site());
    assert!(other.load(&image));
    assert_eq!(other.view(), r.0.view());
    assert_eq!(other.image(), image);
    // a retry after the image gets the first answer, and changes nothing
    let again = other.apply(
        99,
        1,
        &encode(&Cmd::Put {
            base: 0,
            to: None,
            doc: DOC.into(),
        }),
    );
    assert_eq!(decode(&again), Some(Outcome::Taken { serial: 1 }));
    assert_eq!(other.view(), r.0.view());
    assert!(!other.load(b"not an image"));
}
