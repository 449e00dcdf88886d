//! The settings of one run: zones, services, kinds of request and faults.

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

fn classes() -> Vec<ClassMix> {
    let part = |mean, spread, things, skew| SegmentMix {
        tokens: Distribution::of(mean, spread, mean * 3.0),
        things,
        skew,
    };
    vec![
        ClassMix {
            name: "dossier".into(),
            kind: "stream".into(),
            per_s: 14.3,
            aim_ms: 1000,
            gap_ms: 600,
            deadline_ms: 8000,
            attempts: 1,
            priority: 1,
            tries: 1,
            parts: vec![part(13_300.0, 0.7, 54, 0.3)],
            own: Distribution::of(3720.0, 1.1, 53_200.0),
            events: Distribution::of(23.9, 1.4, 95.0),
            ..ClassMix::default()
        },
        ClassMix {
            name: "draft".into(),
            kind: "stream".into(),
            resume: true,
            per_s: 224.0,
            aim_ms: 800,
            gap_ms: 600,
            deadline_ms: 5000,
            attempts: 2,
            tries: 1,
            parts: vec![part(55.0, 0.4, 8, 0.0), part(37.0, 0.7, 846, 0.3)],
            own: Distribution::of(291.0, 1.4, 1830.0),
            events: Distribution::of(9.0, 1.4, 36.0),
            ..ClassMix::default()
        },
        ClassMix {
            name: "page".into(),
            service: 1,
            kind: "idempotent".into(),
            per_s: 59.6,
            aim_ms: 400,
            deadline_ms: 2500,
            attempts: 2,
            priority: 2,
            tries: 1,
            work_ms: Distribution {
                mean: 60.0,
                spread: 0.5,
                tail: 0.01,
                tail_x: 5.0,
                max: 450.0,
            },
            ..ClassMix::default()
        },
    ]
}

/// Two regions, three zones; 18 model workers of 48 slots, 12 nodes, 298 a second.
pub fn two_region_mix() -> Mix {
    Mix {
        seconds: 30.0,
        load: 1.0,
        zones: vec![0, 0, 1],
        nodes: vec![5, 3, 4],
        share: vec![0.25, 0.25, 0.5],
        swing: 0.4,
        period_s: 26.0,
        here_ms: 0.15,
        zone_ms: 0.9,
        region_ms: 35.0,
        client_ms: 1.0,
        news_ms: 400,
        bounds: BoundsMix::default(),
        services: vec![
            ServiceMix {
                name: "model".into(),
                workers: vec![5, 5, 8],
                slots: 48,
                queue: 134,
                max_conns: 330,
                speeds: vec![1.0, 1.0, 1.3],
                warmup_ms: 3000,
                warmup_per_s: 31.0,
                engine: Some(EngineMix::default()),
            },
            ServiceMix {
                name: "web".into(),
                workers: vec![1, 1, 1],
                slots: 6,
                queue: 24,
                max_conns: 130,
                speeds: vec![1.0],
                ..ServiceMix::default()
            },
        ],
        classes: classes(),
        troubles: Vec::new(),
    }
}

/// Three regions, six zones; 90 model workers of 12 slots, 93 nodes, 900 a second.
pub fn three_region_mix() -> Mix {
    let mut m = two_region_mix();
    m.zones = vec![0, 0, 1, 1, 2, 2];
    m.nodes = vec![16, 16, 16, 15, 15, 15];
    m.share = vec![1.0 / 6.0; 6];
    m.load = 900.0 / 297.9;
    m.services[0].workers = vec![15; 6];
    m.services[0].slots = 12;
    m.services[0].queue = 34;
    m.services[0].max_conns = 390;
    m.services[0].warmup_per_s = 8.0;
    if let Some(e) = &mut m.services[0].engine {
        e.tokens = 160_000;
    }
    m.services[1].workers = vec![2, 1, 2, 1, 2, 1];
    m.classes[0].homes = Vec::new();
    m
}
