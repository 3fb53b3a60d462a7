//! Cases: the fault of the new version and the disturbances around it.

/// Time from which a fault occurs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Onset {
    /// From the first request.
    Immediate,
    /// From a random moment between the first step and the last.
    AtRandomTime,
    /// While the new version receives more than this number of requests per second.
    UnderLoad(u64),
}

/// Fault of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    /// No fault.
    None,
    /// This fraction of the requests fails.
    Fails(f64),
    /// The time to the first token is multiplied by this factor.
    SlowFirstToken(f64),
    /// The time between tokens is multiplied by this factor.
    SlowTokens(f64),
    /// Requests get no answer until they time out.
    Hangs,
}

/// Disturbances that do not depend on the version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Disturbances {
    /// Size of the swings and jumps of load and latency, as a fraction of the mean.
    pub(super) load_swing: f64,
    /// Fraction of the requests that fail on both versions for twenty seconds.
    pub(super) common_failure_ratio: f64,
    /// Whether the store is unavailable from the start until one minute after the deadline.
    pub(super) is_store_down: bool,
    /// Whether the last region is partitioned from the other regions and the store until one minute
    /// after the deadline.
    pub(super) is_partitioned: bool,
}

/// Case of a rollout to be simulated.
#[derive(Clone, Copy, Debug)]
pub(super) struct Case {
    pub(super) name: &'static str,
    pub(super) fault: Fault,
    pub(super) onset: Onset,
    /// Index of the only route with the fault; all routes if absent.
    pub(super) route: Option<usize>,
    pub(super) disturbances: Disturbances,
    /// Requests per second of the whole fleet.
    pub(super) requests_per_s: f64,
}

const REQUESTS_PER_S: f64 = 120.0;
const ORDINARY: Disturbances = Disturbances {
    load_swing: 0.4,
    common_failure_ratio: 0.0,
    is_store_down: false,
    is_partitioned: false,
};

const fn case(name: &'static str, fault: Fault, onset: Onset) -> Case {
    Case {
        name,
        fault,
        onset,
        route: None,
        disturbances: ORDINARY,
        requests_per_s: REQUESTS_PER_S,
    }
}

impl Case {
    const fn on_route(self, route: usize) -> Self {
        Self {
            route: Some(route),
            ..self
        }
    }

    const fn with_disturbances(self, disturbances: Disturbances) -> Self {
        Self {
            disturbances,
            ..self
        }
    }

    const fn at_rate(self, requests_per_s: f64) -> Self {
        Self {
            requests_per_s,
            ..self
        }
    }

    /// Returns whether the new version has a fault.
    pub(super) fn is_bad(&self) -> bool {
        self.fault != Fault::None
    }
}

const STORE_DOWN: Disturbances = Disturbances {
    is_store_down: true,
    ..ORDINARY
};
const PARTITIONED: Disturbances = Disturbances {
    is_partitioned: true,
    ..ORDINARY
};
const STEADY: Disturbances = Disturbances {
    load_swing: 0.0,
    ..ORDINARY
};
const COMMON_FAILURE: Disturbances = Disturbances {
    common_failure_ratio: 0.2,
    ..ORDINARY
};

/// All cases.
pub(super) const CASES: &[Case] = &[
    case("good, steady load", Fault::None, Onset::Immediate).with_disturbances(STEADY),
    case("good, load swings", Fault::None, Onset::Immediate),
    case("good, 30 requests/s", Fault::None, Onset::Immediate).at_rate(30.0),
    case(
        "good, both versions fail for a while",
        Fault::None,
        Onset::Immediate,
    )
    .with_disturbances(COMMON_FAILURE),
    case("good, store down", Fault::None, Onset::Immediate).with_disturbances(STORE_DOWN),
    case("good, partition", Fault::None, Onset::Immediate).with_disturbances(PARTITIONED),
    case("fails 100 %, at once", Fault::Fails(1.0), Onset::Immediate),
    case("fails 30 %, at once", Fault::Fails(0.3), Onset::Immediate),
    case("fails 2 %, at once", Fault::Fails(0.02), Onset::Immediate),
    case("fails 100 %, later", Fault::Fails(1.0), Onset::AtRandomTime),
    case("fails 30 %, later", Fault::Fails(0.3), Onset::AtRandomTime),
    case("fails 2 %, later", Fault::Fails(0.02), Onset::AtRandomTime),
    case(
        "fails 30 %, under load",
        Fault::Fails(0.3),
        Onset::UnderLoad(25),
    ),
    case(
        "fails 30 %, route of 25 %",
        Fault::Fails(0.3),
        Onset::Immediate,
    )
    .on_route(1),
    case(
        "fails 30 %, route of 5 %",
        Fault::Fails(0.3),
        Onset::Immediate,
    )
    .on_route(2),
    case("hangs, at once", Fault::Hangs, Onset::Immediate),
    case("hangs, later", Fault::Hangs, Onset::AtRandomTime),
    case(
        "3 times slower, at once",
        Fault::SlowFirstToken(3.0),
        Onset::Immediate,
    ),
    case(
        "1.5 times slower, at once",
        Fault::SlowFirstToken(1.5),
        Onset::Immediate,
    ),
    case(
        "3 times slower, later",
        Fault::SlowFirstToken(3.0),
        Onset::AtRandomTime,
    ),
    case(
        "1.5 times slower, later",
        Fault::SlowFirstToken(1.5),
        Onset::AtRandomTime,
    ),
    case(
        "3 times slower, under load",
        Fault::SlowFirstToken(3.0),
        Onset::UnderLoad(25),
    ),
    case(
        "3 times slower, route of 25 %",
        Fault::SlowFirstToken(3.0),
        Onset::Immediate,
    )
    .on_route(1),
    case(
        "tokens 1.5 times slower, later",
        Fault::SlowTokens(1.5),
        Onset::AtRandomTime,
    ),
    case(
        "fails 30 %, 30 requests/s",
        Fault::Fails(0.3),
        Onset::AtRandomTime,
    )
    .at_rate(30.0),
    case(
        "fails 30 %, store down",
        Fault::Fails(0.3),
        Onset::AtRandomTime,
    )
    .with_disturbances(STORE_DOWN),
    case(
        "3 times slower, store down",
        Fault::SlowFirstToken(3.0),
        Onset::AtRandomTime,
    )
    .with_disturbances(STORE_DOWN),
    case(
        "fails 30 %, partition",
        Fault::Fails(0.3),
        Onset::AtRandomTime,
    )
    .with_disturbances(PARTITIONED),
    case(
        "fails 2 %, partition",
        Fault::Fails(0.02),
        Onset::AtRandomTime,
    )
    .with_disturbances(PARTITIONED),
    case(
        "3 times slower, partition",
        Fault::SlowFirstToken(3.0),
        Onset::AtRandomTime,
    )
    .with_disturbances(PARTITIONED),
];
