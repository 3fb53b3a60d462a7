//! Messages between instances and the published formats of the platform and the upstreams.

pub mod etcd;
pub mod openai;
pub mod peer;
pub mod platform;
