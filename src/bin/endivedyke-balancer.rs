//! The program `endivedyke-balancer`; see README.md.

use std::process::ExitCode;

fn main() -> ExitCode {
    endivedyke::run_balancer()
}
