//! Scenarios of the review: the project's entry hosts as processes, and stand-ins of the store, the workers and the
//! clients. Exits with 1 if the rule was broken, 0 if it held, and 2 if the scenario could not run.

mod http;
mod json;
mod record;
mod scenarios;
mod store;
mod system;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

const TIME_MAX: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [scenario, repository, folder, record] = arguments.as_slice() else {
        eprintln!("usage: scenarios SCENARIO REPOSITORY FOLDER RECORD");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        thread::sleep(TIME_MAX);
        println!("could not run: it takes too long");
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".into());
    let (repository, folder) = (PathBuf::from(repository), PathBuf::from(folder));
    let outcome = scenarios::play(scenario, &repository, &folder, record, &trouble);
    match outcome {
        Ok(broken) if broken.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in broken {
                println!("BROKEN: {line}");
            }
            ExitCode::from(1)
        }
        Err(reason) => {
            println!("could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
