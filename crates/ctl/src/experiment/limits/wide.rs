//! Loan traffic in a larger fleet, with the request rate of an instance at the target size.

use super::message_bytes;
use super::scenario;
use super::world::fault::{Defect, Fault};
use super::world::flow::{Flow, Placement};
use super::world::{Setup, Tally, World};
use anyhow::ensure;
use carobwheel_core::document::{Account, Document, Region};
use serde::Serialize;

const REGIONS: usize = 11;
const NODES: usize = 33;
const ACCOUNTS: u64 = 60;
/// Requests of one instance per second: 2,100 per second over 370 instances.
const REQUESTS_PER_NODE_PER_S: f64 = 5.7;
const MAX_PROMPT_TOKENS: u64 = 600;
const MAX_OUTPUT_TOKENS: u64 = 300;
const MEAN_CHARGE_TOKENS: f64 = 450.0;
/// Offered load in percent of each account's rate, measured in charged tokens.
const LOAD_PCT: u64 = 90;
/// Burst of an account, in seconds of its rate.
const BURST_S: u64 = 20;
const WARM_UP_MS: u64 = 60_000;
const END_MS: u64 = 240_000;

/// Traffic and decisions of the larger fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Wide {
    /// Number of instances.
    pub nodes: usize,
    /// Number of client accounts; their rates are proportional to 1/rank (Zipf).
    pub accounts: u64,
    /// Number of requests decided.
    pub offered: u64,
    /// Share of requests refused although a perfect central bucket would have admitted them, in
    /// percent.
    pub wrongful_pct: f64,
    /// Loan messages sent per instance and second.
    pub messages_per_s: f64,
    /// Bytes of loan messages sent per instance and second.
    pub bytes_per_s: f64,
    /// Elapsed time per simulated second of one instance, simulation overhead included, in
    /// microseconds.
    pub process_us_per_s: f64,
}

/// Simulates the larger fleet with every account's requests spread evenly over all instances.
///
/// # Errors
///
/// Fails if an account exceeded its rate and burst.
pub(super) fn measure(seed: u64) -> anyhow::Result<Wide> {
    let document = document();
    let flows = document.accounts.iter().map(flow).collect();
    let regions = document.regions.iter().map(|region| region.id.clone());
    let setup = Setup {
        seed,
        regions: regions.collect(),
        nodes: NODES,
        flows,
        documents: vec![document],
        faults: vec![(0, Fault::Publish(1))],
        defect: Defect::None,
        loss_pct: 0,
        tick_ms: 50,
        drift_ppm: 200,
        message_bytes,
    };
    let started = std::time::Instant::now();
    let mut world = World::new(setup);
    world.tally_from_ms = WARM_UP_MS;
    world.run_until(WARM_UP_MS);
    let (messages_before, bytes_before) = world.traffic();
    world.run_until(END_MS);
    let (messages, bytes) = world.traffic();
    let elapsed_us = started.elapsed().as_micros() as f64;
    let violation = world.violation();
    ensure!(violation.is_none(), "{violation:?}");
    let total = world
        .tallies
        .values()
        .fold(Tally::default(), |sum, tally| Tally {
            admitted: sum.admitted + tally.admitted,
            refused: sum.refused + tally.refused,
            wrongful: sum.wrongful + tally.wrongful,
            used_tokens: sum.used_tokens + tally.used_tokens,
        });
    let offered = total.admitted + total.refused;
    let node_s = NODES as f64 * (END_MS - WARM_UP_MS) as f64 / 1_000.0;
    Ok(Wide {
        nodes: NODES,
        accounts: ACCOUNTS,
        offered,
        wrongful_pct: 100.0 * total.wrongful as f64 / offered.max(1) as f64,
        messages_per_s: (messages - messages_before) as f64 / node_s,
        bytes_per_s: (bytes - bytes_before) as f64 / node_s,
        process_us_per_s: elapsed_us / (NODES as f64 * END_MS as f64 / 1_000.0),
    })
}

fn document() -> Document {
    let mut document = scenario::document();
    document.regions = (0..REGIONS)
        .map(|at| Region {
            id: format!("r{at}").parse().expect("a valid identifier"),
            data_centres: Vec::new(),
            rate_weight: 1,
        })
        .collect();
    let harmonic_sum: f64 = (1..=ACCOUNTS).map(|rank| 1.0 / rank as f64).sum();
    let tokens_per_s = NODES as f64 * REQUESTS_PER_NODE_PER_S * MEAN_CHARGE_TOKENS;
    let sample = document.accounts[0].clone();
    document.accounts = (1..=ACCOUNTS)
        .map(|rank| {
            let offered = tokens_per_s / harmonic_sum / rank as f64;
            let rate = (offered * 100.0 / LOAD_PCT as f64) as u64;
            Account {
                id: format!("account-{rank}")
                    .parse()
                    .expect("a valid identifier"),
                rate_tokens_per_s: rate,
                burst_tokens: rate * BURST_S,
                ..sample.clone()
            }
        })
        .collect();
    document
}

fn flow(account: &Account) -> Flow {
    Flow {
        account: account.id.clone(),
        tokens_per_s: account.rate_tokens_per_s * LOAD_PCT / 100,
        placement: Placement::Spread,
        max_prompt_tokens: MAX_PROMPT_TOKENS,
        max_output_tokens: MAX_OUTPUT_TOKENS,
        min_output_pct: 50,
        max_wait_ms: 2_000,
        on_ms: 0,
    }
}
