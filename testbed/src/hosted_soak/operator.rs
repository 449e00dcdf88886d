//! The operator: sends configuration changes, concurrent and repeated ones and invalid
//! ones, each until a core accepts or rejects it.

use super::plan::{key, Plan, PlannedTenant};
use super::processes::{ProcessFleet, ProcessRole};
use super::records::{ChangeRecord, ChangeState, Records};
use crate::rand::Rand;
use crate::sync::lock;
use async_std::task::sleep;
use http_types::Method;
use platform::operator::BASE_HEADER;
use sorreldoor::http::{call, Call};
use std::sync::Arc;
use std::time::Duration;

const REPLACE: &str = "/api/config/replace";
const EDIT: &str = "/api/config/edit";
const GET: &str = "/api/config/get";
/// Time-out of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a change is sent before it counts as undecided.
const MAX_ATTEMPTS: usize = 40;
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// The result of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Acknowledged,
    Outdated,
    Invalid,
    Undecided,
}

/// Sends configuration changes to random cores, and records them.
#[derive(Clone)]
pub struct Operator {
    fleet: Arc<ProcessFleet>,
    records: Arc<Records>,
    random: Rand,
    /// The configuration on which the next change is based.
    current: Option<Plan>,
    next_number: u64,
}

impl Operator {
    pub fn new(fleet: Arc<ProcessFleet>, records: Arc<Records>, seed: u64) -> Operator {
        Operator {
            fleet,
            records,
            random: Rand::new(seed.wrapping_add(77)),
            current: None,
            next_number: 0,
        }
    }

    /// Puts the first configuration in force.
    pub async fn begin(&mut self) -> bool {
        let plan = Plan::first();
        let verdict = self.send(REPLACE, 0, plan.body(), Some(&plan)).await;
        self.current = Some(plan);
        verdict == Verdict::Acknowledged
    }

    /// Makes changes until the soak is over.
    pub async fn run(mut self) {
        while !self.records.stopped() {
            self.step().await;
            sleep(Duration::from_millis(300 + self.random.below(900))).await;
        }
    }

    async fn step(&mut self) {
        let Some(base) = self.current.clone() else {
            return;
        };
        match self.random.below(10) {
            0 => self.send_invalid(&base).await,
            1 | 2 => self.race(&base).await,
            _ => {
                let next = self.next_plan(&base);
                self.change(&base, next).await;
            }
        }
    }

    /// A configuration that differs from `base` in one route, tenant or timeout.
    fn next_plan(&mut self, base: &Plan) -> Plan {
        let mut plan = base.clone();
        plan.version += 1 + self.random.below(4);
        self.next_number += 1;
        let number = self.next_number;
        match self.random.below(6) {
            0 if plan.routes.len() < 12 => plan.routes.push(Plan::added_route(number % 12)),
            0 | 1 if plan.routes.len() > 4 => {
                plan.routes.pop();
            }
            2 => {
                let name = format!("tenant{}", self.random.below(7));
                let keys = vec![key(&name, self.random.below(8))];
                plan.tenants.retain(|tenant| tenant.name != name);
                plan.tenants.push(PlannedTenant { name, keys });
            }
            3 if plan.tenants.len() > 2 => {
                let index = self.random.below(plan.tenants.len() as u64) as usize;
                plan.tenants.remove(index);
            }
            4 => {
                let index = self.random.below(plan.tenants.len() as u64) as usize;
                let tenant = &mut plan.tenants[index];
                tenant.keys = vec![key(&tenant.name, self.random.below(8))];
            }
            _ => plan.routes[0].timeout_ms = 4500 + self.random.below(1000),
        }
        let mut names = std::collections::HashSet::new();
        plan.routes.retain(|route| names.insert(route.name.clone()));
        plan
    }

    /// Sends a valid change; if it is outdated or undecided, continues from the
    /// configuration in force.
    async fn change(&mut self, base: &Plan, next: Plan) -> Verdict {
        let whole = self.random.chance(30);
        let (path, body) = match whole {
            true => (REPLACE, next.body()),
            false => (EDIT, next.edit_body(base)),
        };
        let verdict = self
            .send(path, base.version, body.clone(), Some(&next))
            .await;
        match verdict {
            Verdict::Acknowledged => {
                self.current = Some(next);
                // the same change again is idempotent
                if self.random.chance(20)
                    && self.send(path, base.version, body, None).await == Verdict::Outdated
                {
                    let version = self.current.as_ref().map_or(0, |plan| plan.version);
                    self.records.violation(format!(
                        "version {version}, sent again unchanged, was rejected as outdated"
                    ));
                }
            }
            Verdict::Invalid => {
                let version = next.version;
                self.records
                    .violation(format!("version {version} is valid but was rejected"));
            }
            Verdict::Outdated | Verdict::Undecided => self.adopt_version_in_force().await,
        }
        verdict
    }

    /// Sends two changes of the same version concurrently; at most one may succeed.
    async fn race(&mut self, base: &Plan) {
        let (first, mut second) = (self.next_plan(base), self.next_plan(base));
        second.version += u64::from(second.version == first.version);
        let mut other = self.clone();
        other.random = Rand::new(self.random.draw());
        let (one, two) =
            futures_lite::future::zip(self.change(base, first), other.change(base, second)).await;
        if one == Verdict::Acknowledged && two == Verdict::Acknowledged {
            self.records.violation(format!(
                "two concurrent changes of version {} were both acknowledged",
                base.version
            ));
        }
        self.adopt_version_in_force().await;
    }

    async fn send_invalid(&mut self, base: &Plan) {
        let mut plan = base.clone();
        plan.version += 1;
        let (why, body) = match self.random.below(4) {
            0 => {
                let held = plan
                    .tenants
                    .iter()
                    .find_map(|tenant| tenant.keys.first().cloned());
                let keys = held.into_iter().collect();
                let name = "thief".to_string();
                plan.tenants.push(PlannedTenant { name, keys });
                ("a key of two tenants", plan.body())
            }
            1 => {
                plan.version = base.version;
                ("an old version", plan.body())
            }
            2 => {
                plan.routes[0].timeout_ms = 0;
                ("a timeout of 0", plan.body())
            }
            _ => {
                let body = plan.body();
                ("a body that ends early", body[..body.len() / 2].to_string())
            }
        };
        let verdict = self.send(REPLACE, base.version, body, None).await;
        if verdict == Verdict::Acknowledged {
            self.records
                .violation(format!("an invalid configuration was acknowledged: {why}"));
        }
    }

    /// Continues from the configuration that is in force, read from a core.
    async fn adopt_version_in_force(&mut self) {
        for _ in 0..MAX_ATTEMPTS {
            if let Some(version) = self.read_version().await {
                let changes = lock(&self.records.changes);
                let in_force = changes.iter().rfind(|change| {
                    change.plan.version == version && change.state != ChangeState::Rejected
                });
                if let Some(change) = in_force {
                    self.current = Some(change.plan.clone());
                }
                return;
            }
            if self.records.stopped() {
                return;
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    async fn read_version(&mut self) -> Option<u64> {
        let (status, body) = self.call_any(Call::get(GET)).await?;
        (status == 200).then(|| version_of(&body)).flatten()
    }

    /// Sends a change until it is accepted or rejected, or after `MAX_ATTEMPTS` calls;
    /// records it if `plan` is given.
    async fn send(&mut self, path: &str, base: u64, body: String, plan: Option<&Plan>) -> Verdict {
        let record = plan.map(|plan| {
            let mut changes = lock(&self.records.changes);
            changes.push(ChangeRecord {
                plan: plan.clone(),
                sent_at: self.records.now(),
                state: ChangeState::Undecided,
            });
            changes.len() - 1
        });
        let mut verdict = Verdict::Undecided;
        for _ in 0..MAX_ATTEMPTS {
            let request = Call {
                method: Method::Post,
                path: path.into(),
                headers: vec![(BASE_HEADER, base.to_string())],
                body: body.clone().into_bytes(),
            };
            verdict = match self.call_any(request).await {
                Some((200, _)) => Verdict::Acknowledged,
                Some((412, _)) => Verdict::Outdated,
                Some((400..=499, _)) => Verdict::Invalid,
                _ => Verdict::Undecided,
            };
            if verdict != Verdict::Undecided {
                break;
            }
            sleep(Duration::from_millis(150)).await;
        }
        if let Some(record) = record {
            let at = self.records.now();
            lock(&self.records.changes)[record].state = match verdict {
                Verdict::Acknowledged => ChangeState::Acknowledged { at },
                Verdict::Outdated | Verdict::Invalid => ChangeState::Rejected,
                Verdict::Undecided => ChangeState::Undecided,
            };
        }
        verdict
    }

    async fn call_any(&mut self, request: Call) -> Option<(u16, Vec<u8>)> {
        let cores: Vec<_> = self.fleet.with_role(ProcessRole::Core).collect();
        let core = cores[self.random.below(cores.len() as u64) as usize];
        let answer = call(
            core.operator_addr(),
            request,
            MAX_ANSWER_BYTES,
            CALL_TIMEOUT,
        )
        .await;
        answer.ok().map(|answer| (answer.status, answer.body))
    }

    /// The body of the configuration from any core; `None` if none returns it in time.
    pub async fn read_back(&mut self, within: Duration) -> Option<Vec<u8>> {
        let end = std::time::Instant::now() + within;
        while std::time::Instant::now() < end {
            if let Some((200, body)) = self.call_any(Call::get(GET)).await {
                return Some(body);
            }
            sleep(Duration::from_millis(100)).await;
        }
        None
    }
}

/// The version in the body of a configuration.
pub fn version_of(body: &[u8]) -> Option<u64> {
    use simd_json::prelude::*;
    let value = sorreldoor::json::parse(body, MAX_ANSWER_BYTES).ok()?;
    value.get("ver").and_then(|version| version.as_u64())
}
