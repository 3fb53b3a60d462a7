//! Counters of outcomes by version, route and region, merged between instances.
