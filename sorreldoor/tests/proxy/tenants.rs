//! API keys of tenants: which requests are forwarded, and that no worker receives
//! a key.

use super::harness::*;
use async_std::task;
use sorreldoor::configuration;
use sorreldoor::configuration::Site;
use std::time::Duration;

const KEY: &str = "92cqf75rjvz48wuakn2f";
const NEW_KEY: &str = "timaj3nr26tta828m82t";

/// The configuration of the other tests, with one tenant that holds these keys.
fn configuration(keys: &[&str]) -> String {
    let tenants = format!(r#""tenants":[{{"name":"desk","keys":{keys:?},"priority":1}}],"limits""#);
    CONFIGURATION.replace(r#""limits""#, &tenants)
}

fn bearer(key: &str) -> String {
    format!("Authorization: Bearer {key}\r\n")
}

async fn start(keys: &[&str], workers: &[&StubWorker]) -> Proxy {
    start_proxy_with(&configuration(keys), workers).await
}

/// Applies another configuration.
fn reconfigure(proxy: &Proxy, text: &str) {
    let (parsed, _) = configuration::parse(text.as_bytes(), &Site::default()).unwrap();
    let hosted = parsed.hosted.unwrap();
    let now = proxy.shared.now();
    let mut controller = proxy.shared.lock();
    controller.balancer.apply_configuration(hosted, now);
}

/// Checks that the workers received no key, and the tenant's name in each request.
fn expect_only_the_tenant(workers: &[&StubWorker]) {
    let received = workers
        .iter()
        .flat_map(|w| w.received.lock().unwrap().clone());
    for (head, body) in received {
        let lower = head.to_lowercase();
        assert!(!lower.contains("authorization"), "{head}");
        assert!(!head.contains(KEY) && !head.contains(NEW_KEY), "{head}");
        assert_eq!(lower.matches("x-tenant: desk\r\n").count(), 1, "{head}");
        assert_eq!(lower.matches("x-tenant").count(), 1, "{head}");
        assert!(!String::from_utf8_lossy(&body).contains(KEY));
    }
}

#[test]
fn no_worker_receives_the_key_of_a_client() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::Complete(200, "x")]).await;
        let proxy = start(&[KEY], &[&worker]).await;
        let mut client = Client::new(&proxy).await;
        let response = client.send_request("/get/1", &bearer(KEY), "").await;
        assert_eq!(response.unwrap().status, 200);
        assert!(!worker.head(0).contains(KEY), "{}", worker.head(0));
        for headers in [
            format!("AUTHORIZATION:bearer {KEY}\r\nX-Tenant: another\r\n"),
            format!("x-tenant: desk\r\nX-TENANT: desk\r\n{}", bearer(KEY)),
            format!("Connection: keep-alive, authorization\r\n{}", bearer(KEY)),
        ] {
            let response = client.send_request("/get/2", &headers, "").await;
            assert_eq!(response.unwrap().status, 200, "{headers}");
        }
        assert_eq!(worker.count(), 4);
        expect_only_the_tenant(&[&worker]);
    });
}

#[test]
fn retries_and_resumed_streams_carry_the_tenant_and_no_key() {
    block_on_test(async {
        let first = start_stub_worker(vec![Behavior::Reset, Behavior::Events(1, 2, false)]).await;
        let second = start_stub_worker(vec![Behavior::Reset, Behavior::Events(1, 2, false)]).await;
        let proxy = start(&[KEY], &[&first, &second]).await;
        for path in ["/get/1", "/ask/1", "/ask/2", "/get/2"] {
            let mut client = Client::new(&proxy).await;
            client.send_request(path, &bearer(KEY), "").await;
        }
        assert!(first.count() + second.count() > 4, "a request was retried");
        let resumed = [&first, &second].iter().any(|worker| {
            let received = worker.received.lock().unwrap();
            received
                .iter()
                .any(|(head, _)| head.contains("last-event-id: 2"))
        });
        assert!(resumed, "a stream was resumed");
        expect_only_the_tenant(&[&first, &second]);
    });
}

#[test]
fn a_request_with_an_unknown_key_is_rejected() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::Complete(200, "x")]).await;
        let proxy = start(&[KEY], &[&worker]).await;
        let mut client = Client::new(&proxy).await;
        for headers in [
            bearer("guessed"),
            bearer(""),
            bearer(&KEY[1..]),
            String::new(),
            format!("Authorization: Basic {KEY}\r\n"),
            format!("{}{}", bearer(KEY), bearer("guessed")),
            "X-Tenant: desk\r\n".to_string(),
        ] {
            let response = client.send_request("/get/1", &headers, "").await.unwrap();
            assert_eq!((response.status, worker.count()), (401, 0), "{headers}");
            assert!(response.head.contains("WWW-Authenticate: Bearer\r\n"));
        }
        // the connection stays usable, and a path without a route is still not found
        let response = client.send_request("/none/1", &bearer(KEY), "").await;
        assert_eq!(response.unwrap().status, 404);
        let response = client.send_request("/get/1", &bearer(KEY), "").await;
        assert_eq!(response.unwrap().status, 200);
        assert_eq!(proxy.shared.lock().balancer.counts().unauthenticated, 7);
    });
}

#[test]
fn a_public_route_needs_no_key_and_never_forwards_one() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::Complete(200, "x")]).await;
        let text =
            configuration(&[KEY]).replace(r#""name":"get""#, r#""name":"get","public":true"#);
        let proxy = start_proxy_with(&text, &[&worker]).await;
        let mut client = Client::new(&proxy).await;
        for headers in [String::new(), bearer("guessed")] {
            let response = client.send_request("/get/1", &headers, "").await;
            assert_eq!(response.unwrap().status, 200);
        }
        let received = worker.received.lock().unwrap().clone();
        for (head, _) in &received {
            let lower = head.to_lowercase();
            assert!(!lower.contains("authorization") && !lower.contains("x-tenant"));
        }
        let response = client.send_request("/once/1", "", "").await;
        assert_eq!(response.unwrap().status, 401);
    });
}

#[test]
fn without_tenants_no_key_is_needed_nor_forwarded() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::Complete(200, "x")]).await;
        let proxy = start_proxy(&[&worker]).await;
        let mut client = Client::new(&proxy).await;
        for headers in [String::new(), bearer(KEY)] {
            let response = client.send_request("/get/1", &headers, "").await;
            assert_eq!(response.unwrap().status, 200);
        }
        assert!(!worker.head(1).to_lowercase().contains("authorization"));
    });
}

#[test]
fn a_change_of_keys_applies_to_open_connections() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::Complete(200, "x")]).await;
        let proxy = start(&[KEY], &[&worker]).await;
        let mut client = Client::new(&proxy).await;
        let status = |response: Option<Response>| response.unwrap().status;
        assert_eq!(
            status(client.send_request("/get/1", &bearer(KEY), "").await),
            200
        );
        assert_eq!(
            status(client.send_request("/get/1", &bearer(NEW_KEY), "").await),
            401
        );
        reconfigure(&proxy, &configuration(&[NEW_KEY]));
        assert_eq!(
            status(client.send_request("/get/1", &bearer(KEY), "").await),
            401
        );
        assert_eq!(
            status(client.send_request("/get/1", &bearer(NEW_KEY), "").await),
            200
        );
        assert_eq!(worker.count(), 2);
        // a tenant that loses its last key, and a list that loses its last tenant
        reconfigure(&proxy, &configuration(&[]));
        assert_eq!(
            status(client.send_request("/get/1", &bearer(NEW_KEY), "").await),
            401
        );
        let empty = CONFIGURATION.replace(r#""limits""#, r#""tenants":[],"limits""#);
        reconfigure(&proxy, &empty);
        assert_eq!(status(client.send_request("/get/1", "", "").await), 401);
        assert_eq!(worker.count(), 2);
    });
}

#[test]
fn a_request_whose_key_is_revoked_is_not_retried() {
    block_on_test(async {
        let silent = start_stub_worker(vec![Behavior::Silent]).await;
        let other = start_stub_worker(vec![Behavior::Silent]).await;
        let proxy = start(&[KEY], &[&silent, &other]).await;
        let mut client = Client::new(&proxy).await;
        let headers = bearer(KEY);
        let request = client.send_request("/get/1", &headers, "");
        let revoke = async {
            task::sleep(Duration::from_millis(60)).await;
            reconfigure(&proxy, &configuration(&[NEW_KEY]));
        };
        // an idempotent request fails over from a silent worker
        let (response, ()) = futures_lite::future::zip(request, revoke).await;
        let response = response.unwrap();
        assert_eq!(silent.count() + other.count(), 1, "{response:?}");
        assert_ne!(response.status, 200);
    });
}
