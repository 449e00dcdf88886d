//! Updates of the replicated state: the deltas for nodes with an older replica.

use sorreldoor::configuration::hosted::Hosted;
use sorreldoor::configuration::{self, Site};
use sorreldoor::consensus::StateMachine;
use sorreldoor::replicated_state::{
    decode, encode, Command, Outcome, ReplicatedState, StateReplica, StateUpdate,
};
use sorreldoor::wire::EncodedUpdate;
use std::collections::BTreeMap;
use std::sync::Arc;

#[path = "updates/compression.rs"]
mod compression;
#[path = "updates/costs.rs"]
mod costs;
#[path = "updates/delivery.rs"]
mod delivery;
#[path = "updates/tenants.rs"]
mod tenants;

fn site() -> Arc<Site> {
    Arc::new(Site {
        regions: vec!["east".into(), "west".into()],
        zones: vec![("a".into(), 0), ("b".into(), 1), ("c".into(), 1)],
    })
}

fn route(name: usize, service: usize, variant: u64) -> String {
    format!(
        r#"{{"name":"r{name}","host":"H{}.example","prefix":"/p{name}/","timeout_ms":{},"service":"s{service}","kind":"stream","note":"of a desk's own"}}"#,
        name % 3,
        1000 + variant % 5000
    )
}

fn service(name: usize, variant: u64) -> String {
    format!(r#"{{"name":"s{name}","max_conns":{}}}"#, 1 + variant % 500)
}

fn document(routes: &[String], services: &[String], limit: u64) -> String {
    let (routes, services) = (routes.join(","), services.join(","));
    format!(
        r#"{{"hosted":{{"routes":[{routes}],"services":[{services}],"limits":{{"idle_ms":{limit}}}}}}}"#
    )
}

fn with_routes(count: usize) -> String {
    let routes: Vec<String> = (0..count).map(|i| route(i, 0, 0)).collect();
    document(&routes, &[service(0, 1)], 50)
}

struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n
    }
}

struct Core {
    state: ReplicatedState,
    count: u128,
}

impl Core {
    fn new() -> Core {
        Core {
            state: ReplicatedState::new(site()),
            count: 0,
        }
    }

    fn apply_next(&mut self, command: Command) -> Outcome {
        self.count += 1;
        let outcome = self
            .state
            .apply(self.count as u64, self.count, &encode(&command));
        decode(&outcome).expect("an outcome")
    }

    fn put(&mut self, document: String) -> Outcome {
        let base = self.state.version();
        self.apply_next(Command::Put {
            base,
            new_version: None,
            document,
        })
    }

    fn change_items(&mut self, set: String, drop: String) -> Outcome {
        let base = self.state.version();
        self.apply_next(Command::ChangeItems {
            base,
            new_version: None,
            set,
            drop,
        })
    }

    fn set_route(&mut self, name: usize, variant: u64) -> Outcome {
        let set = format!(r#"{{"routes":[{}]}}"#, route(name, 0, variant));
        self.change_items(set, "{}".into())
    }

    /// Makes a random change as an operator may; most are valid.
    fn random_change(&mut self, random: &mut Random) {
        let variant = random.below(1 << 40);
        let name = |random: &mut Random| random.below(30) as usize;
        match random.below(10) {
            0 => {
                let n = random.below(30);
                let routes: Vec<String> = (0..n)
                    .filter(|_| !variant.is_multiple_of(3))
                    .map(|i| route(i as usize, 0, variant))
                    .collect();
                let mut routes = routes;
                if variant.is_multiple_of(2) {
                    routes.reverse();
                }
                self.put(document(&routes, &[service(0, variant), service(1, 1)], 10));
            }
            1 => {
                let zone = random.below(3) as u16;
                let evacuated = random.below(2) == 0;
                self.apply_next(Command::EvacuateUnversioned { zone, evacuated });
            }
            2 => {
                let set = format!(r#"{{"services":[{}]}}"#, service(name(random) % 4, variant));
                self.change_items(set, "{}".into());
            }
            3 => {
                let drop = format!(r#"{{"services":["s{}"]}}"#, name(random) % 4);
                self.change_items("{}".into(), drop);
            }
            4 => {
                let set = format!(r#"{{"limits":{{"idle_ms":{}}}}}"#, 1 + variant % 90);
                self.change_items(set, "{}".into());
            }
            5 | 6 => {
                let drop = format!(r#"{{"routes":["r{}","r{}"]}}"#, name(random), name(random));
                self.change_items("{}".into(), drop);
            }
            _ => {
                let service = random.below(3) as usize;
                let set = format!(
                    r#"{{"routes":[{}]}}"#,
                    route(name(random), service, variant)
                );
                self.change_items(set, "{}".into());
            }
        }
    }
}

/// The routing that clients observe: the services of each route, independent of
/// the order of the items.
fn routing_of(hosted: &Hosted) -> BTreeMap<String, String> {
    let split = |route_row: &configuration::hosted::Route| {
        let names = route_row
            .split
            .iter()
            .map(|(service, weight)| (&hosted.services[*service as usize], *weight));
        format!("{:?}", names.collect::<Vec<_>>())
    };
    let all = hosted.routes.iter().map(|route_row| {
        let found_route = hosted.find(&route_row.host, &route_row.prefix);
        let found_route = found_route.map(|i| &hosted.routes[i as usize].name);
        let rest = (
            &route_row.host,
            &route_row.prefix,
            route_row.timeout_ms,
            &route_row.homes,
            split(route_row),
        );
        (route_row.name.clone(), format!("{found_route:?} {rest:?}"))
    });
    let limits = ("limits".to_string(), format!("{:?}", hosted.limits));
    all.chain([limits]).collect()
}

fn hosted_of(state: &ReplicatedState) -> Arc<Hosted> {
    let configuration = state.configuration().expect("a configuration");
    configuration.hosted.clone().expect("a hosted section")
}

/// The configuration, parsed from the complete document.
fn parse_document(state: &ReplicatedState) -> Hosted {
    let text = state.view().document.expect("a document");
    let (configuration, _) = configuration::parse(text.as_bytes(), &site()).expect("it is valid");
    (*configuration.hosted.expect("a hosted section")).clone()
}

/// A node that receives only some of the updates.
#[derive(Default)]
struct Edge {
    replica: StateReplica,
    hosted: Arc<Hosted>,
    revision: u64,
}

impl Edge {
    fn apply_update(&mut self, update: &StateUpdate) {
        assert!(
            self.replica.apply(update),
            "from {} to {}",
            update.from_revision,
            update.revision
        );
        if let Some(changes) = &update.document {
            let old = match update.from_revision {
                0 => Arc::default(),
                _ => self.hosted.clone(),
            };
            let new = changes
                .hosted(&old, &site())
                .expect("an applied change is valid");
            self.hosted = new.map_or(old, Arc::new);
        }
        self.revision = update.revision;
    }
}

/// However many changes an edge has missed, and also from a core restored from a
/// snapshot, a delta leads to the same replica as the complete document.
#[test]
fn a_delta_and_the_complete_document_lead_to_the_same_replica() {
    for seed in 1..=60 {
        let mut random = Random(seed * 0x9e37_79b9);
        let mut core = Core::new();
        let services: Vec<String> = (0..3).map(|i| service(i, 1)).collect();
        core.put(document(&[route(1, 0, 1), route(2, 1, 1)], &services, 10));
        let mut edges: Vec<Edge> = (0..4).map(|_| Edge::default()).collect();
        for step in 0..120 {
            core.random_change(&mut random);
            if step % 37 == 36 {
                let mut other = ReplicatedState::new(site());
                assert!(other.load(&core.state.image()));
                core.state = other;
            }
            let edge = &mut edges[random.below(4) as usize];
            let update = core.state.delta_since(edge.revision);
            edge.apply_update(&update);
            assert_eq!(
                edge.replica.view(),
                core.state.view(),
                "seed {seed} step {step}"
            );
            let complete = parse_document(&core.state);
            assert_eq!(
                routing_of(&edge.hosted),
                routing_of(&complete),
                "seed {seed}"
            );
            assert_eq!(routing_of(&hosted_of(&core.state)), routing_of(&complete));
        }
    }
}

#[test]
fn the_update_of_a_change_does_not_grow_with_the_number_of_routes() {
    let update_bytes = |routes: usize| {
        let mut core = Core::new();
        core.put(with_routes(routes));
        let known_revision = core.state.revision();
        assert_eq!(core.set_route(3, 77), Outcome::Applied { version: 2 });
        EncodedUpdate::new(&core.state.delta_since(known_revision))
            .bytes
            .len()
    };
    let (few, many) = (update_bytes(100), update_bytes(5000));
    assert!(
        many < few + 64,
        "{few} bytes with 100 routes, {many} with 5,000"
    );
    assert!(many < 1000, "{many}");
}

#[test]
fn a_replaced_document_sends_only_its_changed_items() {
    let mut core = Core::new();
    core.put(with_routes(1000));
    let known_revision = core.state.revision();
    let mut routes: Vec<String> = (0..1000).map(|i| route(i, 0, 0)).collect();
    routes[500] = route(500, 0, 9);
    routes.remove(7);
    routes.push(route(2000, 0, 1));
    core.put(document(&routes, &[service(0, 1)], 50));
    let update = core.state.delta_since(known_revision);
    let changes = update.document.expect("a document");
    assert_eq!(
        (update.from_revision, changes.routes.set.len()),
        (known_revision, 2)
    );
    assert_eq!(changes.routes.deleted, vec!["r7".into()]);
    assert!(changes.rest.is_none() && changes.services.set.is_empty());
}

#[test]
fn a_replica_older_than_the_remembered_deletions_gets_the_complete_document() {
    let mut core = Core::new();
    core.put(with_routes(50));
    let known_revision = core.state.revision();
    for n in 0..5 {
        let set: Vec<String> = (0..1000).map(|i| route(100 + n * 1000 + i, 0, 0)).collect();
        let names: Vec<String> = (0..1000)
            .map(|i| format!("\"r{}\"", 100 + n * 1000 + i))
            .collect();
        core.change_items(format!(r#"{{"routes":[{}]}}"#, set.join(",")), "{}".into());
        core.change_items(
            "{}".into(),
            format!(r#"{{"routes":[{}]}}"#, names.join(",")),
        );
    }
    let mut edge = Edge::default();
    edge.apply_update(&core.state.delta_since(0));
    assert_eq!(core.state.delta_since(known_revision).from_revision, 0);
    let near = core.state.revision() - 1;
    assert_eq!(core.state.delta_since(near).from_revision, near);
    assert!(core.state.image().len() < 200_000);
    assert_eq!(edge.replica.view(), core.state.view());
}

#[test]
fn an_update_that_starts_after_the_replica_is_rejected() {
    let mut core = Core::new();
    core.put(with_routes(5));
    core.set_route(1, 5);
    let mut replica = StateReplica::default();
    assert!(!replica.apply(&core.state.delta_since(1)));
    assert_eq!(replica.view(), StateReplica::default().view());
    assert!(replica.apply(&core.state.delta_since(0)));
}

/// The previous release stored the document as one string.
#[test]
fn an_image_of_the_previous_release_is_loaded() {
    #[derive(serde::Serialize)]
    struct LegacyImage {
        #[serde(rename = "rev")]
        revision: u64,
        #[serde(rename = "serial")]
        version: u64,
        doc: Option<Arc<String>>,
        #[serde(rename = "emptied")]
        evacuated: Vec<u16>,
        weights: BTreeMap<(u16, u16), u32>,
        regions: BTreeMap<u8, u8>,
        epoch: u64,
        holder: u64,
        answered: BTreeMap<u128, Arc<Vec<u8>>>,
        order: Vec<u128>,
    }
    let legacy = LegacyImage {
        revision: 9,
        version: 7,
        doc: Some(Arc::new(with_routes(20))),
        evacuated: vec![1],
        weights: BTreeMap::new(),
        regions: BTreeMap::new(),
        epoch: 0,
        holder: 0,
        answered: BTreeMap::new(),
        order: Vec::new(),
    };
    let mut core = Core::new();
    assert!(core.state.load(&encode(&legacy)));
    assert_eq!((core.state.revision(), core.state.version()), (9, 7));
    assert_eq!(hosted_of(&core.state).routes.len(), 20);
    // replicas without state get the complete document
    let mut edge = Edge::default();
    edge.apply_update(&core.state.delta_since(0));
    core.set_route(3, 5);
    edge.apply_update(&core.state.delta_since(9));
    assert_eq!(edge.replica.view(), core.state.view());
}
