//! For how long the callers of each address wait for an answer, as published.

use std::net::SocketAddrV4;

use crate::code::Code;
use crate::error::{Error, Result};

/// The name of the published deadlines.
///
/// They are a value of their own, so that a process that does not know them reads the routes as before.
pub const DEADLINES_NAME: &str = "deadlines";

/// How long a caller's attempt lasts whose opener nobody answers, in milliseconds; see docs/OPAQUE.md,
/// "Where a flow opens".
pub(crate) const UNANSWERED_ATTEMPT_MS: u32 = 1_400;

/// For how long callers of an address wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadline {
    /// The address that they call.
    pub address: SocketAddrV4,
    /// The latency objective of a request, in milliseconds: an answer after it is late.
    pub objective_ms: u32,
    /// The time after which they give a request up, in milliseconds.
    pub timeout_ms: u32,
}

impl Deadline {
    /// Tells whether callers have no time left for a second attempt once nobody answered the first one.
    ///
    /// Such an opener can't be left to its caller's copies and retries: it has to find room, wait for it, or be
    /// refused while there is time. See docs/design/waiting-openers.md.
    pub fn allows_only_one_attempt(&self) -> bool {
        self.timeout_ms < UNANSWERED_ATTEMPT_MS.saturating_add(self.objective_ms)
    }
}

/// Returns the published text of the deadlines that allow one attempt.
///
/// Flows to other addresses are placed without them, so that these need not travel.
pub fn deadlines_text(deadlines: impl Iterator<Item = Deadline>) -> String {
    let told = deadlines.filter(Deadline::allows_only_one_attempt);
    let lines = told.map(|deadline| {
        let Deadline {
            address,
            objective_ms,
            timeout_ms,
        } = deadline;
        format!("{address},{objective_ms},{timeout_ms}\n")
    });
    lines.collect()
}

/// Parses the published deadlines: an address a line.
///
/// # Errors
///
/// Returns code 2405 with the line at fault.
pub fn parse_deadlines(text: &str) -> Result<Vec<Deadline>> {
    let mut deadlines = Vec::new();
    for line in text.lines() {
        let malformed = || Error::new(Code::DeadlineSyntax, format!("{line:?}"));
        deadlines.push(deadline(line).ok_or_else(malformed)?);
    }
    deadlines.sort_by_key(|deadline: &Deadline| deadline.address);
    deadlines.dedup_by_key(|deadline| deadline.address);
    Ok(deadlines)
}

fn deadline(line: &str) -> Option<Deadline> {
    let mut fields = line.split(',');
    let deadline = Deadline {
        address: fields.next()?.parse().ok()?,
        objective_ms: fields.next()?.parse().ok()?,
        timeout_ms: fields.next()?.parse().ok()?,
    };
    fields.next().is_none().then_some(deadline)
}
