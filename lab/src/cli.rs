//! The command line of `endivedyke-lab`.

use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::ExitCode;

use endivedyke::{Code, EXIT_USAGE, Error, Result};
use gumdrop::Options;

use crate::backend_server::{self, BackendOptions};
use crate::caller_process::CallerLoad;
use crate::callers::{self, CallersPlan};
use crate::load::{self, LoadPlan};
use crate::load_report;
use crate::quickstart::run_quickstart;
use crate::relay_model::{self, RelayPlan};
use crate::{config_service, control_cost, datagram_rate, fabric, imbalance};

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
    Quickstart(NoOptions),
    #[options(
        help = "experiment imbalance, relay (deterministic runs), datagrams or control (processes)"
    )]
    Experiment(ExperimentOptions),
    #[options(help = "load a site of today's size and report what it does and costs")]
    Load(LoadOptions),
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
struct NoOptions {
    #[options(help = "print this help and exit")]
    help: bool,
}

#[derive(Debug, Options)]
struct ExperimentOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(no_short, help = "the seed of the random source", default = "1")]
    seed: u64,
    #[options(no_short, help = "how often agents exchange load", default = "1000")]
    exchange_ms: u64,
    #[options(no_short, help = "a number of targets, in place of today's sizes")]
    targets: Option<usize>,
    #[options(no_short, help = "the mean time a flow stays open", default = "600")]
    lifetime_s: u64,
    #[options(free)]
    name: Vec<String>,
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

/// Losses, dead daemons and cuts of the relay experiment.
const RELAY_CASES: [(f64, f64, bool); 4] = [
    (0.0, 0.0, false),
    (0.05, 0.02, false),
    (0.3, 0.1, false),
    (0.02, 0.02, true),
];

/// Runs the lab with the arguments of the process.
pub fn run() -> ExitCode {
    let options = LabOptions::parse_args_default_or_exit();
    if options.version {
        println!("endivedyke-lab {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let result = match options.command {
        Some(Command::Quickstart(_)) => quickstart(),
        Some(Command::Experiment(options)) => experiment(&options),
        Some(Command::Load(options)) => run_load(&options),
        Some(Command::Fabric(options)) => run_fabric(&options),
        Some(Command::ConfigService(options)) => {
            given(options.address).and_then(|address| block_on(config_service::run(address)))
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

fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    compio::runtime::Runtime::new()?.block_on(future)
}

fn given<T>(option: Option<T>) -> Result<T> {
    option.ok_or_else(|| Error::new(Code::Usage, "an option is missing"))
}

fn list<T: std::str::FromStr>(text: &str) -> Result<Vec<T>> {
    let words = text.split(',').filter(|word| !word.is_empty());
    let parse = |word: &str| {
        let parsed = word.parse().ok();
        parsed.ok_or_else(|| Error::new(Code::Usage, format!("{word:?} is no address")))
    };
    words.map(parse).collect()
}

fn quickstart() -> Result<()> {
    let report = run_quickstart(|step| println!("{step}"))?;
    println!("{}", report.line());
    if report.tally.is_clean() {
        return Ok(());
    }
    let message = format!(
        "{} unknown, {} lost",
        report.tally.unknown, report.tally.lost
    );
    Err(Error::new(Code::OutcomeUnknown, message))
}

fn experiment(options: &ExperimentOptions) -> Result<()> {
    let names: Vec<&str> = options.name.iter().map(String::as_str).collect();
    match names.as_slice() {
        ["imbalance"] => print_imbalance(options),
        ["relay"] => print_relay(options.seed),
        ["datagrams"] => print_datagrams()?,
        ["control"] => print_control()?,
        _ => {
            return Err(Error::new(
                Code::Usage,
                "experiment imbalance, relay, datagrams or control",
            ));
        }
    }
    Ok(())
}

fn print_imbalance(options: &ExperimentOptions) {
    let sizes = match options.targets {
        Some(targets) => vec![(targets, options.lifetime_s)],
        None => vec![(7, 60), (3, 60), (7, 600), (3, 600)],
    };
    println!(
        "| targets | lifetime | case | policy | mean | worst | end | bound at the end | flows that plain hash would break |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for (targets, lifetime_s) in sizes {
        for row in imbalance::run(targets, lifetime_s, options.exchange_ms, options.seed) {
            let percent = |part: f64| format!("{:.2} %", part * 100.0);
            println!(
                "| {} | {} s | {} | {:?} | {} | {} | {} | {} | {} |",
                row.targets,
                row.lifetime_s,
                row.case,
                row.policy,
                percent(row.mean),
                percent(row.worst),
                percent(row.end),
                percent(row.bound),
                percent(row.moved_by_hash),
            );
        }
    }
}

fn print_control() -> Result<()> {
    println!("| rows | hosts | published text, MB | memory, MB |\n|---|---|---|---|");
    for (rows, hosts) in [
        (1_000, 100),
        (10_000, 1_000),
        (33_000, 2_900),
        (66_000, 5_800),
    ] {
        let (text, memory) = control_cost::configuration_memory(rows, hosts)?;
        let megabytes = |bytes: u64| bytes as f64 / 1e6;
        println!(
            "| {rows} | {hosts} | {:.2} | {:.2} |",
            megabytes(text),
            megabytes(memory)
        );
    }
    let (rest, edited, edits) = block_on(control_cost::run())?;
    println!("\n| span of 10 s | bytes/s a daemon | calls/s a daemon | cpu, ms/s a daemon |");
    println!("|---|---|---|---|");
    let spans = [
        ("at rest".to_owned(), rest),
        (format!("{edits} edits"), edited),
    ];
    for (name, cost) in spans {
        let each = |value: f64| value / cost.daemons / 10.0;
        let (bytes, calls, cpu_ms) = (each(cost.bytes), each(cost.calls), each(cost.cpu_ms));
        println!("| {name} | {bytes:.0} | {calls:.2} | {cpu_ms:.2} |");
    }
    Ok(())
}

fn print_datagrams() -> Result<()> {
    let rates = datagram_rate::run()?;
    println!(
        "bare receive-and-send loop: {:.0} datagrams/s",
        rates.bare_per_s
    );
    println!(
        "balancer, with token: {:.0} datagrams/s, {:.2} of the bare loop",
        rates.with_token_per_s,
        rates.with_token_per_s / rates.bare_per_s,
    );
    println!("balancer, openers: {:.0} datagrams/s", rates.openers_per_s);
    println!(
        "balancer's memory before and after the datagrams of 200000 flows: {:.1} MB, {:.1} MB",
        rates.memory_before_bytes as f64 / 1e6,
        rates.memory_after_bytes as f64 / 1e6,
    );
    Ok(())
}

fn print_relay(seed: u64) {
    println!(
        "| daemons | lost | dead | regions cut | half, ms | 99 %, ms | all, ms | tells each | most received | platform reads |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for daemons in [300, 1_200, 2_900, 5_800] {
        for (loss, dead, cut) in RELAY_CASES {
            let plan = RelayPlan {
                daemons,
                loss,
                dead,
                cut,
                seed,
            };
            let outcome = relay_model::run(&plan);
            println!(
                "| {daemons} | {loss} | {dead} | {cut} | {} | {} | {} | {:.2} | {} | {} |",
                outcome.half_ms,
                outcome.most_ms,
                outcome.all_ms,
                outcome.tells_each,
                outcome.most_received,
                outcome.platform_reads,
            );
        }
    }
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
    let services: Vec<SocketAddr> = list(&options.services)?;
    let balancers: Vec<IpAddr> = list(&options.balancers)?;
    block_on(fabric::run(&services, balancers, given(options.admin)?))
}

fn run_backend(options: &BackendServerOptions) -> Result<()> {
    block_on(backend_server::run(BackendOptions {
        address: given(options.address)?,
        service: options.service.clone(),
        slots: options.slots,
        service_ms: options.service_ms,
    }))
}

fn run_callers(options: &CallersOptions) -> Result<()> {
    let plan = CallersPlan {
        address: given(options.address)?,
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
    let text = text.map_err(|error| Error::new(Code::Io, error.to_string()))?;
    let path = options.report.clone().unwrap_or_default();
    Ok(std::fs::write(path, text)?)
}
