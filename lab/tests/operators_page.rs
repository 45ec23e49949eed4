//! The shell sessions in docs/OPERATORS.md match the output of the programs.

mod common;

use std::path::Path;
use std::process::Command;

use endivedyke_lab::binary_path;

const PAGE: &str = include_str!("../../docs/OPERATORS.md");
const FENCE: &str = "```console\n";

/// Runs a line in a shell, in `folder` and with the programs in `PATH`, and returns its output.
fn run_in_shell(line: &str, folder: &Path) -> String {
    let program = binary_path("endivedyke").expect("built");
    let programs = program.parent().expect("a folder").display().to_string();
    let path = std::env::var("PATH").unwrap_or_default();
    let output = Command::new("sh")
        .args(["-c", line])
        .current_dir(folder)
        .env("PATH", format!("{programs}:{path}"))
        .output()
        .expect("a shell");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    text(&output.stdout) + &text(&output.stderr)
}

#[test]
fn sessions_print_the_output_on_the_page() {
    let folder = tempfile::tempdir().expect("folder");
    let sessions: Vec<&str> = PAGE.split(FENCE).skip(1).collect();
    assert!(sessions.len() >= 2, "the page has lost its sessions");
    for session in sessions {
        let expected = session.split("```").next().expect("an end");
        let mut actual = String::new();
        for line in expected.lines().filter_map(|line| line.strip_prefix("$ ")) {
            actual += &format!("$ {line}\n{}", run_in_shell(line, folder.path()));
        }
        assert_eq!(actual, expected);
    }
}
