//! `carobctl status`: the fleet at a glance.

mod text;

use crate::options::print_line;
use anyhow::Context as _;
use std::{process::ExitCode, time::Duration};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Arguments of `carobctl status`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Operators' URL of an instance, such as `http://10.0.0.7:9090`.
    #[arg(long)]
    pub instance: String,
    /// Print the status as JSON.
    #[arg(long)]
    pub json: bool,
}

/// Prints the status.
///
/// # Errors
///
/// Fails if the instance does not answer in time or answers something else.
pub async fn run(args: Args) -> anyhow::Result<ExitCode> {
    let url = format!("{}/status", args.instance.trim_end_matches('/'));
    let client = reqwest::Client::builder()
        .timeout(TIMEOUT)
        .no_proxy()
        .build()?;
    let status: serde_json::Value = client
        .get(&url)
        .send()
        .await
        .with_context(|| format!("{url} does not answer"))?
        .error_for_status()?
        .json()
        .await
        .context("the answer is not a status")?;
    if args.json {
        print_line(status);
    } else {
        print_line(text::of(&status));
    }
    Ok(ExitCode::SUCCESS)
}
