//! The operators' client: checks tables, predicts edits and shows the state of processes.

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use gumdrop::Options;
use serde_json::Value;

use crate::code::Code;
use crate::config::config_store::HOSTS_NAME;
use crate::config::hosts::HostList;
use crate::config::platform;
use crate::config::settings::Settings;
use crate::config::table::{self, TABLE_HEADER, Table};
use crate::config::table_diff::TableDiff;
use crate::error::{Error, Result};
use crate::explain;
use crate::links::peers::Peers;
use crate::process::metrics::Metrics;
use crate::programs::daemon::EXIT_USAGE;
use crate::programs::state_view::{self, columns_of};

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
        ["check", file] => check_table(&read(file)?),
        ["diff", old, new] => diff_tables(&read(old)?, &read(new)?),
        _ => Err(Error::new(
            Code::Usage,
            "table check FILE, table diff OLD NEW or table header",
        )),
    }
}

fn check_table(text: &str) -> Result<String> {
    let tables = table::parse_tables(text)?;
    let mut rows = vec![cells(&[
        "service",
        "target",
        "host",
        "share",
        "slots",
        "connections",
    ])];
    for table in &tables {
        for row in &table.rows {
            rows.push(vec![
                table.service.clone(),
                row.target.clone(),
                row.host.to_string(),
                percent(table.share(row)),
                row.slots.to_string(),
                row.connections.to_string(),
            ]);
        }
    }
    Ok(columns_of(&rows, 0))
}

fn diff_tables(old: &str, new: &str) -> Result<String> {
    let old = table::parse_tables(old)?;
    let new = table::parse_tables(new)?;
    let mut names: Vec<&str> = old.iter().chain(&new).map(|t| t.service.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    let mut rows = vec![cells(&[
        "service",
        "target",
        "share",
        "slots",
        "connections",
        "effect",
    ])];
    for name in names {
        let find = |tables: &[Table]| tables.iter().position(|table| table.service == name);
        let before = find(&old).map(|index| &old[index]);
        let after = find(&new).map(|index| &new[index]);
        for change in TableDiff::between(before, after).changes {
            rows.push(vec![
                name.to_owned(),
                change.target,
                format!("{} -> {}", percent(change.share.0), percent(change.share.1)),
                format!("{} -> {}", change.slots.0, change.slots.1),
                format!("{} -> {}", change.connections.0, change.connections.1),
                change.effect.to_owned(),
            ]);
        }
    }
    if rows.len() == 1 {
        return Ok("no change\n".to_owned());
    }
    Ok(columns_of(&rows, 0))
}

fn cells(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
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

fn load_settings(path: Option<&PathBuf>) -> Result<Settings> {
    let missing = || Error::new(Code::Usage, "name a settings file with --settings FILE");
    Settings::load(path.ok_or_else(missing)?)
}

fn peers_of(settings: &Settings) -> Peers {
    let metrics = Rc::new(Metrics::default());
    Peers::new(
        Ipv4Addr::UNSPECIFIED,
        &settings.cluster_key,
        settings.control_port,
        &metrics,
    )
}

fn state_command(options: &StateOptions) -> Result<String> {
    let &[address] = options.address.as_slice() else {
        return Err(Error::new(Code::Usage, "state ADDRESS"));
    };
    let settings = load_settings(options.settings.as_ref())?;
    let runtime = compio::runtime::Runtime::new()?;
    let peers = peers_of(&settings);
    let json = runtime.block_on(peers.state(address))?;
    if options.json {
        return Ok(json + "\n");
    }
    Ok(state_view::render(&parse(&json)?))
}

fn parse(json: &str) -> Result<Value> {
    let value = serde_json::from_str(json);
    value.map_err(|error| Error::new(Code::LinkClosed, error.to_string()))
}

fn status_command(options: &StatusOptions) -> Result<String> {
    let settings = load_settings(options.settings.as_ref())?;
    let runtime = compio::runtime::Runtime::new()?;
    let states = runtime.block_on(read_all(&settings))?;
    if options.json {
        let states: Vec<&Value> = states
            .iter()
            .filter_map(|(_, state)| state.as_ref())
            .collect();
        return Ok(serde_json::json!(states).to_string() + "\n");
    }
    Ok(status_text(&states))
}

type HostStates = Vec<(Ipv4Addr, Option<Value>)>;

/// Reads the state of every listed host, or of the seeds while the platform is silent.
async fn read_all(settings: &Settings) -> Result<HostStates> {
    let hosts = match platform::read_value(settings.platform, HOSTS_NAME).await {
        Ok((_, text)) => {
            let list = HostList::parse(&text)?;
            list.all().iter().map(|host| host.address).collect()
        }
        Err(error) if settings.seeds.is_empty() => return Err(error),
        Err(_) => settings.seeds.clone(),
    };
    let peers = peers_of(settings);
    let read = |host| {
        let peers = &peers;
        async move {
            let state = peers.state(host).await.and_then(|json| parse(&json));
            (host, state.ok())
        }
    };
    Ok(futures_util::future::join_all(hosts.into_iter().map(read)).await)
}

fn status_text(states: &HostStates) -> String {
    let mut processes = vec![cells(&[
        "host", "role", "zone", "revision", "platform", "rejected",
    ])];
    let mut targets = vec![cells(&[
        "service", "target", "host", "flows", "table", "load", "busy", "queued", "state",
    ])];
    for (host, state) in states {
        let Some(state) = state else {
            processes.push(cells(&[&host.to_string(), "silent"]));
            continue;
        };
        processes.push(process_row(*host, state));
        for target in list(&state["targets"]) {
            targets.push(target_row(*host, target, states));
        }
    }
    columns_of(&processes, 0) + "\n" + &columns_of(&targets, 0)
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn process_row(host: Ipv4Addr, state: &Value) -> Vec<String> {
    let rejected = list(&state["values"]).iter();
    let rejected = rejected.filter(|value| !value["rejected_revision"].is_null());
    let rejected: Vec<String> = rejected
        .map(|value| {
            format!(
                "{}@{}",
                state_view::scalar(&value["name"]),
                value["rejected_revision"]
            )
        })
        .collect();
    let answers = state["platform_answers"].as_bool().unwrap_or(false);
    vec![
        host.to_string(),
        state_view::scalar(&state["role"]),
        state_view::scalar(&state["zone"]),
        state_view::scalar(&state["revision"]),
        if answers { "answers" } else { "not read" }.to_owned(),
        if rejected.is_empty() {
            "-".to_owned()
        } else {
            rejected.join(" ")
        },
    ]
}

fn target_row(host: Ipv4Addr, target: &Value, states: &HostStates) -> Vec<String> {
    let service = state_view::scalar(&target["service"]);
    let flows = target["open_flows"].as_u64().unwrap_or(0);
    let total = total_flows(states, &service);
    let load = if total == 0 {
        0.0
    } else {
        flows as f64 / total as f64
    };
    let draining = target["draining"].as_bool().unwrap_or(false);
    let share_permille = target["share_permille"].as_u64().unwrap_or(0);
    let condition = match (draining, share_permille) {
        (true, _) => "drains",
        (false, 0) => "fails",
        (false, 1_000) => "serves",
        (false, _) => "warms",
    };
    vec![
        service.clone(),
        state_view::scalar(&target["target"]),
        host.to_string(),
        flows.to_string(),
        percent(table_share(states, &service, host)),
        percent(load),
        state_view::scalar(&target["busy_slots"]),
        state_view::scalar(&target["queued"]),
        condition.to_owned(),
    ]
}

fn total_flows(states: &HostStates, service: &str) -> u64 {
    let states = states.iter().filter_map(|(_, state)| state.as_ref());
    let targets = states.flat_map(|state| list(&state["targets"]));
    let of_service = targets.filter(|target| target["service"] == service);
    of_service
        .filter_map(|target| target["open_flows"].as_u64())
        .sum()
}

fn table_share(states: &HostStates, service: &str, host: Ipv4Addr) -> f64 {
    let mut states = states.iter().filter_map(|(_, state)| state.as_ref());
    let table = states.find_map(|state| {
        list(&state["tables"])
            .iter()
            .find(|table| table["service"] == service)
    });
    let rows = table.map_or(&[] as &[Value], |table| list(&table["rows"]));
    let weight = |row: &Value| row["weight"].as_f64().unwrap_or(0.0);
    let total: f64 = rows.iter().map(weight).sum();
    let own = rows.iter().find(|row| row["host"] == host.to_string());
    own.map_or(0.0, |row| weight(row) / total.max(1.0))
}
