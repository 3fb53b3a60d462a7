//! Health checks of one upstream: when one is due, and what its result says about a suspected
//! restart.

use crate::health_check::Warmth;
use carobwheel_core::time::Millis;

/// Time from the first check of a suspicion to the second, in milliseconds; it doubles with each
/// further one.
const FIRST_REPEAT_MS: u64 = 200;
/// Upper bound of that time, in milliseconds.
const MAX_REPEAT_MS: u64 = 1_000;
/// Minimum time between two checks of one upstream, in milliseconds. Bounds the checks of one that
/// breaks off many answers.
const MIN_INTERVAL_MS: u64 = 20;
/// The same for checks of an upstream that has ended idle connections. Bounds the checks of one that closes each
/// connection after its response.
const IDLE_END_INTERVAL_MS: u64 = 500;
/// Remaining cold time at which an instance that does not use the cold upstream repeats its check, in
/// milliseconds. Without an answer the upstream must not come to count as warm.
const RENEW_LEFT_MS: u64 = 500;

/// Result of a check as it changes what is known of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckEnd {
    /// The upstream is warm.
    Warm,
    /// The upstream stays cold for this many milliseconds.
    Cold(u64),
    /// An upstream that may have restarted did not answer.
    NoAnswer,
    /// Nothing is learned.
    Nothing,
}

/// Suspicion that the process of an upstream has ended.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    next_at: Millis,
    repeat_ms: u64,
    has_asked: bool,
}

/// Health checks of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct HealthChecks {
    is_running: bool,
    /// Whether the check in progress was started before the suspicion.
    is_outdated: bool,
    /// Start of the last check.
    asked_at: Option<Millis>,
    /// Start of the last check that was answered.
    answered_at: Option<Millis>,
    /// Last response that said that the upstream is warm.
    warm_at: Option<Millis>,
    suspicion: Option<Suspicion>,
}

impl HealthChecks {
    /// Suspects a restart, unless one is suspected already. Returns whether that is new.
    pub fn suspect(&mut self, now: Millis) -> bool {
        self.suspicion.is_none() && self.connection_lost(now)
    }

    /// Suspects a restart since a connection broke just now: no earlier check answers that. Returns
    /// whether none was suspected before.
    pub fn connection_lost(&mut self, now: Millis) -> bool {
        self.suspect_after(MIN_INTERVAL_MS, now)
    }

    /// Suspects a restart since idle connections have ended, unless one is suspected already. Returns whether
    /// that is new.
    pub fn idle_connections_ended(&mut self, now: Millis) -> bool {
        self.suspicion.is_none() && self.suspect_after(IDLE_END_INTERVAL_MS, now)
    }

    fn suspect_after(&mut self, min_interval_ms: u64, now: Millis) -> bool {
        self.is_outdated = self.is_running;
        let earliest = self.asked_at.map(|at| at.plus(min_interval_ms));
        let suspicion = Suspicion {
            next_at: earliest.map_or(now, |at| at.max(now)),
            repeat_ms: FIRST_REPEAT_MS,
            has_asked: false,
        };
        self.suspicion.replace(suspicion).is_none()
    }

    /// Whether a restart is suspected and no check has answered that yet.
    pub fn is_suspected(&self) -> bool {
        self.suspicion.is_some()
    }

    /// Whether a check is due for a suspicion. Instances that do not use the cold upstream ask once,
    /// and again when its cold time is about to end.
    pub fn is_restart_check_due(
        &self,
        is_user: impl FnOnce() -> bool,
        cold_left_ms: u64,
        now: Millis,
    ) -> bool {
        let due = self.suspicion.filter(|known| now >= known.next_at);
        let Some(suspicion) = due.filter(|_| !self.is_running) else {
            return false;
        };
        !suspicion.has_asked || cold_left_ms <= RENEW_LEFT_MS || is_user()
    }

    /// Makes a check due at once if a restart is suspected: the upstream may be in reach again.
    pub fn ask_again(&mut self, now: Millis) {
        let earliest = self.asked_at.map(|at| at.plus(MIN_INTERVAL_MS));
        if let Some(suspicion) = &mut self.suspicion {
            suspicion.has_asked = false;
            suspicion.next_at = earliest.map_or(now, |at| at.max(now));
        }
    }

    /// Whether a check is due at this interval.
    pub fn is_due(&self, interval_ms: u64, now: Millis) -> bool {
        let is_over = |at: Millis| now.since(at) >= interval_ms;
        !self.is_running && self.asked_at.is_none_or(is_over)
    }

    /// Records the start of a check.
    pub fn start(&mut self, now: Millis) {
        self.is_running = true;
        self.is_outdated = false;
        self.asked_at = Some(now);
        if let Some(suspicion) = &mut self.suspicion {
            suspicion.has_asked = true;
            suspicion.next_at = now.plus(suspicion.repeat_ms);
            suspicion.repeat_ms = (2 * suspicion.repeat_ms).min(MAX_REPEAT_MS);
        }
    }

    /// Gives up the check in progress: its result may not arrive.
    pub fn abandon(&mut self) {
        self.is_running = false;
    }

    /// Records the result of the check in progress.
    pub fn finish(&mut self, warmth: Warmth, now: Millis) -> CheckEnd {
        self.is_running = false;
        if std::mem::take(&mut self.is_outdated) {
            return CheckEnd::Nothing;
        }
        if warmth != Warmth::NoAnswer {
            self.answered_at = self.asked_at;
        }
        match warmth {
            Warmth::Warm => {
                self.warm_at = Some(now);
                self.suspicion = None;
                CheckEnd::Warm
            }
            Warmth::Cold(left_ms) => {
                self.warm_at = None;
                self.suspicion = None;
                CheckEnd::Cold(left_ms)
            }
            Warmth::NoAnswer if self.suspicion.is_some() => CheckEnd::NoAnswer,
            Warmth::NoAnswer => CheckEnd::Nothing,
            // Whoever answers there will not say more: the assumption lapses by itself.
            Warmth::Unknown => {
                self.suspicion = None;
                CheckEnd::Nothing
            }
        }
    }

    /// Whether a check that was started after `since` was answered.
    pub fn is_answered_after(&self, since: Millis) -> bool {
        self.answered_at.is_some_and(|at| at > since)
    }

    /// Whether a check has confirmed within the last `ms` milliseconds that the upstream is warm.
    pub fn is_confirmed_within(&self, ms: u64, now: Millis) -> bool {
        self.warm_at.is_some_and(|at| now.since(at) < ms)
    }
}
