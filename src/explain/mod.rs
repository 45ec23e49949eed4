//! Follows one request or flow through the log lines of several processes; see docs/OPERATIONS.md.

mod cause;
mod log_line;
mod story;

use crate::code::Code;
use crate::error::{Error, Result};

pub use crate::explain::log_line::{LogLine, parse_log};
use crate::explain::story::Story;

/// Tells the story of a request id or of a flow, as `CALLER:PORT>ADDRESS:PORT`, from texts of log lines,
/// each with the name that its lines get where they don't name their process.
///
/// # Errors
///
/// Returns code 2501 where no line names it.
pub fn explain(id: &str, logs: &[(String, String)]) -> Result<String> {
    let mut lines: Vec<LogLine<'_>> = Vec::new();
    for (name, text) in logs {
        lines.extend(parse_log(name, text));
    }
    let story = Story::of(id, &lines).ok_or_else(|| Error::new(Code::LogSilent, id))?;
    let mut text = String::new();
    for cause in cause::causes(&story) {
        text.push_str(&cause);
        text.push('\n');
    }
    text.push('\n');
    let first_ms = story.lines.first().map_or(0, |line| line.time_ms);
    for line in &story.lines {
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
