//! Entry point of the `primrosestack` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    primrosestack::cmd::main()
}
