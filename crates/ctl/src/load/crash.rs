//! Requests of a load run that crash stand-in engines, and the crashes that they cause.

use super::Args;
use anyhow::Context as _;
use carobwheel_standin::engine::CRASHES_PATH;
use std::time::{Duration, Instant};

const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time to wait for an engine that is down, in seconds.
const READ_TIMEOUT_S: u64 = 60;

/// Checks the arguments for requests that crash engines.
///
/// # Errors
///
/// Returns an error if the share is out of range, or if there is a share but no text.
pub(super) fn check(args: &Args) -> anyhow::Result<()> {
    anyhow::ensure!(
        (0.0..=100.0).contains(&args.crash_share_pct),
        "--crash-share-pct must be between 0 and 100 %"
    );
    anyhow::ensure!(
        args.crash_share_pct == 0.0 || !args.crash_text.is_empty(),
        "--crash-share-pct needs a --crash-text"
    );
    Ok(())
}

/// Returns the number of crashes of all engines since their start. Waits for engines that are down.
///
/// # Errors
///
/// Returns an error if an engine does not answer in time or is not a stand-in.
pub(super) async fn crash_count(engines: &[String]) -> anyhow::Result<u64> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let deadline = Instant::now() + Duration::from_secs(READ_TIMEOUT_S);
    let mut total = 0;
    for engine in engines {
        let url = format!("{}{CRASHES_PATH}", engine.trim_end_matches('/'));
        let response = loop {
            match client.get(&url).send().await {
                Ok(response) => break response,
                Err(err) if Instant::now() >= deadline => {
                    return Err(err).with_context(|| format!("{engine} does not answer"));
                }
                Err(_) => tokio::time::sleep(READ_INTERVAL).await,
            }
        };
        let count: u64 = response
            .json()
            .await
            .with_context(|| format!("{engine} is not a stand-in engine"))?;
        total += count;
    }
    Ok(total)
}
