//! All decision state of one instance.

use super::event::{Ask, Event};
use crate::{
    in_force::{Current, InForce},
    settings::Identity,
};
use carobwheel_core::{
    admit::{Admit, AdmitSettings},
    id::{AccountId, UpstreamId},
    retry::{Outliers, Retrier, RetrySettings},
    route::{FlightId, Router},
    time::{Clock, Millis},
};
use rand::{rngs::StdRng, SeedableRng as _};
use std::{collections::HashMap, sync::Arc};

const EXPIRY_PERIOD_MS: u64 = 250;

/// A placement that has not been settled.
pub(super) struct Open {
    pub(super) flight: FlightId,
    pub(super) upstream: UpstreamId,
}

/// What depends on a document being in force.
pub(super) struct Configured {
    pub(super) in_force: Arc<InForce>,
    pub(super) router: Router,
    pub(super) retrier: Retrier,
    pub(super) outliers: Outliers,
}

/// The state behind every decision.
pub(super) struct State {
    pub(super) identity: Identity,
    pub(super) current: Current,
    pub(super) configured: Option<Configured>,
    pub(super) admit: Admit<Box<Ask>>,
    pub(super) open: HashMap<u64, Open>,
    pub(super) last_ticket: u64,
    pub(super) rng: StdRng,
    clock: Clock,
    expired_at: Millis,
}

impl State {
    pub(super) fn new(identity: Identity, clock: Clock, current: Current) -> Self {
        Self {
            identity,
            current,
            configured: None,
            admit: Admit::new(AdmitSettings::default()),
            open: HashMap::new(),
            last_ticket: 0,
            rng: StdRng::from_os_rng(),
            clock,
            expired_at: Millis::default(),
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Ask(ask) => self.ask(ask, now),
            Event::FirstByte { ticket } => self.first_byte(ticket, now),
            Event::Progress {
                ticket,
                output_tokens,
            } => self.progress(ticket, output_tokens, now),
            Event::Settle(settlement) => self.settle(&settlement, now),
            Event::MayRetry(question) => self.may_retry(*question, now),
            Event::Document(next) => self.apply(next, now),
            Event::Leave => {}
        }
    }

    /// Work that is due by time alone.
    pub(super) fn tick(&mut self) {
        let now = self.clock.now();
        if now.since(self.expired_at) < EXPIRY_PERIOD_MS {
            return;
        }
        self.expired_at = now;
        self.expire_waiting(now);
        self.bring_back(now);
        self.place_waiting(now);
    }

    fn bring_back(&mut self, now: Millis) {
        let Some(configured) = &mut self.configured else {
            return;
        };
        let back = configured.outliers.expire(now);
        configured.heed(back, now);
        configured.router.expire(now);
    }
}

/// Retry settings of a document.
pub(super) fn retry_settings(in_force: &InForce) -> RetrySettings {
    RetrySettings::with_budget_pct(in_force.document.policy.retry_budget_pct)
}

/// Account that a request runs for.
pub(super) fn account_of(ask: &Ask) -> Option<&AccountId> {
    match &ask.caller {
        carobwheel_core::identity::Caller::Account(credential) => Some(&credential.account),
        carobwheel_core::identity::Caller::Open => None,
    }
}
