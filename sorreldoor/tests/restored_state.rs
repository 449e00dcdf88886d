//! What the replicated state has accepted is restored from its snapshot, and read back.

use sorreldoor::configuration::Site;
use sorreldoor::consensus::StateMachine;
use sorreldoor::json;
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
