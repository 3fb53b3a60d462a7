//! Randomised runs of at-most-once actions that race, are paused, crash and lose answers.

mod once_world;

use once_world::{run, Planted, Tally, Weather};
use std::panic::{catch_unwind, AssertUnwindSafe};
use test_case::test_case;

const STORM: Weather = Weather {
    lost: 0.3,
    refused: 0.2,
    cut: 0.2,
    has_failures: true,
    deduplicates: false,
};
const CALM: Weather = Weather {
    lost: 0.0,
    refused: 0.0,
    cut: 0.0,
    has_failures: false,
    deduplicates: false,
};

// More seeds outside CI: `CAROBWHEEL_SEEDS=10000 cargo test -p carobwheel-core --test once_runs`.
fn seeds() -> u64 {
    let seeds = std::env::var("CAROBWHEEL_SEEDS").ok();
    seeds.map_or(300, |text| text.parse().expect("a number of seeds"))
}

fn add(sum: &mut Tally, tally: &Tally) {
    sum.runs += tally.runs;
    sum.relayed += tally.relayed;
    sum.replayed += tally.replayed;
    sum.not_run += tally.not_run;
    sum.may_have_run += tally.may_have_run;
    sum.writes += tally.writes;
    sum.reads += tally.reads;
}

#[test_case(STORM; "upstream without deduplication")]
#[test_case(Weather { deduplicates: true, ..STORM }; "upstream that deduplicates")]
fn no_action_runs_twice(weather: Weather) {
    let mut sum = Tally::default();
    for seed in 0..seeds() {
        let tally = run(seed, weather, Planted::Nothing);
        add(
            &mut sum,
            &tally.unwrap_or_else(|err| panic!("seed {seed}: {err}")),
        );
    }
    println!("{sum:?}");
    // The runs prove something only if every kind of end occurs.
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
    let mut sum = Tally::default();
    for seed in 0..seeds() {
        let tally = run(seed, CALM, Planted::Nothing);
        add(
            &mut sum,
            &tally.unwrap_or_else(|err| panic!("seed {seed}: {err}")),
        );
    }
    println!("{sum:?}");
    assert_eq!(sum.reads, 0, "a create that loses returns the record");
    assert_eq!(sum.relayed, sum.runs);
}

#[test_case(Planted::SendWithoutPermit)]
#[test_case(Planted::StoreOverwrites)]
#[test_case(Planted::SharedMark)]
#[test_case(Planted::FalseNoBytes)]
#[test_case(Planted::ShortLease)]
#[test_case(Planted::LostTakenForWritten)]
fn a_planted_fault_is_caught(planted: Planted) {
    let is_caught = |seed: &u64| {
        let outcome = catch_unwind(AssertUnwindSafe(|| run(*seed, STORM, planted)));
        !matches!(outcome, Ok(Ok(_)))
    };
    let caught = (0..300).filter(is_caught).count();
    println!("{planted:?}: caught in {caught} of 300 seeds");
    assert!(caught > 0, "{planted:?} was not caught");
}
