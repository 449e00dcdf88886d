//! The soak of hosted routes: a short run over real processes violates no rule, and each
//! rule detects its violation.

use sorreldoor::proxy::http1::{parse_response_head, ReadBuffer};
use testbed::hosted_soak::checks::{self, Evidence, Rule};
use testbed::hosted_soak::plan::{key, Plan, MODEL_SERVICE, PAGE_SERVICE};
use testbed::hosted_soak::records::{
    ChangeRecord, ChangeState, Disturbance, DisturbanceRecord, Ending, RequestRecord, RunRecord,
    ZoneChangeRecord,
};
use testbed::hosted_soak::strict_head::syntax_fault;
use testbed::hosted_soak::{run, SoakOptions};

const SEED: u64 = 7;

#[test]
fn a_short_soak_violates_no_rule() {
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
    assert!(report.zone_changes > 1, "{report}");
    let _ = std::fs::remove_dir_all(root);
}

/// Evidence of a soak in which one request was served under the first
/// configuration, by an undisturbed edge (process 3).
struct Sample {
    requests: Vec<RequestRecord>,
    runs: Vec<RunRecord>,
    changes: Vec<ChangeRecord>,
    zone_changes: Vec<ZoneChangeRecord>,
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
            zone: "c",
            key_seen: false,
            crashed: false,
            at: 20_010,
        }],
        changes: vec![ChangeRecord {
            plan: Plan::first(),
            sent_at: 10,
            state: ChangeState::Acknowledged { at: 50 },
        }],
        zone_changes: Vec::new(),
        disturbances: Vec::new(),
    }
}

impl Sample {
    fn violates(&self, rule: Rule) -> bool {
        let evidence = Evidence {
            requests: &self.requests,
            runs: &self.runs,
            changes: &self.changes,
            zone_changes: &self.zone_changes,
            disturbances: &self.disturbances,
            cores: 0..3,
            apply_ms: 4000,
            evacuation_ms: 5000,
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
fn a_request_served_as_configured_violates_no_rule() {
    for (path, service) in [
        ("/page/1", PAGE_SERVICE),
        ("/tag/1", MODEL_SERVICE),
        ("/ask/1", MODEL_SERVICE),
    ] {
        let sample = sample(path, service);
        for (name, rule) in checks::RULES {
            assert!(!sample.violates(rule), "{name}: {path}");
        }
    }
}

#[test]
fn an_incomplete_success_is_detected() {
    let mut sample = sample("/page/1", PAGE_SERVICE);
    let fault = Some("7 bytes".to_string());
    sample.requests[0].ending = Ending::Answered { status: 200, fault };
    assert!(sample.violates(checks::whole_answers));
}

#[test]
fn a_malformed_response_is_detected() {
    let mut sample = sample("/page/1", PAGE_SERVICE);
    sample.requests[0].ending = Ending::Malformed;
    assert!(sample.violates(checks::whole_answers));
}

#[test]
fn a_head_that_only_a_lenient_client_accepts_is_detected() {
    let head_of = |text: &str| {
        let mut buffer = ReadBuffer::default();
        async_std::task::block_on(buffer.fill(&mut text.as_bytes())).unwrap();
        parse_response_head(&mut buffer).unwrap().unwrap()
    };
    let strict = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(syntax_fault(&head_of(strict)), None);
    for lenient in [
        format!("\r\n{strict}"),
        strict.replace("\r\n", "\n"),
        strict.replacen("\r\n", "\n", 1),
        strict.replace("200 OK", "200"),
    ] {
        assert!(syntax_fault(&head_of(&lenient)).is_some(), "{lenient:?}");
    }
}

#[test]
fn too_many_runs_of_a_request_are_detected() {
    let mut twice = sample("/tag/1", MODEL_SERVICE);
    twice.runs.push(twice.runs[0].clone());
    assert!(twice.violates(checks::run_once));
    let mut repeatable = sample("/page/1", PAGE_SERVICE);
    repeatable.runs.push(repeatable.runs[0].clone());
    assert!(!repeatable.violates(checks::run_once));
    assert!(!repeatable.violates(checks::tries));
    repeatable.runs.push(repeatable.runs[0].clone());
    assert!(repeatable.violates(checks::tries));
}

#[test]
fn a_run_of_a_rejected_request_is_detected() {
    let mut sample = sample("/tag/1", MODEL_SERVICE);
    sample.end_with(503);
    assert!(sample.violates(checks::promises));
    sample.runs.clear();
    assert!(!sample.violates(checks::promises));
}

#[test]
fn a_run_that_no_configuration_allows_is_detected() {
    let mut service = sample("/page/1", MODEL_SERVICE);
    assert!(service.violates(checks::allowed));
    service = sample("/page/1", PAGE_SERVICE);
    service.requests[0].key = Some("secret-guessed".into());
    assert!(service.violates(checks::allowed));
    let mut tenant = sample("/page/1", PAGE_SERVICE);
    tenant.runs[0].tenant = Some("tenant2".into());
    assert!(tenant.violates(checks::allowed));
    let mut unasked = sample("/page/1", PAGE_SERVICE);
    unasked.requests.clear();
    assert!(unasked.violates(checks::allowed));
}

#[test]
fn a_revoked_key_accepted_after_the_apply_limit_is_detected() {
    let revoke = |plan: &mut Plan| plan.tenants[1].keys.clear();
    let mut late = sample("/page/1", PAGE_SERVICE);
    late.acknowledge(15_000, revoke);
    assert!(late.violates(checks::in_force));
    assert!(
        !late.violates(checks::allowed),
        "an earlier configuration allowed it"
    );
    late.end_with(401);
    assert!(!late.violates(checks::in_force));
    let mut early = sample("/page/1", PAGE_SERVICE);
    early.acknowledge(17_000, revoke);
    assert!(!early.violates(checks::in_force));
    // a disturbed edge, or one with disturbed cores, may lag behind
    for process in [0, 3] {
        let mut excused = sample("/page/1", PAGE_SERVICE);
        excused.acknowledge(15_000, revoke);
        excused.disturbances.push(DisturbanceRecord {
            process,
            kind: Disturbance::Planned,
            at: 19_000,
        });
        assert!(!excused.violates(checks::in_force));
        excused.disturbances[0].at = 10_000;
        assert!(excused.violates(checks::in_force));
    }
}

#[test]
fn a_missing_added_route_is_detected() {
    let mut sample = sample("/added3/1", PAGE_SERVICE);
    sample.runs.clear();
    sample.end_with(404);
    assert!(!sample.violates(checks::in_force));
    sample.acknowledge(15_000, |plan| plan.routes.push(Plan::added_route(3)));
    assert!(sample.violates(checks::in_force));
}

#[test]
fn an_api_key_at_a_worker_is_detected() {
    let mut sample = sample("/page/1", PAGE_SERVICE);
    sample.runs[0].key_seen = true;
    assert!(sample.violates(checks::keys_withheld));
}

#[test]
fn a_request_without_a_response_is_detected() {
    let mut sample = sample("/tag/1", MODEL_SERVICE);
    sample.requests[0].ending = Ending::Closed;
    assert!(sample.violates(checks::answered));
    let disturb = |sample: &mut Sample, kind| {
        sample.disturbances = vec![DisturbanceRecord {
            process: 3,
            kind,
            at: 20_050,
        }];
    };
    disturb(&mut sample, Disturbance::Planned);
    assert!(sample.violates(checks::answered), "SIGTERM is no excuse");
    disturb(&mut sample, Disturbance::Unplanned);
    assert!(!sample.violates(checks::answered));
    sample.disturbances.clear();
    sample.runs[0].crashed = true;
    assert!(!sample.violates(checks::answered));
    // sent while the edge closed the connection, so it reached no worker
    sample.runs.clear();
    assert!(!sample.violates(checks::answered));
    sample.requests[0].ended_at = 21_000;
    assert!(sample.violates(checks::answered));
}

#[test]
fn a_run_in_an_evacuated_zone_is_detected() {
    let change = |evacuated, sent_at| ZoneChangeRecord {
        evacuated,
        sent_at,
        state: ChangeState::Acknowledged { at: sent_at + 10 },
    };
    let evacuated = change(true, 14_000);
    let mut sample = sample("/page/1", PAGE_SERVICE);
    assert!(!sample.violates(checks::evacuated));
    sample.zone_changes = vec![evacuated];
    assert!(sample.violates(checks::evacuated));
    // returned to service, or a return that may be in force
    let undecided = ChangeState::Undecided;
    for state in [ChangeState::Acknowledged { at: 19_000 }, undecided] {
        let returned = ZoneChangeRecord {
            state,
            ..change(false, 18_000)
        };
        sample.zone_changes = vec![evacuated, returned];
        assert!(!sample.violates(checks::evacuated));
        // returned before the evacuation that is in force
        let earlier = ZoneChangeRecord {
            sent_at: 13_000,
            ..returned
        };
        sample.zone_changes = vec![change(true, 1000), earlier, evacuated];
        assert!(sample.violates(checks::evacuated));
    }
    // not acknowledged, or too recently
    let unacknowledged = ZoneChangeRecord {
        state: undecided,
        ..evacuated
    };
    for change in [unacknowledged, change(true, 15_500)] {
        sample.zone_changes = vec![change];
        assert!(!sample.violates(checks::evacuated));
    }
    // another zone, and an edge that is out of contact
    sample.zone_changes = vec![evacuated];
    sample.runs[0].zone = "a";
    assert!(!sample.violates(checks::evacuated));
    sample.runs[0].zone = "c";
    sample.disturbances.push(DisturbanceRecord {
        process: 3,
        kind: Disturbance::Unplanned,
        at: 19_000,
    });
    assert!(!sample.violates(checks::evacuated));
}
