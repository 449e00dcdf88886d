//! Updates of the record: what nodes with an older copy are told.

use sorreldoor::configuration::hosted::Hosted;
use sorreldoor::configuration::{self, Site};
use sorreldoor::consensus::StateMachine;
use sorreldoor::replicated_state::{
    decode, encode, Command, Outcome, ReplicatedState, StateReplica, StateUpdate,
};
use sorreldoor::wire::EncodedUpdate;
use std::collections::BTreeMap;
use std::sync::Arc;

#[path = "updates/costs.rs"]
mod costs;
#[path = "updates/delivery.rs"]
mod delivery;

fn site() -> Arc<Site> {
    Arc::new(Site {
        regions: vec!["east".into(), "west".into()],
        zones: vec![("a".into(), 0), ("b".into(), 1), ("c".into(), 1)],
    })
}

fn route(name: usize, service: usize, salt: u64) -> String {
    format!(
        r#"{{"name":"r{name}","host":"H{}.example","prefix":"/p{name}/","timeout_ms":{},"service":"s{service}","kind":"stream","note":"of a desk's own"}}"#,
        name % 3,
        1000 + salt % 5000
    )
}

fn service(name: usize, salt: u64) -> String {
    format!(r#"{{"name":"s{name}","max_conns":{}}}"#, 1 + salt % 500)
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
    record: ReplicatedState,
    count: u128,
}

impl Core {
    fn new() -> Core {
        Core {
            record: ReplicatedState::new(site()),
            count: 0,
        }
    }

    fn act(&mut self, cmd: Command) -> Outcome {
        self.count += 1;
        let said = self
            .record
            .apply(self.count as u64, self.count, &encode(&cmd));
        decode(&said).expect("an outcome")
    }

    fn put(&mut self, doc: String) -> Outcome {
        let base = self.record.version();
        self.act(Command::Put {
            base,
            new_version: None,
            document: doc,
        })
    }

    fn items(&mut self, set: String, drop: String) -> Outcome {
        let base = self.record.version();
        self.act(Command::ChangeItems {
            base,
            new_version: None,
            set,
            drop,
        })
    }

    fn one_route(&mut self, name: usize, salt: u64) -> Outcome {
        let set = format!(r#"{{"routes":[{}]}}"#, route(name, 0, salt));
        self.items(set, "{}".into())
    }

    /// Any change that an operator may make, most of them valid.
    fn random_change(&mut self, random: &mut Random) {
        let salt = random.below(1 << 40);
        let name = |r: &mut Random| r.below(30) as usize;
        match random.below(10) {
            0 => {
                let n = random.below(30);
                let routes: Vec<String> = (0..n)
                    .filter(|_| !salt.is_multiple_of(3))
                    .map(|i| route(i as usize, 0, salt))
                    .collect();
                let mut routes = routes;
                if salt.is_multiple_of(2) {
                    routes.reverse();
                }
                self.put(document(&routes, &[service(0, salt), service(1, 1)], 10));
            }
            1 => {
                let zone = random.below(3) as u16;
                let evacuated = random.below(2) == 0;
                self.act(Command::EvacuateUnversioned { zone, evacuated });
            }
            2 => {
                let set = format!(r#"{{"services":[{}]}}"#, service(name(random) % 4, salt));
                self.items(set, "{}".into());
            }
            3 => {
                let drop = format!(r#"{{"services":["s{}"]}}"#, name(random) % 4);
                self.items("{}".into(), drop);
            }
            4 => {
                let set = format!(r#"{{"limits":{{"idle_ms":{}}}}}"#, 1 + salt % 90);
                self.items(set, "{}".into());
            }
            5 | 6 => {
                let drop = format!(r#"{{"routes":["r{}","r{}"]}}"#, name(random), name(random));
                self.items("{}".into(), drop);
            }
            _ => {
                let service = random.below(3) as usize;
                let set = format!(r#"{{"routes":[{}]}}"#, route(name(random), service, salt));
                self.items(set, "{}".into());
            }
        }
    }
}

/// Routes as a caller meets them: which service each leads to, in which order
/// nothing depends on.
fn meaning(h: &Hosted) -> BTreeMap<String, String> {
    let split = |r: &configuration::hosted::Route| {
        let names = r.split.iter().map(|(s, w)| (&h.services[*s as usize], *w));
        format!("{:?}", names.collect::<Vec<_>>())
    };
    let all = h.routes.iter().map(|r| {
        let found = h.find(&r.host, &r.prefix);
        let found = found.map(|i| &h.routes[i as usize].name);
        let rest = (&r.host, &r.prefix, r.timeout_ms, &r.homes, split(r));
        (r.name.clone(), format!("{found:?} {rest:?}"))
    });
    let limits = ("limits".to_string(), format!("{:?}", h.limits));
    all.chain([limits]).collect()
}

fn hosted_of(record: &ReplicatedState) -> Arc<Hosted> {
    let configuration = record.configuration().expect("a setup");
    configuration.hosted.clone().expect("a hosted part")
}

/// The whole document, read anew.
fn read_whole(record: &ReplicatedState) -> Hosted {
    let text = record.view().doc.expect("a document");
    let (s, _) = configuration::parse(text.as_bytes(), &site()).expect("it is valid");
    (*s.hosted.expect("a hosted part")).clone()
}

/// A node that may be told now and then only.
#[derive(Default)]
struct Edge {
    copy: StateReplica,
    hosted: Arc<Hosted>,
    revision: u64,
}

impl Edge {
    fn take(&mut self, update: &StateUpdate) {
        assert!(
            self.copy.apply(update),
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
                .expect("what was taken is valid");
            self.hosted = new.map_or(old, Arc::new);
        }
        self.revision = update.revision;
    }
}

/// After any changes, however many of them an edge slept through, and from
/// whichever core it is told (one that has it from a snapshot too), the
/// difference leads to the same copy as the whole.
#[test]
fn a_difference_leads_to_where_the_whole_leads() {
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
                assert!(other.load(&core.record.image()));
                core.record = other;
            }
            let edge = &mut edges[random.below(4) as usize];
            let update = core.record.delta_since(edge.revision);
            edge.take(&update);
            assert_eq!(
                edge.copy.view(),
                core.record.view(),
                "seed {seed} step {step}"
            );
            let whole = read_whole(&core.record);
            assert_eq!(meaning(&edge.hosted), meaning(&whole), "seed {seed}");
            assert_eq!(meaning(&hosted_of(&core.record)), meaning(&whole));
        }
    }
}

/// What a change costs every edge does not grow with the routes there are.
#[test]
fn what_is_told_of_a_change_does_not_grow_with_the_routes() {
    let told = |routes: usize| {
        let mut core = Core::new();
        core.put(with_routes(routes));
        let have = core.record.revision();
        assert_eq!(core.one_route(3, 77), Outcome::Applied { version: 2 });
        EncodedUpdate::new(&core.record.delta_since(have))
            .bytes
            .len()
    };
    let (few, many) = (told(100), told(5000));
    assert!(
        many < few + 64,
        "{few} bytes of 100 routes, {many} of 5,000"
    );
    assert!(many < 1000, "{many}");
}

/// A whole document put again with one item changed is told as that item.
#[test]
fn a_whole_document_is_told_by_what_is_new_in_it() {
    let mut core = Core::new();
    core.put(with_routes(1000));
    let have = core.record.revision();
    let mut routes: Vec<String> = (0..1000).map(|i| route(i, 0, 0)).collect();
    routes[500] = route(500, 0, 9);
    routes.remove(7);
    routes.push(route(2000, 0, 1));
    core.put(document(&routes, &[service(0, 1)], 50));
    let update = core.record.delta_since(have);
    let changes = update.document.expect("a document");
    assert_eq!((update.from_revision, changes.routes.set.len()), (have, 2));
    assert_eq!(changes.routes.deleted, vec!["r7".into()]);
    assert!(changes.rest.is_none() && changes.services.set.is_empty());
}

/// Deletions are not kept for ever; who is behind them is told the whole.
#[test]
fn whoever_is_too_far_behind_is_told_the_whole() {
    let mut core = Core::new();
    core.put(with_routes(50));
    let have = core.record.revision();
    for n in 0..5 {
        let set: Vec<String> = (0..1000).map(|i| route(100 + n * 1000 + i, 0, 0)).collect();
        let names: Vec<String> = (0..1000)
            .map(|i| format!("\"r{}\"", 100 + n * 1000 + i))
            .collect();
        core.items(format!(r#"{{"routes":[{}]}}"#, set.join(",")), "{}".into());
        core.items(
            "{}".into(),
            format!(r#"{{"routes":[{}]}}"#, names.join(",")),
        );
    }
    let mut edge = Edge::default();
    edge.take(&core.record.delta_since(0));
    assert_eq!(core.record.delta_since(have).from_revision, 0);
    let near = core.record.revision() - 1;
    assert_eq!(core.record.delta_since(near).from_revision, near);
    assert!(core.record.image().len() < 200_000);
    assert_eq!(edge.copy.view(), core.record.view());
}

/// An update that starts after what a copy holds would leave a gap.
#[test]
fn an_update_that_does_not_lead_on_is_refused() {
    let mut core = Core::new();
    core.put(with_routes(5));
    core.one_route(1, 5);
    let mut copy = StateReplica::default();
    assert!(!copy.apply(&core.record.delta_since(1)));
    assert_eq!(copy.view(), StateReplica::default().view());
    assert!(copy.apply(&core.record.delta_since(0)));
}

/// An image of the release before holds the document as one text.
#[test]
fn an_older_image_is_read() {
    #[derive(serde::Serialize)]
    struct Older {
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
    let older = Older {
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
    assert!(core.record.load(&encode(&older)));
    assert_eq!((core.record.revision(), core.record.version()), (9, 7));
    assert_eq!(hosted_of(&core.record).routes.len(), 20);
    // what is told of it is told whole to whoever is behind it
    let mut edge = Edge::default();
    edge.take(&core.record.delta_since(0));
    core.one_route(3, 5);
    edge.take(&core.record.delta_since(9));
    assert_eq!(edge.copy.view(), core.record.view());
}
