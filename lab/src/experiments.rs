//! Prints the experiments as tables; the figures go into docs/MEASUREMENTS.md and docs/CAPACITY.md.

use endivedyke::{Code, Error, Result};
use gumdrop::Options;

use crate::relay_model::{self, RelayPlan};
use crate::runtime::block_on;
use crate::{control_cost, datagram_rate, imbalance};

/// Losses, dead daemons and cuts of the relay experiment.
const RELAY_CASES: [(f64, f64, bool); 4] = [
    (0.0, 0.0, false),
    (0.05, 0.02, false),
    (0.3, 0.1, false),
    (0.02, 0.02, true),
];

/// Which experiment, and with what.
#[derive(Debug, Options)]
pub(crate) struct ExperimentOptions {
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

/// Runs the experiment that the options name.
pub(crate) fn run(options: &ExperimentOptions) -> Result<()> {
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
                percent(row.lower_bound),
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
        for (loss_rate, dead_share, is_partitioned) in RELAY_CASES {
            let plan = RelayPlan {
                daemons,
                loss_rate,
                dead_share,
                is_partitioned,
                seed,
            };
            let outcome = relay_model::run(&plan);
            println!(
                "| {daemons} | {loss_rate} | {dead_share} | {is_partitioned} | {} | {} | {} | {:.2} | {} | {} |",
                outcome.p50_ms,
                outcome.p99_ms,
                outcome.all_ms,
                outcome.pushes_per_daemon,
                outcome.max_pushes_received,
                outcome.platform_reads,
            );
        }
    }
}
