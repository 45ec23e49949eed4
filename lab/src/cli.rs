//! The command line of `endivedyke-lab`.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::ExitCode;

use endivedyke::{Code, EXIT_USAGE, Error, Result, parse_log};
use gumdrop::Options;

use crate::backend_server::{self, BackendOptions};
use crate::caller_process::CallerLoad;
use crate::callers::{self, CallersPlan};
use crate::experiments::{self, ExperimentOptions};
use crate::load::{self, LoadPlan};
use crate::load_report;
use crate::opaque::{OpaqueLoadPlan, run_opaque_load, run_opaque_quickstart, run_soak};
use crate::opener_summary::{
    LogDefaults, OpenerSummary, count_dropped_lines, openers_csv, openers_table,
};
use crate::quickstart::run_quickstart;
use crate::runtime::block_on;
use crate::value_spread::{spreads_table, value_spreads};
use crate::{config_service, fabric};

#[derive(Debug, Options)]
struct LabOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(no_short, help = "print the version and exit")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run a small site end to end")]
    Quickstart(QuickstartOptions),
    #[options(
        help = "experiment imbalance, relay (deterministic runs), datagrams or control (processes)"
    )]
    Experiment(ExperimentOptions),
    #[options(help = "load a site of today's size and report what it does and costs")]
    Load(LoadOptions),
    #[options(help = "load on opaque flows, as on the users' platform")]
    OpaqueLoad(OpaqueLoadOptions),
    #[options(help = "random faults on opaque flows, and the promises checked")]
    Soak(SoakOptions),
    #[options(help = "openers LOG...: what became of openers, by log lines")]
    Openers(OpenersOptions),
    #[options(help = "spread LOG...: how long changes of the routes took to reach all processes")]
    Spread(SpreadOptions),
    #[options(help = "stand in for the fabric")]
    Fabric(FabricOptions),
    #[options(help = "stand in for the platform's configuration service")]
    ConfigService(AddressOptions),
    #[options(help = "stand in for a backend server")]
    BackendServer(BackendServerOptions),
    #[options(help = "stand in for callers of one service")]
    Callers(CallersOptions),
}

#[derive(Debug, Options)]
struct QuickstartOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(no_short, help = "opaque flows, as on the users' platform")]
    opaque: bool,
}

#[derive(Debug, Options)]
struct SoakOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(no_short, help = "the first seed", default = "1")]
    seed: u64,
    #[options(
        no_short,
        help = "how many seeds to run, one after another",
        default = "1"
    )]
    count: u64,
    #[options(no_short, help = "for how long faults go on in each", default = "8")]
    seconds: u64,
    #[options(no_short, help = "an existing folder for log lines", meta = "FOLDER")]
    logs: Option<PathBuf>,
}

#[derive(Debug, Options)]
struct SpreadOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(free, help = "files with log lines")]
    logs: Vec<PathBuf>,
}

#[derive(Debug, Options)]
struct OpenersOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(no_short, help = "a row for each opener in place of the table")]
    csv: bool,
    #[options(
        no_short,
        help = "the slots of a backend server whose agent does not tell them",
        default = "2"
    )]
    slots: u32,
    #[options(
        no_short,
        help = "availability zones that names of processes contain, split by commas"
    )]
    zones: String,
    #[options(free, help = "files of log lines, of one process or of many")]
    logs: Vec<PathBuf>,
}

#[derive(Debug, Options)]
struct OpaqueLoadOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(no_short, help = "panelwerk or jadepeak", default = "panelwerk")]
    deployment: String,
    #[options(no_short, help = "callers that keep a feed open", default = "40")]
    feeds: usize,
    #[options(no_short, help = "callers that send claims", default = "8")]
    claims: usize,
    #[options(
        no_short,
        help = "the mean pause of a caller, in milliseconds",
        default = "250"
    )]
    pause_ms: u64,
    #[options(no_short, help = "for how long", default = "10")]
    seconds: u64,
    #[options(
        no_short,
        help = "what happens at half time: none, restart-balancer, kill-balancer, kill-agent, crash-backend, drain-agent or silence-platform",
        default = "none"
    )]
    event: String,
}

#[derive(Debug, Options)]
struct LoadOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(no_short, help = "panelwerk or jadepeak", default = "panelwerk")]
    deployment: String,
    #[options(
        no_short,
        help = "feeds held by each process of callers",
        default = "100"
    )]
    feeds: u64,
    #[options(no_short, help = "clients of each process of callers", default = "50")]
    clients: u64,
    #[options(
        no_short,
        help = "the mean pause of a client, in milliseconds",
        default = "100"
    )]
    think_ms: u64,
    #[options(
        no_short,
        help = "the time between two events of a feed",
        default = "50"
    )]
    feed_period_ms: u64,
    #[options(no_short, help = "for how long", default = "20")]
    seconds: u64,
    #[options(no_short, help = "processes of callers", default = "1")]
    processes: usize,
    #[options(
        no_short,
        help = "what happens at half time: none, restart-balancer, kill-balancer, drain-agent, kill-agent, edit-weights or silence-platform",
        default = "none"
    )]
    event: String,
    #[options(no_short, help = "the folder for the report", default = "out/load")]
    out: PathBuf,
}

#[derive(Debug, Options)]
struct AddressOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(no_short, required, help = "the address to serve", meta = "IP:PORT")]
    address: Option<SocketAddr>,
}

#[derive(Debug, Options)]
struct FabricOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(no_short, help = "service addresses, split by commas")]
    services: String,
    #[options(no_short, help = "balancer hosts, split by commas")]
    balancers: String,
    #[options(no_short, required, help = "the address for orders", meta = "IP:PORT")]
    admin: Option<SocketAddr>,
}

#[derive(Debug, Options)]
struct BackendServerOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(no_short, required, help = "the address to serve", meta = "IP:PORT")]
    address: Option<SocketAddr>,
    #[options(no_short, required, help = "the service's name")]
    service: String,
    #[options(no_short, help = "how many requests it can run at once", default = "4")]
    slots: u32,
    #[options(no_short, help = "how long a request takes", default = "5")]
    service_ms: u64,
}

#[derive(Debug, Options)]
struct CallersOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(no_short, required, help = "the service's address", meta = "IP:PORT")]
    address: Option<SocketAddr>,
    #[options(no_short, required, help = "the service's name")]
    service: String,
    #[options(no_short, help = "what the ids of requests start with", default = "c")]
    prefix: String,
    #[options(no_short, help = "how many feeds to hold", default = "10")]
    feeds: u64,
    #[options(
        no_short,
        help = "how many clients ask one request after another",
        default = "10"
    )]
    clients: u64,
    #[options(no_short, help = "for how long", default = "5")]
    seconds: u64,
    #[options(no_short, help = "the mean pause of a client", default = "20")]
    think_ms: u64,
    #[options(
        no_short,
        help = "the time between two events of a feed",
        default = "50"
    )]
    feed_period_ms: u64,
    #[options(no_short, required, help = "the file for the counts", meta = "FILE")]
    report: Option<PathBuf>,
}

/// Runs the command in the arguments of the process and returns its exit code.
pub fn run() -> ExitCode {
    let options = LabOptions::parse_args_default_or_exit();
    if options.version {
        println!("endivedyke-lab {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let result = match options.command {
        Some(Command::Quickstart(options)) if options.opaque => opaque_quickstart(),
        Some(Command::Quickstart(_)) => quickstart(),
        Some(Command::Soak(options)) => soak(&options),
        Some(Command::OpaqueLoad(options)) => opaque_load(&options),
        Some(Command::Openers(options)) => print_openers(&options),
        Some(Command::Spread(options)) => print_spread(&options),
        Some(Command::Experiment(options)) => experiments::run(&options),
        Some(Command::Load(options)) => run_load(&options),
        Some(Command::Fabric(options)) => run_fabric(&options),
        Some(Command::ConfigService(options)) => {
            required(options.address).and_then(|address| block_on(config_service::run(address)))
        }
        Some(Command::BackendServer(options)) => run_backend(&options),
        Some(Command::Callers(options)) => run_callers(&options),
        None => Err(Error::new(Code::Usage, "name a command")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("endivedyke-lab: {error}");
            ExitCode::from(if error.code == Code::Usage {
                EXIT_USAGE
            } else {
                1
            })
        }
    }
}

fn required<T>(option: Option<T>) -> Result<T> {
    option.ok_or_else(|| Error::new(Code::Usage, "a required option is missing"))
}

/// Parses a list of addresses separated by commas.
fn parse_list<T: std::str::FromStr>(text: &str) -> Result<Vec<T>> {
    let items = text.split(',').filter(|item| !item.is_empty());
    let parse = |item: &str| {
        let parsed = item.parse().ok();
        parsed.ok_or_else(|| Error::new(Code::Usage, format!("{item:?} is not a valid address")))
    };
    items.map(parse).collect()
}

fn quickstart() -> Result<()> {
    let report = run_quickstart(|step| println!("{step}"))?;
    println!("{}", report.summary_line());
    if report.stats.is_clean() {
        return Ok(());
    }
    let message = format!(
        "{} requests with unknown outcome, {} lost",
        report.stats.unknown, report.stats.lost
    );
    Err(Error::new(Code::OutcomeUnknown, message))
}

fn opaque_quickstart() -> Result<()> {
    let (line, is_clean) = run_opaque_quickstart(|step| println!("{step}"))?;
    println!("{line}");
    if is_clean {
        return Ok(());
    }
    Err(Error::new(
        Code::OutcomeUnknown,
        "a caller or backend server counted a fault; see the counts above",
    ))
}

/// Runs the soak test with every seed, and fails if any of the runs failed.
fn soak(options: &SoakOptions) -> Result<()> {
    let mut failed_seeds = Vec::new();
    for seed in options.seed..options.seed + options.count {
        match block_on(run_soak(seed, options.seconds, options.logs.as_deref())) {
            Ok(line) => println!("{line}"),
            Err(error) => {
                println!("{}", error.message);
                failed_seeds.push(seed.to_string());
            }
        }
    }
    if failed_seeds.is_empty() {
        return Ok(());
    }
    let message = format!(
        "the soak test failed with seeds {}",
        failed_seeds.join(", ")
    );
    Err(Error::new(Code::OutcomeUnknown, message))
}

/// Reads log files and returns the path and text of each. At least one path is required.
fn read_logs(paths: &[PathBuf], usage: &str) -> Result<Vec<(String, String)>> {
    if paths.is_empty() {
        return Err(Error::new(Code::Usage, usage));
    }
    let read = |path: &PathBuf| {
        let bytes = std::fs::read(path)?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        Ok((path.display().to_string(), text))
    };
    paths.iter().map(read).collect()
}

fn print_spread(options: &SpreadOptions) -> Result<()> {
    let logs = read_logs(&options.logs, "spread LOG...")?;
    let lines = logs.iter().flat_map(|(name, text)| parse_log(name, text));
    let lines: Vec<_> = lines.collect();
    print!("{}", spreads_table(&value_spreads(&lines)));
    Ok(())
}

fn print_openers(options: &OpenersOptions) -> Result<()> {
    let logs = read_logs(&options.logs, "openers LOG...")?;
    let lines = logs.iter().flat_map(|(name, text)| parse_log(name, text));
    let lines: Vec<_> = lines.collect();
    let zones: Vec<&str> = options
        .zones
        .split(',')
        .filter(|zone| !zone.is_empty())
        .collect();
    let defaults = LogDefaults {
        slots: options.slots,
        zones: &zones,
    };
    let summary = OpenerSummary::from_lines(&lines, &defaults);
    let text = if options.csv {
        openers_csv(&summary)
    } else {
        openers_table(&summary)
    };
    print!("{text}");
    let dropped: u64 = logs.iter().map(|(_, text)| count_dropped_lines(text)).sum();
    if dropped > 0 {
        eprintln!("the processes dropped {dropped} log lines: the counts are too low");
    }
    Ok(())
}

fn opaque_load(options: &OpaqueLoadOptions) -> Result<()> {
    let plan = OpaqueLoadPlan {
        deployment: options.deployment.clone(),
        feeds: options.feeds,
        claims: options.claims,
        pause_ms: options.pause_ms,
        seconds: options.seconds,
        event: options.event.clone(),
    };
    println!("{}", block_on(run_opaque_load(&plan))?);
    Ok(())
}

fn run_load(options: &LoadOptions) -> Result<()> {
    let plan = LoadPlan {
        deployment: options.deployment.parse()?,
        load: CallerLoad {
            feeds: options.feeds,
            clients: options.clients,
            seconds: options.seconds,
            think_ms: options.think_ms,
            feed_period_ms: options.feed_period_ms,
        },
        caller_processes: options.processes,
        event: options.event.parse()?,
    };
    let report = block_on(load::run(&plan))?;
    println!("{}", load_report::write(&report, &options.out)?);
    println!("written to {}", options.out.display());
    Ok(())
}

fn run_fabric(options: &FabricOptions) -> Result<()> {
    let services: Vec<SocketAddr> = parse_list(&options.services)?;
    let balancers: Vec<IpAddr> = parse_list(&options.balancers)?;
    block_on(fabric::run(&services, balancers, required(options.admin)?))
}

fn run_backend(options: &BackendServerOptions) -> Result<()> {
    block_on(backend_server::run(BackendOptions {
        address: required(options.address)?,
        service: options.service.clone(),
        slots: options.slots,
        service_ms: options.service_ms,
    }))
}

fn run_callers(options: &CallersOptions) -> Result<()> {
    let plan = CallersPlan {
        address: required(options.address)?,
        service: options.service.clone(),
        prefix: options.prefix.clone(),
        feeds: options.feeds,
        clients: options.clients,
        seconds: options.seconds,
        think_ms: options.think_ms,
        feed_period_ms: options.feed_period_ms,
    };
    let tally = block_on(callers::run(&plan))?;
    let text = serde_json::to_string(&tally);
    let text =
        text.map_err(|error| Error::new(Code::Io, format!("report of the callers: {error}")))?;
    let path = options.report.clone().unwrap_or_default();
    Ok(std::fs::write(path, text)?)
}
