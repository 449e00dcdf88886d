//! Invariants of the balancer: each check holds, and fails once its mechanism is switched
//! off.

use sorreldoor::balancer::{Balancer, Decision, Locality, ShutdownLimits, SiteLimits};
use sorreldoor::configuration::tenants::ApiKey;
use sorreldoor::configuration::{self, Site};
use sorreldoor::discovery::{Worker, WorkerRegistry};
use sorreldoor::error::ErrorCode;
use sorreldoor::invariants::{disable_only, Invariant};
use sorreldoor::proxy::{Dialect, PlainDialect, ProxyController, RequestMetadata};
use sorreldoor::quota::{AdmissionShare, AdmissionUpdate};
use sorreldoor::subscription::CoreSubscription;
use sorreldoor::wire::Hello;
use std::sync::Arc;

const DOCUMENT: &str = r#"{"hosted":{
 "routes":[{"name":"get","host":"h","prefix":"/get/","timeout_ms":3000,"service":"web"}],
 "services":[{"name":"web"}],
 "tenants":[{"name":"desk","keys":["k1"],"rate_per_s":2,"burst":2}]}}"#;

fn balancer() -> Balancer {
    let bounds = SiteLimits {
        retry_ratio: 0.2,
        retry_window_ms: 10_000,
        retry_slack: 64.0,
        warmup_excess: 1.5,
        warmup_slack: 5.0,
    };
    let site = Site::default();
    let (parsed, _) = configuration::parse(DOCUMENT.as_bytes(), &site).expect("it is valid");
    let mut balancer = Balancer::new(Locality::default(), bounds, 1);
    balancer.apply_configuration(parsed.hosted.expect("hosted routes"), 0);
    balancer
}

/// How many of ten requests with this key begin.
fn begun(balancer: &mut Balancer, key: &str) -> usize {
    let begins = (0..10).filter(|_| {
        let metadata = RequestMetadata {
            api_key: Some(ApiKey::new(key)),
            ..RequestMetadata::default()
        };
        balancer.begin("h", "/get/1", metadata, 10, 10).is_ok()
    });
    begins.count()
}

/// A check that returns whether its invariant holds.
type Check = fn() -> bool;

fn unknown_keys_do_not_begin() -> bool {
    begun(&mut balancer(), "guessed") == 0
}

fn keys_are_withheld() -> bool {
    let mut metadata = RequestMetadata::default();
    PlainDialect.read_request_header("Authorization", b"Bearer k1", &mut metadata)
}

/// What a core tells unasked.
fn told(shares: &[AdmissionShare]) -> AdmissionUpdate {
    AdmissionUpdate {
        acknowledged_report: None,
        shares: Some(shares.to_vec()),
    }
}

fn quotas_are_kept() -> bool {
    let mut balancer = balancer();
    let hosted = balancer.hosted().expect("a configuration").clone();
    let tenant = hosted.tenants.all()[0].id();
    let nothing = AdmissionShare {
        tenant,
        per_mille: 0,
    };
    balancer.admission.apply(&told(&[nothing]));
    begun(&mut balancer, "k1") == 0
}

/// Whether a node that exits in two seconds keeps a request with a timeout of three
/// seconds from its worker.
fn unfinished_requests_are_not_sent() -> bool {
    let mut balancer = balancer();
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
        arrivals_until: 10,
        responses_until: 2000,
    });
    let metadata = RequestMetadata {
        api_key: Some(ApiKey::new("k1")),
        ..RequestMetadata::default()
    };
    let request = balancer.begin("h", "/get/1", metadata, 10, 10);
    let decision = balancer.decide(request.expect("the key is known"), 10);
    !matches!(decision, Decision::Send(_))
}

fn unconfirmed_rejections_are_withheld() -> bool {
    let subscription = CoreSubscription::new(&[], 2000, 0, 0);
    let site = Arc::default();
    let mut node = ProxyController::new(Hello::default(), site, subscription, balancer());
    let begun = node.begin_request("h", "/none/1", RequestMetadata::default(), 10);
    begun == Err(ErrorCode::NoLease)
}

#[test]
fn each_check_notices_that_its_mechanism_is_off() {
    let checks: [(Invariant, Check); 5] = [
        (
            Invariant::ConfirmedRejection,
            unconfirmed_rejections_are_withheld,
        ),
        (Invariant::Authenticated, unknown_keys_do_not_begin),
        (Invariant::KeyWithheld, keys_are_withheld),
        (Invariant::Quota, quotas_are_kept),
        (
            Invariant::CompletedBeforeExit,
            unfinished_requests_are_not_sent,
        ),
    ];
    for (invariant, holds) in checks {
        assert!(holds(), "{}", invariant.name());
        disable_only(Some(invariant));
        let broken = holds();
        disable_only(None);
        assert!(!broken, "{} is off, and nothing notices", invariant.name());
    }
}
