//! Six instances and their stand-ins in one process.

/// Arguments of `carobctl demo`.
#[derive(Debug, clap::Args)]
pub struct Args {}

/// Runs the demonstration.
///
/// # Errors
///
/// Fails if a part cannot be started.
pub fn run(_args: &Args) -> anyhow::Result<()> {
    Ok(())
}
