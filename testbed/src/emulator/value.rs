//! The value of the responses of a run: by kind of request, whether in time or late,
//! and by the size of the request.

use super::clients::{ClientRequest, RequestEnd};
use super::mix::ClassMix;
use super::{micros, World};

/// Weight of a generated token, in prompt tokens.
const OUTPUT_TOKEN_WEIGHT: f64 = 10.0;
/// Part of the value that does not depend on the size.
const FIXED_SHARE: f64 = 0.3;
/// Upper limit of a request's value, as a multiple of the value at mean size.
const MAX_SIZE_FACTOR: f64 = 4.0;
/// Share of the requests of a kind that are reported as its largest.
const LARGEST_SHARE: f64 = 0.1;

/// Value earned, and the value owed if all requests were served in time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EarnedValue {
    pub earned: f64,
    pub owed: f64,
}

impl EarnedValue {
    /// The share that was earned; 1 if nothing was owed.
    #[must_use]
    pub fn share(&self) -> f64 {
        match self.owed > 0.0 {
            true => self.earned / self.owed,
            false => 1.0,
        }
    }

    pub fn add(&mut self, other: EarnedValue) {
        self.earned += other.earned;
        self.owed += other.owed;
    }
}

/// Value by kind of request, in the order of the mix, and of the largest tenth
/// of each kind.
#[derive(Clone, Debug, Default)]
pub struct ValueByKind {
    pub all: Vec<EarnedValue>,
    pub largest: Vec<EarnedValue>,
}

impl ValueByKind {
    /// The sum over all kinds.
    #[must_use]
    pub fn total(&self) -> EarnedValue {
        let mut sum = EarnedValue::default();
        self.all.iter().for_each(|value| sum.add(*value));
        sum
    }

    /// Adds the value of another run of the same mix.
    pub fn add(&mut self, other: &ValueByKind) {
        let pairs = [
            (&mut self.all, &other.all),
            (&mut self.largest, &other.largest),
        ];
        for (sums, others) in pairs {
            sums.resize(others.len(), EarnedValue::default());
            let each = sums.iter_mut().zip(others);
            each.for_each(|(sum, value)| sum.add(*value));
        }
    }
}

impl ClientRequest {
    /// Whether it was answered within its latency target, with no gap above the limit in
    /// its stream; `None` if it was not served.
    pub(super) fn in_time(&self, class: &ClassMix) -> Option<bool> {
        let Some(RequestEnd::Served(_)) = self.end else {
            return None;
        };
        let latency = self.first_event_at.unwrap_or(self.arrived_at) - self.arrived_at;
        let slow = latency > micros(class.aim_ms as f64);
        let stalled = class.gap_ms > 0 && self.max_gap > micros(class.gap_ms as f64);
        Some(!slow && !stalled)
    }

    fn size(&self, tokens_per_event: u32) -> f64 {
        let prompt: u32 = self.prompt_segments.iter().map(|part| part.tokens).sum();
        f64::from(prompt) + OUTPUT_TOKEN_WEIGHT * f64::from(self.events * tokens_per_event)
    }

    fn earned_share(&self, class: &ClassMix) -> f64 {
        match self.in_time(class) {
            Some(true) => class.value,
            Some(false) => class.late_value,
            None => 0.0,
        }
    }
}

impl World {
    /// The value of all requests of a finished run.
    pub(super) fn value_by_kind(&self) -> ValueByKind {
        let kinds = 0..self.mix.classes.len();
        let (all, largest) = kinds.map(|kind| self.value_of_kind(kind)).unzip();
        ValueByKind { all, largest }
    }

    /// The value of one kind, and of its largest requests.
    fn value_of_kind(&self, kind: usize) -> (EarnedValue, EarnedValue) {
        let class = &self.mix.classes[kind];
        let engine = self.mix.services[class.service].engine.as_ref();
        let tokens_per_event = engine.map_or(0, |engine| engine.stride);
        let requests = self.client_requests.iter().filter(|r| r.class == kind);
        let mut sized: Vec<(f64, &ClientRequest)> = requests
            .map(|request| (request.size(tokens_per_event), request))
            .collect();
        sized.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mean = sized.iter().map(|(size, _)| size).sum::<f64>() / sized.len().max(1) as f64;
        let factor = |size: f64| match engine {
            Some(_) => (FIXED_SHARE + (1.0 - FIXED_SHARE) * size / mean).min(MAX_SIZE_FACTOR),
            None => 1.0,
        };
        let value = |sized: &[(f64, &ClientRequest)]| {
            let mut sum = EarnedValue::default();
            for (size, request) in sized {
                sum.add(EarnedValue {
                    earned: factor(*size) * request.earned_share(class),
                    owed: factor(*size) * class.value,
                });
            }
            sum
        };
        let count = (sized.len() as f64 * LARGEST_SHARE).ceil() as usize;
        (value(&sized), value(&sized[..count]))
    }
}
