//! The operators' client: checks tables, predicts edits and shows the state of processes.

mod host_states;
mod remote;
mod service_loads;
mod status;
mod tables;

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use gumdrop::Options;

use crate::code::Code;
use crate::config::settings::Settings;
use crate::config::table::TABLE_HEADER;
use crate::error::{Error, Result};
use crate::explain;
use crate::programs::daemon::EXIT_USAGE;
use crate::programs::operator::remote::{state_command, status_command};

#[derive(Debug, Options)]
struct OperatorOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(no_short, help = "print the version and exit")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "table check FILE, table diff OLD NEW, table header")]
    Table(Words),
    #[options(help = "settings check FILE")]
    Settings(Words),
    #[options(help = "state ADDRESS: print the whole state of the process on a host")]
    State(StateOptions),
    #[options(help = "explain ID FILE...: follow a request or flow through log files")]
    Explain(Words),
    #[options(help = "status: revision, load and drains of all processes at a glance")]
    Status(StatusOptions),
}

#[derive(Debug, Options)]
struct Words {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(free)]
    words: Vec<String>,
}

#[derive(Debug, Options)]
struct StateOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(
        help = "settings with the cluster key and the control port",
        meta = "FILE"
    )]
    settings: Option<PathBuf>,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(free)]
    address: Vec<Ipv4Addr>,
}

#[derive(Debug, Options)]
struct StatusOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(
        help = "settings with the cluster key and the control port",
        meta = "FILE"
    )]
    settings: Option<PathBuf>,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// Runs the operators' client with the arguments of the process.
pub fn run_operator() -> ExitCode {
    let options = OperatorOptions::parse_args_default_or_exit();
    if options.version {
        println!("endivedyke {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let result = match &options.command {
        Some(Command::Table(words)) => table_command(&words.words),
        Some(Command::Settings(words)) => settings_command(&words.words),
        Some(Command::Explain(words)) => explain_command(&words.words),
        Some(Command::State(options)) => state_command(options),
        Some(Command::Status(options)) => status_command(options),
        None => Err(Error::new(Code::Usage, "name a command")),
    };
    match result {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("endivedyke: {error}");
            let usage = error.code == Code::Usage;
            ExitCode::from(if usage { EXIT_USAGE } else { 1 })
        }
    }
}

fn read(path: &str) -> Result<String> {
    let text = std::fs::read_to_string(path);
    text.map_err(|error| Error::new(Code::Io, format!("{path}: {error}")))
}

fn explain_command(words: &[String]) -> Result<String> {
    let Some((id, files)) = words.split_first().filter(|(_, files)| !files.is_empty()) else {
        return Err(Error::new(Code::Usage, "explain ID FILE..."));
    };
    let logs: Result<Vec<_>> = files
        .iter()
        .map(|file| Ok((file.clone(), read(file)?)))
        .collect();
    explain::explain(id, &logs?)
}

fn table_command(words: &[String]) -> Result<String> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["header"] => Ok(format!("{TABLE_HEADER}\n")),
        ["check", file] => tables::check(&read(file)?),
        ["diff", old, new] => tables::diff(&read(old)?, &read(new)?),
        _ => Err(Error::new(
            Code::Usage,
            "table check FILE, table diff OLD NEW or table header",
        )),
    }
}

fn settings_command(words: &[String]) -> Result<String> {
    match words {
        [verb, file] if verb == "check" => {
            Settings::load(Path::new(file))?;
            Ok(format!("{file}: settings are sound\n"))
        }
        _ => Err(Error::new(Code::Usage, "settings check FILE")),
    }
}
