//! Operators that retry proposals and read at every core, and a measure of how late
//! changes took effect.

use super::*;

/// A change of two racing operators, retried at other cores until it commits.
pub(super) struct Proposal {
    sent_at: Millis,
    base: u64,
    /// The two proposals that race.
    rivals: [ProposalId; 2],
    attempts: u64,
    pub acknowledged: Option<(Millis, u64)>,
}

/// Submits one change after another and records the longest delays.
#[derive(Default)]
pub(super) struct FreshnessMonitor {
    pub proposals: Vec<Proposal>,
    /// The longest time that an edge applied a version older than the acknowledged one.
    pub max_staleness_ms: Millis,
    pub max_staleness_at: String,
    pub max_ack_ms: Millis,
    /// Reads in flight.
    reads: Vec<PendingRead>,
    /// The longest duration of a read.
    pub max_read_ms: Millis,
    /// Stale versions that a core returned as current.
    pub violations: Vec<String>,
}

/// A read of the configuration that has no answer yet.
struct PendingRead {
    request_id: u64,
    core: usize,
    start: Millis,
    /// The newest version that was acknowledged before the read.
    newest: u64,
}

/// Sends a proposal to a core, for the first time or again.
pub(super) fn send(world: &mut World, core: usize, base: u64, proposal_id: ProposalId) {
    let cmd = zone_change(base, 0, false);
    let request_id = world.number();
    world.core_step(
        core,
        ControllerEvent::Change {
            request_id,
            proposal_id,
            command: cmd,
        },
    );
}

/// When a core acknowledged one of the proposals.
pub(super) fn committed_at(world: &World, proposal_ids: &[ProposalId]) -> Option<Millis> {
    let proposal_names = proposal_ids
        .iter()
        .map(|p| sorreldoor::ids::format_proposal_id(*p));
    let proposal_names: Vec<String> = proposal_names.collect();
    let mentions_proposal = |text: &str| {
        proposal_names
            .iter()
            .any(|name| text.starts_with(name.as_str()))
    };
    let committed = world.log_records.iter().filter(|record| {
        record.event == LogEvent::ChangeCommitted && mentions_proposal(&record.message)
    });
    committed.map(|record| record.at).min()
}

impl FreshnessMonitor {
    /// Has two operators propose on the same version and retry at other cores until
    /// one proposal is committed, again and again for `ms`.
    pub fn run(&mut self, world: &mut World, ms: Millis) {
        let end = world.now + ms;
        let mut next = world.now;
        while world.now < end {
            let open = self
                .proposals
                .last()
                .is_some_and(|proposal| proposal.acknowledged.is_none());
            if world.now >= next && !open {
                next = world.now + EVERY_MS;
                let acknowledged = self
                    .proposals
                    .iter()
                    .filter_map(|proposal| proposal.acknowledged);
                // a core that applied it may be down by now
                let base = acknowledged
                    .map(|(_, version)| version)
                    .max()
                    .max(Some(newest_version(world)));
                let base = base.unwrap_or(0);
                let rivals = [world.number(), world.number()].map(|n| u128::from(n) + (1 << 90));
                self.proposals.push(Proposal {
                    sent_at: world.now,
                    base,
                    rivals,
                    attempts: 0,
                    acknowledged: None,
                });
            }
            self.send_proposals(world);
            self.read_all(world);
            world.run_for(20);
            self.check_edges(world);
            self.check_reads(world);
        }
    }

    /// Sends the newest proposals, and retries at other cores after a time-out.
    fn send_proposals(&mut self, world: &mut World) {
        let Some(proposal) = self
            .proposals
            .last_mut()
            .filter(|proposal| proposal.acknowledged.is_none())
        else {
            return;
        };
        if world.now < proposal.sent_at + proposal.attempts * SILENCE_MS {
            return;
        }
        let cores: Vec<usize> = world
            .cores()
            .into_iter()
            .filter(|c| world.processes[*c].up)
            .collect();
        for (k, proposal_id) in proposal.rivals.into_iter().enumerate() {
            let turn = (proposal.base + proposal.attempts) as usize + k;
            send(world, cores[turn % cores.len()], proposal.base, proposal_id);
        }
        proposal.attempts += 1;
    }

    /// Reads the configuration at every core, as operators do.
    fn read_all(&mut self, world: &mut World) {
        if world.now % READ_EVERY_MS >= 20 {
            return;
        }
        let acknowledged = self
            .proposals
            .iter()
            .filter_map(|proposal| proposal.acknowledged);
        let newest = acknowledged.map(|(_, version)| version).max().unwrap_or(0);
        for core in world.cores() {
            let request_id = world.number();
            self.reads.push(PendingRead {
                request_id,
                core,
                start: world.now,
                newest,
            });
            world.core_step(core, ControllerEvent::ReadView { request_id });
        }
    }

    fn check_reads(&mut self, world: &World) {
        for read in &self.reads {
            let Some(answer) = world.reads.get(&read.request_id) else {
                continue;
            };
            self.max_read_ms = self.max_read_ms.max(answer.at - read.start);
            if answer.ok && answer.version < read.newest {
                let name = &world.processes[read.core].name;
                self.violations.push(format!(
                    "{name} returned version {}, expected at least {}, at {} ms",
                    answer.version, read.newest, answer.at
                ));
            }
        }
        self.reads
            .retain(|read| !world.reads.contains_key(&read.request_id));
    }

    fn check_edges(&mut self, world: &World) {
        if let Some(proposal) = self.proposals.last_mut() {
            if proposal.acknowledged.is_none() {
                if let Some(at) = committed_at(world, &proposal.rivals) {
                    proposal.acknowledged = Some((at, proposal.base + 1));
                } else if world.now > proposal.sent_at + GIVEN_UP_MS {
                    proposal.acknowledged = Some((world.now, 0));
                }
                if let Some((t, _)) = proposal.acknowledged {
                    self.max_ack_ms = self.max_ack_ms.max(t - proposal.sent_at);
                }
            }
        }
        for e in world.edges() {
            let version = world.version_at(e).unwrap_or(0);
            let acknowledged = self
                .proposals
                .iter()
                .filter_map(|proposal| proposal.acknowledged);
            let Some((since, s)) = acknowledged.filter(|(_, s)| *s > version).min() else {
                continue;
            };
            let late = world.now - since;
            if late > self.max_staleness_ms {
                self.max_staleness_ms = late;
                self.max_staleness_at = format!(
                    "{} lacks version {s} at {} ms",
                    world.processes[e].name, world.now
                );
            }
        }
    }
}
