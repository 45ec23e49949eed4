//! The program `endivedyke-lab`; see README.md.

use std::process::ExitCode;

fn main() -> ExitCode {
    endivedyke_lab::run()
}
