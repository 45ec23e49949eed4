//! The program `endivedyke-agent`; see README.md.

use std::process::ExitCode;

fn main() -> ExitCode {
    endivedyke::run_agent()
}
