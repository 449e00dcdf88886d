//! Quotas of tenants at one node: admission, and the usage reported to cores.

use super::*;
use sorreldoor::configuration::tenants::{ApiKey, Tenant, Tenants};
use sorreldoor::quota::{AdmissionShare, AdmissionUpdate};

fn tenant() -> Tenant {
    Tenant {
        name: "desk".into(),
        keys: vec![ApiKey::new("key")],
        rate_per_s: 10.0,
        burst: 10.0,
        ..Tenant::default()
    }
}

fn balancer_of(tenant: Tenant) -> Balancer {
    let mut configuration = (*default_routes()).clone();
    configuration.tenants = Tenants::new(vec![Arc::new(tenant)], true).unwrap();
    new_balancer(Arc::new(configuration), workers_in("web", 6, &[0, 1]))
}

/// Begins 100 requests; returns how many of them are admitted.
fn admitted(balancer: &mut Balancer, now: u64) -> usize {
    let requests = (0..100).filter(|_| {
        let metadata = RequestMetadata {
            api_key: Some(ApiKey::new("key")),
            ..metadata(&[])
        };
        match balancer.begin("h", "/web/x", metadata, now, now) {
            Ok(request_id) => {
                balancer.finish(request_id, now);
                true
            }
            Err(error) => {
                assert_eq!(error, ErrorCode::QuotaExceeded);
                false
            }
        }
    });
    requests.count()
}

fn share(tenant: u64, per_mille: u16) -> AdmissionShare {
    AdmissionShare { tenant, per_mille }
}

/// An update of the shares that a core sends without a report to acknowledge.
fn unsolicited_update(shares: &[AdmissionShare]) -> AdmissionUpdate {
    AdmissionUpdate {
        acknowledged_report: None,
        shares: Some(shares.to_vec()),
    }
}

#[test]
fn a_node_admits_the_share_sent_by_a_core_and_rejects_the_rest_with_429() {
    let id = tenant().id();
    let mut balancer = balancer_of(tenant());
    assert_eq!(admitted(&mut balancer, 10), 100);
    balancer
        .admission
        .apply(&unsolicited_update(&[share(id, 250)]));
    let some = admitted(&mut balancer, 20);
    assert!((24..=26).contains(&some), "{some}");
    assert_eq!(balancer.counts().over_quota, 100 - some as u64);
    balancer
        .admission
        .apply(&unsolicited_update(&[share(id, 0)]));
    assert!(admitted(&mut balancer, 30) <= 1);
    balancer.admission.apply(&unsolicited_update(&[]));
    assert_eq!(admitted(&mut balancer, 40), 100);
    assert_eq!(ErrorCode::QuotaExceeded.status(), 429);
}

#[test]
fn usage_is_reported_again_only_if_the_core_has_not_acknowledged_it() {
    let id = tenant().id();
    let mut balancer = balancer_of(tenant());
    balancer
        .admission
        .apply(&unsolicited_update(&[share(id, 500)]));
    let some = admitted(&mut balancer, 10) as u64;
    let report = balancer.admission.take_report(20).expect("a report is due");
    let row = report.usage[0];
    assert_eq!(
        (report.usage.len(), row.tenant, row.requested),
        (1, id, 100)
    );
    assert_eq!(row.admitted, some);
    assert_eq!(balancer.admission.take_report(500), None);
    // without an acknowledgement, the core may not have counted the report
    balancer.admission.on_disconnected();
    let again = balancer
        .admission
        .take_report(1000)
        .expect("the report is sent again");
    assert_eq!(again.usage, report.usage);
    balancer.admission.apply(&AdmissionUpdate {
        acknowledged_report: Some(again.number),
        shares: None,
    });
    balancer.admission.on_disconnected();
    assert_eq!(balancer.admission.take_report(1500), None);
}

#[test]
fn a_node_without_acknowledgement_admits_its_share_of_the_rate() {
    let mut balancer = balancer_of(tenant());
    let nodes = (0..4).map(|n| (format!("n{n}"), 0)).collect();
    balancer.update_nodes(nodes);
    assert_eq!(admitted(&mut balancer, 10), 100);
    balancer.admission.take_report(20);
    assert_eq!(
        admitted(&mut balancer, 1000),
        100,
        "the acknowledgement is not overdue yet"
    );
    let before = balancer.counts().over_quota;
    let detached: usize = (0..10)
        .map(|second| admitted(&mut balancer, 2000 + second * 1000))
        .sum();
    // a quarter of 10 per second
    assert!((20..=28).contains(&detached), "{detached}");
    assert_eq!(
        balancer.counts().over_quota - before,
        1000 - detached as u64
    );
    // requests rejected in the meantime do not raise the rate later
    assert_eq!(
        balancer.admission.take_report(20_000).map(|r| r.number),
        Some(2)
    );
    balancer.admission.apply(&AdmissionUpdate {
        acknowledged_report: Some(2),
        shares: None,
    });
    balancer
        .admission
        .apply(&unsolicited_update(&[share(tenant().id(), 100)]));
    let joined = admitted(&mut balancer, 20_000);
    assert!(joined <= 12, "{joined}");
    balancer.admission.apply(&unsolicited_update(&[]));
    assert_eq!(admitted(&mut balancer, 20_000), 100);
}

#[test]
fn a_node_that_reaches_no_core_reports_its_usage_later() {
    let mut balancer = balancer_of(tenant());
    assert_eq!(admitted(&mut balancer, 10), 100);
    balancer.admission.on_core_unreachable(20);
    let detached = admitted(&mut balancer, 3000) as u64;
    assert!(detached <= 10, "{detached}");
    let report = balancer
        .admission
        .take_report(3010)
        .expect("a report is due");
    assert_eq!(report.usage[0].admitted, 100 + detached);
}

#[test]
fn a_tenant_without_a_limit_is_neither_limited_nor_reported() {
    let mut balancer = balancer_of(Tenant {
        rate_per_s: 0.0,
        ..tenant()
    });
    let id = tenant().id();
    balancer
        .admission
        .apply(&unsolicited_update(&[share(id, 0)]));
    assert_eq!(admitted(&mut balancer, 10), 100);
    assert_eq!(balancer.admission.take_report(20), None);
}
