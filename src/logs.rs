//! Log lines: one line of `key=value` pairs per event, written through `simplelog`.

use std::fmt::{Display, Write as _};
use std::io::{LineWriter, Write};

use log::{Level, LevelFilter};
use primrosestack_core::event::LogEvent;
use primrosestack_core::ids::{RequestKey, TaskId};
use simplelog::{ConfigBuilder, WriteLogger, format_description};
use snafu::Snafu;

/// Log target of this program. Lines of libraries have other targets and are dropped, since they are not `key=value`.
const TARGET: &str = "primrosestack";

/// Core events logged as errors, which the program cannot handle itself, sorted.
pub const ERROR_EVENTS: [&str; 3] = ["authority_lost", "head_reverted", "head_unreadable"];

/// Core events logged as warnings, which are unusual but handled by the program, sorted.
pub const WARNING_EVENTS: [&str; 7] = [
    "handover_failed",
    "journal_unreadable",
    "rank_1_begun",
    "server_lapsed",
    "server_quarantined",
    "stray_attempt",
    "superseded",
];

/// Why logging could not be initialized.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The level is none of `error`, `warn`, `info` and `debug`.
    #[snafu(display("log level {level:?} is none of error, warn, info, debug"))]
    Level {
        /// The level from the settings.
        level: String,
    },
    /// Logging was already initialized in this process.
    #[snafu(display("logging is already initialized"))]
    Open { source: log::SetLoggerError },
}

/// Initializes logging to standard error at the given level.
///
/// # Errors
///
/// Returns [`LogError`] if the level is unknown or logging is already initialized.
pub fn open(level: &str) -> Result<(), LogError> {
    // The logger writes a line in several pieces; the line buffer combines them into one system call.
    open_to(level, LineWriter::new(std::io::stderr()))
}

/// Initializes logging to `output` at the given level.
///
/// # Errors
///
/// Returns [`LogError`] if the level is unknown or logging is already initialized.
pub fn open_to(level: &str, output: impl Write + Send + 'static) -> Result<(), LogError> {
    let filter = parse_level(level)?;
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Error)
        .set_time_format_custom(format_description!(
            "time=[year]-[month]-[day]T[hour]:[minute]:[second].[subsecond digits:3]Z"
        ))
        .set_max_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str(TARGET)
        .build();
    WriteLogger::init(filter, config, output).map_err(|source| LogError::Open { source })
}

/// Parses the name of a level.
///
/// # Errors
///
/// Returns [`LogError::Level`] if the name is unknown.
pub fn parse_level(level: &str) -> Result<LevelFilter, LogError> {
    match level {
        "error" => Ok(LevelFilter::Error),
        "warn" => Ok(LevelFilter::Warn),
        "info" => Ok(LevelFilter::Info),
        "debug" => Ok(LevelFilter::Debug),
        _ => Err(LogError::Level {
            level: level.to_owned(),
        }),
    }
}

/// Builder of one log line. Nothing is formatted if its level is disabled.
#[derive(Clone, Debug)]
#[must_use = "a line is written by `write`"]
pub struct Line {
    level: Level,
    text: Option<String>,
}

impl Line {
    /// Starts a line; `event` is a name in snake case.
    pub fn new(level: Level, event: &'static str) -> Self {
        if log::log_enabled!(target: TARGET, level) {
            return Self::formatted(level, event);
        }
        Self { level, text: None }
    }

    /// Starts a line that is formatted even if its level is disabled.
    pub fn formatted(level: Level, event: &'static str) -> Self {
        let name = match level {
            Level::Error => "error",
            Level::Warn => "warn",
            Level::Info => "info",
            Level::Debug | Level::Trace => "debug",
        };
        Self {
            level,
            text: Some(format!("level={name} event={event}")),
        }
    }

    /// Starts a line about an error that needs an operator.
    pub fn error(event: &'static str) -> Self {
        Self::new(Level::Error, event)
    }

    /// Starts a line about something unusual that the program handles.
    pub fn warn(event: &'static str) -> Self {
        Self::new(Level::Warn, event)
    }

    /// Starts a line about normal operation.
    pub fn info(event: &'static str) -> Self {
        Self::new(Level::Info, event)
    }

    /// Starts a line for debugging.
    pub fn debug(event: &'static str) -> Self {
        Self::new(Level::Debug, event)
    }

    /// Starts the line of a log event of the core.
    pub fn from_event(log_event: &LogEvent) -> Self {
        Self::new(event_level(log_event), log_event.event).with_event(log_event)
    }

    /// Appends a pair. The value is quoted if it is empty or contains spaces, quotes, backslashes, equals signs or
    /// anything other than printable ASCII.
    pub fn with(mut self, key: &'static str, value: impl Display) -> Self {
        if let Some(text) = &mut self.text {
            append_pair(text, key, &value.to_string());
        }
        self
    }

    /// Appends the task's identity: job in hexadecimal and position in the job.
    pub fn with_task(self, task: TaskId) -> Self {
        self.with("task", format_args!("{:016x}/{}", task.job.0, task.index))
    }

    /// Appends the hash of a request's idempotency key, never the key itself.
    pub fn with_request_key(self, key: RequestKey) -> Self {
        self.with("request_key", format_args!("{:032x}", key.0))
    }

    pub fn with_reason(self, reason: impl Display) -> Self {
        self.with("reason", reason)
    }

    /// Appends the term, task and subject of a log event.
    pub fn with_event(self, log_event: &LogEvent) -> Self {
        let mut line = self.with("term", log_event.term);
        if let Some(task) = log_event.task {
            line = line.with_task(task);
        }
        if !log_event.subject.is_empty() {
            line = line.with("subject", &log_event.subject);
        }
        line
    }

    /// Returns the text of the line; none if its level is disabled.
    #[must_use]
    pub fn text(&self) -> Option<&str> {
        self.text.as_deref()
    }

    pub fn write(self) {
        if let Some(text) = self.text {
            log::log!(target: TARGET, self.level, "{text}");
        }
    }
}

/// Returns the level at which a log event of the core is written.
#[must_use]
pub fn event_level(log_event: &LogEvent) -> Level {
    if ERROR_EVENTS.binary_search(&log_event.event).is_ok() {
        return Level::Error;
    }
    if WARNING_EVENTS.binary_search(&log_event.event).is_ok() {
        return Level::Warn;
    }
    Level::Info
}

fn append_pair(text: &mut String, key: &str, value: &str) {
    text.push(' ');
    text.push_str(key);
    text.push('=');
    if !needs_quotes(value) {
        text.push_str(value);
        return;
    }
    text.push('"');
    for character in value.chars() {
        match character {
            '"' => text.push_str("\\\""),
            '\\' => text.push_str("\\\\"),
            '\n' => text.push_str("\\n"),
            '\r' => text.push_str("\\r"),
            '\t' => text.push_str("\\t"),
            // Other control characters could start a new line or control the terminal.
            other if other.is_control() || is_line_separator(other) => {
                let _infallible = write!(text, "\\u{{{:x}}}", u32::from(other));
            }
            other => text.push(other),
        }
    }
    text.push('"');
}

fn needs_quotes(value: &str) -> bool {
    value.is_empty()
        || value
            .bytes()
            .any(|byte| !byte.is_ascii_graphic() || matches!(byte, b'"' | b'\\' | b'='))
}

fn is_line_separator(character: char) -> bool {
    matches!(character, '\u{2028}' | '\u{2029}')
}
