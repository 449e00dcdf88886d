//! The settings of one run: zones, services, kinds of request and faults.

use super::deployments::two_region_mix;
use crate::rand::Rand;
use serde::Deserialize;

/// A lognormal amount with this mean; `tail` of the draws are `tail_x` times it.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Distribution {
    pub mean: f64,
    pub spread: f64,
    pub tail: f64,
    pub tail_x: f64,
    /// Cut off there; 0: nowhere.
    pub max: f64,
}

impl Distribution {
    pub fn of(mean: f64, spread: f64, max: f64) -> Distribution {
        Distribution {
            mean,
            spread,
            max,
            ..Distribution::default()
        }
    }

    pub fn sample(&self, r: &mut Rand) -> f64 {
        let s = self.spread;
        let x = self.mean * (s * normal(r) - s * s / 2.0).exp();
        let x = if unit(r) < self.tail {
            x * self.tail_x
        } else {
            x
        };
        if self.max > 0.0 {
            x.min(self.max)
        } else {
            x
        }
    }
}

/// Over 0 and at most 1.
pub fn unit(r: &mut Rand) -> f64 {
    ((r.draw() >> 11) + 1) as f64 / (1u64 << 53) as f64
}

fn normal(r: &mut Rand) -> f64 {
    let (a, b) = (unit(r), unit(r));
    (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

/// Speed and memory of an engine; times in milliseconds, memory in tokens.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct EngineMix {
    pub step_ms: f64,
    pub per_slot_ms: f64,
    /// For each 1000 tokens of context in the batch.
    pub per_k_ms: f64,
    pub read_per_ms: f64,
    /// Attention: for each million pairs of a prompt token with one before it.
    pub pairs_ms_per_m: f64,
    /// Between arrival and the queue.
    pub first_ms: f64,
    pub stride: u32,
    pub chunk: u32,
    pub tokens: u64,
    /// The head comes on admission, not with the first token.
    pub early_head: bool,
}

impl Default for EngineMix {
    fn default() -> EngineMix {
        EngineMix {
            step_ms: 5.0,
            per_slot_ms: 0.03,
            per_k_ms: 0.0034,
            read_per_ms: 50.0,
            pairs_ms_per_m: 0.0,
            first_ms: 40.0,
            stride: 5,
            chunk: 4096,
            tokens: 320_000,
            early_head: false,
        }
    }
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ServiceMix {
    pub name: String,
    /// Workers in each zone.
    pub workers: Vec<u32>,
    pub slots: u32,
    pub queue: u32,
    pub max_conns: u32,
    /// Slowness factors of workers, assigned in turn.
    pub speeds: Vec<f64>,
    pub warmup_ms: u64,
    pub warmup_per_s: f64,
    pub engine: Option<EngineMix>,
}

/// A prompt segment that requests share.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct SegmentMix {
    pub tokens: Distribution,
    pub things: u32,
    /// 0: all things alike; 1: as the words of a text.
    pub skew: f64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ClassMix {
    pub name: String,
    pub service: usize,
    /// "idempotent", "once" or "stream".
    pub kind: String,
    pub resume: bool,
    pub homes: Vec<u8>,
    pub per_s: f64,
    pub aim_ms: u64,
    pub gap_ms: u64,
    pub deadline_ms: u64,
    pub attempts: u32,
    pub priority: u8,
    /// Retries of the client, at most.
    pub tries: u32,
    /// The value of an answer in time, and late.
    pub value: f64,
    pub late_value: f64,
    pub parts: Vec<SegmentMix>,
    /// Tokens of its own.
    pub own: Distribution,
    pub events: Distribution,
    pub work_ms: Distribution,
}

impl ClassMix {
    pub fn repeatable(&self) -> bool {
        self.kind == "idempotent" || (self.kind == "stream" && self.resume)
    }
}

/// One fault; `World::inject_fault` documents the fields for each kind.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Fault {
    pub kind: String,
    pub at_s: f64,
    pub for_s: f64,
    pub count: u32,
    pub x: f64,
    pub service: usize,
    pub zone: u16,
}

/// Limits that are checked; the product gets those that it needs.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct BoundsMix {
    pub drain_ms: u64,
    pub evac_ms: u64,
    pub apply_ms: u64,
    pub contact_ms: u64,
    pub retry_ratio: f64,
    pub retry_window_ms: u64,
    pub retry_slack: f64,
    pub warmup_excess: f64,
    pub warmup_slack: f64,
}

impl Default for BoundsMix {
    fn default() -> BoundsMix {
        BoundsMix {
            drain_ms: 4000,
            evac_ms: 5000,
            apply_ms: 3000,
            contact_ms: 4000,
            retry_ratio: 0.2,
            retry_window_ms: 10_000,
            retry_slack: 64.0,
            warmup_excess: 1.5,
            warmup_slack: 5.0,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Mix {
    pub seconds: f64,
    /// Times all rates.
    pub load: f64,
    /// The region of each zone.
    pub zones: Vec<u8>,
    /// Nodes in each zone.
    pub nodes: Vec<u32>,
    /// Share of the clients in each zone.
    pub share: Vec<f64>,
    /// The rate swings by so much around its mean, within `period_s`.
    pub swing: f64,
    pub period_s: f64,
    pub here_ms: f64,
    pub zone_ms: f64,
    pub region_ms: f64,
    pub client_ms: f64,
    /// Control-plane updates reach a node after `news_ms` to twice that.
    pub news_ms: u64,
    pub bounds: BoundsMix,
    pub services: Vec<ServiceMix>,
    pub classes: Vec<ClassMix>,
    pub troubles: Vec<Fault>,
}

impl Default for Mix {
    fn default() -> Mix {
        two_region_mix()
    }
}
