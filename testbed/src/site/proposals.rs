//! Operators that keep several proposals in flight and retry each, unchanged,
//! at another node until its outcome is definite; and the history of all their
//! attempts and reads for the linearizability check.

use super::linearizability::{Answer, Call, Operation};
use super::World;
use sorreldoor::control_plane::ControllerEvent;
use sorreldoor::replicated_state::{Command, Outcome};
use sorreldoor::types::{Millis, ProposalId};
use sorreldoor::wire::ProposalOutcome;

/// Limit on the proposals in flight.
const MAX_IN_FLIGHT: usize = 8;
/// Time without a definite answer after which an operator retries at another node.
const RETRY_TIMEOUT_MS: Millis = 900;
/// Age at which an operator stops retrying a proposal.
const PROPOSAL_DEADLINE_MS: Millis = 15_000;
/// The longest one-way delay of a call or an answer.
const MAX_ONE_WAY_DELAY_MS: Millis = 40;
/// The configuration that a world starts with: its version and the id of the
/// proposal that it came from.
pub const INITIAL_STATE: (u64, ProposalId) = (1, 0);

/// One proposal, with all its attempts.
struct Proposal {
    id: ProposalId,
    base: u64,
    version: u64,
    /// Text that only this proposal's document contains.
    marker: String,
    cmd: Command,
    proposed_at: Millis,
    /// The operator has a definite answer, or has stopped retrying.
    done: bool,
}

/// One attempt of a proposal at one node.
struct ProposalAttempt {
    request_id: u64,
    proposal: usize,
    process: usize,
    start: Millis,
    answer: Option<(Millis, ProposalOutcome)>,
    /// A definite answer has reached the operator.
    acknowledged: bool,
}

/// One read of the configuration at a core.
struct ConfigurationRead {
    request_id: u64,
    start: Millis,
    answer: Option<ReadAnswer>,
}

/// What a core returned as its current configuration.
#[derive(Clone, Copy)]
struct ReadAnswer {
    at: Millis,
    version: u64,
    content: ProposalId,
}

/// How often, in percent, each fault around a proposal occurs.
#[derive(Clone, Copy, Debug, Default)]
pub struct OperatorFaults {
    /// An answer is lost on its way to the operator.
    pub lost_answer_percent: u64,
    /// A core crashes as it acknowledges.
    pub crash_on_commit_percent: u64,
    /// A proposal is based on the version of one that is still in flight.
    pub pending_base_percent: u64,
    /// An acknowledged proposal is sent again later.
    pub resend_percent: u64,
}

/// All proposals and reads of a run.
#[derive(Default)]
pub struct Proposals {
    all: Vec<Proposal>,
    attempts: Vec<ProposalAttempt>,
    configuration_reads: Vec<ConfigurationRead>,
    /// The newest version that operators have been answered with.
    newest_known_version: u64,
}

impl Proposals {
    /// The number of attempts that were committed, rejected, and left without a
    /// definite answer.
    pub fn counts(&self) -> (usize, usize, usize) {
        let all = self
            .attempts
            .iter()
            .filter_map(|attempt| attempt.answer.as_ref());
        let (mut committed, mut rejected) = (0, 0);
        for (_, outcome) in all.clone() {
            committed += usize::from(matches!(
                outcome,
                ProposalOutcome::Committed(Outcome::Applied { .. })
            ));
            rejected += usize::from(matches!(
                outcome,
                ProposalOutcome::Committed(Outcome::Stale { .. })
            ));
        }
        (
            committed,
            rejected,
            self.attempts.len() - committed - rejected,
        )
    }

    fn in_flight(&self) -> usize {
        self.all.iter().filter(|proposal| !proposal.done).count()
    }

    /// The history for [`super::linearizability::violation`].
    pub fn history(&self) -> Vec<Operation> {
        let attempts = self.attempts.iter().map(|attempt| self.operation(attempt));
        let configuration_reads = self
            .configuration_reads
            .iter()
            .filter_map(ConfigurationRead::operation);
        attempts.chain(configuration_reads).collect()
    }

    fn operation(&self, attempt: &ProposalAttempt) -> Operation {
        let proposal = &self.all[attempt.proposal];
        let clear = attempt
            .answer
            .as_ref()
            .and_then(|(at, outcome)| match outcome {
                ProposalOutcome::Committed(Outcome::Applied { version }) => {
                    Some((*at, Answer::Committed(*version)))
                }
                ProposalOutcome::Committed(
                    Outcome::Stale { .. } | Outcome::Invalid { .. } | Outcome::TooLarge { .. },
                ) => Some((*at, Answer::Rejected)),
                _ => None,
            });
        Operation {
            start: attempt.start,
            end: clear.as_ref().map(|(at, _)| *at),
            call: Call::CompareAndSet {
                id: proposal.id,
                base: proposal.base,
                version: proposal.version,
            },
            answer: clear.map_or(Answer::Unknown, |(_, answer)| answer),
        }
    }
}

impl ConfigurationRead {
    fn operation(&self) -> Option<Operation> {
        let ReadAnswer {
            at,
            version,
            content,
        } = self.answer?;
        Some(Operation {
            start: self.start,
            end: Some(at),
            call: Call::Read,
            answer: Answer::Value { version, content },
        })
    }
}

impl World {
    /// Operators propose changes, and read, from now until `end`.
    pub fn run_operators(&mut self, end: Millis) {
        if self.now >= end {
            return;
        }
        if self.proposals.in_flight() < MAX_IN_FLIGHT {
            self.propose_changes();
        }
        self.read_at_random_core();
        let gap_ms = 20 + self.rng.below(250);
        self.after(gap_ms, move |world| world.run_operators(end));
    }

    fn propose_changes(&mut self) {
        let mut base = self.proposals.newest_known_version.max(INITIAL_STATE.0);
        if self.rng.chance(self.operator_faults.pending_base_percent) {
            let open = self.proposals.all.iter().filter(|proposal| !proposal.done);
            base = open.map(|proposal| proposal.version).max().unwrap_or(base);
        }
        // one in four is invalid: its version does not exceed its base
        let version = base + self.rng.below(4);
        self.propose(base, version);
        // another operator proposes on the same base, often the same version
        if self.rng.chance(50) {
            let rival = version + self.rng.below(2);
            self.propose(base, rival);
        }
    }

    fn propose(&mut self, base: u64, version: u64) {
        let number = self.number();
        let marker = format!("\"order-{number}\"");
        let doc = crate::fleet::configuration(&self.preset).replace("\"pages\"", &marker);
        let to = Some(version);
        self.proposals.all.push(Proposal {
            id: ProposalId::from(number) + (1 << 81),
            base,
            version,
            marker,
            cmd: Command::Put {
                base,
                new_version: to,
                document: doc,
            },
            proposed_at: self.now,
            done: false,
        });
        let proposal = self.proposals.all.len() - 1;
        self.send_proposal(proposal, 0);
    }

    /// Sends a proposal to a random node.
    fn send_proposal(&mut self, proposal: usize, retries: u64) {
        let request_id = self.number();
        let process = self.random_target();
        self.proposals.attempts.push(ProposalAttempt {
            request_id,
            proposal,
            process,
            start: self.now,
            answer: None,
            acknowledged: false,
        });
        let attempt = self.proposals.attempts.len() - 1;
        let delay = 1 + self.rng.below(MAX_ONE_WAY_DELAY_MS);
        self.after(delay, move |world| world.proposal_arrives(attempt));
        self.after(RETRY_TIMEOUT_MS, move |world| {
            world.proposal_timed_out(attempt, retries)
        });
    }

    fn random_target(&mut self) -> usize {
        if self.rng.chance(75) {
            self.random_core()
        } else {
            self.random_edge()
        }
    }

    fn proposal_arrives(&mut self, attempt: usize) {
        let attempt = &self.proposals.attempts[attempt];
        let (request_id, process) = (attempt.request_id, attempt.process);
        let proposal = &self.proposals.all[attempt.proposal];
        let (id, cmd) = (proposal.id, proposal.cmd.clone());
        self.submit(process, request_id, id, cmd);
    }

    /// The operator retries at another node, after a random backoff.
    fn proposal_timed_out(&mut self, attempt: usize, retries: u64) {
        let ProposalAttempt {
            proposal: index,
            acknowledged,
            ..
        } = self.proposals.attempts[attempt];
        let proposal = &mut self.proposals.all[index];
        if acknowledged || proposal.done {
            return;
        }
        if self.now > proposal.proposed_at + PROPOSAL_DEADLINE_MS {
            proposal.done = true;
            return;
        }
        let backoff = 20 + self.rng.below(100 * (retries + 1));
        self.after(backoff, move |world| {
            world.send_proposal(index, retries + 1)
        });
    }

    /// Records a node's first answer to an attempt, and sends it to the operator.
    pub(crate) fn proposal_answered(&mut self, request_id: u64, outcome: &ProposalOutcome) {
        let now = self.now;
        let mut open = self.proposals.attempts.iter().rev();
        let from_last = open.position(|a| a.request_id == request_id && a.answer.is_none());
        let Some(from_last) = from_last else {
            return;
        };
        let index = self.proposals.attempts.len() - 1 - from_last;
        let attempt = &mut self.proposals.attempts[index];
        attempt.answer = Some((now, outcome.clone()));
        let process = attempt.process;
        let committed = matches!(outcome, ProposalOutcome::Committed(Outcome::Applied { .. }));
        if committed
            && self.processes[process].core
            && self
                .rng
                .chance(self.operator_faults.crash_on_commit_percent)
        {
            // it crashes as it acknowledges; the answer may or may not be sent
            self.after(0, move |world| world.crash_temporarily(process));
        }
        if self.rng.chance(self.operator_faults.lost_answer_percent) {
            return;
        }
        let outcome = outcome.clone();
        let delay = 1 + self.rng.below(MAX_ONE_WAY_DELAY_MS);
        self.after(delay, move |world| {
            world.proposal_acknowledged(index, outcome)
        });
    }

    fn crash_temporarily(&mut self, process: usize) {
        if !self.processes[process].up {
            return;
        }
        self.crash(process);
        let down = 200 + self.rng.below(2000);
        self.after(down, move |world| world.start_if_down(process));
    }

    fn proposal_acknowledged(&mut self, attempt: usize, outcome: ProposalOutcome) {
        let ProposalOutcome::Committed(outcome) = outcome else {
            return;
        };
        let proposal = self.proposals.attempts[attempt].proposal;
        match outcome {
            Outcome::Applied { version } => {
                self.proposals.newest_known_version =
                    self.proposals.newest_known_version.max(version);
                if self.rng.chance(self.operator_faults.resend_percent) {
                    let later = self.rng.below(8000);
                    self.after(later, move |world| world.send_proposal(proposal, 0));
                }
            }
            Outcome::Stale { version } => {
                self.proposals.newest_known_version =
                    self.proposals.newest_known_version.max(version)
            }
            Outcome::Invalid { .. } | Outcome::TooLarge { .. } => {}
            _ => return,
        }
        self.proposals.attempts[attempt].acknowledged = true;
        self.proposals.all[proposal].done = true;
    }

    fn read_at_random_core(&mut self) {
        let request_id = self.number();
        let process = self.random_core();
        self.proposals.configuration_reads.push(ConfigurationRead {
            request_id,
            start: self.now,
            answer: None,
        });
        let incarnation = self.processes[process].incarnation;
        self.deliver_to_process(process, incarnation, move |world| {
            world.core_step(process, ControllerEvent::ReadView { request_id })
        });
    }

    /// Records a core's answer to a read; only one confirmed as current counts.
    pub(crate) fn read_answered(&mut self, process: usize, request_id: u64, ok: bool) {
        let record = self
            .controller(process)
            .and_then(|controller| controller.consensus());
        let Some(record) = record
            .map(|consensus| consensus.state_machine())
            .filter(|_| ok)
        else {
            return;
        };
        let view = record.view();
        let doc = view.document.unwrap_or_default();
        let mut proposals = self.proposals.all.iter();
        let content = proposals.find(|proposal| doc.contains(&proposal.marker));
        let answer = ReadAnswer {
            at: self.now,
            version: view.version,
            content: content.map_or(INITIAL_STATE.1, |proposal| proposal.id),
        };
        let mut reads = self.proposals.configuration_reads.iter_mut();
        if let Some(read) = reads.find(|read| read.request_id == request_id) {
            read.answer.get_or_insert(answer);
        }
    }
}
