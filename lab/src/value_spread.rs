//! How long a change of the routes takes to reach all processes, from their log lines.
//!
//! Values travel from process to process, so that no single one knows when the last one has a change. Times are those of
//! the hosts' own clocks, and as complete as the lines: a process that did not write one seems to have the change later.

use endivedyke::LogLine;
use endivedyke::opaque::ROUTES_NAME;

/// One change, and how long it took to reach the processes that ran all the while.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValueSpread {
    /// The revision of the change.
    pub revision: u64,
    /// When the first process had it, in milliseconds.
    pub first_ms: u64,
    /// How long after that each of the others had it or a later one, in milliseconds, sorted.
    pub delays_ms: Vec<u64>,
    /// How many never told that they had it.
    pub unreported: usize,
}

impl ValueSpread {
    /// Returns the delay that this share of the processes, in hundredths, did not exceed.
    pub fn percentile_ms(&self, percent: usize) -> Option<u64> {
        let rank = (self.delays_ms.len() * percent).div_ceil(100);
        self.delays_ms.get(rank.saturating_sub(1)).copied()
    }
}

/// What one process told: when it started, and when it had which revision.
#[derive(Debug)]
struct Told<'a> {
    process: &'a str,
    starts_ms: Vec<u64>,
    revisions: Vec<(u64, u64)>,
}

/// Returns how each change of the routes spread, in the order of revisions.
///
/// The first one, with which processes start, is left out.
pub fn value_spreads(lines: &[LogLine<'_>]) -> Vec<ValueSpread> {
    let told = by_process(lines);
    let routes = lines
        .iter()
        .filter(|line| line.event == "value_in_force" && line.field("name") == Some(ROUTES_NAME));
    let mut changes: Vec<u64> = routes.filter_map(revision).collect();
    changes.sort_unstable();
    changes.dedup();
    let later = changes.into_iter().skip(1);
    later.map(|revision| spread(&told, revision)).collect()
}

fn by_process<'a>(lines: &[LogLine<'a>]) -> Vec<Told<'a>> {
    let mut told: Vec<Told<'a>> = Vec::new();
    for line in lines {
        let found = told.binary_search_by_key(&line.process, |told| told.process);
        let index = found.unwrap_or_else(|index| {
            let process = Told {
                process: line.process,
                starts_ms: Vec::new(),
                revisions: Vec::new(),
            };
            told.insert(index, process);
            index
        });
        match line.event {
            "start" => told[index].starts_ms.push(line.time_ms),
            "value_in_force" | "values_in_force" => {
                let revision = revision(line).map(|revision| (line.time_ms, revision));
                told[index].revisions.extend(revision);
            }
            _ => {}
        }
    }
    told
}

fn revision(line: &LogLine<'_>) -> Option<u64> {
    line.field("revision")?.parse().ok()
}

fn spread(told: &[Told<'_>], change: u64) -> ValueSpread {
    let had_ms = |told: &Told<'_>| {
        let had = told.revisions.iter().filter(|(_, held)| *held >= change);
        had.map(|(time_ms, _)| *time_ms).min()
    };
    let first_ms = told.iter().filter_map(had_ms).min().unwrap_or_default();
    let mut spread = ValueSpread {
        revision: change,
        first_ms,
        delays_ms: Vec::new(),
        unreported: 0,
    };
    for process in told {
        let until_ms = had_ms(process).unwrap_or(u64::MAX);
        let runs_before = process.starts_ms.iter().any(|start| *start < first_ms);
        let started_anew = |start: &u64| (first_ms..until_ms).contains(start);
        if !runs_before || process.starts_ms.iter().any(started_anew) {
            continue;
        }
        match had_ms(process) {
            Some(time_ms) => spread.delays_ms.push(time_ms - first_ms),
            None => spread.unreported += 1,
        }
    }
    spread.delays_ms.sort_unstable();
    spread
}

/// Returns a table of changes, a line each.
pub fn spreads_table(spreads: &[ValueSpread]) -> String {
    let mut text = String::from("revision  processes  untold  median ms  99th ms  last ms\n");
    let cell = |delay_ms: Option<u64>| delay_ms.map_or("-".to_owned(), |ms| ms.to_string());
    for spread in spreads {
        text += &format!(
            "{:<8}  {:<9}  {:<6}  {:<9}  {:<7}  {}\n",
            spread.revision,
            spread.delays_ms.len(),
            spread.unreported,
            cell(spread.percentile_ms(50)),
            cell(spread.percentile_ms(99)),
            cell(spread.delays_ms.last().copied()),
        );
    }
    text
}
