//! The soak of hosted routes: a short run over real processes, and each of its
//! rules seen to fail.

use testbed::hosted_soak::checks::{self, Evidence, Rule};
use testbed::hosted_soak::plan::{key, Plan, MODEL_SERVICE, PAGE_SERVICE};
use testbed::hosted_soak::records::{
    ChangeRecord, ChangeState, Disturbance, DisturbanceRecord, Ending, RequestRecord, RunRecord,
};
use testbed::hosted_soak::{run, SoakOptions};

const SEED: u64 = 7;

#[test]
fn a_short_soak_breaks_no_rule() {
    let root = std::env::temp_dir().join(format!("sorreldoor-soak-{}", std::process::id()));
    let options = SoakOptions {
        root: root.clone(),
        seed: SEED,
        seconds: 40,
        cores: 3,
        edges: 6,
        connections: 32,
    };
    let report = run(&options).expect("the fleet starts");
    println!("{report}");
    let logs = root.display();
    assert_eq!(report.violations, Vec::<String>::new(), "logs in {logs}");
    assert!(report.served > 1000 && report.denied > 100, "{report}");
    assert!(report.acknowledged > 10 && report.signals > 5, "{report}");
    let _ = std::fs::remove_dir_all(root);
}

/// Evidence of a soak in which one request was served under the first
/// configuration, by an edge (process 3) that nothing disturbed.
struct Sample {
    requests: Vec<RequestRecord>,
    runs: Vec<RunRecord>,
    changes: Vec<ChangeRecord>,
    disturbances: Vec<DisturbanceRecord>,
}

fn sample(path: &str, service: &str) -> Sample {
    let held = key("tenant1", 0);
    Sample {
        requests: vec![RequestRecord {
            attempt_id: "a1".into(),
            edge: 3,
            path: path.into(),
            key: Some(held),
            sent_at: 20_000,
            ended_at: 20_100,
            ending: Ending::Answered {
                status: 200,
                fault: None,
            },
        }],
        runs: vec![RunRecord {
            attempt_id: "a1".into(),
            path: path.into(),
            service: service.into(),
            tenant: Some("tenant1".into()),
            key_seen: false,
            crashed: false,
            at: 20_010,
        }],
        changes: vec![ChangeRecord {
            plan: Plan::first(),
            sent_at: 10,
            state: ChangeState::Acknowledged { at: 50 },
        }],
        disturbances: Vec::new(),
    }
}

impl Sample {
    fn breaks(&self, rule: Rule) -> bool {
        let evidence = Evidence {
            requests: &self.requests,
            runs: &self.runs,
            changes: &self.changes,
            disturbances: &self.disturbances,
            cores: 0..3,
            apply_ms: 4000,
            contact_ms: 2500,
        };
        !rule(&evidence).is_empty()
    }

    /// Replaces the first configuration by a changed one that was acknowledged.
    fn acknowledge(&mut self, at: u64, change: impl FnOnce(&mut Plan)) {
        let mut plan = Plan::first();
        plan.version = 9;
        change(&mut plan);
        self.changes.push(ChangeRecord {
            plan,
            sent_at: at - 100,
            state: ChangeState::Acknowledged { at },
        });
    }

    fn end_with(&mut self, status: u16) {
        let fault = None;
        self.requests[0].ending = Ending::Answered { status, fault };
    }
}

#[test]
fn a_request_that_is_served_as_configured_breaks_no_rule() {
    for (path, service) in [
        ("/page/1", PAGE_SERVICE),
        ("/tag/1", MODEL_SERVICE),
        ("/ask/1", MODEL_SERVICE),
    ] {
        let sample = sample(path, service);
        for (name, rule) in checks::RULES {
            assert!(!sample.breaks(rule), "{name}: {path}");
        }
    }
}

#[test]
fn a_success_that_is_not_whole_is_noticed() {
    let mut sample = sample("/page/1", PAGE_SERVICE);
    let fault = Some("7 bytes".to_string());
    sample.requests[0].ending = Ending::Answered { status: 200, fault };
    assert!(sample.breaks(checks::whole_answers));
}

#[test]
fn a_second_run_of_a_request_that_may_run_once_is_noticed() {
    let mut twice = sample("/tag/1", MODEL_SERVICE);
    twice.runs.push(twice.runs[0].clone());
    assert!(twice.breaks(checks::run_once));
    let mut repeatable = sample("/page/1", PAGE_SERVICE);
    repeatable.runs.push(repeatable.runs[0].clone());
    assert!(!repeatable.breaks(checks::run_once));
    assert!(!repeatable.breaks(checks::tries));
    repeatable.runs.push(repeatable.runs[0].clone());
    assert!(repeatable.breaks(checks::tries));
}

#[test]
fn a_run_after_a_promise_is_noticed() {
    let mut sample = sample("/tag/1", MODEL_SERVICE);
    sample.end_with(503);
    assert!(sample.breaks(checks::promises));
    sample.runs.clear();
    assert!(!sample.breaks(checks::promises));
}

#[test]
fn a_run_that_no_configuration_allows_is_noticed() {
    let mut service = sample("/page/1", MODEL_SERVICE);
    assert!(service.breaks(checks::allowed));
    service = sample("/page/1", PAGE_SERVICE);
    service.requests[0].key = Some("secret-guessed".into());
    assert!(service.breaks(checks::allowed));
    let mut tenant = sample("/page/1", PAGE_SERVICE);
    tenant.runs[0].tenant = Some("tenant2".into());
    assert!(tenant.breaks(checks::allowed));
    let mut unasked = sample("/page/1", PAGE_SERVICE);
    unasked.requests.clear();
    assert!(unasked.breaks(checks::allowed));
}

#[test]
fn a_revoked_key_that_still_works_is_noticed_in_time() {
    let revoke = |plan: &mut Plan| plan.tenants[1].keys.clear();
    let mut late = sample("/page/1", PAGE_SERVICE);
    late.acknowledge(15_000, revoke);
    assert!(late.breaks(checks::in_force));
    assert!(!late.breaks(checks::allowed), "it was allowed once");
    late.end_with(401);
    assert!(!late.breaks(checks::in_force));
    let mut early = sample("/page/1", PAGE_SERVICE);
    early.acknowledge(17_000, revoke);
    assert!(!early.breaks(checks::in_force));
    // an edge that was disturbed, or cores that were, may be behind
    for process in [0, 3] {
        let mut excused = sample("/page/1", PAGE_SERVICE);
        excused.acknowledge(15_000, revoke);
        excused.disturbances.push(DisturbanceRecord {
            process,
            kind: Disturbance::Planned,
            at: 19_000,
        });
        assert!(!excused.breaks(checks::in_force));
        excused.disturbances[0].at = 10_000;
        assert!(excused.breaks(checks::in_force));
    }
}

#[test]
fn a_route_that_was_added_and_is_not_found_is_noticed() {
    let mut sample = sample("/added3/1", PAGE_SERVICE);
    sample.runs.clear();
    sample.end_with(404);
    assert!(!sample.breaks(checks::in_force));
    sample.acknowledge(15_000, |plan| plan.routes.push(Plan::added_route(3)));
    assert!(sample.breaks(checks::in_force));
}

#[test]
fn a_key_at_a_worker_is_noticed() {
    let mut sample = sample("/page/1", PAGE_SERVICE);
    sample.runs[0].key_seen = true;
    assert!(sample.breaks(checks::keys_withheld));
}

#[test]
fn a_request_without_an_answer_is_noticed() {
    let mut sample = sample("/tag/1", MODEL_SERVICE);
    sample.requests[0].ending = Ending::Closed;
    assert!(sample.breaks(checks::answered));
    let disturb = |sample: &mut Sample, kind| {
        sample.disturbances = vec![DisturbanceRecord {
            process: 3,
            kind,
            at: 20_050,
        }];
    };
    disturb(&mut sample, Disturbance::Planned);
    assert!(sample.breaks(checks::answered), "SIGTERM is no excuse");
    disturb(&mut sample, Disturbance::Unplanned);
    assert!(!sample.breaks(checks::answered));
    sample.disturbances.clear();
    sample.runs[0].crashed = true;
    assert!(!sample.breaks(checks::answered));
    // it crossed the close and was not passed on
    sample.runs.clear();
    assert!(!sample.breaks(checks::answered));
    sample.requests[0].ended_at = 21_000;
    assert!(sample.breaks(checks::answered));
}
