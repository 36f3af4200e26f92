//! `primrosestack serve`: runs an entry host.

use std::path::PathBuf;

use bpaf::Bpaf;
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};

use crate::cmd::error::{CommandError, IncompleteStopSnafu, RuntimeSnafu};
use crate::host::EntryHost;
use crate::logs;
use crate::settings::Settings;

/// Arguments of `serve`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Settings file (default: `PRIMROSESTACK_SETTINGS`)
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
}

/// Runs an entry host until SIGTERM or SIGINT, then stops it gracefully.
///
/// # Errors
///
/// Returns [`CommandError`] if the settings cannot be used, a listener cannot be bound, or the graceful stop timed out.
pub fn run(options: Options) -> Result<(), CommandError> {
    let settings = Settings::open_named(options.settings)?;
    logs::open(&settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), CommandError> {
    let mut terminate = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(RuntimeSnafu)?;
    let host = EntryHost::bind(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    if host.stop().await? {
        return Ok(());
    }
    IncompleteStopSnafu.fail()
}
