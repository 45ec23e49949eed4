//! The operators' command line client: checks tables, shows the effect of edits and the state of processes.

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
    Table(CommandOptions),
    #[options(help = "settings check FILE")]
    Settings(CommandOptions),
    #[options(help = "state ADDRESS: print the whole state of the process on a host")]
    State(StateOptions),
    #[options(help = "explain ID FILE...: trace a request or flow through log files")]
    Explain(CommandOptions),
    #[options(help = "status: print revision, load and drains of all processes")]
    Status(StatusOptions),
}

// A doc comment on this struct would become part of `--help`.
#[derive(Debug, Options)]
struct CommandOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(free)]
    arguments: Vec<String>,
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

/// Runs the operators' client with the command line of the process.
pub fn run_operator() -> ExitCode {
    let options = OperatorOptions::parse_args_default_or_exit();
    if options.version {
        println!("endivedyke {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let result = match &options.command {
        Some(Command::Table(options)) => table_command(&options.arguments),
        Some(Command::Settings(options)) => settings_command(&options.arguments),
        Some(Command::Explain(options)) => explain_command(&options.arguments),
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
            let is_usage = error.code == Code::Usage;
            ExitCode::from(if is_usage { EXIT_USAGE } else { 1 })
        }
    }
}

fn read_file(path: &str) -> Result<String> {
    let text = std::fs::read_to_string(path);
    text.map_err(|error| Error::new(Code::Io, format!("{path}: {error}")))
}

fn explain_command(arguments: &[String]) -> Result<String> {
    let Some((id, files)) = arguments
        .split_first()
        .filter(|(_, files)| !files.is_empty())
    else {
        return Err(Error::new(Code::Usage, "explain ID FILE..."));
    };
    let logs: Result<Vec<_>> = files
        .iter()
        .map(|file| Ok((file.clone(), read_file(file)?)))
        .collect();
    explain::explain(id, &logs?)
}

fn table_command(arguments: &[String]) -> Result<String> {
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["header"] => Ok(format!("{TABLE_HEADER}\n")),
        ["check", file] => tables::check(&read_file(file)?),
        ["diff", old, new] => tables::diff(&read_file(old)?, &read_file(new)?),
        _ => Err(Error::new(
            Code::Usage,
            "table check FILE, table diff OLD NEW or table header",
        )),
    }
}

fn settings_command(arguments: &[String]) -> Result<String> {
    match arguments {
        [verb, file] if verb == "check" => {
            Settings::load(Path::new(file))?;
            Ok(format!("{file}: settings are valid\n"))
        }
        _ => Err(Error::new(Code::Usage, "settings check FILE")),
    }
}
