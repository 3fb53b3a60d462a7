//! `carobctl place`: where an instance would send a request now, and why, without sending it.

mod text;

use crate::options::{print_line, EXIT_FAULTY_INPUT};
use anyhow::Context as _;
use serde_json::{json, Value};
use std::{process::ExitCode, time::Duration};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Exit code if the request would be refused.
const EXIT_REFUSED: u8 = 3;

/// Arguments of `carobctl place`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// URL of an instance's metrics address, such as `http://10.0.0.7:7615`.
    #[arg(long)]
    pub instance: String,
    /// Host that the request names.
    #[arg(long)]
    pub host: String,
    /// Path of the request.
    #[arg(long)]
    pub path: String,
    /// Account of the request's key; not needed on open routes.
    #[arg(long)]
    pub account: Option<String>,
    /// Length of the prompt, in tokens; by default the sum of its parts.
    #[arg(long)]
    pub prompt_tokens: Option<u32>,
    /// Upper bound on the output, in tokens.
    #[arg(long, default_value_t = 0)]
    pub max_output_tokens: u32,
    /// Parts of the prompt in order, as `ID:TOKENS,ID:TOKENS`, with the identifiers in hexadecimal.
    #[arg(long, value_delimiter = ',')]
    pub parts: Vec<String>,
    /// Print the explanation as JSON.
    #[arg(long)]
    pub json: bool,
}

/// Fetches the explanation and prints it.
///
/// # Errors
///
/// Returns an error if the instance does not respond in time or its response is not an explanation.
pub async fn run(args: Args) -> anyhow::Result<ExitCode> {
    let parts: Option<Vec<u32>> = args.parts.iter().map(|part| part_tokens(part)).collect();
    let Some(parts) = parts else {
        eprintln!("carobctl: a part of the prompt is not ID:TOKENS with a hexadecimal ID");
        return Ok(ExitCode::from(EXIT_FAULTY_INPUT));
    };
    let sum = parts
        .iter()
        .fold(0_u32, |sum, tokens| sum.saturating_add(*tokens));
    let query = json!({
        "host": args.host,
        "path": args.path,
        "account": args.account,
        "prompt_tokens": args.prompt_tokens.unwrap_or(sum),
        "max_output_tokens": args.max_output_tokens,
        "parts": args.parts,
    });
    let url = format!("{}/place", args.instance.trim_end_matches('/'));
    let client = reqwest::Client::builder()
        .timeout(REQUEST_TIMEOUT)
        .no_proxy()
        .build()?;
    let explanation: Value = client
        .post(&url)
        .body(query.to_string())
        .send()
        .await
        .with_context(|| format!("no response from {url}"))?
        .error_for_status()?
        .json()
        .await
        .context("the response is not a JSON explanation")?;
    if args.json {
        print_line(&explanation);
    } else {
        print_line(text::render(&explanation));
    }
    let is_refused = explanation["outcome"]["kind"] == "refused";
    Ok(if is_refused {
        ExitCode::from(EXIT_REFUSED)
    } else {
        ExitCode::SUCCESS
    })
}

/// Number of tokens of an `ID:TOKENS` entry; `None` if it is malformed.
fn part_tokens(part: &str) -> Option<u32> {
    let (id, tokens) = part.split_once(':')?;
    u64::from_str_radix(id, 16).ok()?;
    tokens.parse().ok()
}
