//! Wire formats: the messages between instances, and the published formats of the store, the
//! platform and the upstreams.

pub mod etcd;
pub mod openai;
pub mod peer;
pub mod platform;
