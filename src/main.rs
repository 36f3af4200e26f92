//! The binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    primrosestack::cmd::main()
}
