//! Bringing engines into the state that they are to be in.

use super::lease::{FencingNumber, MAX_ORDER_LATENCY_MS};
use crate::id::{ModelId, UpstreamId, VersionId};
use crate::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Time after an order at which the engine is read back, in milliseconds.
pub const READ_BACK_DELAY_MS: u64 = 1_000;
/// Time between two readings of an engine that is as it is to be, in milliseconds.
pub const REREAD_INTERVAL_MS: u64 = 30_000;

/// What an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Reads prompts and generates tokens.
    Serve,
    /// Reads prompts and hands the KV cache on.
    Prefill,
    /// Generates tokens from an imported KV cache.
    Decode,
    /// Stands by without work.
    Standby,
}

/// The state that an engine is to be in.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineTarget {
    /// Model to have loaded.
    pub model: ModelId,
    /// Version to have loaded.
    pub version: VersionId,
    /// Adapters to have loaded.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub adapters: BTreeSet<String>,
    /// Role to have.
    pub role: Role,
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The state that the engine is to be in.
    pub target: EngineTarget,
    /// Number of the issuer's lease.
    pub fencing_number: FencingNumber,
}

/// Answer of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineAnswer {
    /// The state that the engine is in.
    State(EngineTarget),
    /// The engine took the order.
    Accepted,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The call failed; an order may have arrived or may still arrive.
    Lost,
}

/// What the issuer asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IssuerEffect {
    /// Read the state of the engine.
    Read {
        /// Number of the call.
        call: u64,
        /// Engine to read.
        upstream: UpstreamId,
    },
    /// Send the order with the number that [`super::OrderLease::permit_send`] gives right then.
    Send {
        /// Number of the call.
        call: u64,
        /// Engine to order.
        upstream: UpstreamId,
        /// The state that the engine is to be in.
        target: EngineTarget,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Idle,
    Reading,
    Sending,
}

#[derive(Clone, Debug)]
struct Engine {
    target: EngineTarget,
    checks_fencing: bool,
    actual: Option<EngineTarget>,
    step: Step,
    call: u64,
    next_at: Millis,
    // Until then an order whose answer was lost may still arrive.
    settles_at: Millis,
}

/// The issuer of orders of one region; of use only while it holds the lease.
#[derive(Clone, Debug, Default)]
pub struct Issuer {
    engines: BTreeMap<UpstreamId, Engine>,
    call: u64,
    is_fenced: bool,
}

impl Issuer {
    /// Sets the state that an engine is to be in.
    pub fn set_target(
        &mut self,
        upstream: &UpstreamId,
        target: EngineTarget,
        checks_fencing: bool,
    ) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.target = target;
            engine.checks_fencing = checks_fencing;
            engine.next_at = Millis(0);
            return;
        }
        let engine = Engine {
            target,
            checks_fencing,
            actual: None,
            step: Step::Idle,
            call: 0,
            next_at: Millis(0),
            settles_at: Millis(0),
        };
        self.engines.insert(upstream.clone(), engine);
    }

    /// Forgets engines that are not in `upstreams`.
    pub fn retain(&mut self, upstreams: &BTreeSet<UpstreamId>) {
        self.engines
            .retain(|upstream, _| upstreams.contains(upstream));
    }

    /// Forgets what was read and in flight, for a new term of the lease.
    pub fn begin_term(&mut self, now: Millis) {
        self.is_fenced = false;
        for engine in self.engines.values_mut() {
            engine.actual = None;
            engine.step = Step::Idle;
            engine.call = 0;
            engine.next_at = now;
        }
    }

    /// Whether an engine has refused an order for a higher fencing number; the lease is lost.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Whether the engine was last seen as it is to be.
    pub fn is_settled(&self, upstream: &UpstreamId) -> bool {
        let engine = self.engines.get(upstream);
        engine.is_some_and(|engine| engine.actual.as_ref() == Some(&engine.target))
    }

    /// Whether the engine checks fencing numbers.
    pub fn checks_fencing(&self, upstream: &UpstreamId) -> bool {
        self.engines
            .get(upstream)
            .is_some_and(|engine| engine.checks_fencing)
    }

    /// The next calls, while the lease is held.
    pub fn tick(&mut self, now: Millis) -> Vec<IssuerEffect> {
        let mut effects = Vec::new();
        if self.is_fenced {
            return effects;
        }
        for (upstream, engine) in &mut self.engines {
            if engine.step != Step::Idle || now < engine.next_at {
                continue;
            }
            self.call += 1;
            engine.call = self.call;
            let is_known = engine.actual.is_some();
            let is_right = engine.actual.as_ref() == Some(&engine.target);
            if is_known && !is_right && now >= engine.settles_at {
                engine.step = Step::Sending;
                engine.settles_at = now.plus(MAX_ORDER_LATENCY_MS);
                effects.push(IssuerEffect::Send {
                    call: engine.call,
                    upstream: upstream.clone(),
                    target: engine.target.clone(),
                });
            } else {
                engine.step = Step::Reading;
                effects.push(IssuerEffect::Read {
                    call: engine.call,
                    upstream: upstream.clone(),
                });
            }
        }
        effects
    }

    /// Takes the answer of an engine to call `call`.
    pub fn step(&mut self, upstream: &UpstreamId, call: u64, answer: EngineAnswer, now: Millis) {
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        if call != engine.call || engine.step == Step::Idle {
            return;
        }
        let was_sending = engine.step == Step::Sending;
        engine.step = Step::Idle;
        engine.next_at = now.plus(READ_BACK_DELAY_MS);
        match answer {
            EngineAnswer::State(actual) => {
                let is_right = actual == engine.target;
                engine.actual = Some(actual);
                let delay_ms = if is_right { REREAD_INTERVAL_MS } else { 0 };
                engine.next_at =
                    now.plus(delay_ms)
                        .max(if is_right { now } else { engine.settles_at });
            }
            EngineAnswer::Accepted => {
                assert!(was_sending, "an engine accepts only orders");
                engine.actual = None;
                engine.settles_at = now;
            }
            EngineAnswer::Fenced => self.is_fenced = true,
            // A later order waits until this one can no longer arrive.
            EngineAnswer::Lost => {
                engine.actual = None;
                if was_sending {
                    engine.settles_at = now.plus(MAX_ORDER_LATENCY_MS);
                }
            }
        }
    }

    /// Takes note that an order was not sent, for want of a permit.
    pub fn not_sent(&mut self, upstream: &UpstreamId, call: u64, now: Millis) {
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        if call == engine.call && engine.step == Step::Sending {
            engine.step = Step::Idle;
            engine.settles_at = now;
            engine.next_at = now.plus(READ_BACK_DELAY_MS);
        }
    }
}
