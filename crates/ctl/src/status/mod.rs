//! `carobctl status`: prints an instance's status page.

mod text;

use crate::options::print_line;
use anyhow::Context as _;
use std::{process::ExitCode, time::Duration};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Arguments of `carobctl status`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// URL of an instance's operators address, such as `http://10.0.0.7:9090`.
    #[arg(long)]
    pub instance: String,
    /// Print the status as JSON.
    #[arg(long)]
    pub json: bool,
}

/// Fetches the status and prints it.
///
/// # Errors
///
/// Returns an error if the instance does not respond in time or its response is not a status.
pub async fn run(args: Args) -> anyhow::Result<ExitCode> {
    let url = format!("{}/status", args.instance.trim_end_matches('/'));
    let client = reqwest::Client::builder()
        .timeout(REQUEST_TIMEOUT)
        .no_proxy()
        .build()?;
    let status: serde_json::Value = client
        .get(&url)
        .send()
        .await
        .with_context(|| format!("no response from {url}"))?
        .error_for_status()?
        .json()
        .await
        .context("the response is not a JSON status")?;
    if args.json {
        print_line(status);
    } else {
        print_line(text::render(&status));
    }
    Ok(ExitCode::SUCCESS)
}
