//! Keys of tenants: which requests run, and that no worker ever receives a key.

use super::harness::*;

const KEY: &str = "92cqf75rjvz48wuakn2f";

/// The configuration of the other tests, with one tenant.
pub fn configuration() -> String {
    let tenants =
        format!(r#""tenants":[{{"name":"desk","keys":["{KEY}"],"priority":1}}],"limits""#);
    CONFIGURATION.replace(r#""limits""#, &tenants)
}

fn bearer(key: &str) -> String {
    format!("Authorization: Bearer {key}\r\n")
}

#[test]
fn no_worker_receives_the_key_of_a_client() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::Complete(200, "x")]).await;
        let proxy = start_proxy_with(&configuration(), &[&worker]).await;
        let mut client = Client::new(&proxy).await;
        let response = client.send_request("/get/1", &bearer(KEY), "").await;
        assert_eq!(response.unwrap().status, 200);
        assert!(!worker.head(0).contains(KEY), "{}", worker.head(0));
    });
}

#[test]
fn a_request_with_an_unknown_key_is_not_run() {
    block_on_test(async {
        let worker = start_stub_worker(vec![Behavior::Complete(200, "x")]).await;
        let proxy = start_proxy_with(&configuration(), &[&worker]).await;
        let mut client = Client::new(&proxy).await;
        let response = client.send_request("/get/1", &bearer("guessed"), "").await;
        assert_eq!((response.unwrap().status, worker.count()), (401, 0));
    });
}
