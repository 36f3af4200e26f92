//! `primrosestack settings`: shows settings.

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::cmd::error::CommandError;
use crate::cmd::output::print;
use crate::settings::Settings;

/// Arguments of `settings`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Print an example with the default of every field that has one
    print_defaults: bool,
    /// Settings file whose fields, with defaults, are printed (default: `PRIMROSESTACK_SETTINGS`)
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
}

/// Prints settings.
///
/// # Errors
///
/// Returns [`CommandError`] if a settings file cannot be used.
pub fn run(options: &Options) -> Result<(), CommandError> {
    let settings = if options.print_defaults {
        Settings::example()
    } else {
        Settings::open_named(options.settings.clone())?
    };
    // Serializing settings cannot fail.
    let text = serde_json::to_string_pretty(&settings).unwrap_or_default();
    print(&format!("{text}\n"))
}
