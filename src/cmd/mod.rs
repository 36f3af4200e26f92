//! The command line: one module per subcommand, each with one `run`.

pub mod check;
pub mod daemon;
pub mod document;
pub mod error;
pub mod host;
pub mod job;
pub mod output;
pub mod report;
pub mod serve;
pub mod settings;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, Bpaf, ParseFailure};
use snafu::ResultExt;

use crate::client::{Client, ClientError};
use crate::cmd::error::{CommandError, EXIT_BAD_INPUT, RuntimeSnafu};
use crate::settings::ClientSettings;

/// Width of the help texts in characters.
const HELP_WIDTH: usize = 100;

/// Schedules latency-critical requests and batch tasks on shared hosts
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    footer("Exit codes: 0 done, 1 failure, 2 bad input, 3 not run")
)]
pub enum Command {
    /// Runs an entry host
    #[bpaf(command)]
    Serve(#[bpaf(external(serve::options))] serve::Options),
    /// Runs an entry host on the users' platform
    #[bpaf(command)]
    Daemon(#[bpaf(external(daemon::options))] daemon::Options),
    /// Checks documents, settings and token files, and reports all faults
    #[bpaf(command)]
    Check(#[bpaf(external(check::options))] check::Options),
    /// Shows the settings of an entry host
    #[bpaf(command)]
    Settings(#[bpaf(external(settings::options))] settings::Options),
    /// Lists, reads and writes service documents
    #[bpaf(command)]
    Document(#[bpaf(external(document::options))] document::Options),
    /// Submits, shows and cancels batch jobs
    #[bpaf(command)]
    Job(#[bpaf(external(job::options))] job::Options),
    /// Shows entry hosts and backend servers
    #[bpaf(command)]
    Host(#[bpaf(external(host::options))] host::Options),
    /// Reports figures aggregated over entry hosts
    #[bpaf(command)]
    Report(#[bpaf(external(report::report_options))] report::ReportOptions),
}

/// Connection to an entry host, and output format.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(connection))]
pub struct Connection {
    /// Administration address, http://HOST:PORT or https://HOST:PORT (default: `PRIMROSESTACK_ADDRESS`)
    #[bpaf(argument("URL"))]
    address: Option<String>,
    /// Token (default: `PRIMROSESTACK_TOKEN`, which other users of the machine cannot see)
    #[bpaf(argument("TOKEN"))]
    token: Option<String>,
    /// Certificate authorities of the entry hosts, PEM (default: `PRIMROSESTACK_AUTHORITY_FILE`)
    #[bpaf(argument("FILE"))]
    authority: Option<PathBuf>,
    /// Print JSON
    json: bool,
}

impl Connection {
    fn open(self) -> Result<Client, ClientError> {
        let settings = ClientSettings {
            address: self.address,
            token: self.token,
            authority_file: self.authority,
        };
        Client::open(settings.or_environment())
    }
}

/// Runs the program on the arguments of the process.
#[must_use]
pub fn main() -> ExitCode {
    let command = match command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            return match failure {
                ParseFailure::Stderr(_) => ExitCode::from(EXIT_BAD_INPUT),
                _ => ExitCode::SUCCESS,
            };
        }
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprint!("{}", error.report());
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Serve(options) => serve::run(options),
        Command::Daemon(options) => daemon::run(options),
        Command::Check(options) => check::run(&options),
        Command::Settings(options) => settings::run(&options),
        Command::Document(options) => document::run(options),
        Command::Job(options) => job::run(options),
        Command::Host(options) => host::run(options),
        Command::Report(options) => report::run(&options),
    }
}

/// Runs one call on a new single-threaded runtime.
fn block_on<T>(future: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime.block_on(future)
}
