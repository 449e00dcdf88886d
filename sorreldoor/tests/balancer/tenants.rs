//! Requests of tenants: priorities, homes, and invalid or revoked keys.

use super::*;
use sorreldoor::configuration::tenants::{ApiKey, Tenant, Tenants};

fn tenant(name: &str, priority: u8, homes: &[u8]) -> Arc<Tenant> {
    Arc::new(Tenant {
        name: name.into(),
        keys: vec![ApiKey::new(name)],
        priority,
        homes: homes.to_vec(),
        ..Tenant::default()
    })
}

fn with_tenants(routes: Vec<Route>, tenants: Vec<Arc<Tenant>>) -> Arc<Hosted> {
    let mut configuration = (*hosted(routes)).clone();
    configuration.tenants = Tenants::new(tenants, true).unwrap();
    Arc::new(configuration)
}

fn begin_as(balancer: &mut Balancer, key: &str, path: &str, now: u64) -> RequestId {
    let metadata = RequestMetadata {
        api_key: Some(ApiKey::new(key)),
        ..metadata(&[])
    };
    balancer.begin("h", path, metadata, now, now).unwrap()
}

fn send_as(balancer: &mut Balancer, key: &str, path: &str, now: u64) -> Target {
    let request_id = begin_as(balancer, key, path, now);
    expect_send(balancer.decide(request_id, now))
}

#[test]
fn tenant_priority_ranks_before_route_priority() {
    let urgent = Route {
        priority: 0,
        ..route("urgent", "/urgent/", Kind::Idempotent, 0)
    };
    let routes = vec![urgent, route("idem", "/idem/", Kind::Idempotent, 0)];
    let tenants = vec![tenant("gold", 0, &[]), tenant("iron", 3, &[])];
    let mut balancer = new_balancer(
        with_tenants(routes, tenants),
        workers_in("model", 48, &[0, 1]),
    );
    let order = [
        ("gold", "/urgent/"),
        ("gold", "/idem/"),
        ("iron", "/urgent/"),
        ("iron", "/idem/"),
    ];
    let priorities = order.map(|(key, path)| send_as(&mut balancer, key, path, 10).priority);
    assert!(priorities.is_sorted_by(|a, b| a < b), "{priorities:?}");
}

#[test]
fn engine_priorities_keep_the_order_of_more_than_ten_ranks() {
    let priorities: Vec<u8> = vec![0, 1, 2, 7, 200];
    let routes = (0..4).map(|priority| Route {
        priority,
        ..route(
            &format!("r{priority}"),
            &format!("/{priority}/"),
            Kind::Idempotent,
            0,
        )
    });
    let tenants = priorities.iter().map(|p| tenant(&format!("t{p}"), *p, &[]));
    let configuration = with_tenants(routes.collect(), tenants.collect());
    let mut balancer = new_balancer(configuration, workers_in("model", 48, &[0, 1]));
    let mut given = Vec::new();
    for tenant in &priorities {
        for route in 0..4 {
            let (key, path) = (format!("t{tenant}"), format!("/{route}/x"));
            given.push(send_as(&mut balancer, &key, &path, 10).priority.unwrap());
        }
    }
    assert!(given.is_sorted(), "{given:?}");
    assert_eq!((given[0], *given.last().unwrap()), (0, 9));
}

#[test]
fn a_waiting_request_of_an_urgent_tenant_is_ready_first() {
    let routes = vec![route("web", "/web/", Kind::Idempotent, 1)];
    let tenants = vec![tenant("gold", 0, &[]), tenant("iron", 3, &[])];
    let mut balancer = new_balancer(with_tenants(routes, tenants), workers_in("web", 1, &[0]));
    let mut waiting = Vec::new();
    for key in ["iron", "iron", "iron", "gold"] {
        let request_id = begin_as(&mut balancer, key, "/web/x", 10);
        if matches!(balancer.decide(request_id, 10), Decision::Wait(_)) {
            waiting.push((request_id, key));
        }
    }
    assert_eq!(waiting.last().map(|(_, key)| *key), Some("gold"));
    assert!(waiting.len() > 1);
    let ready = balancer.take_ready(40);
    assert_eq!(ready.first(), waiting.last().map(|(id, _)| id));
}

#[test]
fn workers_are_within_the_homes_of_both_route_and_tenant() {
    let anywhere = route("any", "/any/", Kind::Idempotent, 1);
    let bound = Route {
        homes: vec![0],
        ..route("bound", "/bound/", Kind::Idempotent, 1)
    };
    let tenants = vec![
        tenant("first", 0, &[0]),
        tenant("second", 0, &[1]),
        tenant("free", 0, &[]),
    ];
    let configuration = with_tenants(vec![anywhere, bound], tenants);
    let mut balancer = new_balancer(configuration, workers_in("web", 6, &[0, 2]));
    for (key, path, expected) in [
        ("first", "/any/", Some("web0")),
        ("second", "/any/", Some("web1")),
        ("first", "/bound/", Some("web0")),
        ("free", "/bound/", Some("web0")),
        ("second", "/bound/", None),
    ] {
        let request_id = begin_as(&mut balancer, key, path, 10);
        let sent = match balancer.decide(request_id, 10) {
            Decision::Send(target) => Some(target.name),
            _ => None,
        };
        assert_eq!(sent.as_deref(), expected, "{key} {path}");
    }
}

#[test]
fn a_waiting_request_whose_key_is_revoked_is_rejected() {
    let routes = || vec![route("web", "/web/", Kind::Idempotent, 1)];
    let before = with_tenants(routes(), vec![tenant("gold", 0, &[])]);
    let mut balancer = new_balancer(before, Vec::new());
    let request_id = begin_as(&mut balancer, "gold", "/web/x", 10);
    assert!(matches!(balancer.decide(request_id, 10), Decision::Wait(_)));
    balancer.apply_configuration(with_tenants(routes(), Vec::new()), 20);
    assert_eq!(
        balancer.decide(request_id, 30),
        Decision::Reject(ErrorCode::UnknownKey, 0)
    );
    balancer.finish(request_id, 30);
    assert_eq!(balancer.counts().unauthenticated, 1);
}

#[test]
fn a_request_without_a_valid_key_begins_only_on_a_public_route() {
    let public = Route {
        public: true,
        ..route("public", "/public/", Kind::Idempotent, 1)
    };
    let routes = vec![public, route("web", "/web/", Kind::Idempotent, 1)];
    let configuration = with_tenants(routes, vec![tenant("gold", 0, &[])]);
    let mut balancer = new_balancer(configuration, workers_in("web", 6, &[0]));
    for api_key in [None, Some(ApiKey::new("")), Some(ApiKey::new("Gold"))] {
        let metadata = RequestMetadata {
            api_key,
            ..metadata(&[])
        };
        let begun = balancer.begin("h", "/web/x", metadata.clone(), 10, 10);
        assert_eq!(begun, Err(ErrorCode::UnknownKey));
        let begun = balancer.begin("h", "/public/x", metadata, 10, 10).unwrap();
        assert_eq!(expect_send(balancer.decide(begun, 10)).tenant, None);
    }
    let known = begin_as(&mut balancer, "gold", "/public/x", 10);
    let target = expect_send(balancer.decide(known, 10));
    assert_eq!(target.tenant.as_deref(), Some("gold"));
}
