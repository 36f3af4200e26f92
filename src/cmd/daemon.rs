//! `primrosestack daemon`: runs an entry host on the users' platform.

use std::path::PathBuf;

use bpaf::Bpaf;
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

use crate::cmd::error::{CommandError, RuntimeSnafu};
use crate::daemon::Daemon;
use crate::daemon::output::Output;
use crate::daemon::settings::DaemonSettings;
use crate::logs::{self, Line};

/// Arguments of `daemon`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Settings file (default: the one named by the deployment)
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
}

/// Runs the daemon until SIGTERM or SIGINT, then stops it gracefully. SIGHUP reloads the settings.
///
/// # Errors
///
/// Returns [`CommandError`] if the settings cannot be used or a listener cannot be bound.
pub fn run(options: Options) -> Result<(), CommandError> {
    let settings = DaemonSettings::open_named(options.settings.clone())?;
    logs::open_to(&settings.log_level, Output::spawn())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    LocalSet::new().block_on(&runtime, serve(settings, options.settings))
}

async fn serve(settings: DaemonSettings, path: Option<PathBuf>) -> Result<(), CommandError> {
    let mut terminate = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(RuntimeSnafu)?;
    let mut reload = signal(SignalKind::hangup()).context(RuntimeSnafu)?;
    let mut daemon = Daemon::bind(settings)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            error = daemon.service_ended() => {
                Daemon::flush_log().await;
                return Err(error.into());
            }
            _ = reload.recv() => match DaemonSettings::open_named(path.clone()) {
                Ok(settings) => daemon.reload(&settings),
                Err(error) => Line::error("settings_not_reloaded").with_reason(error).write(),
            },
        }
    }
    daemon.stop().await;
    Ok(())
}
