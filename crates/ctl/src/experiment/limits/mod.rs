//! `carobctl experiment limits`: wrongful refusals of the distributed limits, compared with a
//! perfect central bucket and a static split.

mod baseline;
mod memory;
mod scenario;
mod wide;
pub mod world;

use anyhow::ensure;
use carobwheel_core::limit::LoanMessage;
pub use memory::Memory;
use scenario::{Scenario, NODES};
use serde::Serialize;
pub use wide::Wide;
use world::flow::Placement;
use world::{Tally, World};

/// Arguments of `carobctl experiment limits`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Seed of the offered load and of the random details of faults.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Prints JSON lines instead of a table.
    #[arg(long)]
    pub json: bool,
    /// Measures only scenarios whose name contains this text.
    #[arg(long, default_value = "")]
    pub only: String,
}

/// Decisions of one method of enforcing the limit.
#[derive(Clone, Debug, Serialize)]
pub struct Decisions {
    /// Number of requests offered.
    pub offered: u64,
    /// Share of requests refused, in percent.
    pub refused_pct: f64,
    /// Share of requests refused although a perfect bucket with the same charges would have
    /// admitted them, in percent.
    pub wrongful_pct: f64,
    /// Tokens used by admitted requests per second.
    pub used_tokens_per_s: f64,
}

impl Decisions {
    fn new(tally: Tally, scenario: &Scenario) -> Self {
        let measured_s = (scenario.end_ms - scenario.tally_from_ms) as f64 / 1_000.0;
        let offered = tally.admitted + tally.refused;
        let pct = |count: u64| 100.0 * count as f64 / offered.max(1) as f64;
        Self {
            offered,
            refused_pct: pct(tally.refused),
            wrongful_pct: pct(tally.wrongful),
            used_tokens_per_s: tally.used_tokens as f64 / measured_s,
        }
    }
}

/// Result of one scenario for the measured account.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Offered load, in percent of the account's rate.
    pub load_pct: u64,
    /// Placement of the requests.
    pub placement: &'static str,
    /// Decisions of the limiter, which lends parts of buckets between instances.
    pub lending: Decisions,
    /// Decisions of a perfect central bucket.
    pub central: Decisions,
    /// Decisions of a static split with an equal share for each instance.
    pub fixed_split: Decisions,
    /// Loan messages sent per instance and second.
    pub messages_per_s: f64,
    /// Bytes of loan messages sent per instance and second, before encryption and headers.
    pub bytes_per_s: f64,
    /// Store calls per instance and hour for the ownership record.
    pub store_calls_per_h: f64,
    /// Successful writes of the ownership record, over all instances and the whole run.
    pub store_writes: u64,
}

/// Runs the measurement and prints its results.
///
/// # Errors
///
/// Fails if an account exceeded its rate and burst, or if a result cannot be written.
pub fn run(args: Args) -> anyhow::Result<()> {
    let memory = memory::measure()?;
    if args.json {
        println!("{}", serde_json::to_string(&memory)?);
    } else {
        println!("{memory:?}");
    }
    let wide = wide::measure(args.seed)?;
    if args.json {
        println!("{}", serde_json::to_string(&wide)?);
    } else {
        println!("{wide:?}");
    }
    if !args.json {
        println!("{}", heading());
    }
    for scenario in scenario::all() {
        if !scenario.name.contains(&args.only) {
            continue;
        }
        let measurement = measure(&scenario, args.seed)?;
        let line = if args.json {
            serde_json::to_string(&measurement)?
        } else {
            row(&measurement)
        };
        println!("{line}");
    }
    Ok(())
}

fn message_bytes(message: &LoanMessage) -> usize {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len())
}

fn measure(scenario: &Scenario, seed: u64) -> anyhow::Result<Measurement> {
    let mut world = World::new(scenario::setup(scenario, seed, message_bytes));
    world.tally_from_ms = scenario.tally_from_ms;
    world.run_until(scenario.end_ms);
    let account = &scenario::document().accounts[0];
    let from_ms = scenario.tally_from_ms;
    let central = baseline::run(account, &world.arrivals, 1, |_| 0, from_ms);
    let fixed = baseline::run(account, &world.arrivals, NODES as u64, |node| node, from_ms);
    let lending = world.tallies.get(&scenario::measured_account()).copied();
    let (messages, bytes) = world.traffic();
    let node_s = NODES as f64 * scenario.end_ms as f64 / 1_000.0;
    let violation = world.violation();
    ensure!(violation.is_none(), "{}: {violation:?}", scenario.name);
    Ok(Measurement {
        scenario: scenario.name,
        load_pct: scenario.load_pct,
        placement: placement_name(scenario.placement),
        lending: Decisions::new(lending.unwrap_or_default(), scenario),
        central: Decisions::new(central, scenario),
        fixed_split: Decisions::new(fixed, scenario),
        messages_per_s: messages as f64 / node_s,
        bytes_per_s: bytes as f64 / node_s,
        store_calls_per_h: world.store.calls as f64 * 3_600.0 / node_s,
        store_writes: world.store.writes,
    })
}

fn placement_name(placement: Placement) -> &'static str {
    match placement {
        Placement::Spread => "spread",
        Placement::One(_) => "one instance",
        Placement::Moving { .. } => "moving",
    }
}

fn heading() -> String {
    let decisions = |name: &str| format!("{name:>8} wrong% tok/s");
    format!(
        "{:<25} {:>5} {:<12} {:>7} |{} |{} |{} | {:>6} {:>5} {:>7} {:>6}",
        "scenario",
        "load%",
        "placement",
        "offered",
        decisions("lending%"),
        decisions("central%"),
        decisions("split%"),
        "msg/s",
        "B/s",
        "calls/h",
        "writes"
    )
}

fn row(measurement: &Measurement) -> String {
    let decisions = |decisions: &Decisions| {
        let Decisions {
            refused_pct,
            wrongful_pct,
            used_tokens_per_s,
            ..
        } = decisions;
        format!("{refused_pct:>8.3} {wrongful_pct:>6.3} {used_tokens_per_s:>5.0}")
    };
    format!(
        "{:<25} {:>5} {:<12} {:>7} |{} |{} |{} | {:>6.2} {:>5.0} {:>7.0} {:>6}",
        measurement.scenario,
        measurement.load_pct,
        measurement.placement,
        measurement.lending.offered,
        decisions(&measurement.lending),
        decisions(&measurement.central),
        decisions(&measurement.fixed_split),
        measurement.messages_per_s,
        measurement.bytes_per_s,
        measurement.store_calls_per_h,
        measurement.store_writes
    )
}
