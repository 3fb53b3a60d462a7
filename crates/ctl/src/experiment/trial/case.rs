//! Versions on trial, and the services that run them.

/// When a fault begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Onset {
    AtOnce,
    /// In the middle of the first phase.
    Later,
    /// With the shift of all traffic.
    AtShift,
}

/// A new version.
#[derive(Clone, Copy, Debug)]
pub(super) struct Version {
    pub(super) name: &'static str,
    /// Share of requests that fail from the onset on.
    pub(super) fail_share: f64,
    /// Factor on the response times from the onset on.
    pub(super) time_factor: f64,
    pub(super) onset: Onset,
    /// Share of requests that fail on both versions.
    pub(super) base_share: f64,
}

impl Version {
    pub(super) fn is_bad(&self) -> bool {
        self.fail_share > 0.0 || self.time_factor > 1.0
    }
}

const GOOD: Version = Version {
    name: "good",
    fail_share: 0.0,
    time_factor: 1.0,
    onset: Onset::AtOnce,
    base_share: 0.002,
};

const fn failing(name: &'static str, fail_share: f64, onset: Onset) -> Version {
    Version {
        name,
        fail_share,
        onset,
        ..GOOD
    }
}

pub(super) const VERSIONS: [Version; 14] = [
    failing("fails 100 %, at once", 1.0, Onset::AtOnce),
    failing("fails 100 %, later", 1.0, Onset::Later),
    failing("fails 100 %, at the shift", 1.0, Onset::AtShift),
    failing("fails 30 %, at once", 0.3, Onset::AtOnce),
    failing("fails 30 %, later", 0.3, Onset::Later),
    failing("fails 30 %, at the shift", 0.3, Onset::AtShift),
    failing("fails 12.5 %, at once", 0.125, Onset::AtOnce),
    failing("fails 12.5 %, later", 0.125, Onset::Later),
    failing("fails 12.5 %, at the shift", 0.125, Onset::AtShift),
    Version {
        name: "4 times slower, at once",
        time_factor: 4.0,
        ..GOOD
    },
    Version {
        name: "4 times slower, at the shift",
        time_factor: 4.0,
        onset: Onset::AtShift,
        ..GOOD
    },
    GOOD,
    Version {
        name: "good, 2 % of all fail",
        base_share: 0.02,
        ..GOOD
    },
    Version {
        name: "good, 14 % of all fail",
        base_share: 0.14,
        ..GOOD
    },
];

/// A service and the fleet before it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Setting {
    pub(super) requests_per_s: f64,
    pub(super) routes: u32,
    pub(super) instances: usize,
    pub(super) duration_ms: u64,
}

const USUAL: Setting = Setting {
    requests_per_s: 20.0,
    routes: 2,
    instances: 6,
    duration_ms: 12_000,
};

const fn at_rate(requests_per_s: f64) -> Setting {
    Setting {
        requests_per_s,
        ..USUAL
    }
}

const fn on_routes(routes: u32) -> Setting {
    Setting { routes, ..USUAL }
}

const fn with_instances(requests_per_s: f64, instances: usize) -> Setting {
    Setting {
        requests_per_s,
        instances,
        ..USUAL
    }
}

pub(super) const SETTINGS: [Setting; 15] = [
    at_rate(0.2),
    at_rate(2.0),
    at_rate(5.0),
    at_rate(10.0),
    USUAL,
    at_rate(200.0),
    at_rate(1_000.0),
    on_routes(1),
    on_routes(20),
    on_routes(200),
    with_instances(20.0, 3),
    with_instances(20.0, 64),
    with_instances(200.0, 64),
    with_instances(200.0, 371),
    Setting {
        duration_ms: 30_000,
        ..USUAL
    },
];
