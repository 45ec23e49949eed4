//! The lines that have to do with one request or flow.

use crate::explain::log_line::LogLine;

/// How long before the first line of a flow changes of a process's belief may have decided about it, in
/// milliseconds: the time for which a vanished backend server is waited for.
const BEFORE_MS: u64 = 2_500;
/// How long after its last line they may explain what did not come, in milliseconds.
const AFTER_MS: u64 = 500;

/// What changes what a process believes or can do; see docs/OPERATIONS.md, "Log lines".
const CONTEXT: [&str; 26] = [
    "backend_ended",
    "backend_fails",
    "backend_restarted",
    "backend_serves",
    "backend_silent",
    "configuration_from_peer",
    "entry_mended",
    "entry_unusable",
    "history_forgotten",
    "host_suspected",
    "leaving",
    "lines_dropped",
    "platform_answers",
    "platform_fails",
    "platform_restored",
    "platform_settled",
    "ready",
    "reload",
    "resumed",
    "start",
    "stop",
    "unlisted_backend",
    "unsettled",
    "value_rejected",
    "values_dropped",
    "waiting_for_configuration",
];

/// The lines of a request or flow, and those of the processes that dealt with it, in order of time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Story<'a> {
    /// The flows on which the request ran, or the one that was asked for.
    pub(crate) flows: Vec<&'a str>,
    /// The lines.
    pub(crate) lines: Vec<LogLine<'a>>,
}

impl<'a> Story<'a> {
    /// Picks the lines of a request id or of a flow; `None` where there are none.
    pub(crate) fn of(id: &str, lines: &[LogLine<'a>]) -> Option<Story<'a>> {
        let names_it = |line: &LogLine<'_>| {
            line.field("request") == Some(id) || line.field("flow") == Some(id)
        };
        let named = lines.iter().filter(|line| names_it(line));
        let mut flows: Vec<&str> = named.filter_map(|line| line.field("flow")).collect();
        flows.sort_unstable();
        flows.dedup();
        let is_own = |line: &LogLine<'a>| {
            let flow = line.field("flow");
            // A flow may carry many requests, of which only this one counts.
            let other = line.field("request").is_some_and(|request| request != id);
            names_it(line)
                || (!other && flow.is_some_and(|flow| flows.binary_search(&flow).is_ok()))
        };
        let own: Vec<&LogLine<'a>> = lines.iter().filter(|line| is_own(line)).collect();
        let from_ms = own.iter().map(|line| line.time_ms).min()?;
        let to_ms = own.iter().map(|line| line.time_ms).max()?;
        let mut processes: Vec<&str> = own.iter().map(|line| line.process).collect();
        processes.extend(own.iter().filter_map(|line| line.field("host")));
        processes.sort_unstable();
        processes.dedup();
        let span_ms = from_ms.saturating_sub(BEFORE_MS)..=to_ms + AFTER_MS;
        let is_context = |line: &LogLine<'a>| {
            span_ms.contains(&line.time_ms)
                && CONTEXT.binary_search(&line.event).is_ok()
                && processes.binary_search(&line.process).is_ok()
        };
        let mut picked: Vec<LogLine<'a>> = lines
            .iter()
            .filter(|line| is_own(line) || is_context(line))
            .cloned()
            .collect();
        picked.sort_by_key(|line| line.time_ms);
        Some(Story {
            flows,
            lines: picked,
        })
    }
}
