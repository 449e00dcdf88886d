//! Operators that press orders and read at every core, and how late anything
//! came.

use super::*;

/// An order as its operator sees it: sent again elsewhere until it is taken.
pub(super) struct Order {
    sent: Millis,
    base: u64,
    /// Two that race, as proposals.
    rivals: [ProposalId; 2],
    tries: u64,
    pub acked: Option<(Millis, u64)>,
}

/// Orders one after the other, and how late anything came.
#[derive(Default)]
pub(super) struct Watch {
    pub orders: Vec<Order>,
    /// The longest that an edge went by something older than was acknowledged.
    pub stale: Millis,
    pub stale_at: String,
    pub ack: Millis,
    /// Reads under way: number, core, when asked, and the newest version that
    /// was acknowledged by then.
    reads: Vec<(u64, usize, Millis, u64)>,
    /// The longest that a read took, and what was shown as current and was not.
    pub read: Millis,
    pub wrong: Vec<String>,
}

/// An operator gives an order to a core, at first or again.
pub(super) fn send(w: &mut World, core: usize, base: u64, proposal_id: ProposalId) {
    let (zone, evacuated) = (0, false);
    let cmd = Command::EvacuateZone {
        base,
        zone,
        evacuated,
    };
    let request_id = w.number();
    w.core_step(
        core,
        ControllerEvent::Change {
            request_id,
            proposal_id,
            cmd,
        },
    );
}

/// When a core acknowledged one of the proposals.
pub(super) fn taken(w: &World, pids: &[ProposalId]) -> Option<Millis> {
    let names = pids
        .iter()
        .map(|p| sorreldoor::order_id::format_proposal_id(*p));
    let names: Vec<String> = names.collect();
    let said = w
        .says
        .iter()
        .filter(|(_, _, ev, _)| *ev == LogEvent::ChangeCommitted);
    let of = |text: &str| names.iter().any(|n| text.starts_with(n.as_str()));
    said.filter(|(.., text)| of(text)).map(|(at, ..)| *at).min()
}

pub(super) fn top(w: &World) -> u64 {
    let versions = w.cores().into_iter().filter_map(|c| w.version_at(c));
    versions.max().unwrap_or(0)
}

impl Watch {
    /// Two operators give orders on the same version, and go on to other cores
    /// until one has been taken.
    pub fn run(&mut self, w: &mut World, ms: Millis) {
        let end = w.now + ms;
        let mut next = w.now;
        while w.now < end {
            let open = self.orders.last().is_some_and(|o| o.acked.is_none());
            if w.now >= next && !open {
                next = w.now + EVERY_MS;
                let acked = self.orders.iter().filter_map(|o| o.acked);
                // a core that applied it may be down by now
                let base = acked.map(|(_, version)| version).max().max(Some(top(w)));
                let base = base.unwrap_or(0);
                let rivals = [w.number(), w.number()].map(|n| u128::from(n) + (1 << 90));
                self.orders.push(Order {
                    sent: w.now,
                    base,
                    rivals,
                    tries: 0,
                    acked: None,
                });
            }
            self.press(w);
            self.read_all(w);
            w.run_for(20);
            self.look(w);
            self.look_at_reads(w);
        }
    }

    /// Send the newest orders, to other cores after a silence.
    fn press(&mut self, w: &mut World) {
        let Some(o) = self.orders.last_mut().filter(|o| o.acked.is_none()) else {
            return;
        };
        if w.now < o.sent + o.tries * SILENCE_MS {
            return;
        }
        let cores: Vec<usize> = w.cores().into_iter().filter(|c| w.procs[*c].up).collect();
        for (k, proposal_id) in o.rivals.into_iter().enumerate() {
            let turn = (o.base + o.tries) as usize + k;
            send(w, cores[turn % cores.len()], o.base, proposal_id);
        }
        o.tries += 1;
    }

    /// Ask every core for the configuration, as operators do.
    fn read_all(&mut self, w: &mut World) {
        if w.now % READ_EVERY_MS >= 20 {
            return;
        }
        let acked = self.orders.iter().filter_map(|o| o.acked);
        let newest = acked.map(|(_, version)| version).max().unwrap_or(0);
        for core in w.cores() {
            let request_id = w.number();
            self.reads.push((request_id, core, w.now, newest));
            w.core_step(core, ControllerEvent::ReadView { request_id });
        }
    }

    fn look_at_reads(&mut self, w: &World) {
        let answered = |request_id: &u64| w.reads.get(request_id).copied();
        for (request_id, core, asked, newest) in &self.reads {
            let Some(read) = answered(request_id) else {
                continue;
            };
            self.read = self.read.max(read.at - asked);
            if read.ok && read.version < *newest {
                let name = &w.procs[*core].name;
                let (version, at) = (read.version, read.at);
                self.wrong
                    .push(format!("{name} showed {version} for {newest} at {at}"));
            }
        }
        self.reads
            .retain(|(request_id, ..)| answered(request_id).is_none());
    }

    fn look(&mut self, w: &World) {
        if let Some(o) = self.orders.last_mut() {
            if o.acked.is_none() {
                if let Some(at) = taken(w, &o.rivals) {
                    o.acked = Some((at, o.base + 1));
                } else if w.now > o.sent + GIVEN_UP_MS {
                    o.acked = Some((w.now, 0));
                }
                if let Some((t, _)) = o.acked {
                    self.ack = self.ack.max(t - o.sent);
                }
            }
        }
        for e in w.edges() {
            let version = w.version_at(e).unwrap_or(0);
            let acked = self.orders.iter().filter_map(|o| o.acked);
            let Some((since, s)) = acked.filter(|(_, s)| *s > version).min() else {
                continue;
            };
            let late = w.now - since;
            if late > self.stale {
                self.stale = late;
                self.stale_at = format!("{} lacks {s} at {}", w.procs[e].name, w.now);
            }
        }
    }
}
