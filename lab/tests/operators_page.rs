//! The shell sessions of docs/OPERATORS.md show what the programs print.

mod common;

use std::path::Path;
use std::process::Command;

use endivedyke_lab::binary_path;

const PAGE: &str = include_str!("../../docs/OPERATORS.md");
const FENCE: &str = "```console\n";

/// Runs a line as an operator's shell does, in a folder, with the programs at hand.
fn shell(line: &str, folder: &Path) -> String {
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
fn the_sessions_run_as_they_are_printed() {
    let folder = tempfile::tempdir().expect("folder");
    let sessions: Vec<&str> = PAGE.split(FENCE).skip(1).collect();
    assert!(sessions.len() >= 2, "the page has lost its sessions");
    for session in sessions {
        let printed = session.split("```").next().expect("an end");
        let mut shown = String::new();
        for line in printed.lines().filter_map(|line| line.strip_prefix("$ ")) {
            shown += &format!("$ {line}\n{}", shell(line, folder.path()));
        }
        assert_eq!(shown, printed);
    }
}
