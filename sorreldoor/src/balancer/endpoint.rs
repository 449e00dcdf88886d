//! The state of one endpoint, that is, one worker of a service, as known to this
//! node.

use super::hash;
use super::index::ServiceIndex;
use super::outlier_detection::OutlierDetector;
use super::prefix_cache::PrefixCache;
use super::request_table::Attempt;
use super::LoadReport;
use crate::types::Millis;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Window of the rate limit of slow start. The limit is per second; the window is
/// longer, as an attempt may be sent some time after the decision.
pub(super) const SLOW_START_WINDOW: Millis = 1200;
/// Age up to which a load report counts in full; later its weight decays.
const LOAD_REPORT_FRESH: Millis = 1000;
/// Half-life of the weight of older load reports, in milliseconds.
const LOAD_HALF_LIFE_MS: f64 = 1500.0;
/// Time after a refused attempt for which the endpoint counts as without capacity.
pub(super) const OVERLOAD_BACKOFF: Millis = 100;
/// An endpoint is suspect if attempts are in flight and nothing was received for
/// this time.
const SUSPECT_AFTER: Millis = 300;
/// Maximum number of send times kept for one endpoint.
const MAX_RECENT_ATTEMPTS: usize = 256;

/// State of one endpoint. Registry updates and the outcomes of attempts change it.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub name: String,
    pub hash: u64,
    pub addr: SocketAddr,
    pub service: ServiceIndex,
    pub zone: u16,
    pub region: u8,
    /// Registered, not draining and not about to leave.
    pub accepting: bool,
    /// Whether it is in the latest registry.
    pub registered: bool,
    /// Version of the registry in which its address turned out to be wrong. The
    /// endpoint is not used until a newer registry is applied.
    pub misdirected_version: Option<u64>,
    pub slots: u32,
    /// Whether it is one of the endpoints for long prompts.
    pub serves_long_prompts: bool,
    /// Time at which anything was last received from it.
    pub last_activity: Millis,
    pub overloaded_until: Millis,
    pub prefix_cache: PrefixCache,
    pub outlier: OutlierDetector,
    /// Moving average of its time to the first event, relative to the expected time
    /// of the service; 1: as expected.
    pub latency_ratio: f64,
    /// Time since which attempts are in flight without anything received.
    awaiting_since: Option<Millis>,
    /// Attempts of this node that are in flight.
    in_flight: u32,
    /// Requests of other nodes, as of the load report at `reported_at`.
    other_load: f64,
    reported_at: Millis,
    slow_start_until: Millis,
    /// Send times of this node's latest attempts.
    recent_attempts: VecDeque<Millis>,
    /// Prompt tokens of this node's attempts that are still in prefill.
    prefill_tokens: u64,
}

impl Endpoint {
    pub fn new(name: &str, addr: SocketAddr, service: ServiceIndex) -> Endpoint {
        Endpoint {
            name: name.to_string(),
            hash: hash::name(name),
            addr,
            service,
            zone: 0,
            region: 0,
            accepting: false,
            registered: false,
            misdirected_version: None,
            slots: 0,
            serves_long_prompts: false,
            last_activity: 0,
            overloaded_until: 0,
            prefix_cache: PrefixCache::default(),
            outlier: OutlierDetector::default(),
            latency_ratio: 1.0,
            awaiting_since: None,
            in_flight: 0,
            other_load: 0.0,
            reported_at: 0,
            slow_start_until: 0,
            recent_attempts: VecDeque::new(),
            prefill_tokens: 0,
        }
    }

    /// Marks the endpoint as absent from the registry.
    pub fn unregister(&mut self) {
        self.accepting = false;
        self.registered = false;
    }

    pub fn in_slow_start(&self, now: Millis) -> bool {
        now < self.slow_start_until
    }

    /// Sets the end of slow start as the endpoint itself reports it.
    pub fn set_slow_start(&mut self, until: Millis) {
        self.slow_start_until = until;
    }

    /// Extends slow start until `until`; does not shorten it.
    pub fn extend_slow_start(&mut self, until: Millis) {
        self.slow_start_until = self.slow_start_until.max(until);
    }

    /// Records that something was received from the endpoint.
    pub fn record_activity(&mut self, now: Millis) {
        self.last_activity = self.last_activity.max(now);
        self.awaiting_since = Some(now).filter(|_| self.in_flight > 0);
    }

    /// Whether the endpoint may be dead: attempts are in flight and nothing was
    /// received from it for [`SUSPECT_AFTER`].
    pub fn suspect(&self, now: Millis) -> bool {
        self.awaiting_since
            .is_some_and(|since| now >= since + SUSPECT_AFTER)
    }

    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub fn prefill_tokens(&self) -> u64 {
        self.prefill_tokens
    }

    /// Estimated number of requests running and waiting at the endpoint, of all nodes.
    pub fn load(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.reported_at);
        // the decay lets an endpoint with an old report get requests again
        let weight = match age <= LOAD_REPORT_FRESH {
            true => 1.0,
            false => (-((age - LOAD_REPORT_FRESH) as f64) / LOAD_HALF_LIFE_MS).exp2(),
        };
        f64::from(self.in_flight) + self.other_load * weight
    }

    /// Applies a load report of the endpoint.
    pub fn report_load(&mut self, load: LoadReport, now: Millis) {
        let total = f64::from(load.running) + f64::from(load.waiting);
        self.other_load = (total - f64::from(self.in_flight)).max(0.0);
        self.reported_at = now;
        if load.slots > 0 {
            self.slots = load.slots;
        }
    }

    /// Adds an attempt that is sent now.
    pub fn start_attempt(&mut self, prefill_tokens: u32, now: Millis) {
        self.in_flight += 1;
        self.awaiting_since.get_or_insert(now);
        self.record_send(now);
        self.prefill_tokens += u64::from(prefill_tokens);
    }

    /// Removes an attempt that has ended.
    pub fn end_attempt(&mut self, attempt: &Attempt) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.awaiting_since = self.awaiting_since.filter(|_| self.in_flight > 0);
        if !attempt.prefill_done {
            self.end_prefill(attempt.prefill_tokens);
        }
        if attempt.trial {
            self.outlier.end_trial();
        }
    }

    /// Subtracts an attempt's tokens once its prefill has ended.
    pub fn end_prefill(&mut self, tokens: u32) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(u64::from(tokens));
    }

    fn record_send(&mut self, now: Millis) {
        let expired = |sent: &Millis| sent + SLOW_START_WINDOW <= now;
        while self.recent_attempts.len() >= MAX_RECENT_ATTEMPTS
            || self.recent_attempts.front().is_some_and(expired)
        {
            self.recent_attempts.pop_front();
        }
        self.recent_attempts.push_back(now);
    }

    /// Removes the record of an attempt that was not sent after all.
    pub fn cancel_send(&mut self, sent_at: Millis) {
        let recorded = self.recent_attempts.iter().rposition(|t| *t == sent_at);
        if let Some(position) = recorded {
            self.recent_attempts.remove(position);
        }
    }

    /// Number of attempts of this node within the last [`SLOW_START_WINDOW`].
    pub fn recent_attempts(&self, now: Millis) -> u32 {
        self.recent_attempts
            .iter()
            .rev()
            .take_while(|sent| **sent + SLOW_START_WINDOW > now)
            .count() as u32
    }
}
