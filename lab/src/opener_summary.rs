//! Summarizes the outcome of each opener, from the log lines of balancers and agents.
//!
//! An opener that no agent takes costs its caller hundreds of milliseconds, and no single process
//! logs all of its steps, so that the lines of all processes are combined. The counts are only as
//! complete as the lines: a process writes no more lines than its log budget allows, and counts
//! the lines that it drops.

mod load_history;
mod report;
mod services;

use endivedyke::{Code, LogLine};

pub use crate::opener_summary::report::{openers_csv, openers_table};

use crate::opaque::OPENER_COPIES_MS;
use crate::opener_summary::load_history::LoadHistory;
use crate::opener_summary::services::Services;

/// Codes of resets that refuse an opener: no agent has room, or all agents of the service are
/// evacuated.
const REFUSAL_CODES: [Code; 2] = [Code::NoRoom, Code::ServiceEvacuated];
/// Codes of refusals that a free slot could not have prevented.
const CODES_UNRELATED_TO_SLOTS: [Code; 2] = [Code::RouteUnknown, Code::ServiceEvacuated];
/// The event that a balancer logs when it offers an opener to an agent.
const OFFERED_EVENT: &str = "opener_offered";
/// The part of a log line that precedes the number of lines that a process dropped.
const LINES_DROPPED_PREFIX: &str = "event=lines_dropped count=";

/// How an opener ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OpenerEnd {
    /// The first agent took it.
    AtOnce,
    /// An agent took its first copy after other agents had not.
    OfferedOn,
    /// An agent took it from a queue, or took a later copy of it.
    Waited,
    /// Copies of it were dropped, without a reply to its caller.
    Dropped,
    /// It was refused, with a reply to its caller.
    Refused,
    /// No log line shows its end.
    Unfinished,
}

impl OpenerEnd {
    /// All ends, in the order of the report's columns.
    pub(crate) const ALL: [Self; 6] = [
        Self::AtOnce,
        Self::OfferedOn,
        Self::Waited,
        Self::Dropped,
        Self::Refused,
        Self::Unfinished,
    ];

    /// Returns the name of this end in reports.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::AtOnce => "at once",
            Self::OfferedOn => "offered on",
            Self::Waited => "waited",
            Self::Dropped => "dropped",
            Self::Refused => "refused",
            Self::Unfinished => "no end told",
        }
    }

    /// Returns whether an opener with this end got no flow.
    pub(crate) fn is_loss(self) -> bool {
        matches!(self, Self::Dropped | Self::Refused)
    }
}

/// The outcome of one opener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenerOutcome<'a> {
    /// The flow that the opener requests.
    pub flow: &'a str,
    /// The service, named by the first of its service addresses.
    pub service: &'a str,
    /// The availability zone of the process that logged the end, or empty if unknown.
    pub zone: &'a str,
    /// How the opener ended.
    pub end: OpenerEnd,
    /// Why the opener was not taken at once, or not at all; empty if it was taken at once, or if no
    /// line has the reason.
    pub reason: &'a str,
    /// The time of the first log line about the opener, in milliseconds.
    pub first_ms: u64,
    /// The time until the opener was taken, in milliseconds, or `None` if it was not.
    pub took_ms: Option<u64>,
    /// The number of agents that the opener was offered to, as far as it is logged.
    pub offers: usize,
    /// Whether an agent of the service had a free slot when the opener was last not taken, or
    /// `None` if unknown.
    pub slot_was_free: Option<bool>,
}

/// The outcomes of all openers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenerSummary<'a> {
    /// The outcome of each opener, sorted by flow.
    pub openers: Vec<OpenerOutcome<'a>>,
    /// The number of copies of openers that were dropped.
    pub copies_dropped: usize,
}

/// Defaults for facts that log lines may omit.
#[derive(Debug, Clone, Copy)]
pub struct LogDefaults<'a> {
    /// The number of slots of a backend server, if the lines of its agent don't contain it.
    pub slots: u32,
    /// Availability zones; a process whose name contains one of them belongs to it.
    pub zones: &'a [&'a str],
}

impl<'a> OpenerSummary<'a> {
    /// Summarizes the log lines of any number of processes.
    pub fn from_lines(lines: &[LogLine<'a>], defaults: &LogDefaults<'a>) -> Self {
        let mut lines: Vec<&LogLine<'a>> = lines.iter().collect();
        lines.sort_by_key(|line| line.time_ms);
        let services = Services::from_lines(&lines);
        let loads = LoadHistory::from_lines(&lines, defaults.slots);
        let zones = zones_by_process(&lines, defaults.zones);
        let dropped = lines.iter().filter(|line| line.event == "opener_dropped");
        let copies_dropped = dropped.count();
        let mut steps = lines;
        steps.retain(|line| is_opener_step(line));
        steps.sort_by_key(|line| line.field("flow"));
        let flows = steps.chunk_by(|one, next| one.field("flow") == next.field("flow"));
        let outcome = |steps| OpenerSteps { steps }.outcome(&services, &loads, &zones);
        Self {
            openers: flows.filter_map(outcome).collect(),
            copies_dropped,
        }
    }
}

/// Returns how many lines the processes dropped, by the counts that they logged in `text`.
pub fn count_dropped_lines(text: &str) -> u64 {
    let lines = text
        .lines()
        .filter_map(|line| line.split_once(LINES_DROPPED_PREFIX));
    lines
        .filter_map(|(_, count)| count.split(' ').next()?.parse::<u64>().ok())
        .sum()
}

/// The log lines about one opener, sorted by time.
struct OpenerSteps<'a, 'b> {
    steps: &'b [&'b LogLine<'a>],
}

impl<'a> OpenerSteps<'a, '_> {
    fn outcome(
        &self,
        services: &Services<'a>,
        loads: &LoadHistory<'a>,
        zones: &[(&'a str, &'a str)],
    ) -> Option<OpenerOutcome<'a>> {
        let first = self.steps.first()?;
        let flow = first.field("flow")?;
        let end_index = self
            .steps
            .iter()
            .position(|line| is_taken(line) || is_refusal(line));
        let last_index = end_index.unwrap_or(self.steps.len() - 1);
        let (steps, last) = (&self.steps[..=last_index], self.steps[last_index]);
        let not_taken: Vec<&LogLine<'a>> = steps
            .iter()
            .copied()
            .filter(|line| is_not_taken(line))
            .collect();
        let end = end_of(steps, last, &not_taken);
        let reason = not_taken
            .iter()
            .rev()
            .find_map(|line| not_taken_reason(line));
        let reason = reason.or_else(|| last.field("code"));
        let service = services.of_flow(flow);
        let last_not_taken = not_taken
            .last()
            .filter(|line| !has_code_in(line, &CODES_UNRELATED_TO_SLOTS));
        let slot_was_free = last_not_taken.and_then(|line| {
            loads.has_free_slot(line.time_ms, |agent| services.of_agent(agent) == service)
        });
        let process = zones.binary_search_by_key(&last.process, |(process, _)| *process);
        Some(OpenerOutcome {
            flow,
            service,
            zone: process.map_or("", |index| zones[index].1),
            end,
            reason: reason.unwrap_or_default(),
            first_ms: first.time_ms,
            took_ms: is_taken(last).then(|| took_ms(first, last)),
            offers: count_offers(steps),
            slot_was_free,
        })
    }
}

fn end_of(steps: &[&LogLine<'_>], last: &LogLine<'_>, not_taken: &[&LogLine<'_>]) -> OpenerEnd {
    let queued = steps.iter().any(|line| line.event == "opener_queued");
    let dropped = steps.iter().any(|line| line.event == "opener_dropped");
    if is_refusal(last) {
        return OpenerEnd::Refused;
    }
    if !is_taken(last) {
        return if dropped {
            OpenerEnd::Dropped
        } else {
            OpenerEnd::Unfinished
        };
    }
    if queued || copy_index(last) > 0 {
        return OpenerEnd::Waited;
    }
    if number_field(last, "hops") > Some(0) || count_offers(steps) > 1 || !not_taken.is_empty() {
        return OpenerEnd::OfferedOn;
    }
    OpenerEnd::AtOnce
}

/// Returns the number of agents that an opener was offered to, by the lines of the agents or of
/// the balancer, whichever is greater.
fn count_offers(steps: &[&LogLine<'_>]) -> usize {
    let answered = steps.iter().filter(|line| is_agent_answer(line)).count();
    let offered = steps.iter().filter(|line| line.event == OFFERED_EVENT);
    let offered = offered
        .filter_map(|line| number_field(line, "offers"))
        .max();
    answered.max(offered.unwrap_or(0) as usize)
}

/// Returns the time from an opener's first line until it was taken, or the time since its caller
/// sent the first copy if that is longer.
fn took_ms(first: &LogLine<'_>, taken: &LogLine<'_>) -> u64 {
    let later_copy = copy_index(taken).checked_sub(1);
    let age_ms = later_copy.map_or(0, |index| {
        OPENER_COPIES_MS[index.min(OPENER_COPIES_MS.len() - 1)]
    });
    age_ms.max(taken.time_ms - first.time_ms)
}

fn copy_index(line: &LogLine<'_>) -> usize {
    number_field(line, "copy").unwrap_or(0) as usize
}

/// Returns why an opener was not taken: the reason in the line, or the one that its event implies.
fn not_taken_reason<'a>(line: &LogLine<'a>) -> Option<&'a str> {
    let implied = match line.event {
        "opener_declined" => Some("AboveMean"),
        "opener_unanswered" => Some("Unanswered"),
        "opener_waits" => Some("NoConfiguration"),
        "opener_queued" => Some("Queued"),
        _ => None,
    };
    line.field("reason").or(implied)
}

fn is_opener_step(line: &LogLine<'_>) -> bool {
    let is_progress = || matches!(line.event, "opener_dequeued" | OFFERED_EVENT);
    line.field("flow").is_some() && (is_taken(line) || is_not_taken(line) || is_progress())
}

fn is_taken(line: &LogLine<'_>) -> bool {
    line.event == "opener_taken"
}

/// Returns whether a line records that an opener was not taken at this step.
fn is_not_taken(line: &LogLine<'_>) -> bool {
    let is_delay = matches!(
        line.event,
        "opener_dropped" | "opener_waits" | "opener_queued"
    );
    is_delay || is_refusal(line) || (is_agent_answer(line) && !is_taken(line))
}

/// Returns whether a line records how an agent answered the offer of an opener, or that it did not
/// answer.
fn is_agent_answer(line: &LogLine<'_>) -> bool {
    matches!(
        line.event,
        "opener_taken" | "opener_not_taken" | "opener_declined" | "opener_unanswered"
    )
}

fn is_refusal(line: &LogLine<'_>) -> bool {
    let refuses = || line.field("opens") == Some("true") || has_code_in(line, &REFUSAL_CODES);
    line.event == "opener_refused" || (line.event == "flow_reset" && refuses())
}

fn has_code_in(line: &LogLine<'_>, codes: &[Code]) -> bool {
    let logged = number_field(line, "code");
    codes
        .iter()
        .any(|code| logged == Some(u64::from(code.number())))
}

fn number_field(line: &LogLine<'_>, key: &str) -> Option<u64> {
    line.field(key)?.parse().ok()
}

/// Returns pairs of a process and its availability zone, sorted by process. The zone comes from the
/// lines of the process, or else from its name, if that contains one of `known_zones`.
fn zones_by_process<'a>(
    lines: &[&LogLine<'a>],
    known_zones: &[&'a str],
) -> Vec<(&'a str, &'a str)> {
    let process_and_zone = |line: &LogLine<'a>| {
        let zone_in_name = || {
            known_zones
                .iter()
                .copied()
                .find(|zone| line.process.contains(zone))
        };
        Some((line.process, line.field("zone").or_else(zone_in_name)?))
    };
    let has_own_zone = |line: &&&LogLine<'a>| line.event == "start" || is_opener_step(line);
    let mut zones: Vec<(&str, &str)> = lines
        .iter()
        .filter(has_own_zone)
        .filter_map(|line| process_and_zone(line))
        .collect();
    zones.sort_unstable();
    zones.dedup_by_key(|(process, _)| *process);
    zones
}
