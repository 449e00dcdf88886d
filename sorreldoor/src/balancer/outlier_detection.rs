//! Passive outlier detection: an endpoint that fails is ejected for a time that
//! doubles, and comes back after successful trial requests.

use crate::types::Millis;

/// Ejection times: the first, and the longest.
const BASE_EJECTION: Millis = 1000;
const MAX_EJECTION: Millis = 10_000;
/// Steps of doubling, at most.
const MAX_BACKOFF_LEVEL: u32 = 4;
/// Consecutive failures that eject an endpoint.
const CONSECUTIVE_FAILURES: u32 = 2;
/// Share of failures that ejects an endpoint once enough attempts were seen.
const FAILURE_SHARE: f64 = 0.5;
const MIN_ATTEMPTS: f64 = 5.0;
/// Decay of older signals with each new one.
const DECAY: f64 = 0.9;
/// Consecutive good trials that end an ejection.
const TRIALS_TO_RETURN: u32 = 2;
/// So long after its end an ejection may be tried by a non-idempotent request.
const NON_IDEMPOTENT_TRIAL_DELAY: Millis = 2000;

/// What the end of an attempt says about the endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HealthSignal {
    Success,
    /// No connection came up.
    ConnectFailure,
    Failure,
}

/// Failure statistics and ejection of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct OutlierDetector {
    consecutive_failures: u32,
    /// Decayed numbers of successes and failures.
    successes: f64,
    failures: f64,
    /// Ejected until then; 0: not ejected.
    ejected_until: Millis,
    backoff_level: u32,
    /// Successful trials since the ejection.
    passed_trials: u32,
    trial_in_flight: bool,
}

impl OutlierDetector {
    /// Whether the endpoint is ejected, also once the ejection time is over and
    /// trials have not brought it back yet.
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

    /// Counts an attempt that is sent now; true if it is a trial.
    pub fn start_attempt(&mut self) -> bool {
        let trial = self.ejected();
        self.trial_in_flight |= trial;
        trial
    }

    /// The trial request came to its end.
    pub fn end_trial(&mut self) {
        self.trial_in_flight = false;
    }

    /// Takes in a signal; true if it ejects the endpoint or keeps it ejected.
    /// `may_eject` is false where too many others of the service are ejected.
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
            // an endpoint without connections serves nobody, however many
            // others are ejected
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
        let often = attempts >= MIN_ATTEMPTS * 0.8 && self.failures / attempts > FAILURE_SHARE;
        self.consecutive_failures >= CONSECUTIVE_FAILURES || often
    }

    fn eject(&mut self, now: Millis) {
        // failures of attempts from before the ejection are one event
        if self.ejected() && now < self.ejected_until {
            return;
        }
        let duration = BASE_EJECTION << self.backoff_level.min(MAX_BACKOFF_LEVEL);
        self.ejected_until = now + duration.min(MAX_EJECTION);
        self.backoff_level = (self.backoff_level + 1).min(MAX_BACKOFF_LEVEL);
        self.passed_trials = 0;
    }

    /// Ends the ejection after enough good trials; true the moment that happens.
    pub fn try_return(&mut self) -> bool {
        let returns = self.ejected() && self.passed_trials >= TRIALS_TO_RETURN;
        if returns {
            self.ejected_until = 0;
            self.passed_trials = 0;
            self.consecutive_failures = 0;
            (self.successes, self.failures) = (2.0, 1.0);
        }
        returns
    }

    /// Takes back one step of the doubling after a long time without failures.
    pub fn relax_backoff(&mut self) {
        if !self.ejected() && self.consecutive_failures == 0 && self.failures < 0.1 {
            self.backoff_level = self.backoff_level.saturating_sub(1);
            self.failures = 1.0;
        }
    }
}
