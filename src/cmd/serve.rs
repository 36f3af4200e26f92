//! `primrosestack serve`: runs an entry host.

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::cmd::error::{CommandError, NotBuiltSnafu};
use crate::settings::Settings;

/// Arguments of `serve`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Settings file (default: `PRIMROSESTACK_SETTINGS`)
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
}

/// Runs an entry host until it is asked to stop.
///
/// # Errors
///
/// Returns [`CommandError`] if the settings cannot be used or a listener cannot be bound.
pub fn run(options: Options) -> Result<(), CommandError> {
    let _settings = Settings::open_named(options.settings)?;
    NotBuiltSnafu { part: "serve" }.fail()
}
