//! The versions and the trouble of each case.

/// When a fault shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Onset {
    /// From the first request on.
    AtOnce,
    /// From a random moment between the first step and the last.
    Later,
    /// While the new version gets more requests a second than this.
    UnderLoad(u64),
}

/// What the new version does worse.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    /// Nothing.
    None,
    /// This part of the requests fails.
    Fails(f64),
    /// First tokens take this many times as long.
    SlowFirstToken(f64),
    /// Tokens follow each other this many times as slowly.
    SlowTokens(f64),
    /// Requests hang until they time out.
    Hangs,
}

/// What goes wrong around the versions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Trouble {
    /// Load and latency swing by this part, and jump now and then.
    pub(super) swing: f64,
    /// Both versions fail this part of their requests for twenty seconds.
    pub(super) common_failure: f64,
    /// The store is down from the start to a minute past the deadline.
    pub(super) is_store_down: bool,
    /// The last region hears no other one and no store until a minute past the deadline.
    pub(super) is_partitioned: bool,
}

/// One case.
#[derive(Clone, Copy, Debug)]
pub(super) struct Case {
    pub(super) name: &'static str,
    pub(super) fault: Fault,
    pub(super) onset: Onset,
    /// Index of the only route that the fault is on.
    pub(super) route: Option<usize>,
    pub(super) trouble: Trouble,
    /// Requests a second of the whole fleet.
    pub(super) requests_per_s: f64,
}

const REQUESTS_PER_S: f64 = 120.0;
const ORDINARY: Trouble = Trouble {
    swing: 0.4,
    common_failure: 0.0,
    is_store_down: false,
    is_partitioned: false,
};

const fn case(name: &'static str, fault: Fault, onset: Onset) -> Case {
    Case {
        name,
        fault,
        onset,
        route: None,
        trouble: ORDINARY,
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

    const fn in_trouble(self, trouble: Trouble) -> Self {
        Self { trouble, ..self }
    }

    const fn at_rate(self, requests_per_s: f64) -> Self {
        Self {
            requests_per_s,
            ..self
        }
    }

    /// Whether the new version is bad.
    pub(super) fn is_bad(&self) -> bool {
        self.fault != Fault::None
    }
}

const STORE_DOWN: Trouble = Trouble {
    is_store_down: true,
    ..ORDINARY
};
const PARTITIONED: Trouble = Trouble {
    is_partitioned: true,
    ..ORDINARY
};
const STEADY: Trouble = Trouble {
    swing: 0.0,
    ..ORDINARY
};
const COMMON: Trouble = Trouble {
    common_failure: 0.2,
    ..ORDINARY
};

/// All cases.
pub(super) const CASES: &[Case] = &[
    case("good, steady load", Fault::None, Onset::AtOnce).in_trouble(STEADY),
    case("good, load swings", Fault::None, Onset::AtOnce),
    case("good, 30 requests/s", Fault::None, Onset::AtOnce).at_rate(30.0),
    case(
        "good, both versions fail for a while",
        Fault::None,
        Onset::AtOnce,
    )
    .in_trouble(COMMON),
    case("good, store down", Fault::None, Onset::AtOnce).in_trouble(STORE_DOWN),
    case("good, partition", Fault::None, Onset::AtOnce).in_trouble(PARTITIONED),
    case("fails 100 %, at once", Fault::Fails(1.0), Onset::AtOnce),
    case("fails 30 %, at once", Fault::Fails(0.3), Onset::AtOnce),
    case("fails 2 %, at once", Fault::Fails(0.02), Onset::AtOnce),
    case("fails 100 %, later", Fault::Fails(1.0), Onset::Later),
    case("fails 30 %, later", Fault::Fails(0.3), Onset::Later),
    case("fails 2 %, later", Fault::Fails(0.02), Onset::Later),
    case(
        "fails 30 %, under load",
        Fault::Fails(0.3),
        Onset::UnderLoad(25),
    ),
    case(
        "fails 30 %, route of 25 %",
        Fault::Fails(0.3),
        Onset::AtOnce,
    )
    .on_route(1),
    case("fails 30 %, route of 5 %", Fault::Fails(0.3), Onset::AtOnce).on_route(2),
    case("hangs, at once", Fault::Hangs, Onset::AtOnce),
    case("hangs, later", Fault::Hangs, Onset::Later),
    case(
        "3 times slower, at once",
        Fault::SlowFirstToken(3.0),
        Onset::AtOnce,
    ),
    case(
        "1.5 times slower, at once",
        Fault::SlowFirstToken(1.5),
        Onset::AtOnce,
    ),
    case(
        "3 times slower, later",
        Fault::SlowFirstToken(3.0),
        Onset::Later,
    ),
    case(
        "1.5 times slower, later",
        Fault::SlowFirstToken(1.5),
        Onset::Later,
    ),
    case(
        "3 times slower, under load",
        Fault::SlowFirstToken(3.0),
        Onset::UnderLoad(25),
    ),
    case(
        "3 times slower, route of 25 %",
        Fault::SlowFirstToken(3.0),
        Onset::AtOnce,
    )
    .on_route(1),
    case(
        "tokens 1.5 times slower, later",
        Fault::SlowTokens(1.5),
        Onset::Later,
    ),
    case("fails 30 %, 30 requests/s", Fault::Fails(0.3), Onset::Later).at_rate(30.0),
    case("fails 30 %, store down", Fault::Fails(0.3), Onset::Later).in_trouble(STORE_DOWN),
    case(
        "3 times slower, store down",
        Fault::SlowFirstToken(3.0),
        Onset::Later,
    )
    .in_trouble(STORE_DOWN),
    case("fails 30 %, partition", Fault::Fails(0.3), Onset::Later).in_trouble(PARTITIONED),
    case("fails 2 %, partition", Fault::Fails(0.02), Onset::Later).in_trouble(PARTITIONED),
    case(
        "3 times slower, partition",
        Fault::SlowFirstToken(3.0),
        Onset::Later,
    )
    .in_trouble(PARTITIONED),
];
