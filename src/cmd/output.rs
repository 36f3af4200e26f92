//! Output of subcommands: tables or JSON.

use std::io::Write;

use serde::Serialize;
use snafu::ResultExt;

use crate::cmd::error::{CommandError, OutputSnafu};

/// A table with left-aligned columns.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    #[must_use]
    pub fn new(titles: &[&str]) -> Self {
        let titles = titles.iter().map(|title| title.to_uppercase()).collect();
        Self { rows: vec![titles] }
    }

    /// Adds a row with a cell for each column.
    pub fn push(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns the table as text, each line ending with a newline.
    #[must_use]
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |at: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(at));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let padded: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            text.push_str(padded.join("  ").trim_end());
            text.push('\n');
        }
        text
    }

    /// Returns the table, with the option for the next page if there is one.
    #[must_use]
    pub fn render_page(&self, next: Option<&str>) -> String {
        let table = self.render();
        next.map_or_else(
            || table.clone(),
            |next| format!("{table}next: --after {next}\n"),
        )
    }
}

/// Prints text unchanged and flushes it.
///
/// # Errors
///
/// Returns [`CommandError::Output`] if standard output is closed.
pub fn print(text: &str) -> Result<(), CommandError> {
    let mut stdout = std::io::stdout().lock();
    stdout.write_all(text.as_bytes()).context(OutputSnafu)?;
    stdout.flush().context(OutputSnafu)
}

/// Prints a value as one line of JSON.
///
/// # Errors
///
/// Returns [`CommandError::Output`] if standard output is closed.
pub fn print_json(value: &impl Serialize) -> Result<(), CommandError> {
    // Serializing the API types cannot fail.
    let line = serde_json::to_string(value).unwrap_or_default();
    print(&format!("{line}\n"))
}

/// Formats a value, or `-` for none.
#[must_use]
pub fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
