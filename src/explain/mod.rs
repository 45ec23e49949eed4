//! Follows one request or flow through the log lines of several processes; see docs/OPERATIONS.md.

mod cause;
mod log_line;
mod trace;

use crate::code::Code;
use crate::error::{Error, Result};

pub use crate::explain::log_line::{LogLine, parse_log};
use crate::explain::trace::Trace;

/// Explains what happened to a request id or to a flow (`CALLER:PORT>ADDRESS:PORT`): first the causes, then the
/// log lines that concern it.
///
/// `logs` holds the name and text of each log file; the name stands in for the process where lines don't name one.
///
/// # Errors
///
/// Returns code 2501 if no line names the request or flow.
pub fn explain(id: &str, logs: &[(String, String)]) -> Result<String> {
    let mut lines: Vec<LogLine<'_>> = Vec::new();
    for (name, text) in logs {
        lines.extend(parse_log(name, text));
    }
    let trace = Trace::collect(id, &lines).ok_or_else(|| Error::new(Code::LogSilent, id))?;
    let mut text = String::new();
    for cause in cause::describe_causes(&trace) {
        text.push_str(&cause);
        text.push('\n');
    }
    text.push('\n');
    let first_ms = trace.lines.first().map_or(0, |line| line.time_ms);
    for line in &trace.lines {
        let after_ms = line.time_ms - first_ms;
        let (process, event) = (line.process, line.event);
        text.push_str(&format!("{after_ms:>7} ms  {process:<20} {event}"));
        for (key, value) in &line.fields {
            text.push_str(&format!(" {key}={value}"));
        }
        text.push('\n');
    }
    Ok(text)
}
