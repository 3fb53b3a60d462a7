//! The request path of a deployment whose upstreams register themselves.
//!
//! Requests and responses are proxied byte for byte. Routes, services, accounts, upstreams and
//! rollout orders come from the deployment's store through an adapter, which also provides the
//! header names. The modules that take decisions (`admission`, `capacity`, `place`, `limit`, `retry`, `cold`, `rollout`,
//! `member`, `upstream`) perform no network access and read no clock.

pub mod admission;
pub mod capacity;
pub mod cold;
pub mod crash;
pub mod daemon;
pub mod dispatch;
pub mod front;
pub mod hash;
pub mod health_check;
pub mod limit;
pub mod log;
pub mod member;
pub mod metrics;
pub mod model;
pub mod names;
pub mod node;
pub mod peers;
pub mod pipeline;
pub mod place;
pub mod rate;
pub mod relay;
pub mod retry;
pub mod rollout;
pub mod settings;
pub mod store;
pub mod upstream;
