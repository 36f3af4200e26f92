//! `primrosestack check`: validates files and reports all faults.

use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::check::Faults;
use crate::cmd::error::{CommandError, FaultySnafu, ReadSnafu, UsageSnafu};
use crate::cmd::output::{print, print_json};
use crate::document::Document;
use crate::openapi;
use crate::settings::{Settings, TokensFile};

/// Kind of a file to check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Service document.
    Document,
    /// Settings of an entry host.
    Settings,
    /// Tokens file.
    Tokens,
}

/// An unknown kind of file.
#[derive(Debug, Snafu)]
#[snafu(display("expected document, settings or tokens"))]
pub struct KindError;

impl FromStr for Kind {
    type Err = KindError;

    fn from_str(word: &str) -> Result<Self, KindError> {
        match word {
            "document" => Ok(Self::Document),
            "settings" => Ok(Self::Settings),
            "tokens" => Ok(Self::Tokens),
            _ => KindSnafu.fail(),
        }
    }
}

/// Arguments of `check`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Kind of the files: document, settings or tokens (default: by the fields of each file)
    #[bpaf(long("as"), argument("KIND"))]
    kind: Option<Kind>,
    /// Print the JSON Schema of service documents, or of the kind given with --as
    print_schema: bool,
    /// Print the `OpenAPI` document of the administration API
    print_openapi: bool,
    /// Print the faults as JSON, one line per file
    json: bool,
    /// Files to check
    #[bpaf(positional("FILE"), many)]
    files: Vec<PathBuf>,
}

/// Checks files, or prints a schema.
///
/// # Errors
///
/// Returns [`CommandError::Faulty`] with all faults of all files, or [`CommandError::Read`].
pub fn run(options: &Options) -> Result<(), CommandError> {
    if options.print_schema {
        let schema = schema(options.kind.unwrap_or(Kind::Document));
        return print(&format!("{schema:#}\n"));
    }
    if options.print_openapi {
        return print(&format!("{:#}\n", openapi::document()));
    }
    let expected = "at least one FILE";
    ensure!(!options.files.is_empty(), UsageSnafu { expected });
    let mut rendered = Vec::new();
    for path in &options.files {
        let text = std::fs::read(path).context(ReadSnafu { path })?;
        let text = String::from_utf8(text).ok().context(FaultySnafu {
            rendered: format!(
                "{}:1:1: found another encoding, expected UTF-8",
                path.display()
            ),
        })?;
        let kind = options.kind.unwrap_or_else(|| detect_kind(&text));
        let faults = check(kind, &text).err();
        if options.json {
            let faults = faults.as_ref().map_or(&[][..], |faults| &faults.0);
            print_json(&serde_json::json!({ "file": path, "faults": faults }))?;
        }
        if let Some(faults) = faults {
            rendered.push(faults.render(path));
        }
    }
    let rendered = rendered.join("\n");
    ensure!(rendered.is_empty(), FaultySnafu { rendered });
    Ok(())
}

fn check(kind: Kind, text: &str) -> Result<(), Faults> {
    match kind {
        Kind::Document => Document::read(text).map(|_| ()),
        Kind::Settings => Settings::read(text).map(|_| ()),
        Kind::Tokens => TokensFile::read(text).map(|_| ()),
    }
}

fn schema(kind: Kind) -> serde_json::Value {
    match kind {
        Kind::Document => Document::schema(),
        Kind::Settings => Settings::schema(),
        Kind::Tokens => TokensFile::schema(),
    }
}

/// Detects the kind of a file by fields that only that kind has; defaults to a document.
fn detect_kind(text: &str) -> Kind {
    let has = |field: &str| text.contains(&format!("\"{field}\""));
    if has("front_address") || has("peer_address") || has("store_address") {
        return Kind::Settings;
    }
    if has("tokens") && has("sha256") {
        return Kind::Tokens;
    }
    Kind::Document
}
