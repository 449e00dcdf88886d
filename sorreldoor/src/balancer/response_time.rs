//! Estimates of response times, from completed responses.

use super::hash::{self, U64HashBuilder};
use crate::configuration::hosted::{Hosted, Route};
use crate::types::Millis;
use std::collections::{HashMap, HashSet};

/// Weight of a new sample in the smoothed response time.
const SMOOTHING_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new sample in the variation.
const VARIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Factor of the variation in the estimate.
const VARIATION_FACTOR: f64 = 4.0;

/// Smoothed response time and its variation, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Averages {
    smoothed: f64,
    variation: f64,
}

/// Estimates the time that few responses exceed, as TCP estimates its retransmission
/// time-out (RFC 6298, section 2).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ResponseTimeEstimator {
    /// `None` before the first sample.
    averages: Option<Averages>,
}

impl ResponseTimeEstimator {
    /// Adds the time from sending a request to its complete response.
    pub fn add(&mut self, response_time: Millis) {
        let sample = response_time as f64;
        let Some(averages) = &mut self.averages else {
            self.averages = Some(Averages {
                smoothed: sample,
                variation: sample / 2.0,
            });
            return;
        };
        let deviation = (averages.smoothed - sample).abs();
        averages.variation += VARIATION_WEIGHT * (deviation - averages.variation);
        averages.smoothed += SMOOTHING_WEIGHT * (sample - averages.smoothed);
    }

    /// The estimate; `None` before the first sample.
    pub fn estimate(&self) -> Option<Millis> {
        let averages = self.averages?;
        let estimate = averages.smoothed + VARIATION_FACTOR * averages.variation;
        Some(estimate.ceil() as Millis)
    }
}

/// Identifies a route by its name, across changes of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct RouteKey(u64);

impl From<&Route> for RouteKey {
    fn from(route: &Route) -> RouteKey {
        RouteKey(hash::name(&route.name))
    }
}

/// The estimators of routes.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteResponseTimes {
    /// Only routes with completed responses.
    by_route: HashMap<RouteKey, ResponseTimeEstimator, U64HashBuilder>,
}

impl RouteResponseTimes {
    /// Adds the time from sending a request to its complete response.
    pub fn add(&mut self, route: RouteKey, response_time: Millis) {
        self.by_route.entry(route).or_default().add(response_time);
    }

    /// The estimate for a route; `None` if none of its responses was completed.
    pub fn estimate(&self, route: RouteKey) -> Option<Millis> {
        self.by_route.get(&route)?.estimate()
    }

    /// Removes the routes that the configuration no longer has.
    pub fn retain_configured(&mut self, hosted: &Hosted) {
        let routes = hosted.routes.iter().map(|route| RouteKey::from(&**route));
        let configured: HashSet<RouteKey, U64HashBuilder> = routes.collect();
        self.by_route.retain(|route, _| configured.contains(route));
    }
}
