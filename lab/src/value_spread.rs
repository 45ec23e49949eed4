//! Measures how long a change of the routes takes to reach all processes, from their log lines.
//!
//! Values spread from process to process, so that no single process knows when the last one has a
//! change. The times come from the hosts' own clocks. If a line is missing, its process seems to
//! have the change later than it did.

use endivedyke::LogLine;
use endivedyke::opaque::ROUTES_NAME;

/// The spread of one change among the processes that ran from before the change until they had it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValueSpread {
    /// The revision of the change.
    pub revision: u64,
    /// The time at which the first process had the change, in milliseconds.
    pub first_ms: u64,
    /// The delay after `first_ms` with which each process had this or a later revision, in
    /// milliseconds, sorted.
    pub delays_ms: Vec<u64>,
    /// The number of processes that never logged this or a later revision.
    pub unreported: usize,
}

impl ValueSpread {
    /// Returns the nearest-rank percentile of the delays.
    pub fn percentile_ms(&self, percent: usize) -> Option<u64> {
        let rank = (self.delays_ms.len() * percent).div_ceil(100);
        self.delays_ms.get(rank.saturating_sub(1)).copied()
    }
}

/// The start times of one process, and the revisions that it logged.
#[derive(Debug)]
struct ProcessHistory<'a> {
    process: &'a str,
    starts_ms: Vec<u64>,
    /// Pairs of a time in milliseconds and the revision in force from then on.
    revisions: Vec<(u64, u64)>,
}

/// Returns the spread of each change of the routes, sorted by revision.
///
/// The first revision is left out, since processes have it from their start.
pub fn value_spreads(lines: &[LogLine<'_>]) -> Vec<ValueSpread> {
    let histories = process_histories(lines);
    let routes = lines
        .iter()
        .filter(|line| line.event == "value_in_force" && line.field("name") == Some(ROUTES_NAME));
    let mut changes: Vec<u64> = routes.filter_map(revision).collect();
    changes.sort_unstable();
    changes.dedup();
    let later = changes.into_iter().skip(1);
    later
        .map(|revision| spread_of(&histories, revision))
        .collect()
}

fn process_histories<'a>(lines: &[LogLine<'a>]) -> Vec<ProcessHistory<'a>> {
    let mut histories: Vec<ProcessHistory<'a>> = Vec::new();
    for line in lines {
        let found = histories.binary_search_by_key(&line.process, |history| history.process);
        let index = found.unwrap_or_else(|index| {
            let history = ProcessHistory {
                process: line.process,
                starts_ms: Vec::new(),
                revisions: Vec::new(),
            };
            histories.insert(index, history);
            index
        });
        match line.event {
            "start" => histories[index].starts_ms.push(line.time_ms),
            "value_in_force" | "values_in_force" => {
                let revision = revision(line).map(|revision| (line.time_ms, revision));
                histories[index].revisions.extend(revision);
            }
            _ => {}
        }
    }
    histories
}

fn revision(line: &LogLine<'_>) -> Option<u64> {
    line.field("revision")?.parse().ok()
}

fn spread_of(histories: &[ProcessHistory<'_>], change: u64) -> ValueSpread {
    let arrival_ms = |history: &ProcessHistory<'_>| {
        let arrivals = history.revisions.iter().filter(|(_, held)| *held >= change);
        arrivals.map(|(time_ms, _)| *time_ms).min()
    };
    let first_ms = histories
        .iter()
        .filter_map(arrival_ms)
        .min()
        .unwrap_or_default();
    let mut spread = ValueSpread {
        revision: change,
        first_ms,
        delays_ms: Vec::new(),
        unreported: 0,
    };
    for history in histories {
        let until_ms = arrival_ms(history).unwrap_or(u64::MAX);
        let ran_before = history.starts_ms.iter().any(|start| *start < first_ms);
        let is_restart = |start: &u64| (first_ms..until_ms).contains(start);
        if !ran_before || history.starts_ms.iter().any(is_restart) {
            continue;
        }
        match arrival_ms(history) {
            Some(time_ms) => spread.delays_ms.push(time_ms - first_ms),
            None => spread.unreported += 1,
        }
    }
    spread.delays_ms.sort_unstable();
    spread
}

/// Returns a text table with a heading and a line for each change.
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
