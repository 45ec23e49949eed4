//! Processor time and memory of a process, from `/proc`.

use std::fs;

use endivedyke::{Code, Error, Result};

const CLOCK_TICK_MS: u64 = 10;
const PAGE_BYTES: u64 = 4_096;

/// The processor time that a process has used, and its resident memory.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) cpu_ms: u64,
    pub(crate) memory_bytes: u64,
}

/// Reads the usage of the process with this id.
pub(crate) fn usage(id: u32) -> Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let statm = fs::read_to_string(format!("/proc/{id}/statm"))?;
    let unreadable = || Error::new(Code::Io, format!("/proc/{id}: unexpected format"));
    // The process name in parentheses may contain spaces; the fields after it don't.
    let (_, fields) = stat.rsplit_once(") ").ok_or_else(unreadable)?;
    let field = |index: usize| fields.split(' ').nth(index)?.parse::<u64>().ok();
    let (user, system) = (field(11), field(12));
    let ticks = user.zip(system).map(|(user, system)| user + system);
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    Ok(Usage {
        cpu_ms: ticks.ok_or_else(unreadable)? * CLOCK_TICK_MS,
        memory_bytes: pages.ok_or_else(unreadable)? * PAGE_BYTES,
    })
}
