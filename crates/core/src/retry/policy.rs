//! Whether a failed attempt is tried again.

use super::RetryBudget;
use rand::Rng;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection came about: no byte of the request has left.
    ConnectFailed,
    /// The upstream itself has refused the request as not run.
    RefusedNotRun,
    /// The connection was lost, or the answer was cut short, after the request may have arrived.
    ConnectionLost,
    /// No answer came in time.
    TimedOut,
    /// The upstream has answered with an error of its own.
    UpstreamError,
    /// The answer belongs to another request or is not well formed.
    WrongAnswer,
}

impl Failure {
    /// Whether the request has certainly not run.
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::RefusedNotRun)
    }

    /// Whether the failure counts against the upstream in outlier ejection. A refusal shows a full
    /// upstream, not a faulty one.
    pub const fn is_fault_of_upstream(self) -> bool {
        !matches!(self, Self::RefusedNotRun)
    }
}

/// Settings of retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Retries and hedges as a share of requests, in percent.
    pub budget_pct: u32,
    /// Attempts of one request at most, the first included.
    pub max_attempts: u32,
    /// Longest wait before the first retry, in milliseconds; doubles with each further one.
    pub base_backoff_ms: u64,
    /// Longest wait before any retry, in milliseconds.
    pub max_backoff_ms: u64,
}

impl RetrySettings {
    /// The settings for a document's `retry_budget_pct`.
    pub const fn with_budget_pct(budget_pct: u32) -> Self {
        Self {
            budget_pct,
            max_attempts: 3,
            base_backoff_ms: 50,
            max_backoff_ms: 2_000,
        }
    }
}

/// Why a request is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The request is not idempotent and may have run.
    MayHaveRun,
    /// All attempts of the request are used up.
    Attempts,
    /// The budget of the instance is used up.
    Budget,
    /// The deadline comes before the retry.
    Deadline,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Try again after a wait, on another upstream and a new connection.
    Retry {
        /// The wait, in milliseconds.
        after_ms: u64,
    },
    /// Report the failure to the caller.
    GiveUp(GiveUpReason),
}

/// Decides on retries and hedges of one instance.
#[derive(Clone, Debug)]
pub struct Retrier {
    settings: RetrySettings,
    budget: RetryBudget,
}

impl Retrier {
    /// A retrier with an empty budget.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            budget: RetryBudget::new(settings.budget_pct),
        }
    }

    /// Takes over newer settings; the budget saved up is kept.
    pub fn set_settings(&mut self, settings: RetrySettings) {
        self.settings = settings;
        self.budget.set_share_pct(settings.budget_pct);
    }

    /// Counts a request at its first attempt.
    pub fn on_request(&mut self) {
        self.budget.on_request();
    }

    /// Decides after the failure of attempt number `attempts` (1 for the first), with
    /// `remaining_ms` left until the deadline.
    pub fn decide(
        &mut self,
        is_idempotent: bool,
        failure: Failure,
        attempts: u32,
        remaining_ms: u64,
        rng: &mut impl Rng,
    ) -> Decision {
        if !is_idempotent && !failure.is_not_run() {
            return Decision::GiveUp(GiveUpReason::MayHaveRun);
        }
        if attempts >= self.settings.max_attempts {
            return Decision::GiveUp(GiveUpReason::Attempts);
        }
        let after_ms = self.backoff_ms(attempts, rng);
        if after_ms >= remaining_ms {
            return Decision::GiveUp(GiveUpReason::Deadline);
        }
        if !self.budget.try_take() {
            return Decision::GiveUp(GiveUpReason::Budget);
        }
        Decision::Retry { after_ms }
    }

    /// Whether a second attempt may start beside the first; takes it from the budget if so.
    ///
    /// `waited_ms` is the time since the first attempt, `usual_ms` the time within which nearly all
    /// attempts have their first token.
    pub fn try_hedge(&mut self, is_idempotent: bool, waited_ms: u64, usual_ms: u64) -> bool {
        is_idempotent && waited_ms >= usual_ms && self.budget.try_take()
    }

    /// Retries and hedges so far.
    pub fn retries(&self) -> u64 {
        self.budget.retries()
    }

    /// A random wait up to a bound that doubles with each attempt, in milliseconds.
    fn backoff_ms(&self, attempts: u32, rng: &mut impl Rng) -> u64 {
        let doublings = attempts.saturating_sub(1).min(16);
        let bound_ms = self.settings.base_backoff_ms << doublings;
        rng.random_range(0..=bound_ms.min(self.settings.max_backoff_ms))
    }
}
