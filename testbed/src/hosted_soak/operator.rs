//! The operator: changes in quick succession, races, repeats and invalid
//! configurations, each sent until it has a clear answer.

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
/// How long the operator waits for one answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How often one change is sent before it counts as undecided.
const MAX_CALLS: usize = 40;
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A clear answer to a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Acknowledged,
    Outdated,
    Invalid,
    Undecided,
}

/// Sends changes to any core.
#[derive(Clone)]
pub struct Operator {
    fleet: Arc<ProcessFleet>,
    records: Arc<Records>,
    random: Rand,
    /// The newest configuration that it knows to be in force.
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

    /// The next configuration: one thing is different.
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

    /// Sends a valid change, and takes up what is in force if it lost a race.
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
                // the same order again, with nothing changed since
                if self.random.chance(20)
                    && self.send(path, base.version, body, None).await == Verdict::Outdated
                {
                    let version = self.current.as_ref().map_or(0, |plan| plan.version);
                    self.records.violation(format!(
                        "version {version}, sent again unchanged, was refused"
                    ));
                }
            }
            Verdict::Invalid => {
                let version = next.version;
                self.records
                    .violation(format!("version {version} is valid and was refused"));
            }
            Verdict::Outdated | Verdict::Undecided => self.take_up().await,
        }
        verdict
    }

    /// Two changes on one version, sent at the same time.
    async fn race(&mut self, base: &Plan) {
        let (first, mut second) = (self.next_plan(base), self.next_plan(base));
        second.version += u64::from(second.version == first.version);
        let mut other = self.clone();
        other.random = Rand::new(self.random.draw());
        let (one, two) =
            futures_lite::future::zip(self.change(base, first), other.change(base, second)).await;
        if one == Verdict::Acknowledged && two == Verdict::Acknowledged {
            self.records.violation(format!(
                "two changes on version {} were both acknowledged",
                base.version
            ));
        }
        self.take_up().await;
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

    /// Reads which configuration is in force, and settles what was undecided.
    async fn take_up(&mut self) {
        for _ in 0..MAX_CALLS {
            if let Some(version) = self.read_version().await {
                let changes = lock(&self.records.changes);
                let in_force = changes.iter().rfind(|change| {
                    change.plan.version == version && change.state != ChangeState::Refused
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

    /// Sends a change until it has a clear answer; `plan` is recorded.
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
        for _ in 0..MAX_CALLS {
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
                Verdict::Outdated | Verdict::Invalid => ChangeState::Refused,
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

    /// The configuration as any core returns it, within this time.
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

/// The version that a configuration read back has.
pub fn version_of(body: &[u8]) -> Option<u64> {
    use simd_json::prelude::*;
    let value = sorreldoor::json::parse(body, MAX_ANSWER_BYTES).ok()?;
    value.get("ver").and_then(|version| version.as_u64())
}
