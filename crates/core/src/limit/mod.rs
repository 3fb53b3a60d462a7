//! Rate and burst of a client account: token buckets, parts and lending.
