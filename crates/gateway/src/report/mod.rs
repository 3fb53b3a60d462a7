//! Metrics, histograms, logs and the status page.
//!
//! One thread receives an observation from each request, keeps histograms per client account and
//! class, and sends metrics.

mod caller_limits;
mod logs;
mod metrics;
mod operators;
mod status;
mod tally;
mod trace;

pub use logs::start as start_logs;
pub use operators::start as start_operators;
pub use status::{DecisionStatus, MemberStatus, RequestStatus, StatusBoard, UpstreamStatus};
pub use tally::{LabelStatus, Quantiles};
pub use trace::{Label, Observation, Trace};

use crate::{
    caller_memory::CallerMemory,
    ring::{ring, Sender},
    settings::Metrics,
};
use anyhow::Context as _;
use caller_limits::DropReport;
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use tally::Tally;
use tokio_util::sync::CancellationToken;

/// Maximum number of observations queued for the reporting thread.
pub const OBSERVATION_RING_CAPACITY: usize = 16_384;
const PUBLISH_PERIOD: Duration = Duration::from_secs(1);

/// Starts the reporting thread, which ends when `cancel` is cancelled.
///
/// # Errors
///
/// Fails if the thread or the socket for metrics cannot be set up.
pub fn start(
    metrics: Option<&Metrics>,
    board: StatusBoard,
    memory: Arc<CallerMemory>,
    cancel: CancellationToken,
) -> anyhow::Result<(Sender<Observation>, thread::JoinHandle<()>)> {
    let client = metrics.map(metrics::client).transpose()?;
    let (sender, mut receiver) = ring::<Observation>(OBSERVATION_RING_CAPACITY);
    let thread = thread::Builder::new()
        .name("report".to_owned())
        .spawn(move || {
            receiver.attach();
            let mut tally = Tally::default();
            let mut dropped = DropReport::default();
            let mut published_at = Instant::now();
            while !cancel.is_cancelled() {
                while let Some(observation) = receiver.try_recv() {
                    tally.add(&observation);
                    if let Some(client) = &client {
                        metrics::send(client, &observation);
                    }
                }
                if published_at.elapsed() >= PUBLISH_PERIOD {
                    published_at = Instant::now();
                    board.requests.store(Arc::new(RequestStatus {
                        labels: tally.labels(),
                        refusals: tally.refusals_by_cause(),
                    }));
                    dropped.publish(client.as_ref(), &memory);
                }
                // Polls instead of waking on each observation, since statistics are not urgent.
                thread::sleep(PUBLISH_PERIOD / 10);
            }
        })
        .context("cannot start the reporting thread")?;
    Ok((sender, thread))
}
