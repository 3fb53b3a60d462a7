//! Reconciliation of engines with their target state.

use super::lease::MAX_ORDER_LATENCY_MS;
use crate::id::{ModelId, UpstreamId, VersionId};
use crate::lease::FencingNumber;
use crate::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Delay between an accepted or failed call and the next reading of the engine, in milliseconds.
pub const READ_BACK_DELAY_MS: u64 = 1_000;
/// Time between two readings of an engine that is in its target state, in milliseconds.
pub const REREAD_INTERVAL_MS: u64 = 30_000;

/// Role of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefills prompts and generates tokens.
    Serve,
    /// Prefills prompts and exports the KV cache.
    Prefill,
    /// Generates tokens from an imported KV cache.
    Decode,
    /// Idle in reserve.
    Standby,
}

/// Target state of an engine; also used for its actual state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineTarget {
    /// Loaded model.
    pub model: ModelId,
    /// Loaded version of the model.
    pub version: VersionId,
    /// Loaded adapters.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub adapters: BTreeSet<String>,
    /// Role of the engine.
    pub role: Role,
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Target state of the engine.
    pub target: EngineTarget,
    /// Fencing number of the issuer's lease.
    pub fencing_number: FencingNumber,
}

/// Result of a call to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineAnswer {
    /// Actual state of the engine.
    State(EngineTarget),
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order because it has seen a higher fencing number.
    Fenced,
    /// The call failed; an order may have arrived, or may still arrive.
    Lost,
}

/// Call that the user of [`Issuer`] has to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IssuerEffect {
    /// Read the state of the engine.
    Read {
        /// Number of the call.
        call: u64,
        /// Engine to read.
        upstream: UpstreamId,
    },
    /// Send the order with the fencing number that [`super::OrderLease::permit_send`] returns
    /// immediately before sending.
    Send {
        /// Number of the call.
        call: u64,
        /// Engine that receives the order.
        upstream: UpstreamId,
        /// Target state of the engine.
        target: EngineTarget,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPhase {
    Idle,
    Reading,
    Sending,
}

#[derive(Clone, Debug)]
struct Engine {
    target: EngineTarget,
    checks_fencing: bool,
    actual: Option<EngineTarget>,
    phase: CallPhase,
    call: u64,
    next_call_at: Millis,
    // Time until which an order whose result is unknown may still arrive.
    order_arrives_by: Millis,
}

/// Issuer of the orders of one region; used only while its instance holds the lease.
#[derive(Clone, Debug, Default)]
pub struct Issuer {
    engines: BTreeMap<UpstreamId, Engine>,
    call: u64,
    is_fenced: bool,
}

impl Issuer {
    /// Sets the target state of an engine.
    pub fn set_target(
        &mut self,
        upstream: &UpstreamId,
        target: EngineTarget,
        checks_fencing: bool,
    ) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.target = target;
            engine.checks_fencing = checks_fencing;
            engine.next_call_at = Millis(0);
            return;
        }
        let engine = Engine {
            target,
            checks_fencing,
            actual: None,
            phase: CallPhase::Idle,
            call: 0,
            next_call_at: Millis(0),
            order_arrives_by: Millis(0),
        };
        self.engines.insert(upstream.clone(), engine);
    }

    /// Removes all engines that are not in `upstreams`.
    pub fn retain(&mut self, upstreams: &BTreeSet<UpstreamId>) {
        self.engines
            .retain(|upstream, _| upstreams.contains(upstream));
    }

    /// Discards actual states and outstanding calls at the start of a new lease term.
    pub fn begin_term(&mut self, now: Millis) {
        self.is_fenced = false;
        for engine in self.engines.values_mut() {
            engine.actual = None;
            engine.phase = CallPhase::Idle;
            engine.call = 0;
            engine.next_call_at = now;
        }
    }

    /// Returns whether an engine has refused an order because of a higher fencing number, which means
    /// that the lease is lost.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Returns whether the engine was in its target state when it was last read.
    pub fn is_settled(&self, upstream: &UpstreamId) -> bool {
        let engine = self.engines.get(upstream);
        engine.is_some_and(|engine| engine.actual.as_ref() == Some(&engine.target))
    }

    /// Returns whether the engine checks fencing numbers.
    pub fn checks_fencing(&self, upstream: &UpstreamId) -> bool {
        self.engines
            .get(upstream)
            .is_some_and(|engine| engine.checks_fencing)
    }

    /// Returns the calls that are due. Call it only while the lease is held.
    pub fn tick(&mut self, now: Millis) -> Vec<IssuerEffect> {
        let mut effects = Vec::new();
        if self.is_fenced {
            return effects;
        }
        for (upstream, engine) in &mut self.engines {
            if engine.phase != CallPhase::Idle || now < engine.next_call_at {
                continue;
            }
            self.call += 1;
            engine.call = self.call;
            let is_known = engine.actual.is_some();
            let is_on_target = engine.actual.as_ref() == Some(&engine.target);
            if is_known && !is_on_target && now >= engine.order_arrives_by {
                engine.phase = CallPhase::Sending;
                engine.order_arrives_by = now.plus(MAX_ORDER_LATENCY_MS);
                effects.push(IssuerEffect::Send {
                    call: engine.call,
                    upstream: upstream.clone(),
                    target: engine.target.clone(),
                });
            } else {
                engine.phase = CallPhase::Reading;
                effects.push(IssuerEffect::Read {
                    call: engine.call,
                    upstream: upstream.clone(),
                });
            }
        }
        effects
    }

    /// Handles the result of call `call` to an engine.
    pub fn step(&mut self, upstream: &UpstreamId, call: u64, answer: EngineAnswer, now: Millis) {
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        if call != engine.call || engine.phase == CallPhase::Idle {
            return;
        }
        let was_sending = engine.phase == CallPhase::Sending;
        engine.phase = CallPhase::Idle;
        engine.next_call_at = now.plus(READ_BACK_DELAY_MS);
        match answer {
            EngineAnswer::State(actual) => {
                let is_on_target = actual == engine.target;
                engine.actual = Some(actual);
                let delay_ms = if is_on_target { REREAD_INTERVAL_MS } else { 0 };
                engine.next_call_at = now.plus(delay_ms).max(if is_on_target {
                    now
                } else {
                    engine.order_arrives_by
                });
            }
            EngineAnswer::Accepted => {
                assert!(was_sending, "an engine accepts only orders");
                engine.actual = None;
                engine.order_arrives_by = now;
            }
            EngineAnswer::Fenced => self.is_fenced = true,
            // The next order has to wait until this one can no longer arrive.
            EngineAnswer::Lost => {
                engine.actual = None;
                if was_sending {
                    engine.order_arrives_by = now.plus(MAX_ORDER_LATENCY_MS);
                }
            }
        }
    }

    /// Reports that an order was not sent because the lease did not permit it.
    pub fn not_sent(&mut self, upstream: &UpstreamId, call: u64, now: Millis) {
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        if call == engine.call && engine.phase == CallPhase::Sending {
            engine.phase = CallPhase::Idle;
            engine.order_arrives_by = now;
            engine.next_call_at = now.plus(READ_BACK_DELAY_MS);
        }
    }
}
