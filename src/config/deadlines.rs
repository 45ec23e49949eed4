//! The published deadlines: how long the callers of an address wait for an answer.

use std::net::SocketAddrV4;

use crate::code::Code;
use crate::error::{Error, Result};

/// The name of the published deadlines.
///
/// They are a value of their own, so that older versions, which do not know them, can still read
/// the routes.
pub const DEADLINES_NAME: &str = "deadlines";

/// The time after which a caller gives up an attempt whose opener is not answered, in milliseconds;
/// see docs/OPAQUE.md, "Where a flow opens".
pub(crate) const UNANSWERED_ATTEMPT_TIMEOUT_MS: u32 = 1_400;

/// The latency objective and timeout of the callers of an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadline {
    /// The called address.
    pub address: SocketAddrV4,
    /// The latency objective of a request, in milliseconds; an answer after it is late.
    pub objective_ms: u32,
    /// The time after which callers give up a request, in milliseconds.
    pub timeout_ms: u32,
}

impl Deadline {
    /// Returns whether callers have no time for a second attempt after an unanswered first one.
    ///
    /// Their openers can't rely on the caller's copies and retries: each has to be taken, queued or
    /// refused within the one attempt. See docs/design/waiting-openers.md.
    pub fn allows_only_one_attempt(&self) -> bool {
        self.timeout_ms < UNANSWERED_ATTEMPT_TIMEOUT_MS.saturating_add(self.objective_ms)
    }
}

/// Returns the published text of the deadlines that allow only one attempt.
///
/// The others are left out, since flows to their addresses are placed without deadlines.
pub fn deadlines_text(deadlines: impl Iterator<Item = Deadline>) -> String {
    let published = deadlines.filter(Deadline::allows_only_one_attempt);
    let lines = published.map(|deadline| {
        let Deadline {
            address,
            objective_ms,
            timeout_ms,
        } = deadline;
        format!("{address},{objective_ms},{timeout_ms}\n")
    });
    lines.collect()
}

/// Parses the published deadlines, one address per line.
///
/// # Errors
///
/// Returns code 2405 with the malformed line.
pub fn parse_deadlines(text: &str) -> Result<Vec<Deadline>> {
    let mut deadlines = Vec::new();
    for line in text.lines() {
        let malformed = || Error::new(Code::DeadlineSyntax, format!("{line:?}"));
        deadlines.push(parse_deadline(line).ok_or_else(malformed)?);
    }
    deadlines.sort_by_key(|deadline: &Deadline| deadline.address);
    deadlines.dedup_by_key(|deadline| deadline.address);
    Ok(deadlines)
}

fn parse_deadline(line: &str) -> Option<Deadline> {
    let mut fields = line.split(',');
    let deadline = Deadline {
        address: fields.next()?.parse().ok()?,
        objective_ms: fields.next()?.parse().ok()?,
        timeout_ms: fields.next()?.parse().ok()?,
    };
    fields.next().is_none().then_some(deadline)
}
