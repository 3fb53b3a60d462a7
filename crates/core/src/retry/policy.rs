//! Retry policy for failed attempts.

use super::RetryBudget;
use rand::Rng;

/// Failure of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// This instance did not send the request, for a reason of its own.
    NotSent,
    /// No connection was established; no byte of the request was sent.
    ConnectFailed,
    /// The connection was refused: no process listens at the upstream's address.
    ConnectRefused,
    /// The upstream itself refused the request and reported that it has not run.
    RefusedNotRun,
    /// The connection was lost or the answer was truncated after the request may have arrived.
    ConnectionLost,
    /// No answer arrived in time.
    TimedOut,
    /// The upstream answered with an error of its own.
    UpstreamError,
    /// The answer belongs to another request or is malformed.
    WrongAnswer,
}

impl Failure {
    /// Whether the request has certainly not run.
    pub const fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::NotSent | Self::ConnectFailed | Self::ConnectRefused | Self::RefusedNotRun
        )
    }

    /// Whether the failure counts as an error of the upstream in outlier detection. A refusal
    /// indicates a full upstream, not a faulty one, and a request that was not sent says nothing.
    pub const fn is_fault_of_upstream(self) -> bool {
        !matches!(self, Self::NotSent | Self::RefusedNotRun)
    }
}

/// Settings of a [`Retrier`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Maximum retries and hedges as a share of requests, in percent.
    pub budget_pct: u32,
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// Maximum wait before the first retry, in milliseconds; it doubles with each further one.
    pub base_backoff_ms: u64,
    /// Maximum wait before any retry, in milliseconds.
    pub max_backoff_ms: u64,
}

impl RetrySettings {
    /// Returns the default settings with the `retry_budget_pct` of a document.
    pub const fn with_budget_pct(budget_pct: u32) -> Self {
        Self {
            budget_pct,
            max_attempts: 3,
            base_backoff_ms: 50,
            max_backoff_ms: 2_000,
        }
    }
}

/// Reason why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The request is not idempotent and may have run.
    MayHaveRun,
    /// The request has reached the maximum number of attempts.
    Attempts,
    /// The retry budget of the instance is exhausted.
    Budget,
    /// The deadline of the request is before the retry.
    Deadline,
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Retry after a wait, on another upstream over a new connection.
    Retry {
        /// Wait before the retry, in milliseconds.
        after_ms: u64,
    },
    /// Report the failure to the caller.
    GiveUp(GiveUpReason),
}

/// Retry policy and retry budget of one instance.
#[derive(Clone, Debug)]
pub struct Retrier {
    settings: RetrySettings,
    budget: RetryBudget,
}

impl Retrier {
    /// Creates a retrier with an empty budget.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            budget: RetryBudget::new(settings.budget_pct),
        }
    }

    /// Applies new settings, keeping the accumulated budget.
    pub fn set_settings(&mut self, settings: RetrySettings) {
        self.settings = settings;
        self.budget.set_share_pct(settings.budget_pct);
    }

    /// Counts a request at its first attempt.
    pub fn on_request(&mut self) {
        self.budget.on_request();
    }

    /// Decides whether to retry after the failure of attempt number `attempts` (1 for the first),
    /// with `remaining_ms` left until the deadline. Consumes budget if the request is retried.
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

    /// Whether a concurrent second attempt may start. Consumes budget if so.
    ///
    /// `waited_ms` is the time since the first attempt started, `hedge_delay_ms` the time within
    /// which nearly all attempts get their first token.
    pub fn try_hedge(&mut self, is_idempotent: bool, waited_ms: u64, hedge_delay_ms: u64) -> bool {
        is_idempotent && waited_ms >= hedge_delay_ms && self.budget.try_take()
    }

    /// Returns the number of retries and hedges so far.
    pub fn retries(&self) -> u64 {
        self.budget.retries()
    }

    /// Returns a random wait (exponential backoff with full jitter), in milliseconds.
    fn backoff_ms(&self, attempts: u32, rng: &mut impl Rng) -> u64 {
        let doublings = attempts.saturating_sub(1).min(16);
        let bound_ms = self.settings.base_backoff_ms << doublings;
        rng.random_range(0..=bound_ms.min(self.settings.max_backoff_ms))
    }
}
