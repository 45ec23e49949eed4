//! The load of agents over time, from their log lines.

use endivedyke::LogLine;

/// The age at which a logged load expires, in milliseconds; the same time for which an agent that
/// does not answer is suspected.
const LOAD_EXPIRY_MS: u64 = 2_000;
/// Events after which an agent takes no openers.
const CLOSING_EVENTS: [&str; 5] = [
    "backend_ended",
    "backend_fails",
    "backend_silent",
    "leaving",
    "stop",
];
/// Reasons for which an agent declines an opener although it may have a free slot.
const REASONS_WITH_FREE_SLOTS: [&str; 4] = ["AboveMean", "Behind", "Busy", "Crowded"];

/// The load of an agent at one log line.
#[derive(Debug, Clone, Copy)]
struct LoadSample {
    time_ms: u64,
    has_free_slot: bool,
}

/// The load samples of one agent, sorted by time.
#[derive(Debug)]
struct AgentLoads<'a> {
    agent: &'a str,
    samples: Vec<LoadSample>,
}

/// The load samples of all agents.
///
/// They are approximate: requests that begin or end on open flows are seldom logged, so that a slot
/// that seems free may be busy, and the reverse.
#[derive(Debug)]
pub(crate) struct LoadHistory<'a> {
    agents: Vec<AgentLoads<'a>>,
}

impl<'a> LoadHistory<'a> {
    /// Collects the loads from lines sorted by time; a line without the field `slots` counts as one
    /// of an agent with `default_slots`.
    pub(crate) fn from_lines(lines: &[&LogLine<'a>], default_slots: u32) -> Self {
        let mut agents: Vec<AgentLoads<'a>> = Vec::new();
        for line in lines {
            let Some(sample) = load_sample(line, default_slots) else {
                continue;
            };
            let found = agents.binary_search_by_key(&line.process, |loads| loads.agent);
            let index = found.unwrap_or_else(|index| {
                let (agent, samples) = (line.process, Vec::new());
                agents.insert(index, AgentLoads { agent, samples });
                index
            });
            agents[index].samples.push(sample);
        }
        Self { agents }
    }

    /// Returns whether any agent that `is_candidate` accepts had a free slot at a time, or `None` if
    /// none of them has a sample that has not expired.
    pub(crate) fn has_free_slot(
        &self,
        at_ms: u64,
        is_candidate: impl Fn(&str) -> bool,
    ) -> Option<bool> {
        let agents = self.agents.iter().filter(|loads| is_candidate(loads.agent));
        let free = agents.filter_map(|loads| {
            let before = loads
                .samples
                .partition_point(|sample| sample.time_ms <= at_ms);
            let last = loads.samples.get(before.checked_sub(1)?)?;
            (at_ms <= last.time_ms + LOAD_EXPIRY_MS).then_some(last.has_free_slot)
        });
        free.reduce(|one, other| one || other)
    }
}

fn load_sample(line: &LogLine<'_>, default_slots: u32) -> Option<LoadSample> {
    let number = |key| line.field(key).and_then(|text| text.parse::<u32>().ok());
    let sample = |has_free_slot| LoadSample {
        time_ms: line.time_ms,
        has_free_slot,
    };
    let reason = line.field("reason").unwrap_or("Busy");
    let takes_none = line.event == "opener_not_taken" && !REASONS_WITH_FREE_SLOTS.contains(&reason);
    if takes_none || CLOSING_EVENTS.contains(&line.event) {
        return Some(sample(false));
    }
    // `busy` does not yet include the opener that is taken.
    let taken = u32::from(line.event == "opener_taken");
    let busy = number("busy")? + taken;
    Some(sample(busy < number("slots").unwrap_or(default_slots)))
}
