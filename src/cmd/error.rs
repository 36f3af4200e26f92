//! Errors of subcommands and their exit codes.

use std::error::Error;
use std::path::PathBuf;

use snafu::Snafu;

use crate::client::ClientError;
use crate::problem::Code;
use crate::settings::SettingsError;

/// The command failed, or its outcome is unknown.
pub const EXIT_FAILURE: u8 = 1;

/// The input is invalid; a retry fails, too.
pub const EXIT_BAD_INPUT: u8 = 2;

/// Nothing was run; a retry may succeed.
pub const EXIT_NOT_RUN: u8 = 3;

/// Why a subcommand fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CommandError {
    /// The entry host could not be opened.
    #[snafu(context(false), display("{source}"))]
    Host { source: crate::host::HostError },
    /// The daemon could not be started.
    #[snafu(context(false), display("{source}"))]
    Daemon { source: crate::daemon::DaemonError },
    /// Settings of the daemon cannot be used.
    #[snafu(context(false), display("{source}"))]
    DaemonSettings {
        source: crate::daemon::settings::DaemonSettingsError,
    },
    /// The log could not be opened.
    #[snafu(context(false), display("{source}"))]
    Log { source: crate::logs::LogError },
    /// The graceful stop timed out with requests or shards left.
    #[snafu(display("graceful stop timed out: requests or shards were left"))]
    IncompleteStop,
    /// The report could not be made.
    #[snafu(context(false), display("{source}"))]
    Report {
        source: crate::cmd::report::ReportError,
    },
    /// Data of some hosts are missing from a report that was printed.
    #[snafu(display("data of some entry hosts are missing"))]
    PartialReport,
    /// Settings cannot be used.
    #[snafu(context(false), display("{source}"))]
    Settings { source: SettingsError },
    /// A call failed.
    #[snafu(context(false), display("{source}"))]
    Client { source: ClientError },
    /// A file could not be read.
    #[snafu(display("cannot read {}", path.display()))]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    /// Files have faults.
    #[snafu(display("{rendered}"))]
    Faulty {
        /// One line per fault.
        rendered: String,
    },
    /// A required argument is missing or invalid.
    #[snafu(display("expected {expected}"))]
    Usage { expected: &'static str },
    /// Some jobs of a cancellation are unknown.
    #[snafu(display("{count} jobs are unknown"))]
    UnknownJobs { count: usize },
    /// A watched job ended with tasks that did not succeed.
    #[snafu(display("job {job} ended with {count} tasks that did not succeed"))]
    JobFailed { job: String, count: u32 },
    /// An accepted job cannot be watched any further; the job itself continues.
    #[snafu(display("job {job} goes on, but cannot be watched: {source}"))]
    Watch { job: String, source: ClientError },
    /// The runtime could not be started.
    #[snafu(display("cannot start the runtime"))]
    Runtime { source: std::io::Error },
    /// The answer could not be printed.
    #[snafu(display("cannot write to standard output"))]
    Output { source: std::io::Error },
}

impl CommandError {
    /// Exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings { .. }
            | Self::DaemonSettings { .. }
            | Self::Read { .. }
            | Self::Faulty { .. }
            | Self::Usage { .. } => EXIT_BAD_INPUT,
            Self::Client { source } => client_exit_code(source),
            Self::PartialReport => EXIT_NOT_RUN,
            _ => EXIT_FAILURE,
        }
    }

    /// Returns a readable message with the faults and causes, ending with a newline.
    #[must_use]
    pub fn report(&self) -> String {
        if let Self::Faulty { rendered } = self {
            return format!("{rendered}\n");
        }
        let mut text = format!("Error: {self}");
        let mut last = self.to_string();
        let mut cause = self.source();
        while let Some(error) = cause {
            let message = error.to_string();
            // A cause that is part of its error's message is not printed twice.
            if !last.contains(&message) {
                text = format!("{text}: {message}");
            }
            last = message;
            cause = error.source();
        }
        if let Self::Client {
            source: ClientError::Refused { problem },
        } = self
        {
            for fault in &problem.faults {
                text = format!("{text}\n{fault}");
            }
        }
        text.push('\n');
        text
    }
}

fn client_exit_code(error: &ClientError) -> u8 {
    match error {
        ClientError::NoAddress
        | ClientError::BadAddress { .. }
        | ClientError::NoAuthority
        | ClientError::Tls { .. }
        | ClientError::BadToken
        | ClientError::BadName { .. } => EXIT_BAD_INPUT,
        ClientError::Connect { .. } => EXIT_NOT_RUN,
        ClientError::ConnectionLost { .. }
        | ClientError::Timeout
        | ClientError::UnreadableAnswer { .. } => EXIT_FAILURE,
        ClientError::Refused { problem } if problem.code.is_not_run() => EXIT_NOT_RUN,
        ClientError::Refused { problem } => match problem.code {
            Code::BadRequest | Code::Invalid | Code::BodyTooLarge | Code::TooLarge => {
                EXIT_BAD_INPUT
            }
            _ => EXIT_FAILURE,
        },
    }
}
