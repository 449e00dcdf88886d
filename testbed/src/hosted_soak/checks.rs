//! The rules that the records of a soak must satisfy; each is a function that returns its
//! violations.

use super::plan::{Handling, Plan, RouteKind};
use super::records::{
    ChangeRecord, ChangeState, Disturbance, DisturbanceRecord, Ending, Millis, RequestRecord,
    RunRecord, ZoneChangeRecord,
};
use super::zone_operator::ZONE;
use std::collections::HashMap;

/// A connection may close without a response for this long after the last byte of a
/// request that reached no worker; includes a margin for a busy machine.
const MAX_CLOSE_DELAY_MS: Millis = 500;
/// Statuses which state that the request has not run and will not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The records of a soak that has ended.
pub struct Evidence<'a> {
    pub requests: &'a [RequestRecord],
    pub runs: &'a [RunRecord],
    pub changes: &'a [ChangeRecord],
    pub zone_changes: &'a [ZoneChangeRecord],
    pub disturbances: &'a [DisturbanceRecord],
    /// Indices of the cores among the processes.
    pub cores: std::ops::Range<usize>,
    /// Limit on the time from the acknowledgement of a change until it is in force.
    pub apply_ms: Millis,
    /// Limit on the time from the acknowledgement of an evacuation until it is in force.
    pub evacuation_ms: Millis,
    /// Rules with a time bound apply to requests whose edge and cores had no disturbance
    /// for this time before.
    pub contact_ms: Millis,
}

impl Evidence<'_> {
    fn runs_by_id(&self) -> HashMap<&str, Vec<&RunRecord>> {
        let mut by_id: HashMap<&str, Vec<&RunRecord>> = HashMap::new();
        for run in self.runs {
            by_id.entry(&run.attempt_id).or_default().push(run);
        }
        by_id
    }

    /// Whether a process had a disturbance in a span, planned ones only with
    /// `include_planned`.
    fn disturbed(&self, process: usize, span: (Millis, Millis), include_planned: bool) -> bool {
        self.disturbances.iter().any(|d| {
            d.process == process
                && (include_planned || d.kind == Disturbance::Unplanned)
                && (span.0..=span.1).contains(&d.at)
        })
    }

    /// Whether the edge of a request and all cores had no disturbance from `contact_ms`
    /// before the request until its end.
    fn undisturbed(&self, request: &RequestRecord) -> bool {
        self.in_contact(request.edge, (request.sent_at, request.ended_at))
    }

    /// Whether an edge and all cores had no disturbance from `contact_ms` before a span
    /// until its end.
    fn in_contact(&self, edge: usize, (start, end): (Millis, Millis)) -> bool {
        let span = (start.saturating_sub(self.contact_ms), end);
        let mut processes = self.cores.clone().chain([edge]);
        !processes.any(|process| self.disturbed(process, span, true))
    }

    /// The spans in which the zone must get nothing: from `evacuation_ms` after the
    /// acknowledgement of an evacuation until a call for its return is sent.
    fn evacuated_spans(&self) -> Vec<(Millis, Millis)> {
        let changes = self.zone_changes.iter().enumerate();
        let spans = changes.filter_map(|(index, change)| match change.state {
            ChangeState::Acknowledged { at } if change.evacuated => {
                let mut later = self.zone_changes[index + 1..].iter();
                let end = later.find(|later| !later.evacuated).map(|l| l.sent_at);
                Some((at + self.evacuation_ms, end.unwrap_or(Millis::MAX)))
            }
            _ => None,
        });
        spans.collect()
    }

    fn route_kind(&self, path: &str) -> Option<RouteKind> {
        let mut plans = self.changes.iter().map(|change| &change.plan);
        plans.find_map(|plan| plan.route_of(path).map(|route| route.kind))
    }

    /// The configurations that may be in force for a request at an undisturbed edge: the
    /// newest that must be, and all later ones sent before the request ended.
    fn may_be_in_force(&self, request: &RequestRecord) -> Vec<&Plan> {
        let due = |change: &&ChangeRecord| match change.state {
            ChangeState::Acknowledged { at } => at + self.apply_ms < request.sent_at,
            _ => false,
        };
        let newest_due = self
            .changes
            .iter()
            .filter(due)
            .map(|c| c.plan.version)
            .max();
        let sent = self
            .changes
            .iter()
            .filter(|c| c.sent_at <= request.ended_at);
        sent.filter(|c| c.state != ChangeState::Rejected)
            .map(|c| &c.plan)
            .filter(|plan| newest_due.is_none_or(|due| plan.version >= due))
            .collect()
    }
}

/// A rule; returns a text for each violation.
pub type Rule = fn(&Evidence) -> Vec<String>;

/// All rules with their names.
pub const RULES: [(&str, Rule); 9] = [
    ("whole-answers", whole_answers),
    ("run-once", run_once),
    ("promises", promises),
    ("tries", tries),
    ("allowed", allowed),
    ("in-force", in_force),
    ("keys-withheld", keys_withheld),
    ("answered", answered),
    ("evacuated", evacuated),
];

/// Every response is well-formed, and every success is complete and the response of a
/// worker to this request.
pub fn whole_answers(evidence: &Evidence) -> Vec<String> {
    let faults = evidence.requests.iter().filter_map(|request| {
        let fault = match &request.ending {
            Ending::Answered { fault, .. } => fault.as_deref()?,
            Ending::Malformed => "bytes that are no response",
            Ending::Closed | Ending::TimedOut | Ending::NotSent => return None,
        };
        Some(format!("{} {}: {fault}", request.attempt_id, request.path))
    });
    faults.collect()
}

/// A request of a route that allows one run runs at most once.
pub fn run_once(evidence: &Evidence) -> Vec<String> {
    let runs = evidence.runs_by_id();
    let twice = runs.iter().filter(|(_, runs)| {
        runs.len() > 1 && evidence.route_kind(&runs[0].path) == Some(RouteKind::Once)
    });
    twice
        .map(|(id, runs)| format!("{id} {} ran {} times", runs[0].path, runs.len()))
        .collect()
}

/// A request of a route that allows one run did not run if its status states so.
pub fn promises(evidence: &Evidence) -> Vec<String> {
    let runs = evidence.runs_by_id();
    let broken = evidence.requests.iter().filter(|request| {
        let promised = matches!(&request.ending, Ending::Answered { status, .. } if NOT_RUN_STATUSES.contains(status));
        promised
            && runs.contains_key(request.attempt_id.as_str())
            && evidence.route_kind(&request.path) == Some(RouteKind::Once)
    });
    broken
        .map(|request| {
            format!(
                "{} ran, but its response states that it did not: {:?}",
                request.attempt_id, request.ending
            )
        })
        .collect()
}

/// A request runs on at most as many workers as its route allows.
pub fn tries(evidence: &Evidence) -> Vec<String> {
    let max_attempts = |path: &str| {
        let plans = evidence.changes.iter().map(|change| &change.plan);
        let routes = plans.filter_map(|plan| plan.route_of(path));
        routes
            .map(|route| route.max_attempts as usize)
            .max()
            .unwrap_or(0)
    };
    let runs = evidence.runs_by_id();
    let over = runs
        .iter()
        .filter(|(_, runs)| runs.len() > max_attempts(&runs[0].path));
    over.map(|(id, runs)| format!("{id} {} ran on {} workers", runs[0].path, runs.len()))
        .collect()
}

/// Every run agrees in route, service and tenant with some configuration that was sent
/// before it.
pub fn allowed(evidence: &Evidence) -> Vec<String> {
    let requests: HashMap<&str, &RequestRecord> = evidence
        .requests
        .iter()
        .map(|request| (request.attempt_id.as_str(), request))
        .collect();
    let mut broken = Vec::new();
    for run in evidence.runs {
        let Some(request) = requests.get(run.attempt_id.as_str()) else {
            broken.push(format!("{} ran, but no client sent it", run.attempt_id));
            continue;
        };
        let ran = handling_of(run);
        let sent = evidence.changes.iter().filter(|c| c.sent_at <= run.at);
        let mut plans = sent
            .filter(|c| c.state != ChangeState::Rejected)
            .map(|c| &c.plan);
        if !plans.any(|plan| plan.handling(&request.path, request.key.as_deref()) == ran) {
            broken.push(format!(
                "{} {} with {:?}: {ran:?}, which no configuration allows",
                run.attempt_id, request.path, request.key
            ));
        }
    }
    broken
}

fn handling_of(run: &RunRecord) -> Handling {
    Handling::Runs {
        service: run.service.clone(),
        tenant: run.tenant.clone(),
    }
}

/// At an undisturbed edge an acknowledged configuration is in force within `apply_ms`,
/// and no older one after it.
pub fn in_force(evidence: &Evidence) -> Vec<String> {
    let runs = evidence.runs_by_id();
    let mut broken = Vec::new();
    for request in evidence.requests.iter().filter(|r| evidence.undisturbed(r)) {
        let seen = match &request.ending {
            Ending::Answered { status: 404, .. } => Handling::NoRoute,
            Ending::Answered { status: 401, .. } => Handling::NoKey,
            Ending::Answered { status: 200, .. } => match runs.get(request.attempt_id.as_str()) {
                Some(runs) => handling_of(runs[runs.len() - 1]),
                None => continue,
            },
            _ => continue,
        };
        let plans = evidence.may_be_in_force(request);
        let key = request.key.as_deref();
        if !plans
            .iter()
            .any(|plan| plan.handling(&request.path, key) == seen)
        {
            let versions: Vec<u64> = plans.iter().map(|plan| plan.version).collect();
            broken.push(format!(
                "{} {} with {key:?}, sent at {} ms: {seen:?}, which none of versions {versions:?} allows",
                request.attempt_id, request.path, request.sent_at
            ));
        }
    }
    broken
}

/// No worker receives an API key.
pub fn keys_withheld(evidence: &Evidence) -> Vec<String> {
    let leaks = evidence.runs.iter().filter(|run| run.key_seen);
    leaks
        .map(|run| {
            format!(
                "{} {} reached a worker with its API key",
                run.attempt_id, run.path
            )
        })
        .collect()
}

/// A request that an edge has read is answered, unless the edge was killed or paused, or
/// its worker crashed.
pub fn answered(evidence: &Evidence) -> Vec<String> {
    let runs = evidence.runs_by_id();
    let unanswered = evidence.requests.iter().filter(|request| {
        if request.ending != Ending::Closed {
            return false;
        }
        let span = (request.sent_at, request.ended_at);
        let runs = runs.get(request.attempt_id.as_str());
        let worker_crashed = runs.is_some_and(|runs| runs.iter().any(|run| run.crashed));
        let reached_worker = runs.is_some();
        let late = request.ended_at > request.sent_at + MAX_CLOSE_DELAY_MS;
        let excused = evidence.disturbed(request.edge, span, false);
        (reached_worker || late) && !worker_crashed && !excused
    });
    unanswered
        .map(|request| {
            format!(
                "{} {} at process {}: closed without an answer, {} ms after it was sent at {} ms",
                request.attempt_id,
                request.path,
                request.edge,
                request.ended_at - request.sent_at,
                request.sent_at
            )
        })
        .collect()
}

/// An evacuated zone gets no request from an undisturbed edge.
pub fn evacuated(evidence: &Evidence) -> Vec<String> {
    let edges: HashMap<&str, usize> = evidence
        .requests
        .iter()
        .map(|request| (request.attempt_id.as_str(), request.edge))
        .collect();
    let spans = evidence.evacuated_spans();
    let late = evidence.runs.iter().filter(|run| {
        let evacuated = spans
            .iter()
            .any(|(start, end)| (*start..*end).contains(&run.at));
        let edge = edges.get(run.attempt_id.as_str());
        run.zone == ZONE
            && evacuated
            && edge.is_some_and(|edge| evidence.in_contact(*edge, (run.at, run.at)))
    });
    late.map(|run| {
        format!(
            "{} {} ran in the evacuated zone at {} ms",
            run.attempt_id, run.path, run.at
        )
    })
    .collect()
}
