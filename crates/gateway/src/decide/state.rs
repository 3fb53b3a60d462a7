//! All decision state of one instance.

use super::event::{Ask, Event, Placed, Settlement, Target};
use crate::{
    in_force::{Current, InForce},
    refusal::{Cause, Refusal},
    settings::Identity,
};
use carobwheel_core::{
    document::{Serves, Upstream},
    id::UpstreamId,
    time::Millis,
};
use std::{collections::HashMap, sync::Arc};

/// The state behind every decision.
pub(super) struct State {
    identity: Identity,
    current: Current,
    in_force: Option<Arc<InForce>>,
    in_flight: HashMap<UpstreamId, u64>,
    placed: HashMap<u64, UpstreamId>,
    last_ticket: u64,
}

impl State {
    pub(super) fn new(identity: Identity, current: Current) -> Self {
        Self {
            identity,
            current,
            in_force: None,
            in_flight: HashMap::new(),
            placed: HashMap::new(),
            last_ticket: 0,
        }
    }

    pub(super) fn handle(&mut self, event: Event, now: Millis) {
        match event {
            Event::Ask(ask) => self.ask(*ask, now),
            Event::FirstByte { .. } | Event::Leave => {}
            Event::Settle(settlement) => self.settle(settlement),
            Event::Document(next) => self.apply(next),
        }
    }

    pub(super) fn tick(&mut self, _now: Millis) {}

    fn apply(&mut self, next: Arc<InForce>) {
        let revision = self.in_force.as_ref().map(|in_force| in_force.revision);
        if revision.is_some_and(|revision| revision >= next.revision) {
            return;
        }
        log::info!(revision = next.revision; "document in force");
        self.current.replace(Arc::clone(&next));
        self.in_force = Some(next);
    }

    fn ask(&mut self, ask: Ask, _now: Millis) {
        let answer = self.place(&ask);
        // A caller that went away has dropped the receiving end; its place is given back.
        if let Err(Ok(placed)) = ask.reply.send(answer) {
            self.release(placed.ticket);
        }
    }

    fn place(&mut self, ask: &Ask) -> Result<Placed, Refusal> {
        let Some(in_force) = self.in_force.clone() else {
            return Err(Refusal::not_run(Cause::NotReady, "no configuration yet"));
        };
        if !in_force.keys.is_valid(&ask.caller) {
            return Err(Refusal::not_run(
                Cause::InvalidKey,
                "the key has been withdrawn",
            ));
        }
        let upstream = self
            .choose(&in_force, ask)
            .ok_or_else(|| Refusal::not_run(Cause::NoUpstream, "no upstream can serve this now"))?;
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.placed.insert(ticket, upstream.id.clone());
        *self.in_flight.entry(upstream.id.clone()).or_default() += 1;
        Ok(Placed {
            ticket,
            upstream: upstream.id.clone(),
            url: upstream.url.clone(),
            version: None,
            priority: 0,
        })
    }

    fn choose<'a>(&self, in_force: &'a InForce, ask: &Ask) -> Option<&'a Upstream> {
        let in_flight = |upstream: &Upstream| self.in_flight.get(&upstream.id).copied();
        in_force
            .document
            .upstreams
            .iter()
            .filter(|upstream| !upstream.leaving && serves(upstream, &ask.target))
            .filter(|upstream| !ask.tried.contains(&upstream.id))
            .filter(|upstream| {
                let bound = ask.bound_region.as_ref();
                bound.is_none_or(|region| *region == upstream.region)
            })
            .min_by_key(|upstream| {
                let is_away = upstream.region != self.identity.region;
                (is_away, in_flight(upstream).unwrap_or(0))
            })
    }

    fn settle(&mut self, settlement: Settlement) {
        self.release(settlement.ticket);
    }

    fn release(&mut self, ticket: u64) {
        let Some(upstream) = self.placed.remove(&ticket) else {
            return;
        };
        if let Some(count) = self.in_flight.get_mut(&upstream) {
            assert!(*count > 0, "a placement is released once");
            *count -= 1;
        }
    }
}

fn serves(upstream: &Upstream, target: &Target) -> bool {
    match (&upstream.serves, target) {
        (Serves::Engine { model: served, .. }, Target::Model { model, .. }) => served == model,
        (
            Serves::Service {
                service: served, ..
            },
            Target::Service { service, .. },
        ) => served == service,
        _ => false,
    }
}
