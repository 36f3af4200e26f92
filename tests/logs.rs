//! The process's logger. A process has only one, so this test has its own test binary.

use std::io::Write;
use std::sync::{Arc, Mutex};

use primrosestack::logs::{self, Line};

#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against log lines that are not key-value pairs, such as those of libraries, and against a log level setting
/// without effect.
#[test]
fn every_written_line_is_pairs_at_or_above_the_level() {
    let output = Output::default();
    logs::open_to("info", output.clone()).unwrap();
    assert!(logs::open_to("info", output.clone()).is_err());
    log::error!(target: "rustls", "not pairs");
    assert_eq!(Line::debug("hidden").with_reason("x").text(), None);
    Line::debug("hidden").write();
    Line::warn("shown").with_reason("two words").write();
    let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    let (time, rest) = text.split_once(' ').unwrap();
    assert_eq!(rest, "level=warn event=shown reason=\"two words\"\n");
    assert_eq!(
        (&time[..5], time.len()),
        ("time=", "time=2026-12-04T06:30:00.000Z".len())
    );
}
