//! Processor time and memory of a process, as the kernel counts them.

use std::fs;

use endivedyke::{Code, Error, Result};

const TICK_MS: u64 = 10;
const PAGE_BYTES: u64 = 4_096;

/// What a process has used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) cpu_ms: u64,
    pub(crate) memory_bytes: u64,
}

/// Reads what the process with this id has used so far.
pub(crate) fn usage(id: u32) -> Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let statm = fs::read_to_string(format!("/proc/{id}/statm"))?;
    let unreadable = || Error::new(Code::Io, format!("/proc/{id}: unexpected form"));
    // The name in parentheses may hold spaces; the fields after it do not.
    let (_, fields) = stat.rsplit_once(") ").ok_or_else(unreadable)?;
    let field = |index: usize| fields.split(' ').nth(index)?.parse::<u64>().ok();
    let (user, system) = (field(11), field(12));
    let ticks = user.zip(system).map(|(user, system)| user + system);
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    Ok(Usage {
        cpu_ms: ticks.ok_or_else(unreadable)? * TICK_MS,
        memory_bytes: pages.ok_or_else(unreadable)? * PAGE_BYTES,
    })
}
