//! Placement of requests: each is placed at once, queued or refused.

use super::{
    event::{Assignment, PlacementDecision, PlacementRequest, PlacementTarget},
    limits::ClosedUpstreams,
    rollouts::{Rollouts, TrialRequest},
    state::{account_of, ActivePlacement, Configured, State},
};
use crate::{
    in_force::ActiveDocument,
    refusal::{Cause, Refusal},
};
use carobwheel_core::{
    admit::{Dequeued, QueuedRequest},
    id::{ModelId, UpstreamId, VersionId},
    route::{self, Placement, Request, Requirement},
    slot::TOLERATED_PAUSE_MS,
    time::{Millis, UnixMillis},
};
use rand::Rng;

/// Priority of requests to plain services.
const SERVICE_PRIORITY: u8 = 0;
/// Queue weight of requests on open routes, which share one queue.
const OPEN_ROUTE_WEIGHT: u32 = 1;

impl State {
    /// Answers a placement request, or lets it wait for tokens or for an upstream.
    pub(super) fn on_placement_request(&mut self, request: Box<PlacementRequest>, now: Millis) {
        let Some(configured) = &mut self.configured else {
            refuse(
                request,
                Refusal::not_run(Cause::NotReady, "no configuration yet"),
            );
            return;
        };
        if !configured.in_force.keys.is_valid(&request.caller) {
            refuse(request, key_withdrawn());
            return;
        }
        let bound = request.bound_region.as_ref();
        if bound.is_some_and(|region| *region != self.identity.region) {
            self.forward_to_bound_region(request);
            return;
        }
        if request.tried.is_empty() {
            configured.retrier.on_request();
        }
        if let Some(refusal) = self.refusal_of_held(&request, now) {
            self.reject(request, refusal, now);
        } else if request.charge.is_some() {
            self.place_or_queue(request, now);
        } else {
            self.charge(request, now);
        }
    }

    /// Places a charged request at an upstream, or queues it if none has room.
    pub(super) fn place_or_queue(&mut self, request: Box<PlacementRequest>, now: Millis) {
        let unix_now = self.unix_now();
        let closed = self.closed_upstreams(now);
        let Some(configured) = &self.configured else {
            return;
        };
        let context = PlacementContext {
            configured,
            closed: &closed,
            rollouts: &self.rollouts,
            unix_now,
            now,
        };
        let placed = context.place(&request, &mut self.rng);
        match placed {
            // Requests that are already queued go first.
            Ok(placement) if self.queues.is_empty() => self.start(request, placement, now),
            Ok(_) => self.enqueue(request, 0, now),
            Err(route::Refusal::Full { wait_ms }) => self.enqueue(request, wait_ms, now),
            Err(refusal) => self.reject(request, refusal_of(&refusal), now),
        }
    }

    fn enqueue(&mut self, request: Box<PlacementRequest>, slot_wait_ms: u64, now: Millis) {
        let Some(configured) = &self.configured else {
            return;
        };
        let entry = queue_entry(&configured.in_force, request);
        match self.queues.enqueue(entry, slot_wait_ms, now) {
            Ok(()) => self.place_waiting(now),
            Err((entry, rejected)) => {
                let refusal = Refusal::not_run(Cause::Overloaded, rejected.to_string())
                    .retry_after(rejected.retry_after_ms());
                self.reject(entry.item, refusal, now);
            }
        }
    }

    /// Refuses a charged request and refunds its reservation.
    pub(super) fn reject(&mut self, request: Box<PlacementRequest>, refusal: Refusal, now: Millis) {
        if let Some(charge) = request.charge {
            self.settle_charge(charge, 0, now);
        }
        refuse(request, refusal);
    }

    /// Places queued requests until no upstream has room.
    pub(super) fn place_waiting(&mut self, now: Millis) {
        let unix_now = self.unix_now();
        while !self.queues.is_empty() {
            let closed = self.closed_upstreams(now);
            let Some(configured) = &self.configured else {
                return;
            };
            let context = PlacementContext {
                configured,
                closed: &closed,
                rollouts: &self.rollouts,
                unix_now,
                now,
            };
            let rng = &mut self.rng;
            let keys = &configured.in_force.keys;
            let next = self.queues.dequeue(
                |entry| keys.is_valid(&entry.item.caller) && !entry.item.reply.is_closed(),
                |entry| context.place(&entry.item, rng).ok(),
            );
            match next {
                Some(Dequeued::Placed(entry, chosen)) => self.start(entry.item, chosen, now),
                Some(Dequeued::Withdrawn(entry)) => self.reject(entry.item, key_withdrawn(), now),
                None => return,
            }
        }
    }

    /// Refuses queued requests whose deadline has passed.
    pub(super) fn expire_waiting(&mut self, now: Millis) {
        for entry in self.queues.expire(now) {
            let message = "no upstream had room before the deadline";
            let refusal = Refusal::not_run(Cause::Overloaded, message);
            self.reject(entry.item, refusal, now);
        }
    }

    fn start(&mut self, request: Box<PlacementRequest>, chosen: PlacementChoice, now: Millis) {
        let Some(request) = self.pass_gate(request, now) else {
            return;
        };
        let PlacementChoice {
            placement,
            version,
            mut trial,
        } = chosen;
        let Some(configured) = &mut self.configured else {
            return;
        };
        let document = &configured.in_force.document;
        let spec = document
            .upstreams
            .iter()
            .find(|upstream| upstream.id == placement.upstream)
            .expect("a placement names an upstream of the document in force");
        let assignment = Assignment {
            ticket: self.last_ticket + 1,
            upstream: spec.id.clone(),
            url: spec.url.clone(),
            version,
            priority: priority(&configured.in_force, &request),
            send_before: now.plus(TOLERATED_PAUSE_MS / 2),
            charge: request.charge,
        };
        let ticket = assignment.ticket;
        // The receiver is dropped when the caller disconnects; such a request uses no tokens.
        let charge = request.charge;
        if request
            .reply
            .send(Ok(PlacementDecision::Dispatch(assignment)))
            .is_err()
        {
            if let Some(charge) = charge {
                self.settle_charge(charge, 0, now);
            }
            return;
        }
        self.last_ticket = ticket;
        if let Some(trial) = &mut trial {
            self.rollouts.begin(trial, now);
        }
        self.crashes.sent(&request.parts, now);
        let upstream = placement.upstream.clone();
        let active = ActivePlacement {
            request_id: request.id,
            waits_for_output: !request.parts.is_empty(),
            parts: request.parts,
            attempt: configured.router.start(&placement, now),
            upstream: placement.upstream,
            trial,
        };
        let former = self.active.insert(ticket, active);
        assert!(former.is_none(), "placement tickets are unique");
        self.record_limited_send(&upstream, now);
    }
}

pub(super) fn key_withdrawn() -> Refusal {
    Refusal::not_run(Cause::InvalidKey, "the key has been withdrawn")
}

/// Refuses a request. Has no effect if the caller has disconnected.
pub(super) fn refuse(request: Box<PlacementRequest>, refusal: Refusal) {
    let _ = request.reply.send(Err(refusal));
}

/// Upstream chosen for a request, with the model version and its rollout trial.
struct PlacementChoice {
    placement: Placement,
    version: Option<VersionId>,
    trial: Option<TrialRequest>,
}

/// Inputs of a placement decision.
struct PlacementContext<'a> {
    configured: &'a Configured,
    closed: &'a ClosedUpstreams,
    rollouts: &'a Rollouts,
    unix_now: UnixMillis,
    now: Millis,
}

impl PlacementContext<'_> {
    fn place(
        &self,
        request: &PlacementRequest,
        rng: &mut impl Rng,
    ) -> Result<PlacementChoice, route::Refusal> {
        let remaining_ms = request.deadline.since(self.now);
        match &request.target {
            PlacementTarget::Model { model, class } => {
                let document = &self.configured.in_force.document;
                let (version, trial) = self
                    .rollouts
                    .version(document, request, self.unix_now, self.now)
                    .ok_or(route::Refusal::NoUpstream)?;
                let class = document
                    .classes
                    .iter()
                    .find(|known| known.id == *class)
                    .ok_or(route::Refusal::NoUpstream)?;
                let target = route::LatencyTarget::of_class(class, remaining_ms);
                let requirement = Requirement::Model {
                    model,
                    version: &version,
                };
                match self.choose_upstream(request, requirement, target, rng) {
                    Ok(placement) => Ok(PlacementChoice {
                        placement,
                        version: Some(version),
                        trial,
                    }),
                    Err(_) if trial.as_ref().is_some_and(TrialRequest::is_of_new_version) => {
                        self.place_on_old_version(request, model, target, rng)
                    }
                    Err(refusal) => Err(refusal),
                }
            }
            PlacementTarget::Service { service, .. } => {
                let target = route::LatencyTarget::of_service(remaining_ms);
                let placement =
                    self.choose_upstream(request, Requirement::Service(service), target, rng)?;
                Ok(PlacementChoice {
                    placement,
                    version: None,
                    trial: None,
                })
            }
        }
    }

    /// Places a request on the old version if the new version has no room.
    fn place_on_old_version(
        &self,
        request: &PlacementRequest,
        model: &ModelId,
        target: route::LatencyTarget,
        rng: &mut impl Rng,
    ) -> Result<PlacementChoice, route::Refusal> {
        let version = self
            .rollouts
            .old_version(model)
            .ok_or(route::Refusal::NoUpstream)?;
        let requirement = Requirement::Model {
            model,
            version: &version,
        };
        let placement = self.choose_upstream(request, requirement, target, rng)?;
        Ok(PlacementChoice {
            placement,
            version: Some(version),
            trial: None,
        })
    }

    fn choose_upstream(
        &self,
        request: &PlacementRequest,
        requirement: Requirement<'_>,
        target: route::LatencyTarget,
        rng: &mut impl Rng,
    ) -> Result<Placement, route::Refusal> {
        let place = |tried: &[UpstreamId], rng: &mut _| {
            let route_request = Request {
                id: &request.id,
                requirement,
                prompt_tokens: request.prompt_tokens,
                max_output_tokens: request.max_output_tokens,
                prefix_hashes: &request.prefix,
                target,
                bound_region: request.bound_region.as_ref(),
                hops: &request.hops,
                tried,
            };
            self.configured.router.place(&route_request, self.now, rng)
        };
        if self.closed.ids.is_empty() {
            return place(&request.tried, rng);
        }
        let excluded = [request.tried.as_slice(), self.closed.ids.as_slice()].concat();
        let placed = place(&excluded, rng);
        let wait_ms = self.closed.wait_ms;
        let is_kept_by_limits = matches!(placed, Err(route::Refusal::NoUpstream));
        if is_kept_by_limits && wait_ms > 0 && place(&request.tried, rng).is_ok() {
            return Err(route::Refusal::Full { wait_ms });
        }
        placed
    }
}

fn priority(in_force: &ActiveDocument, request: &PlacementRequest) -> u8 {
    match &request.target {
        PlacementTarget::Model { class, .. } => in_force
            .document
            .classes
            .iter()
            .find(|known| known.id == *class)
            .map_or(u8::MAX, |class| class.priority),
        PlacementTarget::Service { .. } => SERVICE_PRIORITY,
    }
}

fn queue_entry(
    in_force: &ActiveDocument,
    request: Box<PlacementRequest>,
) -> QueuedRequest<Box<PlacementRequest>> {
    let account = account_of(&request).cloned();
    let weight = account
        .as_ref()
        .and_then(|id| in_force.document.account(id))
        .map_or(OPEN_ROUTE_WEIGHT, |account| account.queue_weight);
    QueuedRequest {
        account,
        weight,
        priority: priority(in_force, &request),
        cost_tokens: request.prompt_tokens + request.max_output_tokens,
        deadline: request.deadline,
        item: request,
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
