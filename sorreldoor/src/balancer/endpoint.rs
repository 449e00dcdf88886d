//! What the table knows of one worker.

use super::health::Health;
use super::kept::Kept;
use crate::types::Millis;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Sendings in this time count against a cold worker's bound of a second; more
/// than a second, for a sending may leave later than it was decided.
pub const COLD_SPAN: Millis = 1200;
/// A report of load counts whole for so long, then fades by halves.
const FRESH: Millis = 1000;
/// A worker that said that it is full gets nothing for so long.
pub const FULL: Millis = 100;
/// A worker that owes a word for so long may be gone, in milliseconds.
const SUSPECT: Millis = 300;
/// Sending times remembered of one worker, at most.
const MOST_SENT: usize = 256;

#[derive(Clone, Debug)]
pub struct Endpoint {
    pub name: String,
    pub hash: u64,
    pub addr: SocketAddr,
    /// Dense index of the service in the table.
    pub service: u32,
    pub zone: u16,
    pub region: u8,
    /// On the newest list, not draining, not about to leave.
    pub open: bool,
    /// On the newest list.
    pub listed: bool,
    /// Not used until the list is newer than this serial.
    pub stale: Option<u64>,
    pub slots: u32,
    /// Long shared prefixes are kept here.
    pub heavy: bool,
    /// When anything was last heard of it.
    pub last_activity: Millis,
    /// Since when this node waits for it to say anything at all.
    pub unheard: Option<Millis>,
    /// Requests of this node that are there.
    pub mine: u32,
    /// Requests of others there, as of `heard`.
    others: f64,
    reported_at: Millis,
    pub full_until: Millis,
    pub cold_until: Millis,
    sent: VecDeque<Millis>,
    /// Prompt tokens of this node's requests that are still being read there.
    pub reading: u64,
    pub kept: Kept,
    pub health: Health,
    /// Time to the first event over what is usual in its service; 1: as usual.
    pub slow: f64,
}

impl Endpoint {
    pub fn new(name: &str, addr: SocketAddr, service: u32) -> Endpoint {
        Endpoint {
            name: name.to_string(),
            hash: super::hash::name(name),
            addr,
            service,
            zone: 0,
            region: 0,
            open: false,
            listed: false,
            stale: None,
            slots: 0,
            heavy: false,
            last_activity: 0,
            unheard: None,
            mine: 0,
            others: 0.0,
            reported_at: 0,
            full_until: 0,
            cold_until: 0,
            sent: VecDeque::new(),
            reading: 0,
            kept: Kept::default(),
            health: Health::default(),
            slow: 1.0,
        }
    }

    pub fn cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Something came of it.
    pub fn beat(&mut self, now: Millis) {
        self.last_activity = self.last_activity.max(now);
        self.unheard = Some(now).filter(|_| self.mine > 0);
    }

    /// It owes this node a word for so long that it may be gone.
    pub fn suspect(&self, now: Millis) -> bool {
        self.unheard.is_some_and(|t| now >= t + SUSPECT)
    }

    /// Running and waiting there, as far as is known.
    pub fn load(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.reported_at);
        let fade = match age <= FRESH {
            true => 1.0,
            // what is not heard again is tried again
            false => (-((age - FRESH) as f64) / 1500.0).exp2(),
        };
        f64::from(self.mine) + self.others * fade
    }

    /// Its own word; `mine` of them are this node's.
    pub fn report(&mut self, running: u32, waiting: u32, slots: u32, now: Millis) {
        self.others = (f64::from(running) + f64::from(waiting) - f64::from(self.mine)).max(0.0);
        self.reported_at = now;
        if slots > 0 {
            self.slots = slots;
        }
    }

    pub fn note_sent(&mut self, now: Millis) {
        while self.sent.len() >= MOST_SENT
            || self.sent.front().is_some_and(|t| t + COLD_SPAN <= now)
        {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Takes back a sending that never left.
    pub fn unsent(&mut self, then: Millis) {
        if let Some(i) = self.sent.iter().rposition(|t| *t == then) {
            self.sent.remove(i);
        }
    }

    /// Sendings of this node in the last span.
    pub fn sent_lately(&self, now: Millis) -> u32 {
        let n = self.sent.iter().rev().take_while(|t| **t + COLD_SPAN > now);
        n.count() as u32
    }
}
