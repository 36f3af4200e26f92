//! `primrosestack report`: figures aggregated over entry hosts.

use std::fmt::Write as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use snafu::{ResultExt, Snafu};
use time::OffsetDateTime;
use time::macros::format_description;

use crate::burn::WINDOW_NAMES;
use crate::burn_fetch::{BurnClient, BurnClientError};
use crate::burn_html;
use crate::burn_sum::{Row, Summary};
use crate::cmd::error::{CommandError, PartialReportSnafu};

/// Exit code when all queried and known entry hosts returned data.
pub const EXIT_COMPLETE: u8 = 0;

/// Exit code when data of a host or a failure domain are missing.
pub const EXIT_PARTIAL: u8 = 3;

/// Why the report failed.
#[derive(Debug, Snafu)]
pub enum ReportError {
    /// The client could not be opened.
    #[snafu(display("{source}"))]
    Open { source: BurnClientError },
    /// The page could not be written.
    #[snafu(display("cannot write {}: {source}", path.display()))]
    Write {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The report could not be encoded.
    #[snafu(display("cannot encode the report: {source}"))]
    Encode { source: serde_json::Error },
    /// The report could not be printed.
    #[snafu(display("cannot print the report: {source}"))]
    Print { source: std::io::Error },
}

/// The reports.
#[derive(Clone, Debug, Bpaf)]
pub enum ReportOptions {
    /// Service-level burn per service and failure domain; exit code 3 if data are missing
    #[bpaf(command("burn"))]
    Burn(#[bpaf(external(burn_options))] BurnOptions),
}

/// Options of `primrosestack report burn`.
#[derive(Clone, Debug, Bpaf)]
pub struct BurnOptions {
    /// Administration address of an entry host, as IP:PORT; repeat it for each entry host
    #[bpaf(argument("IP:PORT"), some("at least one --address is needed"))]
    pub address: Vec<SocketAddr>,
    /// File with the token to send
    #[bpaf(argument("FILE"))]
    pub token_file: Option<PathBuf>,
    /// PEM file with the certificate authorities to trust; without it, connections do not use TLS
    #[bpaf(argument("FILE"))]
    pub authority_file: Option<PathBuf>,
    /// Milliseconds to wait for each host
    #[bpaf(argument("MS"), fallback(5_000), display_fallback)]
    pub timeout_ms: u64,
    /// Print JSON instead of a table
    pub json: bool,
    /// Write one self-contained HTML page with plots to this file
    #[bpaf(argument("FILE"))]
    pub html: Option<PathBuf>,
}

/// Makes a report.
///
/// # Errors
///
/// Returns [`CommandError`] if a file cannot be read or written, or data of some hosts are missing.
pub fn run(options: &ReportOptions) -> Result<(), CommandError> {
    let code = super::block_on(async { Ok(create_report(options).await?) })?;
    if code == EXIT_PARTIAL {
        return PartialReportSnafu.fail();
    }
    Ok(())
}

/// Makes a report and returns the exit code.
///
/// # Errors
///
/// Returns [`ReportError`] if a file cannot be read or written. Unreachable hosts are not an error.
pub async fn create_report(options: &ReportOptions) -> Result<u8, ReportError> {
    let ReportOptions::Burn(options) = options;
    let mut client = BurnClient::open(options.timeout_ms);
    if let Some(path) = &options.token_file {
        client = client.with_token_file(path).context(OpenSnafu)?;
    }
    if let Some(path) = &options.authority_file {
        client = client.with_authority_file(path).context(OpenSnafu)?;
    }
    let results = client.fetch_all(&options.address).await;
    let summary = Summary::from_results(&results);
    if let Some(path) = &options.html {
        let page = burn_html::render(&summary, &time_text(OffsetDateTime::now_utc()));
        std::fs::write(path, page).context(WriteSnafu { path })?;
    }
    let text = if options.json {
        json(&summary)?
    } else {
        table(&summary)
    };
    let mut output = std::io::stdout().lock();
    output.write_all(text.as_bytes()).context(PrintSnafu)?;
    Ok(exit_code(&summary))
}

/// Exit code for a report.
#[must_use]
pub fn exit_code(summary: &Summary) -> u8 {
    if summary.is_partial() {
        return EXIT_PARTIAL;
    }
    EXIT_COMPLETE
}

fn json(summary: &Summary) -> Result<String, ReportError> {
    let mut text = serde_json::to_string(summary).context(EncodeSnafu)?;
    text.push('\n');
    Ok(text)
}

fn time_text(now: OffsetDateTime) -> String {
    let format = format_description!("[year]-[month]-[day] [hour]:[minute] UTC");
    now.format(format).unwrap_or_default()
}

/// Renders the report as a table for a terminal, followed by the missing hosts and failure domains.
#[must_use]
pub fn table(summary: &Summary) -> String {
    let mut lines = vec![header()];
    for row in &summary.rows {
        lines.push(row_cells(row));
    }
    let mut text = align_columns(&lines);
    if summary.rows.is_empty() {
        text.push_str("no host counted a request\n");
    }
    if summary.rows.iter().any(has_partial_window) {
        text.push_str("* a host began counting within the window; older requests are missing\n");
    }
    let mut from = format!("data from {} entry hosts:", summary.answered.len());
    for host in &summary.answered {
        push_fmt(
            &mut from,
            format_args!(" {} ({})", host.name, host.failure_domain),
        );
    }
    push_fmt(&mut text, format_args!("{from}\n"));
    for note in &summary.notes {
        push_fmt(&mut text, format_args!("note: {note}\n"));
    }
    for missing in &summary.missing {
        push_fmt(&mut text, format_args!("MISSING: {missing}\n"));
    }
    text
}

fn push_fmt(text: &mut String, arguments: std::fmt::Arguments<'_>) {
    let _infallible = text.write_fmt(arguments);
}

fn header() -> Vec<String> {
    let mut header = vec!["SERVICE".to_owned(), "FAILURE DOMAIN".to_owned()];
    header.extend(WINDOW_NAMES.iter().map(|name| format!("BURN {name}")));
    header.push("BUDGET LEFT".to_owned());
    header.push("ALARM".to_owned());
    header
}

fn row_cells(row: &Row) -> Vec<String> {
    let domain = row.failure_domain.as_deref().unwrap_or("(all)");
    let mut cells = vec![row.service.to_string(), domain.to_owned()];
    for window in &row.windows {
        let burn = window
            .burn
            .map_or("-".to_owned(), |burn| format!("{burn:.2}"));
        let mark = if window.forgotten { "*" } else { "" };
        cells.push(format!("{burn}{mark}"));
    }
    let left = row.budget_left;
    cells.push(left.map_or("-".to_owned(), |left| format!("{:.1}%", left * 100.0)));
    let alarm = match (row.fast_alarm, row.slow_alarm) {
        (true, true) => "fast,slow",
        (true, false) => "fast",
        (false, true) => "slow",
        (false, false) => "-",
    };
    cells.push(alarm.to_owned());
    cells
}

fn has_partial_window(row: &Row) -> bool {
    row.windows.iter().any(|window| window.forgotten)
}

fn align_columns(lines: &[Vec<String>]) -> String {
    let columns = lines.first().map_or(0, Vec::len);
    let width = |column: usize| {
        let widths = lines.iter().map(|line| line[column].chars().count());
        widths.max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for line in lines {
        let mut row = String::new();
        for (cell, width) in line.iter().zip(&widths) {
            push_fmt(&mut row, format_args!("{cell:width$}  "));
        }
        text.push_str(row.trim_end());
        text.push('\n');
    }
    text
}
