//! Requests that the configuration of a proxy does not allow, while no core confirms
//! that this configuration is current.

use super::harness::*;
use sorreldoor::error::ErrorCode;
use sorreldoor::proxy::RequestMetadata;

const KEY: &str = "92cqf75rjvz48wuakn2f";

fn configuration_with_a_tenant() -> String {
    let tenants =
        format!(r#""tenants":[{{"name":"desk","keys":["{KEY}"],"priority":1}}],"limits""#);
    CONFIGURATION.replace(r#""limits""#, &tenants)
}

/// The error of a request without a key at `now`.
fn error_at(proxy: &Proxy, path: &str, now: u64) -> ErrorCode {
    let mut controller = proxy.shared.lock();
    let begun = controller.begin_request("a.example", path, RequestMetadata::default(), now);
    begun.expect_err("the request is rejected")
}

#[test]
fn a_proxy_that_no_core_confirms_does_not_say_that_a_route_or_key_is_unknown() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::Complete(200, "x")]).await;
        let configuration = configuration_with_a_tenant();
        let proxy = start_isolated_proxy(&configuration, &[&worker]).await;
        let key = format!("Authorization: Bearer {KEY}\r\n");
        let mut client = Client::new(&proxy).await;
        for (path, headers) in [("/none/1", key.as_str()), ("/get/1", "")] {
            let response = client.send_request(path, headers, "").await.unwrap();
            assert_eq!(response.status, 503, "{path}");
            assert!(response.head.contains("Retry-After"), "{}", response.head);
        }
        // what the configuration allows is served without a core
        let response = client.send_request("/get/1", &key, "").await.unwrap();
        assert_eq!(response.status, 200);
        proxy.confirm_state(true);
        for (path, headers, status) in [("/none/1", key.as_str(), 404), ("/get/1", "", 401)] {
            let response = client.send_request(path, headers, "").await.unwrap();
            assert_eq!(response.status, status, "{path}");
        }
    });
}

#[test]
fn a_confirmation_holds_for_the_length_of_the_lease() {
    block_on_test(async {
        let worker = start_stub_worker(vec![]).await;
        let proxy = start_proxy(&[&worker]).await;
        let now = proxy.shared.now();
        assert_eq!(error_at(&proxy, "/none/1", now), ErrorCode::UnknownRoute);
        let later = now + LEASE_MS;
        assert_eq!(error_at(&proxy, "/none/1", later), ErrorCode::NoLease);
    });
}

#[test]
fn an_unconfirmed_grant_is_no_confirmation() {
    block_on_test(async {
        let worker = start_stub_worker(vec![]).await;
        let proxy = start_isolated_proxy(CONFIGURATION, &[&worker]).await;
        proxy.confirm_state(false);
        let now = proxy.shared.now();
        assert_eq!(error_at(&proxy, "/none/1", now), ErrorCode::NoLease);
    });
}
