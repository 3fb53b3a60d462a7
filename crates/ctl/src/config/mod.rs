//! `carobctl config`: reads, validates and publishes the configuration document.

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

/// Location of the document.
#[derive(Clone, Debug, clap::Args)]
pub struct StoreArgs {
    /// Base URL of the store.
    #[arg(long, default_value = "http://127.0.0.1:2379", global = true)]
    pub store: String,
}

/// Arguments of `carobctl config`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
    /// Location of the document.
    #[command(flatten)]
    pub store: StoreArgs,
}

/// Subcommands of `carobctl config`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Validate a document and list all its faults.
    Validate {
        /// File with the document.
        file: PathBuf,
    },
    /// Validate a document and publish it.
    Publish {
        /// File with the document.
        file: PathBuf,
        /// Publish only if the document in the store has this revision; 0 for no document. Defaults
        /// to the revision read immediately before the write.
        #[arg(long)]
        expect_revision: Option<i64>,
    },
    /// Print the document in the store.
    Show,
    /// Show the differences between the document in the store and another document.
    Diff {
        /// File with the document.
        file: PathBuf,
    },
}

/// Runs the subcommand.
///
/// # Errors
///
/// Returns an error if a file cannot be read or the store does not respond.
pub async fn run(args: Args) -> anyhow::Result<ExitCode> {
    match &args.command {
        Command::Validate { file } => {
            let bytes = read_file(file)?;
            Ok(match Document::parse(&bytes) {
                Ok(_) => {
                    println!("{}: valid, {} bytes", file.display(), bytes.len());
                    ExitCode::SUCCESS
                }
                Err(faults) => report_faults(&faults),
            })
        }
        Command::Publish {
            file,
            expect_revision,
        } => publish(&args.store, file, *expect_revision).await,
        Command::Show => {
            let record = read_document(&store_client(&args.store)?).await?;
            let Some(record) = record else {
                bail!("the store holds no document");
            };
            print_line(String::from_utf8_lossy(&record.value));
            eprintln!("revision {}", record.mod_revision);
            Ok(ExitCode::SUCCESS)
        }
        Command::Diff { file } => {
            let record = read_document(&store_client(&args.store)?).await?;
            let stored = match &record {
                Some(record) => serde_json::from_slice(&record.value)
                    .context("the document in the store is not JSON")?,
                None => serde_json::Value::Null,
            };
            let proposed = serde_json::from_slice(&read_file(file)?)
                .with_context(|| format!("{} is not JSON", file.display()))?;
            for line in diff::lines(&stored, &proposed) {
                print_line(line);
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn read_file(file: &Path) -> anyhow::Result<Vec<u8>> {
    std::fs::read(file).with_context(|| format!("cannot read {}", file.display()))
}

fn report_faults(faults: &[Fault]) -> ExitCode {
    for fault in faults {
        eprintln!("{fault}");
    }
    ExitCode::from(EXIT_FAULTY_INPUT)
}

/// Creates a client of the store.
///
/// # Errors
///
/// Returns an error if the HTTP client cannot be set up.
pub fn store_client(args: &StoreArgs) -> anyhow::Result<StoreClient> {
    let writer = format!("carobctl.{:016x}", rand::random::<u64>());
    let options = StoreClientOptions::new(&args.store, writer);
    StoreClient::new(options).context("cannot set up the store client")
}

async fn read_document(client: &StoreClient) -> anyhow::Result<Option<StoredRecord>> {
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
    let bytes = read_file(file)?;
    if let Err(faults) = Document::parse(&bytes) {
        return Ok(report_faults(&faults));
    }
    let client = store_client(args)?;
    let expected_revision = match expect_revision {
        Some(revision) => revision,
        None => read_document(&client)
            .await?
            .map_or(0, |record| record.mod_revision),
    };
    write_document(&client, expected_revision, &bytes).await
}

/// Reads the document, applies `change`, validates the result and writes it, unless the stored
/// document has changed in the meantime.
///
/// # Errors
///
/// Returns an error if the store does not respond, holds no valid document, or `change` fails.
pub async fn edit_document(
    args: &StoreArgs,
    change: impl FnOnce(&mut Document) -> anyhow::Result<()>,
) -> anyhow::Result<ExitCode> {
    let client = store_client(args)?;
    let record = read_document(&client)
        .await?
        .context("the store holds no document")?;
    let mut document = match Document::parse(&record.value) {
        Ok(document) => document,
        Err(faults) => return Ok(report_faults(&faults)),
    };
    change(&mut document)?;
    let bytes = serde_json::to_vec(&document)?;
    if let Err(faults) = Document::parse(&bytes) {
        return Ok(report_faults(&faults));
    }
    write_document(&client, record.mod_revision, &bytes).await
}

async fn write_document(
    client: &StoreClient,
    expected_revision: i64,
    bytes: &[u8],
) -> anyhow::Result<ExitCode> {
    match client
        .compare_and_swap(DOCUMENT_KEY, expected_revision, bytes)
        .await
    {
        WriteOutcome::Written { revision } => {
            eprintln!("published as revision {revision}");
            Ok(ExitCode::SUCCESS)
        }
        WriteOutcome::Conflict { current } => {
            let revision = current.map_or(0, |record| record.mod_revision);
            eprintln!(
                "conflict: the store has revision {revision}, expected {expected_revision}; nothing was written"
            );
            Ok(ExitCode::from(EXIT_CONFLICT))
        }
        WriteOutcome::NotWritten { cause } => bail!("nothing was written: {cause}"),
        WriteOutcome::Unknown { cause } => {
            bail!("the document may have been written: {cause}; check with `carobctl config show`")
        }
    }
}
