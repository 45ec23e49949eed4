//! What became of openers, from the log lines of balancers and agents.
//!
//! An opener that nobody takes costs its caller hundreds of milliseconds and leaves no trace at any one process, so
//! that its lines are gathered from all. Figures are as complete as the lines: a process writes no more of them
//! than its budget allows, and counts the others.

mod known_loads;
mod report;
mod services;

use endivedyke::{Code, LogLine};

pub use crate::opener_summary::report::{openers_csv, openers_table};

use crate::opaque::OPENER_COPIES_MS;
use crate::opener_summary::known_loads::KnownLoads;
use crate::opener_summary::services::Services;

/// The codes of a reset that refuses an opener: nobody had room, or all that could take it are evacuated.
const REFUSALS: [Code; 2] = [Code::NoRoom, Code::ServiceEvacuated];
/// The codes of refusals that no free slot could have prevented.
const NOT_FOR_ROOM: [Code; 2] = [Code::RouteUnknown, Code::ServiceEvacuated];
/// What a balancer writes when it offers an opener to an agent.
const OFFERED: &str = "opener_offered";
/// How a process tells how many lines it did not write.
const LINES_DROPPED: &str = "event=lines_dropped count=";

/// How an opener ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OpenerEnd {
    /// The first agent took it.
    AtOnce,
    /// An agent took its first copy after others had not.
    OfferedOn,
    /// It was taken from a queue, or a later copy of it was taken.
    Waited,
    /// Copies were dropped, and its caller was told nothing.
    Dropped,
    /// Its caller was told that it is not taken.
    Refused,
    /// No line tells its end.
    Unfinished,
}

impl OpenerEnd {
    /// All ends, in the order in which they are reported.
    pub(crate) const ALL: [Self; 6] = [
        Self::AtOnce,
        Self::OfferedOn,
        Self::Waited,
        Self::Dropped,
        Self::Refused,
        Self::Unfinished,
    ];

    /// Returns the word for it in reports.
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

    /// Tells whether an opener that ended so got no flow.
    pub(crate) fn is_loss(self) -> bool {
        matches!(self, Self::Dropped | Self::Refused)
    }
}

/// What became of one opener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenerOutcome<'a> {
    /// The flow that it was to open.
    pub flow: &'a str,
    /// The service that it was for, by the first of the addresses that callers call for it.
    pub service: &'a str,
    /// The availability zone of the process that told its end; empty where no line tells it.
    pub zone: &'a str,
    /// How it ended.
    pub end: OpenerEnd,
    /// Why it was not taken at once, or at all; empty where it was, or where no line tells it.
    pub reason: &'a str,
    /// When the first line tells of it, in milliseconds.
    pub first_ms: u64,
    /// How long it took to be taken, in milliseconds.
    pub took_ms: Option<u64>,
    /// How many agents it was offered to, as far as lines tell.
    pub offers: usize,
    /// Whether an agent of its service had a slot free when it was last not taken; none where no line tells it.
    pub slot_was_free: Option<bool>,
}

/// What became of all openers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenerSummary<'a> {
    /// The openers, in the order of their flows.
    pub openers: Vec<OpenerOutcome<'a>>,
    /// How many copies of openers were dropped.
    pub copies_dropped: usize,
}

/// What lines may leave untold.
#[derive(Debug, Clone, Copy)]
pub struct LogDefaults<'a> {
    /// The slots of a backend server whose agent's lines don't tell them.
    pub slots: u32,
    /// Availability zones; a process whose name contains one of them stands there.
    pub zones: &'a [&'a str],
}

impl<'a> OpenerSummary<'a> {
    /// Makes the account of the lines of any number of processes.
    pub fn from_lines(lines: &[LogLine<'a>], untold: &LogDefaults<'a>) -> Self {
        let mut lines: Vec<&LogLine<'a>> = lines.iter().collect();
        lines.sort_by_key(|line| line.time_ms);
        let services = Services::of(&lines);
        let loads = KnownLoads::of(&lines, untold.slots);
        let zones = zones(&lines, untold.zones);
        let dropped = lines.iter().filter(|line| line.event == "opener_dropped");
        let copies_dropped = dropped.count();
        let mut steps = lines;
        steps.retain(|line| is_of_opener(line));
        steps.sort_by_key(|line| line.field("flow"));
        let flows = steps.chunk_by(|one, next| one.field("flow") == next.field("flow"));
        let outcome = |steps| Opener { steps }.outcome(&services, &loads, &zones);
        Self {
            openers: flows.filter_map(outcome).collect(),
            copies_dropped,
        }
    }
}

/// Returns how many lines the processes of a text did not write.
pub fn count_dropped_lines(text: &str) -> u64 {
    let lines = text
        .lines()
        .filter_map(|line| line.split_once(LINES_DROPPED));
    lines
        .filter_map(|(_, count)| count.split(' ').next()?.parse::<u64>().ok())
        .sum()
}

/// The lines about one opener, in order of time.
struct Opener<'a, 'b> {
    steps: &'b [&'b LogLine<'a>],
}

impl<'a> Opener<'a, '_> {
    fn outcome(
        &self,
        services: &Services<'a>,
        loads: &KnownLoads<'a>,
        zones: &[(&'a str, &'a str)],
    ) -> Option<OpenerOutcome<'a>> {
        let first = self.steps.first()?;
        let flow = first.field("flow")?;
        let end_at = self
            .steps
            .iter()
            .position(|line| is_taken(line) || is_refusal(line));
        let last_at = end_at.unwrap_or(self.steps.len() - 1);
        let (told, last) = (&self.steps[..=last_at], self.steps[last_at]);
        let obstacles: Vec<&LogLine<'a>> = told
            .iter()
            .copied()
            .filter(|line| is_obstacle(line))
            .collect();
        let end = end_of(told, last, &obstacles);
        let reason = obstacles.iter().rev().find_map(|line| reason(line));
        let reason = reason.or_else(|| last.field("code"));
        let service = services.of_flow(flow);
        let last_obstacle = obstacles
            .last()
            .filter(|line| !has_code_of(line, &NOT_FOR_ROOM));
        let slot_was_free = last_obstacle.and_then(|line| {
            loads.any_free(line.time_ms, |agent| services.of_agent(agent) == service)
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
            offers: offers(told),
            slot_was_free,
        })
    }
}

fn end_of(told: &[&LogLine<'_>], last: &LogLine<'_>, obstacles: &[&LogLine<'_>]) -> OpenerEnd {
    let queued = told.iter().any(|line| line.event == "opener_queued");
    let dropped = told.iter().any(|line| line.event == "opener_dropped");
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
    if queued || copy(last) > 0 {
        return OpenerEnd::Waited;
    }
    if number(last, "hops") > Some(0) || offers(told) > 1 || !obstacles.is_empty() {
        return OpenerEnd::OfferedOn;
    }
    OpenerEnd::AtOnce
}

/// Returns to how many agents an opener was offered, by their lines or those of its balancer.
fn offers(told: &[&LogLine<'_>]) -> usize {
    let answered = told.iter().filter(|line| is_answer(line)).count();
    let offered = told.iter().filter(|line| line.event == OFFERED);
    let offered = offered.filter_map(|line| number(line, "offers")).max();
    answered.max(offered.unwrap_or(0) as usize)
}

/// Returns the time from an opener's first line until it was taken, or for how long its caller had sent copies if
/// that is longer.
fn took_ms(first: &LogLine<'_>, taken: &LogLine<'_>) -> u64 {
    let later_copy = copy(taken).checked_sub(1);
    let age_ms = later_copy.map_or(0, |index| {
        OPENER_COPIES_MS[index.min(OPENER_COPIES_MS.len() - 1)]
    });
    age_ms.max(taken.time_ms - first.time_ms)
}

fn copy(line: &LogLine<'_>) -> usize {
    number(line, "copy").unwrap_or(0) as usize
}

/// Returns why a line says that an opener is not taken.
fn reason<'a>(line: &LogLine<'a>) -> Option<&'a str> {
    let untold = match line.event {
        "opener_declined" => Some("AboveMean"),
        "opener_unanswered" => Some("Unanswered"),
        "opener_waits" => Some("NoConfiguration"),
        "opener_queued" => Some("Queued"),
        _ => None,
    };
    line.field("reason").or(untold)
}

fn is_of_opener(line: &LogLine<'_>) -> bool {
    let is_step = || matches!(line.event, "opener_dequeued" | OFFERED);
    line.field("flow").is_some() && (is_taken(line) || is_obstacle(line) || is_step())
}

fn is_taken(line: &LogLine<'_>) -> bool {
    line.event == "opener_taken"
}

/// Tells whether a line says that an opener was not taken then and there.
fn is_obstacle(line: &LogLine<'_>) -> bool {
    let is_delay = matches!(
        line.event,
        "opener_dropped" | "opener_waits" | "opener_queued"
    );
    is_delay || is_refusal(line) || (is_answer(line) && !is_taken(line))
}

/// Tells whether a line is about what one agent did with an opener that it was offered.
fn is_answer(line: &LogLine<'_>) -> bool {
    matches!(
        line.event,
        "opener_taken" | "opener_not_taken" | "opener_declined" | "opener_unanswered"
    )
}

fn is_refusal(line: &LogLine<'_>) -> bool {
    let refuses = || line.field("opens") == Some("true") || has_code_of(line, &REFUSALS);
    line.event == "opener_refused" || (line.event == "flow_reset" && refuses())
}

fn has_code_of(line: &LogLine<'_>, codes: &[Code]) -> bool {
    let told = number(line, "code");
    codes
        .iter()
        .any(|code| told == Some(u64::from(code.number())))
}

fn number(line: &LogLine<'_>, key: &str) -> Option<u64> {
    line.field(key)?.parse().ok()
}

/// Returns the availability zones of processes, by their lines or else by their names.
fn zones<'a>(lines: &[&LogLine<'a>], untold: &[&'a str]) -> Vec<(&'a str, &'a str)> {
    let told = |line: &LogLine<'a>| {
        let of_name = || {
            untold
                .iter()
                .copied()
                .find(|zone| line.process.contains(zone))
        };
        Some((line.process, line.field("zone").or_else(of_name)?))
    };
    let own = |line: &&&LogLine<'a>| line.event == "start" || is_of_opener(line);
    let mut zones: Vec<(&str, &str)> = lines
        .iter()
        .filter(own)
        .filter_map(|line| told(line))
        .collect();
    zones.sort_unstable();
    zones.dedup_by_key(|(process, _)| *process);
    zones
}
