//! `carobctl experiment gossip`: cost of membership per instance and propagation time of a
//! document revision.
//!
//! Instances run as threads of this process with real links over loopback. Packets between regions
//! are delayed to simulate the distance. Costs are measured on an idle fleet, after all instances
//! have discovered each other, and extrapolated to the target size by linear regression over the
//! measured sizes.

mod fleet;
mod node;
mod report;

use anyhow::Context as _;
use fleet::Fleet;
use report::{FleetRow, Report};
use std::time::Duration;

/// Timeout for all instances to discover each other.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(300);

/// Arguments of `carobctl experiment gossip`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Fleet sizes to measure, one after the other.
    #[arg(long, value_delimiter = ',', default_values_t = [6, 24, 96],
          value_parser = clap::value_parser!(u16).range(1..=400))]
    pub members: Vec<u16>,
    /// Number of regions; derived from the number of instances if absent.
    #[arg(long, value_parser = clap::value_parser!(u16).range(1..=40))]
    pub regions: Option<u16>,
    /// One-way delay between regions, in milliseconds.
    #[arg(long, default_value_t = 80, value_parser = clap::value_parser!(u64).range(0..=1_000))]
    pub region_delay_ms: u64,
    /// Delay between discovery and the measurement, in seconds.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(1..=600))]
    pub settle_s: u64,
    /// Duration of the measurement, in seconds.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(1..=600))]
    pub measure_s: u64,
    /// Number of revisions to publish, one after the other.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=100))]
    pub revisions: u64,
    /// Size of the document, in bytes.
    #[arg(long, default_value_t = 300_000, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    pub document_bytes: u32,
    /// Size of the load digest that each instance sends to its region every second, in bytes; 0
    /// for none.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u16).range(0..=512))]
    pub digest_bytes: u16,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Prints the report as JSON.
    #[arg(long)]
    pub json: bool,
}

/// Runs the measurement and prints the report.
///
/// # Errors
///
/// Fails if an instance cannot be started or the instances do not discover each other.
pub fn run(args: Args) -> anyhow::Result<()> {
    let mut lines = Vec::new();
    let mut outcome = Ok(());
    for members in &args.members {
        let line = measure(&args, usize::from(*members));
        match line.with_context(|| format!("with {members} instances")) {
            Ok(line) => lines.push(line),
            Err(err) => {
                outcome = Err(err);
                break;
            }
        }
        eprintln!("{members} instances measured");
    }
    Report::new(lines).print(args.json)?;
    outcome
}

/// Measures a fleet of one size.
fn measure(args: &Args, members: usize) -> anyhow::Result<FleetRow> {
    let fleet = Fleet::start(args, members)?;
    let discovery_s = fleet.wait_discovered(DISCOVERY_TIMEOUT)?;
    eprintln!("{members} instances discovered each other in {discovery_s:.1} s");
    std::thread::sleep(Duration::from_secs(args.settle_s));
    let mut cost = fleet.measure_cost(Duration::from_secs(args.measure_s))?;
    let mut propagation_ms = Vec::new();
    // The first document is transferred in full, which would distort the cost of a change.
    let first = 2;
    fleet.publish(first, args.document_bytes as usize)?;
    std::thread::sleep(Duration::from_secs(5));
    let before = fleet.traffic();
    for revision in first + 1..=first + args.revisions {
        propagation_ms.push(fleet.publish(revision, args.document_bytes as usize)?);
        std::thread::sleep(Duration::from_secs(5));
    }
    let after = fleet.traffic();
    cost.memory_bytes = fleet.memory_bytes()?;
    let bytes_per_revision = after.minus(before).bytes() / args.revisions as f64 / members as f64;
    let line = FleetRow::new(
        members,
        fleet.regions(),
        cost,
        propagation_ms,
        bytes_per_revision,
    );
    fleet.stop()?;
    Ok(line)
}
