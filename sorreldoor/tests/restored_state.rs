//! What the replicated state has accepted is restored from its snapshot, and read back.

use http_types::{Method, Request};
use sorreldoor::configuration::{self, Site};
use sorreldoor::consensus::StateMachine;
use sorreldoor::error::ErrorCode;
use sorreldoor::json::{self, MAX_DEPTH};
use sorreldoor::operator_api;
use sorreldoor::replicated_state::{decode, encode, Command, Outcome, ReplicatedState};
use std::sync::Arc;

const SERVICES: &str = r#""services":[{"name":"s"}]"#;
const TENANT: &str = r#"{"tenants":[{"name":"t","keys":["k"]}]}"#;
const ROUTE: &str =
    r#"{"routes":[{"name":"r","host":"a.example","prefix":"/","timeout_ms":50,"service":"s"}]}"#;

fn site() -> Arc<Site> {
    Arc::new(Site {
        regions: vec!["east".into()],
        zones: vec![("a".into(), 0)],
    })
}

/// A core's state, changed by one command after the other.
struct Core {
    state: ReplicatedState,
    commands: u64,
}

impl Core {
    fn with_document(document: &str) -> Core {
        let state = ReplicatedState::new(site());
        let mut core = Core { state, commands: 0 };
        let outcome = core.apply(Command::Put {
            base: 0,
            new_version: None,
            document: document.into(),
        });
        assert_eq!(outcome, Outcome::Applied { version: 1 }, "{document}");
        core
    }

    fn apply(&mut self, command: Command) -> Outcome {
        self.commands += 1;
        let id = u128::from(self.commands);
        let outcome = self.state.apply(self.commands, id, &encode(&command));
        decode(&outcome).expect("an outcome")
    }

    fn set(&mut self, items: &str) -> Outcome {
        self.apply(Command::ChangeItems {
            base: self.state.version(),
            new_version: None,
            set: items.into(),
            drop: "{}".into(),
        })
    }

    fn set_applied(&mut self, items: &str) {
        let version = self.state.version() + 1;
        assert_eq!(self.set(items), Outcome::Applied { version });
    }

    /// The state of a blank core that loads this one's snapshot.
    fn restored(&self) -> ReplicatedState {
        let mut restored = ReplicatedState::new(site());
        assert!(restored.load(&self.state.image()), "it cannot be restored");
        restored
    }

    fn assert_restored(&self) {
        let restored = self.restored();
        assert_eq!(restored.view(), self.state.view());
        assert_eq!(restored.configuration(), self.state.configuration());
    }
}

#[test]
fn null_in_place_of_a_list_that_an_edit_fills_is_restored() {
    for (list, items) in [("tenants", TENANT), ("routes", ROUTE)] {
        let document = format!(r#"{{"hosted":{{"{list}":null,{SERVICES}}}}}"#);
        let mut core = Core::with_document(&document);
        core.assert_restored();
        core.set_applied(items);
        let text = core.state.view().document.expect("a document");
        json::parse(text.as_bytes(), usize::MAX).expect("every key once");
        core.assert_restored();
    }
}

/// An item with the name `name` whose text has `bytes` bytes.
fn service_of(name: &str, bytes: usize) -> String {
    let item = |note: &str| format!(r#"{{"name":"{name}","note":"{note}"}}"#);
    item(&"x".repeat(bytes - item("").len()))
}

fn set_service(item: &str) -> String {
    format!(r#"{{"services":[{item}]}}"#)
}

#[test]
fn a_configuration_that_edits_bring_to_the_size_limit_is_restored() {
    let half = configuration::MAX_BYTES / 2;
    for below in [0, 1, 16, 32, 33, 64] {
        let mut core = Core::with_document(&format!(r#"{{"hosted":{{{SERVICES}}}}}"#));
        core.set_applied(&set_service(&service_of("first", half)));
        // the size that is limited counts a separator for each item, and the rest
        let stored = r#"{}{}{"name":"s"},"#.len() + half + 1;
        let last = configuration::MAX_BYTES - below - stored - 1;
        let too_large = core.set(&set_service(&service_of("last", last + below + 1)));
        let max_bytes = configuration::MAX_BYTES as u64;
        let bytes = max_bytes + 1;
        assert_eq!(too_large, Outcome::TooLarge { bytes, max_bytes });
        core.set_applied(&set_service(&service_of("last", last)));
        core.assert_restored();
    }
}

#[test]
fn an_item_as_deep_as_an_edit_may_be_is_restored() {
    // the edit's object, its list and the item lie around these
    let depth = MAX_DEPTH - 3;
    let note = format!("{}1{}", "[".repeat(depth), "]".repeat(depth));
    let mut core = Core::with_document(&format!(r#"{{"hosted":{{{SERVICES}}}}}"#));
    core.set_applied(&set_service(&format!(r#"{{"name":"deep","note":{note}}}"#)));
    core.assert_restored();
    let too_deep = core.set(&set_service(&format!(
        r#"{{"name":"deep","note":[{note}]}}"#
    )));
    assert!(matches!(too_deep, Outcome::Invalid { .. }), "{too_deep:?}");
}

#[async_std::test]
async fn a_document_that_is_larger_as_it_is_stored_is_rejected_with_its_size_limit() {
    // stored as 1000000000000000.0
    let numbers = vec!["1e15"; configuration::MAX_BYTES / 10].join(",");
    let document = format!(r#"{{"hosted":{{"note":[{numbers}]}}}}"#);
    assert!(document.len() < configuration::MAX_BYTES);
    let mut request = Request::new(Method::Put, "http://a.example/v1/setup?base=0");
    request.set_body(document);
    let parsed = operator_api::parse_request(&mut request, &site()).await;
    let error = parsed
        .expect("a path of the interface")
        .expect_err("too large");
    assert_eq!(error, ErrorCode::ConfigurationTooLarge);
    assert_eq!(error.status(), 413);
}
