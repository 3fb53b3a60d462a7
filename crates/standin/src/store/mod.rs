//! A store that speaks the JSON mapping of the etcd v3 API.
