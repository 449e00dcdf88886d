//! The invariant of a shutdown: its check holds, and fails once its mechanism is switched
//! off.

use sorreldoor::balancer::{Balancer, Decision, Locality, ShutdownLimits, SiteLimits};
use sorreldoor::configuration::{self, Site};
use sorreldoor::discovery::{Worker, WorkerRegistry};
use sorreldoor::invariants::{disable_only, Invariant};
use sorreldoor::proxy::RequestMetadata;

const DOCUMENT: &str = r#"{"hosted":{
 "routes":[{"name":"get","host":"h","prefix":"/get/","timeout_ms":3000,"service":"web"}],
 "services":[{"name":"web"}]}}"#;
const NOW: u64 = 1000;

/// A balancer with one worker, of a node that exits in two seconds.
fn shutting_down() -> Balancer {
    let limits = SiteLimits {
        retry_ratio: 0.2,
        retry_window_ms: 10_000,
        retry_slack: 64.0,
        warmup_excess: 1.5,
        warmup_slack: 5.0,
    };
    let site = Site::default();
    let (parsed, _) = configuration::parse(DOCUMENT.as_bytes(), &site).expect("it is valid");
    let mut balancer = Balancer::new(Locality::default(), limits, 1);
    balancer.apply_configuration(parsed.hosted.expect("hosted routes"), 0);
    let worker = Worker {
        name: "w1".into(),
        addr: "127.0.0.1:80".parse().expect("an address"),
        group: "web".into(),
        slots: 8,
        ..Worker::blank()
    };
    let registry = WorkerRegistry {
        version: 1,
        workers: vec![worker],
    };
    balancer.update_registry(&registry, 0);
    balancer.start_shutdown(ShutdownLimits {
        arrivals_until: NOW,
        responses_until: NOW + 2000,
    });
    balancer
}

/// Whether a request with a timeout of three seconds is kept from the worker.
fn unfinished_requests_are_not_sent() -> bool {
    let mut balancer = shutting_down();
    let request = balancer.begin("h", "/get/1", RequestMetadata::default(), NOW, NOW);
    let decision = balancer.decide(request.expect("the route matches"), NOW);
    !matches!(decision, Decision::Send(_))
}

#[test]
fn a_late_request_is_sent_only_with_the_invariant_off() {
    assert!(unfinished_requests_are_not_sent());
    disable_only(Some(Invariant::CompletedBeforeExit));
    let holds = unfinished_requests_are_not_sent();
    disable_only(None);
    assert!(
        !holds,
        "the check does not notice that the mechanism is off"
    );
}
