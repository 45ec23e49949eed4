//! The program `endivedyke`, the operators' client; see README.md.

use std::process::ExitCode;

fn main() -> ExitCode {
    endivedyke::run_operator()
}
