//! JSON mapping of the etcd v3 API, as far as the store client uses it.
