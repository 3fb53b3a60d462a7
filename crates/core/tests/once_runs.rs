//! Randomised simulations of at-most-once actions with races, pauses, crashes and lost responses.

mod once_world;

use once_world::{run, Counts, FaultRates, InjectedBug};
use std::panic::{catch_unwind, AssertUnwindSafe};
use test_case::test_case;

const FREQUENT_FAULTS: FaultRates = FaultRates {
    store_call_lost: 0.3,
    connect_failed: 0.2,
    response_lost: 0.2,
    has_failures: true,
    deduplicates: false,
};
const NO_FAULTS: FaultRates = FaultRates {
    store_call_lost: 0.0,
    connect_failed: 0.0,
    response_lost: 0.0,
    has_failures: false,
    deduplicates: false,
};

// To run more seeds than CI: `CAROBWHEEL_SEEDS=10000 cargo test -p carobwheel-core --test once_runs`.
fn seeds() -> u64 {
    let seeds = std::env::var("CAROBWHEEL_SEEDS").ok();
    seeds.map_or(300, |text| text.parse().expect("a number of seeds"))
}

fn add(sum: &mut Counts, counts: &Counts) {
    sum.runs += counts.runs;
    sum.relayed += counts.relayed;
    sum.replayed += counts.replayed;
    sum.not_run += counts.not_run;
    sum.may_have_run += counts.may_have_run;
    sum.writes += counts.writes;
    sum.reads += counts.reads;
}

#[test_case(FREQUENT_FAULTS; "upstream without deduplication")]
#[test_case(FaultRates { deduplicates: true, ..FREQUENT_FAULTS }; "upstream that deduplicates")]
fn no_action_runs_twice(faults: FaultRates) {
    let mut sum = Counts::default();
    for seed in 0..seeds() {
        let counts = run(seed, faults, InjectedBug::Nothing);
        add(
            &mut sum,
            &counts.unwrap_or_else(|err| panic!("seed {seed}: {err}")),
        );
    }
    println!("{sum:?}");
    // The check is meaningful only if every kind of outcome occurs.
    let kinds = [
        sum.runs,
        sum.relayed,
        sum.replayed,
        sum.not_run,
        sum.may_have_run,
    ];
    assert!(kinds.iter().all(|count| *count > 0), "{sum:?}");
}

#[test]
fn without_faults_nothing_is_refused_for_want_of_the_store() {
    let mut sum = Counts::default();
    for seed in 0..seeds() {
        let counts = run(seed, NO_FAULTS, InjectedBug::Nothing);
        add(
            &mut sum,
            &counts.unwrap_or_else(|err| panic!("seed {seed}: {err}")),
        );
    }
    println!("{sum:?}");
    assert_eq!(
        sum.reads, 0,
        "a create of an existing key returns its record"
    );
    assert_eq!(sum.relayed, sum.runs);
}

#[test_case(InjectedBug::SendWithoutPermit)]
#[test_case(InjectedBug::StoreOverwrites)]
#[test_case(InjectedBug::SharedWriterId)]
#[test_case(InjectedBug::SentReportedAsUnsent)]
#[test_case(InjectedBug::ShortLease)]
#[test_case(InjectedBug::LostReportedAsWritten)]
fn an_injected_bug_is_detected(bug: InjectedBug) {
    let is_detected = |seed: &u64| {
        let outcome = catch_unwind(AssertUnwindSafe(|| run(*seed, FREQUENT_FAULTS, bug)));
        !matches!(outcome, Ok(Ok(_)))
    };
    let detected = (0..300).filter(is_detected).count();
    println!("{bug:?}: detected in {detected} of 300 seeds");
    assert!(detected > 0, "{bug:?} was not detected");
}
