//! Tenants in the updates for nodes that have missed changes.

use super::*;
use sorreldoor::configuration::tenants::Tenant;

fn tenant(name: u64, keys: &[u64]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"k{key}\"")).collect();
    let keys = keys.join(",");
    format!(r#"{{"name":"t{name}","keys":[{keys}],"rate_per_s":2.5}}"#)
}

impl Core {
    /// Makes a random change of tenants; one with a shared key is rejected.
    fn change_tenants(&mut self, random: &mut Random) {
        let any = |random: &mut Random| (random.below(8), random.below(24), random.below(24));
        let (name, first, second) = any(random);
        let set = format!(r#"{{"tenants":[{}]}}"#, tenant(name, &[first, second]));
        let drop = format!(r#"{{"tenants":["t{}"]}}"#, random.below(8));
        match random.below(8) {
            0 => {
                let list = format!(r#""tenants":[{}],"limits""#, tenant(name, &[first]));
                let text = with_routes(3).replace(r#""limits""#, &list);
                self.put(text);
            }
            1 => {
                self.put(with_routes(2));
            }
            2 | 3 => {
                self.change_items("{}".into(), drop);
            }
            4 => {
                self.change_items(set, drop);
            }
            5 => {
                self.random_change(random);
            }
            _ => {
                self.change_items(set, "{}".into());
            }
        }
    }
}

/// The tenants sorted by name, and whether requests need a key.
fn by_name(hosted: &Hosted) -> (Vec<Arc<Tenant>>, bool) {
    let mut all = hosted.tenants.all().to_vec();
    all.sort_by(|a, b| a.name.cmp(&b.name));
    for tenant in &all {
        let holds = |key| hosted.tenants.holder_of(key) == Some(tenant);
        assert!(tenant.keys.iter().all(holds));
    }
    (all, hosted.tenants.required())
}

#[test]
fn a_node_that_missed_changes_has_the_tenants_of_the_document() {
    let mut rejected = 0;
    for seed in 1..=60 {
        let mut random = Random(seed * 0x9e37_79b9);
        let mut core = Core::new();
        core.put(with_routes(2));
        let mut edges: Vec<Edge> = (0..3).map(|_| Edge::default()).collect();
        for step in 0..120 {
            let before = core.state.version();
            core.change_tenants(&mut random);
            rejected += usize::from(core.state.version() == before);
            if step % 29 == 28 {
                let mut other = ReplicatedState::new(site());
                assert!(other.load(&core.state.image()));
                core.state = other;
            }
            let edge = &mut edges[random.below(3) as usize];
            edge.apply_update(&core.state.delta_since(edge.revision));
            let complete = parse_document(&core.state);
            let at = format!("seed {seed} step {step}");
            assert_eq!(edge.replica.view(), core.state.view(), "{at}");
            assert_eq!(by_name(&edge.hosted), by_name(&complete), "{at}");
            assert_eq!(by_name(&hosted_of(&core.state)), by_name(&complete), "{at}");
            let text = core.state.view().document.expect("a document");
            assert_eq!(complete.tenants.required(), text.contains("\"tenants\""));
        }
    }
    assert!(rejected > 100, "changes with a shared key: {rejected}");
}

#[test]
fn a_change_of_one_tenant_is_sent_alone() {
    let mut core = Core::new();
    let all: Vec<String> = (0..500).map(|name| tenant(name, &[name])).collect();
    let list = format!(r#""tenants":[{}],"limits""#, all.join(","));
    core.put(with_routes(100).replace(r#""limits""#, &list));
    let known_revision = core.state.revision();
    let set = format!(r#"{{"tenants":[{}]}}"#, tenant(7, &[900]));
    core.change_items(set, "{}".into());
    let update = EncodedUpdate::new(&core.state.delta_since(known_revision));
    assert!(update.bytes.len() < 1000, "{}", update.bytes.len());
}
