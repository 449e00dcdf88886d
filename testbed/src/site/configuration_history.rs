//! The configurations that each version may stand for, derived from the operators'
//! changes and their outcomes alone, and checks of requests against them. Nothing
//! here uses the product's own parsing of configurations.

use super::workers::Execution;
use super::{ForwardedRequest, World};
use simd_json::prelude::*;
use sorreldoor::json::{self, Value};
use sorreldoor::replicated_state::{Command, Outcome};
use sorreldoor::wire::ProposalOutcome;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

/// The configurations of a run, by version.
struct ConfigurationHistory {
    /// The documents that a version may stand for: several if the outcome of a
    /// change is unknown.
    candidates: BTreeMap<u64, Vec<Rc<Value>>>,
    /// Cache of parsed documents, by the address of their text.
    parsed: RefCell<BTreeMap<usize, Rc<Value>>>,
}

/// JSON merge patch (RFC 7396), independent of the product's.
fn merge_patch(target: &Value, patch: &Value) -> Value {
    let Some(fields) = patch.as_object() else {
        return patch.clone();
    };
    let mut merged = if target.is_object() {
        target.clone()
    } else {
        Value::object()
    };
    for (key, value) in fields.iter() {
        if value.is_null() {
            let _ = merged.remove(key.as_str());
        } else {
            let old = merged.get(key.as_str()).cloned().unwrap_or_default();
            let _ = merged.insert(key.clone(), merge_patch(&old, value));
        }
    }
    merged
}

fn parse(text: &str) -> Option<Value> {
    json::parse(text.as_bytes(), usize::MAX).ok()
}

/// The document that results from applying a command; `None` if there is none.
fn apply(command: &Command, before: &Option<Rc<Value>>) -> Option<Rc<Value>> {
    match command {
        Command::Put { document, .. } => parse(document).map(Rc::new),
        Command::MergePatch { patch, .. } => before
            .as_ref()
            .zip(parse(patch))
            .map(|(doc, patch)| Rc::new(merge_patch(doc, &patch))),
        _ => before.clone(),
    }
}

/// Whether this outcome leaves open if the change is applied. `BaseAhead` does:
/// another copy of the change may be applied once the base exists
/// (`docs/control-safety.md`, point 2).
fn is_undecided(outcome: &Option<ProposalOutcome>) -> bool {
    matches!(
        outcome,
        None | Some(
            ProposalOutcome::Unknown
                | ProposalOutcome::Committed(Outcome::Unknown { .. } | Outcome::BaseAhead { .. })
        )
    )
}

/// The commands that may have produced a version: the acknowledged one, or, if
/// there is none, all undecided ones on its base.
fn commands_for(world: &World, version: u64) -> Vec<&Command> {
    let committed = ProposalOutcome::Committed(Outcome::Applied { version });
    let acknowledged: Vec<&Command> = world
        .changes
        .iter()
        .filter(|change| change.outcome.as_ref() == Some(&committed))
        .map(|change| &change.cmd)
        .collect();
    if !acknowledged.is_empty() {
        return acknowledged;
    }
    world
        .changes
        .iter()
        .filter(|change| change.base + 1 == version)
        .filter(|change| is_undecided(&change.outcome))
        .map(|change| &change.cmd)
        .collect()
}

impl ConfigurationHistory {
    fn new(world: &World) -> ConfigurationHistory {
        let mut candidates: BTreeMap<u64, Vec<Rc<Value>>> = BTreeMap::new();
        let last = world.changes.iter().map(|change| change.base + 1).max();
        for version in 1..=last.unwrap_or(0) {
            let before = candidates.get(&(version - 1)).cloned().unwrap_or_default();
            let before: Vec<Option<Rc<Value>>> = if before.is_empty() {
                vec![None]
            } else {
                before.into_iter().map(Some).collect()
            };
            let mut documents: Vec<Rc<Value>> = Vec::new();
            for command in commands_for(world, version) {
                for document in before.iter().filter_map(|doc| apply(command, doc)) {
                    if !documents.contains(&document) {
                        documents.push(document);
                    }
                }
            }
            candidates.insert(version, documents);
        }
        ConfigurationHistory {
            candidates,
            parsed: RefCell::default(),
        }
    }

    fn parsed(&self, doc: &Arc<String>) -> Rc<Value> {
        let address = Arc::as_ptr(doc) as usize;
        self.parsed
            .borrow_mut()
            .entry(address)
            .or_insert_with(|| Rc::new(parse(doc).unwrap_or_default()))
            .clone()
    }

    /// Whether the version may stand for the document.
    fn is_candidate(&self, version: u64, doc: &Arc<String>) -> bool {
        let document = self.parsed(doc);
        let candidates = self.candidates.get(&version);
        candidates.is_some_and(|all| all.iter().any(|candidate| **candidate == *document))
    }
}

/// Whether a boolean setting of a route is true in the document.
fn has_flag(doc: &Value, route: &str, key: &str) -> bool {
    let route = doc.get("routes").and_then(|routes| routes.get(route));
    let flag = route.and_then(|route| route.get(key));
    flag.and_then(|flag| flag.as_bool()) == Some(true)
}

/// Why a configuration does not allow a request's destination.
enum Forbidden {
    NoRoute,
    NoShare { route: String, group: String },
    HomeMismatch { home: Option<u8>, from: u8, to: u8 },
    NoSpill { from: String, to: String },
}

impl fmt::Display for Forbidden {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Forbidden::NoRoute => write!(f, "the configuration has no such route"),
            Forbidden::NoShare { route, group } => {
                write!(f, "no share of {route} has group {group}")
            }
            Forbidden::HomeMismatch { home, from, to } => {
                write!(
                    f,
                    "bound to region {home:?}, sent from region {from} to {to}"
                )
            }
            Forbidden::NoSpill { from, to } => write!(f, "no spill from {from} to {to}"),
        }
    }
}

/// Where a request was forwarded.
struct Destination<'a> {
    route: &'a str,
    /// The worker's group.
    group: &'a str,
    /// The edge's region.
    from: u8,
    /// The worker's region.
    to: u8,
    /// The home region of the request.
    home: Option<u8>,
}

/// Whether a service with a positive share of the route contains the group.
fn has_share(doc: &Value, route: &Value, group: &str) -> bool {
    let Some(shares) = route.get("shares").and_then(|shares| shares.as_object()) else {
        return false;
    };
    shares.iter().any(|(service, share)| {
        let positive = |key: &str| share.get(key).and_then(|value| value.as_u64()) > Some(0);
        let service = doc
            .get("services")
            .and_then(|services| services.get(service.as_str()));
        let groups = service
            .and_then(|service| service.get("groups"))
            .and_then(|groups| groups.as_array());
        let has_group =
            groups.is_some_and(|groups| groups.iter().any(|g| g.as_str() == Some(group)));
        (positive("weight") || positive("most")) && has_group
    })
}

/// Returns an error if the document does not allow a request's destination.
fn allows(world: &World, doc: &Value, request: &Destination) -> Result<(), Forbidden> {
    let Destination {
        route,
        group,
        from,
        to,
        home,
    } = *request;
    let routes = doc.get("routes");
    let Some(rules) = routes.and_then(|routes| routes.get(route)) else {
        return Err(Forbidden::NoRoute);
    };
    if !has_share(doc, rules, group) {
        return Err(Forbidden::NoShare {
            route: route.into(),
            group: group.into(),
        });
    }
    if has_flag(doc, route, "home") && (home != Some(to) || from != to) {
        return Err(Forbidden::HomeMismatch { home, from, to });
    }
    let name = |region: u8| world.site.regions[usize::from(region)].as_str();
    let spill = doc.get("spill").and_then(|spill| spill.get(name(from)));
    let percent = spill.and_then(|spill| spill.get(name(to)));
    let percent = percent.and_then(|percent| percent.as_u64());
    if from != to && percent.unwrap_or(0) == 0 {
        return Err(Forbidden::NoSpill {
            from: name(from).into(),
            to: name(to).into(),
        });
    }
    Ok(())
}

/// Requests are forwarded, and bodies accepted, only as an acknowledged
/// configuration allows; workers execute only what edges forwarded.
pub(super) fn check_forwarding(world: &World, violations: &mut Vec<String>) {
    let history = ConfigurationHistory::new(world);
    for request in &world.forwarded {
        check_forwarded_request(world, &history, request, violations);
    }
    for (i, worker) in world.workers.iter().enumerate() {
        for Execution { id, .. } in &worker.executions {
            let mut forwarded = world.forwarded.iter();
            if !forwarded.any(|request| request.worker == i && request.id == *id) {
                let name = &worker.name;
                violations.push(format!(
                    "{name} executed {id}, which no edge forwarded to it"
                ));
            }
        }
    }
    for body in &world.received_bodies {
        let client = &world.clients[&body.client];
        let doc = history.parsed(&body.doc);
        let edge = &world.processes[body.edge];
        if has_flag(&doc, &client.route, "home") && client.home != Some(edge.region) {
            violations.push(format!(
                "body of {} was sent to {}, outside its home region",
                client.id, edge.name
            ));
        }
    }
}

fn check_forwarded_request(
    world: &World,
    history: &ConfigurationHistory,
    request: &ForwardedRequest,
    violations: &mut Vec<String>,
) {
    let edge = &world.processes[request.edge];
    let worker = &world.workers[request.worker];
    if !history.is_candidate(request.version, &request.doc) {
        violations.push(format!(
            "{} acted at {} on an unacknowledged configuration, as version {}",
            edge.name, request.at, request.version
        ));
    }
    let client = &world.clients[&request.client];
    let destination = Destination {
        route: &client.route,
        group: &request.group,
        from: edge.region,
        to: worker.region,
        home: client.home,
    };
    if let Err(why) = allows(world, &history.parsed(&request.doc), &destination) {
        violations.push(format!(
            "{} of {} was not allowed at {}: {why}",
            request.id, edge.name, worker.name
        ));
    }
}

/// A request is executed at most once unless the configuration under which it was
/// first forwarded declares its route idempotent, and not at all if its client got
/// a rejection that promises so.
pub(super) fn check_executions(world: &World, violations: &mut Vec<String>) {
    let history = ConfigurationHistory::new(world);
    let mut first: BTreeMap<&str, &ForwardedRequest> = BTreeMap::new();
    for request in &world.forwarded {
        first.entry(request.id.as_str()).or_insert(request);
    }
    let is_idempotent = |request: &ForwardedRequest, route: &str| {
        has_flag(&history.parsed(&request.doc), route, "repeatable")
    };
    let executions = || world.workers.iter().flat_map(|worker| &worker.executions);
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for execution in executions() {
        *counts.entry(execution.id.as_str()).or_default() += 1;
    }
    for (id, count) in counts.iter().filter(|(_, count)| **count > 1) {
        let Some(request) = first.get(id) else {
            continue;
        };
        let route = &world.clients[&request.client].route;
        if !is_idempotent(request, route) {
            violations.push(format!("request {id} ({route}) was executed {count} times"));
        }
    }
    // several clients may use one id: each has its own outcome
    for Execution { at, client, id } in executions() {
        let client = &world.clients[client];
        let request = first.get(id.as_str());
        let idempotent = request.is_some_and(|request| is_idempotent(request, &client.route));
        if !idempotent && client.outcome.promises_not_executed() {
            violations.push(format!(
                "request {id} was rejected ({:?}) at {} and executed at {at}",
                client.outcome, client.end
            ));
        }
    }
}
