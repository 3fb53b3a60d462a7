//! Forwarding of requests that another instance has to serve.

use super::{
    event::{NextHop, PlacementDecision, PlacementRequest},
    place::refuse,
    state::{account_of, State},
};
use crate::refusal::{Cause, Refusal};
use carobwheel_core::{
    id::{AccountId, RegionId},
    member::Identity,
    route::Hop,
    slot::{shard_of, Role, SlotId},
};
use rand::seq::IndexedRandom as _;

impl State {
    /// Forwards a request to an instance of the region that it is bound to.
    pub(super) fn forward_to_bound_region(&mut self, request: Box<PlacementRequest>) {
        let Some(region) = request.bound_region.clone() else {
            return;
        };
        let account = account_of(&request);
        let Some(next) = self.instance_in(&region, account) else {
            let message = format!("no instance of region `{region}` can be reached");
            let refusal = Refusal::not_run(Cause::WrongRegion, message).retry_after(1_000);
            refuse(request, refusal);
            return;
        };
        match request.hops.forward(Hop::AcrossRegions, &next.instance) {
            Ok(hops) => {
                let step = PlacementDecision::Forward(NextHop {
                    instance: next.instance,
                    addr: next.peer_addr,
                    hops,
                });
                // Sending fails only if the caller has disconnected.
                let _ = request.reply.send(Ok(step));
            }
            Err(fault) => {
                refuse(
                    request,
                    Refusal::not_run(Cause::WrongRegion, fault.to_string()),
                );
            }
        }
    }

    /// Returns the instance of `region` that owns the account's primary slot, or else a random one.
    fn instance_in(&mut self, region: &RegionId, account: Option<&AccountId>) -> Option<Identity> {
        let alive = self.members.alive_in(region);
        let owner = account.and_then(|account| {
            let slot = SlotId {
                region: region.clone(),
                shard: shard_of(account),
                role: Role::Primary,
            };
            self.slots.owners.get(&slot)
        });
        let is_owner =
            |identity: &&&Identity| owner.is_some_and(|owner| owner.instance == identity.instance);
        let chosen = alive
            .iter()
            .find(is_owner)
            .or_else(|| alive.choose(&mut self.rng))?;
        Some((*chosen).clone())
    }
}
