//! How much agents had to do at a moment, by the lines that they wrote before it.

use endivedyke::LogLine;

/// For how long an agent counts as it last told, in milliseconds: as long as one that does not answer is suspected.
const KNOWN_FOR_MS: u64 = 2_000;
/// What an agent writes when it takes no opener from then on.
const CLOSING: [&str; 5] = [
    "backend_ended",
    "backend_fails",
    "backend_silent",
    "leaving",
    "stop",
];
/// The reasons for which an agent does not take an opener and has a slot free for others all the same.
const OPEN_REASONS: [&str; 4] = ["AboveMean", "Behind", "Busy", "Crowded"];

/// What one line tells of its agent.
#[derive(Debug, Clone, Copy)]
struct KnownLoad {
    told_ms: u64,
    has_free_slot: bool,
}

/// What the lines of one agent tell, in order of time.
#[derive(Debug)]
struct AgentLoads<'a> {
    agent: &'a str,
    told: Vec<KnownLoad>,
}

/// What lines tell of agents.
///
/// Requests that begin and end on open flows are seldom told, so that a slot which seems free may be taken, and the
/// other way round.
#[derive(Debug)]
pub(crate) struct KnownLoads<'a> {
    agents: Vec<AgentLoads<'a>>,
}

impl<'a> KnownLoads<'a> {
    /// Gathers what lines tell, which stand in order of time; those without `slots` are of `untold_slots`.
    pub(crate) fn of(lines: &[&LogLine<'a>], untold_slots: u32) -> Self {
        let mut agents: Vec<AgentLoads<'a>> = Vec::new();
        for line in lines {
            let Some(load) = known_load(line, untold_slots) else {
                continue;
            };
            let found = agents.binary_search_by_key(&line.process, |loads| loads.agent);
            let index = found.unwrap_or_else(|index| {
                let (agent, told) = (line.process, Vec::new());
                agents.insert(index, AgentLoads { agent, told });
                index
            });
            agents[index].told.push(load);
        }
        Self { agents }
    }

    /// Tells whether any of some agents had a slot free; none where none of them told its load lately.
    pub(crate) fn any_free(&self, at_ms: u64, is_one: impl Fn(&str) -> bool) -> Option<bool> {
        let agents = self.agents.iter().filter(|loads| is_one(loads.agent));
        let free = agents.filter_map(|loads| {
            let before = loads.told.partition_point(|load| load.told_ms <= at_ms);
            let last = loads.told.get(before.checked_sub(1)?)?;
            (at_ms <= last.told_ms + KNOWN_FOR_MS).then_some(last.has_free_slot)
        });
        free.reduce(|one, other| one || other)
    }
}

fn known_load(line: &LogLine<'_>, untold_slots: u32) -> Option<KnownLoad> {
    let number = |key| line.field(key).and_then(|text| text.parse::<u32>().ok());
    let load = |has_free_slot| KnownLoad {
        told_ms: line.time_ms,
        has_free_slot,
    };
    let reason = line.field("reason").unwrap_or("Busy");
    let is_closed = line.event == "opener_not_taken" && !OPEN_REASONS.contains(&reason);
    if is_closed || CLOSING.contains(&line.event) {
        return Some(load(false));
    }
    // The opener that is taken occupies a slot beside those that were busy before.
    let taken = u32::from(line.event == "opener_taken");
    let busy = number("busy")? + taken;
    Some(load(busy < number("slots").unwrap_or(untold_slots)))
}
