//! `carobctl config`: reads, checks and publishes the configuration document.

mod diff;

use crate::options::{print_line, EXIT_CONFLICT, EXIT_FAULTY_INPUT};
use anyhow::{bail, Context as _};
use carobwheel_core::document::{Document, Fault};
use carobwheel_gateway::{
    platform::DOCUMENT_KEY,
    store::{StoreClient, StoreClientOptions, StoredRecord, WriteOutcome},
};
use clap::Subcommand;
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

/// Where the document stands.
#[derive(Clone, Debug, clap::Args)]
pub struct StoreArgs {
    /// Base URL of the store.
    #[arg(long, default_value = "http://127.0.0.1:2379", global = true)]
    pub store: String,
}

/// Arguments of `carobctl config`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
    /// Where the document stands.
    #[command(flatten)]
    pub store: StoreArgs,
}

/// What to do with the document.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a document and name every fault.
    Validate {
        /// File with the document.
        file: PathBuf,
    },
    /// Check a document and put it in force.
    Publish {
        /// File with the document.
        file: PathBuf,
        /// Publish only if this revision is in the store; 0 for none. By default the revision
        /// that is read right before writing.
        #[arg(long)]
        expect_revision: Option<i64>,
    },
    /// Print the document in the store.
    Show,
    /// Show how a document differs from the one in the store.
    Diff {
        /// File with the document.
        file: PathBuf,
    },
}

/// Runs the command.
///
/// # Errors
///
/// Fails if a file cannot be read or the store does not answer.
pub async fn run(args: Args) -> anyhow::Result<ExitCode> {
    match &args.command {
        Command::Validate { file } => {
            let bytes = read(file)?;
            Ok(match Document::parse(&bytes) {
                Ok(_) => {
                    println!("{}: valid, {} bytes", file.display(), bytes.len());
                    ExitCode::SUCCESS
                }
                Err(faults) => faulty(&faults),
            })
        }
        Command::Publish {
            file,
            expect_revision,
        } => publish(&args.store, file, *expect_revision).await,
        Command::Show => {
            let record = current(&client(&args.store)?).await?;
            let Some(record) = record else {
                bail!("the store holds no document");
            };
            print_line(String::from_utf8_lossy(&record.value));
            eprintln!("revision {}", record.mod_revision);
            Ok(ExitCode::SUCCESS)
        }
        Command::Diff { file } => {
            let record = current(&client(&args.store)?).await?;
            let stored = match &record {
                Some(record) => serde_json::from_slice(&record.value)
                    .context("the document in the store is not JSON")?,
                None => serde_json::Value::Null,
            };
            let proposed = serde_json::from_slice(&read(file)?)
                .with_context(|| format!("{} is not JSON", file.display()))?;
            for line in diff::lines(&stored, &proposed) {
                print_line(line);
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn read(file: &Path) -> anyhow::Result<Vec<u8>> {
    std::fs::read(file).with_context(|| format!("cannot read {}", file.display()))
}

fn faulty(faults: &[Fault]) -> ExitCode {
    for fault in faults {
        eprintln!("{fault}");
    }
    ExitCode::from(EXIT_FAULTY_INPUT)
}

/// A client of the store.
///
/// # Errors
///
/// Fails if the HTTP client cannot be set up.
pub fn client(args: &StoreArgs) -> anyhow::Result<StoreClient> {
    let writer = format!("carobctl.{:016x}", rand::random::<u64>());
    let options = StoreClientOptions::new(&args.store, writer);
    StoreClient::new(options).context("cannot set up the store client")
}

async fn current(client: &StoreClient) -> anyhow::Result<Option<StoredRecord>> {
    client
        .get(DOCUMENT_KEY)
        .await
        .context("cannot read the document")
}

async fn publish(
    args: &StoreArgs,
    file: &Path,
    expect_revision: Option<i64>,
) -> anyhow::Result<ExitCode> {
    let bytes = read(file)?;
    if let Err(faults) = Document::parse(&bytes) {
        return Ok(faulty(&faults));
    }
    let client = client(args)?;
    let expected = match expect_revision {
        Some(revision) => revision,
        None => current(&client)
            .await?
            .map_or(0, |record| record.mod_revision),
    };
    write(&client, expected, &bytes).await
}

/// Reads the document, changes it, validates it and writes it if nobody else has meanwhile.
///
/// # Errors
///
/// Fails if the store does not answer, holds no valid document, or `change` fails.
pub async fn edit(
    args: &StoreArgs,
    change: impl FnOnce(&mut Document) -> anyhow::Result<()>,
) -> anyhow::Result<ExitCode> {
    let client = client(args)?;
    let record = current(&client)
        .await?
        .context("the store holds no document")?;
    let mut document = match Document::parse(&record.value) {
        Ok(document) => document,
        Err(faults) => return Ok(faulty(&faults)),
    };
    change(&mut document)?;
    let bytes = serde_json::to_vec(&document)?;
    if let Err(faults) = Document::parse(&bytes) {
        return Ok(faulty(&faults));
    }
    write(&client, record.mod_revision, &bytes).await
}

async fn write(client: &StoreClient, expected: i64, bytes: &[u8]) -> anyhow::Result<ExitCode> {
    match client.compare_and_swap(DOCUMENT_KEY, expected, bytes).await {
        WriteOutcome::Written { revision } => {
            eprintln!("published as revision {revision}");
            Ok(ExitCode::SUCCESS)
        }
        WriteOutcome::Conflict { current } => {
            let revision = current.map_or(0, |record| record.mod_revision);
            eprintln!(
                "conflict: revision {revision} is in the store, {expected} was expected; nothing was written"
            );
            Ok(ExitCode::from(EXIT_CONFLICT))
        }
        WriteOutcome::NotWritten { cause } => bail!("nothing was written: {cause}"),
        WriteOutcome::Unknown { cause } => {
            bail!("the document may have been written: {cause}; look with `carobctl config show`")
        }
    }
}
