//! Random deployments from a seed: regions of unequal capacity, few or many nodes,
//! short and long prompts, with and without homes.

use super::deployments::two_region_mix;
use super::mix::{ClassMix, Distribution, EngineMix, Mix, SegmentMix, ServiceMix};
use crate::rand::Rand;

/// Range of the share of all engine time that the requests need.
const UTILIZATION: (f64, f64) = (0.15, 0.4);
/// Range of the share of that load that long prompts make up.
const LONG_SHARE: (f64, f64) = (0.2, 0.6);
/// Requests per second for each worker of the plain service.
const PLAIN_PER_WORKER: f64 = 25.0;
/// Assumed share of the shared prompt tokens that miss the prefix cache.
const MISS_SHARE: f64 = 0.3;

/// Random generator with the draws that a deployment needs.
struct Draw(Rand);

impl Draw {
    fn between(&mut self, (low, high): (f64, f64)) -> f64 {
        let fraction = (self.0.draw() >> 11) as f64 / (1u64 << 53) as f64;
        low + fraction * (high - low)
    }

    fn count(&mut self, low: u32, high: u32) -> u32 {
        low + self.0.below(u64::from(high - low) + 1) as u32
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.between((0.0, 1.0)) < probability
    }

    fn engine(&mut self) -> EngineMix {
        EngineMix {
            step_ms: self.between((3.5, 5.5)),
            per_slot_ms: self.between((0.001, 0.05)),
            per_k_ms: self.between((0.001, 0.009)),
            read_per_ms: self.between((50.0, 160.0)),
            pairs_ms_per_m: self.between((0.1, 0.65)),
            first_ms: self.between((0.5, 40.0)),
            stride: self.count(5, 10),
            chunk: 1024 << self.count(0, 2),
            tokens: u64::from(self.count(300, 650)) * 1000,
            early_head: false,
        }
    }

    /// The regions that a kind of request is restricted to; empty: all regions.
    fn homes(&mut self, regions: u8) -> Vec<u8> {
        match regions > 1 && self.chance(0.5) {
            true => (0..self.count(1, u32::from(regions) - 1) as u8).collect(),
            false => Vec::new(),
        }
    }
}

/// Estimated engine time of a request, in milliseconds.
fn busy_ms(class: &ClassMix, engine: &EngineMix, slots: u32) -> f64 {
    let shared: f64 = class
        .shared_segments
        .iter()
        .map(|part| part.tokens.mean)
        .sum();
    let prefill = (class.own_tokens.mean + MISS_SHARE * shared) / engine.read_per_ms;
    let steps = class.events.mean * f64::from(engine.stride);
    prefill + steps * engine.step_ms / f64::from(slots)
}

/// The deployment of a seed, without faults.
#[must_use]
pub fn drawn_mix(seed: u64) -> Mix {
    let mut draw = Draw(Rand::new(seed));
    let regions = draw.count(1, 3) as u8;
    let mut zones = Vec::new();
    for region in 0..regions {
        let zones_of_region = draw.count(1, 2) as usize;
        zones.extend(std::iter::repeat_n(region, zones_of_region));
    }
    let most_workers = draw.count(4, 16);
    let most_nodes = draw.count(4, 15);
    let workers: Vec<u32> = zones.iter().map(|_| draw.count(2, most_workers)).collect();
    let nodes = zones.iter().map(|_| draw.count(3, most_nodes)).collect();
    let slots = 16 << draw.count(0, 2);
    let engine = draw.engine();
    let urgent_is_long = draw.chance(0.5);
    let mut long = long_class(&mut draw, urgent_is_long);
    let mut short = short_class(&mut draw, !urgent_is_long);
    short.homes = draw.homes(regions);
    let total: u32 = workers.iter().sum();
    let budget = f64::from(total) * 1000.0 * draw.between(UTILIZATION);
    let long_share = draw.between(LONG_SHARE);
    long.per_s = budget * long_share / busy_ms(&long, &engine, slots);
    short.per_s = budget * (1.0 - long_share) / busy_ms(&short, &engine, slots);
    let mut plain = two_region_mix().classes.remove(2);
    plain.per_s = PLAIN_PER_WORKER * zones.len() as f64;
    let model = ServiceMix {
        name: "model".into(),
        workers,
        slots,
        queue: 3 * slots,
        max_conns: 600,
        speeds: vec![1.0, 1.0, 1.3],
        warmup_ms: 3000,
        warmup_per_s: 20.0,
        engine: Some(engine),
    };
    let web = ServiceMix {
        workers: vec![1; zones.len()],
        ..two_region_mix().services.remove(1)
    };
    Mix {
        client_share: vec![1.0 / zones.len() as f64; zones.len()],
        cross_region_ms: draw.between((20.0, 55.0)),
        zones,
        nodes,
        services: vec![model, web],
        classes: vec![long, short, plain],
        ..two_region_mix()
    }
}

fn stream(name: &str, urgent: bool) -> ClassMix {
    ClassMix {
        name: name.into(),
        kind: "stream".into(),
        resume: urgent,
        attempts: 1 + u32::from(urgent),
        priority: u8::from(!urgent),
        max_retries: 1,
        value: 2.0 + f64::from(u8::from(urgent)),
        late_value: 0.6,
        ..ClassMix::default()
    }
}

/// Long prompts with long shared parts.
fn long_class(draw: &mut Draw, urgent: bool) -> ClassMix {
    let shared = draw.between((4000.0, 14_000.0));
    let own = draw.between((3000.0, 7000.0));
    ClassMix {
        aim_ms: u64::from(draw.count(5, 10)) * 100,
        gap_ms: u64::from(draw.count(3, 6)) * 100,
        deadline_ms: 8000,
        shared_segments: vec![SegmentMix {
            tokens: Distribution::of(shared, 0.7, shared * 3.0),
            distinct: draw.count(30, 900),
            skew: 0.3,
        }],
        own_tokens: Distribution::of(own, draw.between((1.0, 1.4)), own * 9.0),
        events: Distribution::of(draw.between((15.0, 40.0)), 0.6, 110.0),
        ..stream("long", urgent)
    }
}

/// Short prompts with short shared parts.
fn short_class(draw: &mut Draw, urgent: bool) -> ClassMix {
    let shared = draw.between((90.0, 600.0));
    let own = draw.between((250.0, 1800.0));
    ClassMix {
        aim_ms: u64::from(draw.count(6, 8)) * 100,
        gap_ms: u64::from(draw.count(3, 6)) * 100,
        deadline_ms: 4000,
        shared_segments: vec![SegmentMix {
            tokens: Distribution::of(shared, 0.6, shared * 3.0),
            distinct: draw.count(500, 2500),
            skew: 0.3,
        }],
        own_tokens: Distribution::of(own, 1.3, own * 5.0),
        events: Distribution::of(draw.between((2.0, 9.0)), 1.4, 30.0),
        ..stream("short", urgent)
    }
}
