//! Operators that keep several orders in flight and send each again, as it
//! was, to another node until it has a clear answer; and a history of every
//! sending and reading for the check of linearizability.

use super::linearizable::{Answer, Call, Operation};
use super::World;
use sorreldoor::control_plane::ControllerEvent;
use sorreldoor::gateway::EdgeEvent;
use sorreldoor::replicated_state::{Command, Outcome};
use sorreldoor::types::{Millis, ProposalId};
use sorreldoor::wire::OpOutcome;

/// How many orders operators have under way at once.
const MOST_IN_FLIGHT: usize = 8;
/// Silence after which an operator goes to another node.
const PATIENCE_MS: Millis = 900;
/// How long an operator goes on with one order.
const ORDER_LIFE_MS: Millis = 15_000;
/// The longest way of a call or an answer.
const LONGEST_WAY_MS: Millis = 40;
/// The version and the content that a world starts with.
pub const FIRST: (u64, ProposalId) = (1, 0);

/// One order, however often it is sent.
struct Order {
    id: ProposalId,
    base: u64,
    version: u64,
    /// Text that only this order's document holds.
    mark: String,
    cmd: Command,
    since: Millis,
    /// The operator has a clear answer, or has given up.
    done: bool,
}

/// One sending of an order to one node.
struct Sending {
    request_id: u64,
    order: usize,
    process: usize,
    start: Millis,
    answer: Option<(Millis, OpOutcome)>,
    heard: bool,
}

/// One reading of the configuration at a core.
struct Reading {
    request_id: u64,
    start: Millis,
    shown: Option<(Millis, u64, ProposalId)>,
}

/// What goes wrong around orders, in percent of the cases.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    /// Answers that never arrive.
    pub lost: u64,
    /// Cores that die as they acknowledge.
    pub killed: u64,
    /// Orders on a version that is itself still in flight.
    pub ahead: u64,
    /// Acknowledged orders that are sent again later on.
    pub repeated: u64,
}

/// All orders and readings of a run.
#[derive(Default)]
pub struct Orders {
    all: Vec<Order>,
    sendings: Vec<Sending>,
    readings: Vec<Reading>,
    /// The newest version that operators know of.
    known: u64,
}

impl Orders {
    /// How many orders were taken, refused, and left without a clear answer.
    pub fn counts(&self) -> (usize, usize, usize) {
        let all = self.sendings.iter().filter_map(|s| s.answer.as_ref());
        let (mut taken, mut refused) = (0, 0);
        for (_, outcome) in all.clone() {
            taken += usize::from(matches!(outcome, OpOutcome::Got(Outcome::Applied { .. })));
            refused += usize::from(matches!(outcome, OpOutcome::Got(Outcome::Stale { .. })));
        }
        (taken, refused, self.sendings.len() - taken - refused)
    }

    fn in_flight(&self) -> usize {
        self.all.iter().filter(|o| !o.done).count()
    }

    /// The history as the check reads it.
    pub fn history(&self) -> Vec<Operation> {
        let sendings = self.sendings.iter().map(|s| self.operation(s));
        let readings = self.readings.iter().filter_map(reading);
        sendings.chain(readings).collect()
    }

    fn operation(&self, s: &Sending) -> Operation {
        let order = &self.all[s.order];
        let clear = s.answer.as_ref().and_then(|(at, o)| match o {
            OpOutcome::Got(Outcome::Applied { version }) => Some((*at, Answer::Taken(*version))),
            OpOutcome::Got(Outcome::Stale { .. } | Outcome::Invalid { .. }) => {
                Some((*at, Answer::Refused))
            }
            _ => None,
        });
        Operation {
            start: s.start,
            end: clear.as_ref().map(|(at, _)| *at),
            call: Call::Order {
                id: order.id,
                base: order.base,
                version: order.version,
            },
            answer: clear.map_or(Answer::None, |(_, answer)| answer),
        }
    }
}

fn reading(r: &Reading) -> Option<Operation> {
    let (end, version, content) = r.shown?;
    Some(Operation {
        start: r.start,
        end: Some(end),
        call: Call::Read,
        answer: Answer::Shown { version, content },
    })
}

impl World {
    /// Operators give orders, and read, from now until `end`.
    pub fn operate(&mut self, end: Millis) {
        if self.now >= end {
            return;
        }
        if self.orders.in_flight() < MOST_IN_FLIGHT {
            self.order_something();
        }
        self.read_somewhere();
        let gap = 20 + self.rng.below(250);
        self.after(gap, move |w| w.operate(end));
    }

    fn order_something(&mut self) {
        let mut base = self.orders.known.max(FIRST.0);
        if self.rng.chance(self.trouble.ahead) {
            let open = self.orders.all.iter().filter(|o| !o.done);
            base = open.map(|o| o.version).max().unwrap_or(base);
        }
        // at times the number is not above the current one
        let version = base + self.rng.below(4);
        self.order(base, version);
        // another operator has the same idea, often under the same number
        if self.rng.chance(50) {
            let rival = version + self.rng.below(2);
            self.order(base, rival);
        }
    }

    fn order(&mut self, base: u64, version: u64) {
        let number = self.number();
        let mark = format!("\"order-{number}\"");
        let doc = crate::fleet::configuration(&self.preset).replace("\"pages\"", &mark);
        let to = Some(version);
        self.orders.all.push(Order {
            id: ProposalId::from(number) + (1 << 81),
            base,
            version,
            mark,
            cmd: Command::Put {
                base,
                new_version: to,
                document: doc,
            },
            since: self.now,
            done: false,
        });
        let order = self.orders.all.len() - 1;
        self.send_order(order, 0);
    }

    /// Sends an order once more, to any node.
    fn send_order(&mut self, order: usize, tries: u64) {
        let request_id = self.number();
        let process = self.any_target();
        self.orders.sendings.push(Sending {
            request_id,
            order,
            process,
            start: self.now,
            answer: None,
            heard: false,
        });
        let sending = self.orders.sendings.len() - 1;
        let way = 1 + self.rng.below(LONGEST_WAY_MS);
        self.after(way, move |w| w.order_arrives(sending));
        self.after(PATIENCE_MS, move |w| w.order_unanswered(sending, tries));
    }

    fn any_target(&mut self) -> usize {
        let cores = self.cores();
        if self.rng.chance(75) {
            return cores[self.rng.below(cores.len() as u64) as usize];
        }
        let edges = self.edges();
        edges[self.rng.below(edges.len() as u64) as usize]
    }

    fn order_arrives(&mut self, sending: usize) {
        let s = &self.orders.sendings[sending];
        let (request_id, p) = (s.request_id, s.process);
        let order = &self.orders.all[s.order];
        let (proposal_id, cmd) = (order.id, order.cmd.clone());
        let (incarnation, core) = (self.procs[p].incarnation, self.procs[p].core);
        self.reach_proc(p, incarnation, move |w| {
            if core {
                w.core_step(
                    p,
                    ControllerEvent::Change {
                        request_id,
                        proposal_id,
                        cmd,
                    },
                );
            } else {
                w.hall_step(
                    p,
                    EdgeEvent::Propose {
                        request_id,
                        proposal_id,
                        cmd,
                    },
                );
            }
        });
    }

    /// The operator goes to another node, after a pause that grows.
    fn order_unanswered(&mut self, sending: usize, tries: u64) {
        let s = &self.orders.sendings[sending];
        let (order, heard) = (s.order, s.heard);
        let o = &mut self.orders.all[order];
        if heard || o.done {
            return;
        }
        if self.now > o.since + ORDER_LIFE_MS {
            o.done = true;
            return;
        }
        let pause = 20 + self.rng.below(100 * (tries + 1));
        self.after(pause, move |w| w.send_order(order, tries + 1));
    }

    /// A node answers a sending.
    pub(crate) fn order_answered(&mut self, request_id: u64, outcome: &OpOutcome) {
        let now = self.now;
        let mut open = self.orders.sendings.iter().rev();
        let Some(back) = open.position(|s| s.request_id == request_id && s.answer.is_none()) else {
            return;
        };
        let sending = self.orders.sendings.len() - 1 - back;
        let s = &mut self.orders.sendings[sending];
        s.answer = Some((now, outcome.clone()));
        let p = s.process;
        let taken = matches!(outcome, OpOutcome::Got(Outcome::Applied { .. }));
        if taken && self.procs[p].core && self.rng.chance(self.trouble.killed) {
            // dead as it acknowledges; whether the answer got out is open
            self.after(0, move |w| w.crash_for_a_while(p));
        }
        if self.rng.chance(self.trouble.lost) {
            return;
        }
        let outcome = outcome.clone();
        let way = 1 + self.rng.below(LONGEST_WAY_MS);
        self.after(way, move |w| w.order_heard(sending, outcome));
    }

    fn crash_for_a_while(&mut self, p: usize) {
        if !self.procs[p].up {
            return;
        }
        self.crash(p);
        let down = 200 + self.rng.below(2000);
        self.after(down, move |w| {
            if !w.procs[p].up {
                w.start(p);
            }
        });
    }

    fn order_heard(&mut self, sending: usize, outcome: OpOutcome) {
        let OpOutcome::Got(outcome) = outcome else {
            return;
        };
        let s = &mut self.orders.sendings[sending];
        let order = s.order;
        match outcome {
            Outcome::Applied { version } => {
                self.orders.known = self.orders.known.max(version);
                if self.rng.chance(self.trouble.repeated) {
                    let later = self.rng.below(8000);
                    self.after(later, move |w| w.send_order(order, 0));
                }
            }
            Outcome::Stale { version } => self.orders.known = self.orders.known.max(version),
            Outcome::Invalid { .. } => {}
            _ => return,
        }
        self.orders.sendings[sending].heard = true;
        self.orders.all[order].done = true;
    }

    fn read_somewhere(&mut self) {
        let request_id = self.number();
        let cores = self.cores();
        let p = cores[self.rng.below(cores.len() as u64) as usize];
        let start = self.now;
        let shown = None;
        self.orders.readings.push(Reading {
            request_id,
            start,
            shown,
        });
        let incarnation = self.procs[p].incarnation;
        self.reach_proc(p, incarnation, move |w| {
            w.core_step(p, ControllerEvent::ReadView { request_id })
        });
    }

    /// A core shows its record, proved current if `ok`.
    pub(crate) fn viewed(&mut self, p: usize, request_id: u64, ok: bool) {
        let record = self.controller(p).and_then(|c| c.consensus());
        let Some(record) = record.map(|a| a.state_machine()).filter(|_| ok) else {
            return;
        };
        let view = record.view();
        let doc = view.doc.unwrap_or_default();
        let mut orders = self.orders.all.iter();
        let content = orders.find(|o| doc.contains(&o.mark));
        let shown = (self.now, view.version, content.map_or(FIRST.1, |o| o.id));
        if let Some(r) = self
            .orders
            .readings
            .iter_mut()
            .find(|r| r.request_id == request_id)
        {
            r.shown.get_or_insert(shown);
        }
    }
}
