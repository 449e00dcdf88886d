//! The settings of one run: zones, services, kinds of request and faults.

use super::deployments::two_region_mix;
use crate::rand::Rand;
use serde::Deserialize;

/// A lognormal distribution; a share `tail` of the draws is multiplied by `tail_x`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Distribution {
    pub mean: f64,
    /// Standard deviation of the logarithm.
    pub spread: f64,
    pub tail: f64,
    pub tail_x: f64,
    /// The largest value that is returned; 0: no limit.
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

/// A uniform number above 0 and at most 1.
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
    /// Fixed part of a step.
    pub step_ms: f64,
    /// Added to a step for each running task.
    pub per_slot_ms: f64,
    /// Added to a step for each 1000 tokens of context in the batch.
    pub per_k_ms: f64,
    /// Prompt tokens prefilled in a millisecond.
    pub read_per_ms: f64,
    /// Attention: added for each million pairs of a prompt token with an earlier one.
    pub pairs_ms_per_m: f64,
    /// Time from arrival to the queue.
    pub first_ms: f64,
    /// Generated tokens in one event of a stream.
    pub stride: u32,
    /// Prompt tokens prefilled in one step, at most.
    pub chunk: u32,
    /// Capacity of the KV memory.
    pub tokens: u64,
    /// The response head is sent on admission, not with the first token.
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

/// A service and its workers.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ServiceMix {
    pub name: String,
    /// Workers in each zone.
    pub workers: Vec<u32>,
    pub slots: u32,
    pub queue: u32,
    pub max_conns: u32,
    /// Factors on the duration of work, assigned to workers in turn.
    pub speeds: Vec<f64>,
    pub warmup_ms: u64,
    pub warmup_per_s: f64,
    pub engine: Option<EngineMix>,
}

/// A prompt segment shared by requests: its length, and how many distinct ones exist.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct SegmentMix {
    pub tokens: Distribution,
    #[serde(rename = "things")]
    pub distinct: u32,
    /// Skew of their popularity: 0 is uniform, 1 is as the words of a text (Zipf).
    pub skew: f64,
}

/// A kind of request: its route, its arrival rate and its size.
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
    /// Most retries of a client.
    #[serde(rename = "tries")]
    pub max_retries: u32,
    /// The value of an answer within its latency targets, and of a late one.
    pub value: f64,
    pub late_value: f64,
    #[serde(rename = "parts")]
    pub shared_segments: Vec<SegmentMix>,
    /// Prompt tokens that no other request shares.
    #[serde(rename = "own")]
    pub own_tokens: Distribution,
    pub events: Distribution,
    pub work_ms: Distribution,
}

impl ClassMix {
    pub fn repeatable(&self) -> bool {
        self.kind == "idempotent" || (self.kind == "stream" && self.resume)
    }
}

/// One fault or planned change; `World::inject_fault` documents the fields for each kind.
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

/// Bounds that the checks apply; the balancer gets those of retries and slow start.
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

/// The settings of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Mix {
    pub seconds: f64,
    /// Factor on all arrival rates.
    pub load: f64,
    /// The region of each zone.
    pub zones: Vec<u8>,
    /// Nodes in each zone.
    pub nodes: Vec<u32>,
    /// Share of the clients in each zone.
    #[serde(rename = "share")]
    pub client_share: Vec<f64>,
    /// Amplitude of the sine wave of the arrival rate, as a share of its mean; its
    /// period is `period_s`.
    pub swing: f64,
    pub period_s: f64,
    /// One-way network delays: within a zone, between zones of a region, between regions.
    #[serde(rename = "here_ms")]
    pub same_zone_ms: f64,
    #[serde(rename = "zone_ms")]
    pub same_region_ms: f64,
    #[serde(rename = "region_ms")]
    pub cross_region_ms: f64,
    /// One-way network delay between a client and a node.
    pub client_ms: f64,
    /// Control-plane updates reach a node after this time to twice that.
    #[serde(rename = "news_ms")]
    pub update_delay_ms: u64,
    pub bounds: BoundsMix,
    pub services: Vec<ServiceMix>,
    pub classes: Vec<ClassMix>,
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
}

impl Default for Mix {
    fn default() -> Mix {
        two_region_mix()
    }
}
