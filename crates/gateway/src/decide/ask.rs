//! Requests that ask for a place: placed at once, queued, or refused.

use super::{
    event::{Ask, Placed, Step, Target},
    state::{account_of, Configured, Open, State},
};
use crate::{
    in_force::InForce,
    refusal::{Cause, Refusal},
};
use carobwheel_core::{
    admit::{Entry, Next},
    id::VersionId,
    route::{self, Placement, Request, Wanted},
    time::Millis,
};
use rand::Rng;

/// Priority of calls to plain services.
const SERVICE_PRIORITY: u8 = 0;
/// Weight of requests on open routes, which share one queue.
const OPEN_WEIGHT: u32 = 1;

impl State {
    /// Answers `ask` now or puts it into its queue.
    pub(super) fn ask(&mut self, ask: Box<Ask>, now: Millis) {
        let Some(configured) = &mut self.configured else {
            refuse(
                ask,
                Refusal::not_run(Cause::NotReady, "no configuration yet"),
            );
            return;
        };
        if !configured.in_force.keys.is_valid(&ask.caller) {
            refuse(ask, withdrawn());
            return;
        }
        let bound = ask.bound_region.as_ref();
        if bound.is_some_and(|region| *region != self.identity.region) {
            self.forward_home(ask);
            return;
        }
        if ask.tried.is_empty() {
            configured.retrier.on_request();
        }
        if ask.charge.is_some() {
            self.seek_place(ask, now);
        } else {
            self.charge(ask, now);
        }
    }

    /// Places a request that has been charged, or queues it.
    pub(super) fn seek_place(&mut self, ask: Box<Ask>, now: Millis) {
        let Some(configured) = &mut self.configured else {
            return;
        };
        let placed = place(configured, &ask, now, &mut self.rng);
        match placed {
            // A request that finds others waiting takes its turn behind them.
            Ok(placement) if self.admit.is_empty() => self.start(*ask, &placement, now),
            Ok(_) => self.wait(ask, 0, now),
            Err(route::Refusal::Full { wait_ms }) => self.wait(ask, wait_ms, now),
            Err(refusal) => self.turn_away(ask, refusal_of(&refusal), now),
        }
    }

    fn wait(&mut self, ask: Box<Ask>, slot_wait_ms: u64, now: Millis) {
        let Some(configured) = &self.configured else {
            return;
        };
        let entry = entry(&configured.in_force, ask);
        match self.admit.enqueue(entry, slot_wait_ms, now) {
            Ok(()) => self.place_waiting(now),
            Err((entry, rejected)) => {
                let refusal = Refusal::not_run(Cause::Overloaded, rejected.to_string())
                    .retry_after(rejected.retry_after_ms());
                self.turn_away(entry.item, refusal, now);
            }
        }
    }

    /// Refuses a request that has been charged and gives its reservation back.
    fn turn_away(&mut self, ask: Box<Ask>, refusal: Refusal, now: Millis) {
        if let Some(charge) = ask.charge {
            self.uncharge(charge, 0, now);
        }
        refuse(ask, refusal);
    }

    /// Places waiting requests as far as there is room.
    pub(super) fn place_waiting(&mut self, now: Millis) {
        while !self.admit.is_empty() {
            let Some(configured) = &self.configured else {
                return;
            };
            let rng = &mut self.rng;
            let keys = &configured.in_force.keys;
            let next = self.admit.next(
                |entry| keys.is_valid(&entry.item.caller) && !entry.item.reply.is_closed(),
                |entry| place(configured, &entry.item, now, rng).ok(),
            );
            match next {
                Some(Next::Placed(entry, placement)) => self.start(*entry.item, &placement, now),
                Some(Next::Withdrawn(entry)) => self.turn_away(entry.item, withdrawn(), now),
                None => return,
            }
        }
    }

    /// Refuses the requests whose deadline has passed while they waited.
    pub(super) fn expire_waiting(&mut self, now: Millis) {
        for entry in self.admit.expire(now) {
            let message = "no upstream had room before the deadline";
            let refusal = Refusal::not_run(Cause::Overloaded, message);
            self.turn_away(entry.item, refusal, now);
        }
    }

    fn start(&mut self, ask: Ask, placement: &Placement, now: Millis) {
        let Some(configured) = &mut self.configured else {
            return;
        };
        let document = &configured.in_force.document;
        let spec = document
            .upstreams
            .iter()
            .find(|upstream| upstream.id == placement.upstream)
            .expect("a placement names an upstream of the document in force");
        let placed = Placed {
            ticket: self.last_ticket + 1,
            upstream: spec.id.clone(),
            url: spec.url.clone(),
            version: version(&configured.in_force, &ask).cloned(),
            priority: priority(&configured.in_force, &ask),
            charge: ask.charge,
        };
        let ticket = placed.ticket;
        // A caller that went away has dropped the receiving end and uses nothing.
        let charge = ask.charge;
        if ask.reply.send(Ok(Step::Dispatch(placed))).is_err() {
            if let Some(charge) = charge {
                self.uncharge(charge, 0, now);
            }
            return;
        }
        self.last_ticket = ticket;
        let open = Open {
            flight: configured.router.start(placement, now),
            upstream: placement.upstream.clone(),
        };
        let former = self.open.insert(ticket, open);
        assert!(former.is_none(), "each placement has a ticket of its own");
    }
}

fn withdrawn() -> Refusal {
    Refusal::not_run(Cause::InvalidKey, "the key has been withdrawn")
}

/// Refuses a request. The caller may have gone away, which makes the refusal moot.
pub(super) fn refuse(ask: Box<Ask>, refusal: Refusal) {
    let _ = ask.reply.send(Err(refusal));
}

fn place(
    configured: &Configured,
    ask: &Ask,
    now: Millis,
    rng: &mut impl Rng,
) -> Result<Placement, route::Refusal> {
    let in_force = &configured.in_force;
    let remaining_ms = ask.deadline.since(now);
    let (wanted, target) = match &ask.target {
        Target::Model { model, class } => {
            let version = version(in_force, ask).ok_or(route::Refusal::NoUpstream)?;
            let classes = &in_force.document.classes;
            let class = classes
                .iter()
                .find(|known| known.id == *class)
                .ok_or(route::Refusal::NoUpstream)?;
            let target = route::Target::of_class(class, remaining_ms);
            (Wanted::Model { model, version }, target)
        }
        Target::Service { service, .. } => {
            let target = route::Target::of_service(remaining_ms);
            (Wanted::Service(service), target)
        }
    };
    let request = Request {
        id: &ask.request,
        wanted,
        prompt_tokens: ask.prompt_tokens,
        max_output_tokens: ask.max_output_tokens,
        prefix_hashes: &ask.prefix,
        target,
        bound_region: ask.bound_region.as_ref(),
        hops: &ask.hops,
        tried: &ask.tried,
    };
    configured.router.place(&request, now, rng)
}

fn version<'a>(in_force: &'a InForce, ask: &Ask) -> Option<&'a VersionId> {
    match &ask.target {
        Target::Model { model, .. } => {
            let model = in_force.document.model(model.as_str())?;
            Some(&model.version)
        }
        Target::Service { .. } => None,
    }
}

fn priority(in_force: &InForce, ask: &Ask) -> u8 {
    match &ask.target {
        Target::Model { class, .. } => in_force
            .document
            .classes
            .iter()
            .find(|known| known.id == *class)
            .map_or(u8::MAX, |class| class.priority),
        Target::Service { .. } => SERVICE_PRIORITY,
    }
}

fn entry(in_force: &InForce, ask: Box<Ask>) -> Entry<Box<Ask>> {
    let account = account_of(&ask).cloned();
    let weight = account
        .as_ref()
        .and_then(|id| in_force.document.account(id))
        .map_or(OPEN_WEIGHT, |account| account.queue_weight);
    Entry {
        account,
        weight,
        priority: priority(in_force, &ask),
        cost_tokens: ask.prompt_tokens + ask.max_output_tokens,
        deadline: ask.deadline,
        item: ask,
    }
}

fn refusal_of(refusal: &route::Refusal) -> Refusal {
    let cause = match refusal {
        route::Refusal::OutsideBoundRegion(_) => Cause::WrongRegion,
        route::Refusal::NoUpstream => Cause::NoUpstream,
        route::Refusal::Full { .. } | route::Refusal::TooLate { .. } => Cause::Overloaded,
    };
    Refusal::not_run(cause, refusal.to_string())
}
