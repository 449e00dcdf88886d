//! Passive outlier detection: an endpoint that fails is ejected for a time that
//! doubles with each ejection, and readmitted after successful trial requests.

use crate::types::Millis;

/// First and longest ejection time.
const BASE_EJECTION: Millis = 1000;
const MAX_EJECTION: Millis = 10_000;
/// Maximum number of doublings.
const MAX_BACKOFF_LEVEL: u32 = 4;
/// Consecutive failures that eject an endpoint.
const CONSECUTIVE_FAILURES: u32 = 2;
/// Fraction of failures above which an endpoint is ejected, and the number of
/// attempts that this needs.
const FAILURE_RATIO: f64 = 0.5;
const MIN_ATTEMPTS: f64 = 5.0;
/// Factor on the weight of older signals with each new one.
const DECAY: f64 = 0.9;
/// Successful trials that end an ejection.
const TRIALS_TO_READMIT: u32 = 2;
/// Additional time after the ejection time before a non-idempotent request may be
/// a trial.
const NON_IDEMPOTENT_TRIAL_DELAY: Millis = 2000;

/// The result of an attempt, as far as it shows the endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HealthSignal {
    Success,
    /// The connection was not established.
    ConnectFailure,
    Failure,
}

/// Failure statistics and ejection of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct OutlierDetector {
    consecutive_failures: u32,
    /// Numbers of successes and failures, with decay.
    successes: f64,
    failures: f64,
    /// End of the ejection time; 0: not ejected.
    ejected_until: Millis,
    backoff_level: u32,
    /// Successful trials since the ejection.
    passed_trials: u32,
    trial_in_flight: bool,
}

impl OutlierDetector {
    /// Whether the endpoint is ejected. It stays so after the ejection time until
    /// enough trials have succeeded.
    pub fn ejected(&self) -> bool {
        self.ejected_until > 0
    }

    /// End of the ejection time; 0: not ejected.
    pub fn ejected_until(&self) -> Millis {
        self.ejected_until
    }

    /// Whether an ejected endpoint may get a trial request now.
    pub fn trial_due(&self, now: Millis, idempotent: bool) -> bool {
        let delay = if idempotent {
            0
        } else {
            NON_IDEMPOTENT_TRIAL_DELAY
        };
        !self.trial_in_flight && now >= self.ejected_until + delay
    }

    /// Records an attempt that is sent now; returns whether it is a trial.
    pub fn start_attempt(&mut self) -> bool {
        let trial = self.ejected();
        self.trial_in_flight |= trial;
        trial
    }

    /// Records the end of the trial, so that the next one may be sent.
    pub fn end_trial(&mut self) {
        self.trial_in_flight = false;
    }

    /// Applies a signal; returns whether it ejects the endpoint or keeps it ejected.
    /// `may_eject` is false if too many endpoints of the service are ejected.
    pub fn record(&mut self, signal: HealthSignal, may_eject: bool, now: Millis) -> bool {
        self.successes *= DECAY;
        self.failures *= DECAY;
        if signal == HealthSignal::Success {
            self.record_success();
            return false;
        }
        self.failures += 1.0;
        self.consecutive_failures += 1;
        let eject = match (self.ejected(), signal) {
            (true, _) => true,
            // an endpoint that accepts no connections cannot serve requests,
            // however many others are ejected
            (_, HealthSignal::ConnectFailure) => true,
            _ => may_eject && self.failing(),
        };
        if eject {
            self.eject(now);
        }
        eject
    }

    fn record_success(&mut self) {
        self.successes += 1.0;
        self.consecutive_failures = 0;
        if self.ejected() {
            self.passed_trials += 1;
        }
    }

    fn failing(&self) -> bool {
        let attempts = self.successes + self.failures;
        let often = attempts >= MIN_ATTEMPTS * 0.8 && self.failures / attempts > FAILURE_RATIO;
        self.consecutive_failures >= CONSECUTIVE_FAILURES || often
    }

    fn eject(&mut self, now: Millis) {
        // failures of attempts sent before the ejection do not extend it
        if self.ejected() && now < self.ejected_until {
            return;
        }
        let duration = BASE_EJECTION << self.backoff_level.min(MAX_BACKOFF_LEVEL);
        self.ejected_until = now + duration.min(MAX_EJECTION);
        self.backoff_level = (self.backoff_level + 1).min(MAX_BACKOFF_LEVEL);
        self.passed_trials = 0;
    }

    /// Ends the ejection after enough successful trials; returns whether this call
    /// ended it.
    pub fn try_readmit(&mut self) -> bool {
        let readmit = self.ejected() && self.passed_trials >= TRIALS_TO_READMIT;
        if readmit {
            self.ejected_until = 0;
            self.passed_trials = 0;
            self.consecutive_failures = 0;
            (self.successes, self.failures) = (2.0, 1.0);
        }
        readmit
    }

    /// Reverts one doubling of the ejection time once the decayed number of failures
    /// is near 0.
    pub fn relax_backoff(&mut self) {
        if !self.ejected() && self.consecutive_failures == 0 && self.failures < 0.1 {
            self.backoff_level = self.backoff_level.saturating_sub(1);
            self.failures = 1.0;
        }
    }
}
