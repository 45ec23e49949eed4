//! Selects the log lines that concern one request or flow.

use crate::explain::log_line::LogLine;

/// Context lines up to this long before the first line of a flow are included: a lapsed backend server is
/// waited for as long as this, so a change of state may affect a flow that much later.
const CONTEXT_BEFORE_MS: u64 = 2_500;
/// Context lines up to this long after the last line are included: they may explain a missing answer.
const CONTEXT_AFTER_MS: u64 = 500;

/// Events that change the state of a process, in alphabetical order for the binary search; see
/// docs/OPERATIONS.md, "Log lines".
const CONTEXT_EVENTS: [&str; 26] = [
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

/// The lines of a request or flow and the context lines of the processes involved, in order of time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Trace<'a> {
    /// The flows that carried the request, or the flow that was asked for.
    pub(crate) flows: Vec<&'a str>,
    /// The selected lines, sorted by time.
    pub(crate) lines: Vec<LogLine<'a>>,
}

impl<'a> Trace<'a> {
    /// Selects the lines of a request id or of a flow; returns `None` if no line names it.
    pub(crate) fn collect(id: &str, lines: &[LogLine<'a>]) -> Option<Trace<'a>> {
        let names_id = |line: &LogLine<'_>| {
            line.field("request") == Some(id) || line.field("flow") == Some(id)
        };
        let matching = lines.iter().filter(|line| names_id(line));
        let mut flows: Vec<&str> = matching.filter_map(|line| line.field("flow")).collect();
        flows.sort_unstable();
        flows.dedup();
        let is_own = |line: &LogLine<'a>| {
            let flow = line.field("flow");
            // A flow may carry many requests; lines of the others are left out.
            let is_other_request = line.field("request").is_some_and(|request| request != id);
            names_id(line)
                || (!is_other_request
                    && flow.is_some_and(|flow| flows.binary_search(&flow).is_ok()))
        };
        let own: Vec<&LogLine<'a>> = lines.iter().filter(|line| is_own(line)).collect();
        let first_ms = own.iter().map(|line| line.time_ms).min()?;
        let last_ms = own.iter().map(|line| line.time_ms).max()?;
        let mut processes: Vec<&str> = own.iter().map(|line| line.process).collect();
        processes.extend(own.iter().filter_map(|line| line.field("host")));
        processes.sort_unstable();
        processes.dedup();
        let window_ms = first_ms.saturating_sub(CONTEXT_BEFORE_MS)..=last_ms + CONTEXT_AFTER_MS;
        let is_context = |line: &LogLine<'a>| {
            window_ms.contains(&line.time_ms)
                && CONTEXT_EVENTS.binary_search(&line.event).is_ok()
                && processes.binary_search(&line.process).is_ok()
        };
        let mut selected: Vec<LogLine<'a>> = lines
            .iter()
            .filter(|line| is_own(line) || is_context(line))
            .cloned()
            .collect();
        selected.sort_by_key(|line| line.time_ms);
        Some(Trace {
            flows,
            lines: selected,
        })
    }
}
