//! `carobctl key`: creates and revokes API keys.

use crate::{
    config::{self, StoreArgs},
    options::print_line,
};
use anyhow::Context as _;
use carobwheel_core::{
    document::{ApiKey, Document},
    id::{AccountId, KeyId},
    identity,
};
use clap::Subcommand;
use rand::{distr::Alphanumeric, Rng as _};
use std::process::ExitCode;

const KEY_PREFIX: &str = "cw-";
/// Number of random characters in a key; 40 alphanumeric characters hold 238 bits of entropy.
const RANDOM_KEY_CHARS: usize = 40;

/// Arguments of `carobctl key`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
    /// Location of the document.
    #[command(flatten)]
    pub store: StoreArgs,
}

/// Subcommands of `carobctl key`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Create a key, publish its digest and print the key, which is not shown again.
    New {
        /// Client account that the key belongs to.
        #[arg(long)]
        account: AccountId,
        /// ID of the key, unique in the document.
        #[arg(long)]
        id: KeyId,
    },
    /// Revoke a key.
    Withdraw {
        /// ID of the key.
        #[arg(long)]
        id: KeyId,
    },
}

/// Runs the subcommand.
///
/// # Errors
///
/// Returns an error if the store does not respond or the document has no such account or key.
pub async fn run(args: Args) -> anyhow::Result<ExitCode> {
    match args.command {
        Command::New { account, id } => {
            let key = generate_key();
            let digest = identity::digest(&key);
            let code = config::edit_document(&args.store, |document| {
                add_key(document, &account, id, digest)
            })
            .await?;
            if code == ExitCode::SUCCESS {
                print_line(key);
            }
            Ok(code)
        }
        Command::Withdraw { id } => {
            config::edit_document(&args.store, |document| remove_key(document, &id)).await
        }
    }
}

fn generate_key() -> String {
    let random: String = rand::rng()
        .sample_iter(Alphanumeric)
        .take(RANDOM_KEY_CHARS)
        .map(char::from)
        .collect();
    format!("{KEY_PREFIX}{random}")
}

fn add_key(
    document: &mut Document,
    account: &AccountId,
    id: KeyId,
    sha256: identity::KeyDigest,
) -> anyhow::Result<()> {
    let account = document
        .accounts
        .iter_mut()
        .find(|candidate| candidate.id == *account)
        .with_context(|| format!("no account `{account}`"))?;
    account.keys.push(ApiKey { id, sha256 });
    Ok(())
}

fn remove_key(document: &mut Document, id: &KeyId) -> anyhow::Result<()> {
    let account = document
        .accounts
        .iter_mut()
        .find(|account| account.keys.iter().any(|key| key.id == *id))
        .with_context(|| format!("no key `{id}`"))?;
    account.keys.retain(|key| key.id != *id);
    Ok(())
}
