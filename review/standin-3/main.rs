//! Stand-ins and clients of the cases in `review/11` to `review/15`, with the standard library alone.
//!
//! `standin CASE RECORD` runs a case and writes its record. It ends with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. With `TROUBLE=0` in the environment, the case runs without its disruption.

mod advice;
mod gang;
mod history;
mod late_write;
mod site;
mod store;
mod wire;

use std::fs;
use std::process::ExitCode;

use crate::site::Site;

/// What a case found.
pub enum Verdict {
    Held,
    /// The rule was broken, with what was seen.
    Broken(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (case, record) = (arguments.next().unwrap_or_default(), arguments.next());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run: fn(&Site, bool) -> Verdict = match case.as_str() {
        "advice" => advice::run,
        "gang" => gang::run,
        "history" => history::run,
        "late-write" => late_write::run,
        _ => {
            println!("unknown case {case:?}");
            return ExitCode::from(2);
        }
    };
    let site = Site::open(16);
    let verdict = run(&site, trouble);
    let (code, line) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(what) => (1, format!("the rule was broken: {what}")),
        Verdict::CouldNotRun(why) => (2, format!("the case could not run: {why}")),
    };
    let mut lines = site.lines();
    lines.push(line.clone());
    println!("{line}");
    if let Some(path) = record
        && fs::write(&path, lines.join("\n") + "\n").is_err()
    {
        println!("the record could not be written: {path}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
