//! The cases 6 to 10 of the review: `case-runner NUMBER`, from the root of the repository. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod http;
mod json;
mod judge;
mod record;
mod site;
mod store;
mod worker;

use std::env;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;

use crate::record::Record;

fn main() {
    let number: u32 = env::args()
        .nth(1)
        .and_then(|number| number.parse().ok())
        .unwrap_or(0);
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(format!("review/{number}"));
    let record = match Record::open(&folder.join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            exit(2);
        }
    };
    let code = match cases::run(number, trouble, &record) {
        Ok(true) => {
            record.line("the rule was broken");
            1
        }
        Ok(false) => {
            record.line("the rule held");
            0
        }
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            2
        }
    };
    exit(code);
}
