//! `carobctl key`: makes callers' keys and withdraws them.

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
/// Random characters of a key; 40 alphanumerics hold 238 bits.
const KEY_CHARS: usize = 40;

/// Arguments of `carobctl key`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
    /// Where the document stands.
    #[command(flatten)]
    pub store: StoreArgs,
}

/// What to do with a key.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Make a key, publish its digest and print the key once.
    New {
        /// Client account that the key is for.
        #[arg(long)]
        account: AccountId,
        /// Name of the key, unique in the document.
        #[arg(long)]
        id: KeyId,
    },
    /// Withdraw a key.
    Withdraw {
        /// Name of the key.
        #[arg(long)]
        id: KeyId,
    },
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the store does not answer or the document has no such account or key.
pub async fn run(args: Args) -> anyhow::Result<ExitCode> {
    match args.command {
        Command::New { account, id } => {
            let key = new_key();
            let digest = identity::digest(&key);
            let code =
                config::edit(&args.store, |document| add(document, &account, id, digest)).await?;
            if code == ExitCode::SUCCESS {
                print_line(key);
            }
            Ok(code)
        }
        Command::Withdraw { id } => {
            config::edit(&args.store, |document| withdraw(document, &id)).await
        }
    }
}

fn new_key() -> String {
    let random: String = rand::rng()
        .sample_iter(Alphanumeric)
        .take(KEY_CHARS)
        .map(char::from)
        .collect();
    format!("{KEY_PREFIX}{random}")
}

fn add(
    document: &mut Document,
    account: &AccountId,
    id: KeyId,
    sha256: identity::KeyDigest,
) -> anyhow::Result<()> {
    let account = document
        .accounts
        .iter_mut()
        .find(|known| known.id == *account)
        .with_context(|| format!("no account `{account}`"))?;
    account.keys.push(ApiKey { id, sha256 });
    Ok(())
}

fn withdraw(document: &mut Document, id: &KeyId) -> anyhow::Result<()> {
    let account = document
        .accounts
        .iter_mut()
        .find(|account| account.keys.iter().any(|key| key.id == *id))
        .with_context(|| format!("no key `{id}`"))?;
    account.keys.retain(|key| key.id != *id);
    Ok(())
}
