//! Explains in words what the lines of a trace mean.

use crate::code::Code;
use crate::explain::log_line::LogLine;
use crate::explain::trace::Trace;

/// The meaning of an event whose `field` has a value that starts with `value`; an empty `field` always matches.
struct EventMeaning {
    event: &'static str,
    field: &'static str,
    value: &'static str,
    text: &'static str,
}

const fn meaning(
    event: &'static str,
    field: &'static str,
    value: &'static str,
    text: &'static str,
) -> EventMeaning {
    EventMeaning {
        event,
        field,
        value,
        text,
    }
}

/// What may have happened to a request or flow, the most specific first; only the first match is reported.
const CAUSES: [EventMeaning; 24] = [
    meaning(
        "request_lost",
        "reason",
        "backend_ended",
        "its backend server's process ended while the request was there",
    ),
    meaning(
        "request_lost",
        "reason",
        "flow_not_held",
        "its backend server had restarted and no longer held the flow",
    ),
    meaning(
        "request_lost",
        "reason",
        "closed",
        "its backend server closed the flow without an answer",
    ),
    meaning(
        "request_lost",
        "reason",
        "caller_left",
        "its caller ended the flow before the backend server answered",
    ),
    meaning(
        "request_lost",
        "reason",
        "flow_from_before",
        "its backend server reset a flow of which its agent had seen nothing before the request",
    ),
    meaning(
        "flow_reset",
        "code",
        "4010",
        "the process had no route to the address that the caller called",
    ),
    meaning(
        "flow_reset",
        "code",
        "4012",
        "the backend server that held its flow ended, and the flow was reset at once",
    ),
    meaning(
        "flow_reset",
        "code",
        "4011",
        "every agent said that its backend server does not hold the flow",
    ),
    meaning(
        "flow_reset",
        "code",
        "4013",
        "nobody took its opener, and the flow was reset; nothing ran",
    ),
    meaning(
        "flow_reset",
        "code",
        "4015",
        "only backend servers of evacuated zones could have taken its flow; nothing ran",
    ),
    meaning(
        "request_answered",
        "status",
        "5",
        "its backend server answered with an error of its own",
    ),
    meaning(
        "lookup_given_up",
        "settled",
        "false",
        "the flow was not found, and not reset: the agent could not yet know all that may hold it",
    ),
    meaning(
        "lookup_given_up",
        "",
        "",
        "the flow was not found, and not reset, since not every agent answered",
    ),
    meaning(
        "request_unanswered",
        "",
        "",
        "its backend server never answered",
    ),
    meaning(
        "request_overdue",
        "",
        "",
        "its backend server took over a second and may be stuck or slow",
    ),
    meaning(
        "request_answered",
        "",
        "",
        "it was answered, slowly: compare `busy` with the server's slots",
    ),
    meaning(
        "opener_dropped",
        "",
        "",
        "no backend server had room for a copy of its opener, and its caller sent it again",
    ),
    meaning(
        "opener_waits",
        "",
        "",
        "its opener arrived while its balancer had no configuration, and was not forwarded then",
    ),
    meaning(
        "opener_declined",
        "",
        "",
        "an agent with more to do than others declined its opener, and another got it",
    ),
    meaning(
        "opener_unanswered",
        "",
        "",
        "an agent did not confirm its opener in time, and another got it",
    ),
    meaning(
        "opener_not_taken",
        "reason",
        "Evacuated",
        "an agent passed its opener on, since its availability zone is evacuated",
    ),
    meaning(
        "opener_not_taken",
        "reason",
        "ColdRate",
        "an agent passed its opener on, since its backend server is cold and had as many as it bears",
    ),
    meaning(
        "opener_not_taken",
        "",
        "",
        "an agent passed its opener on, for the reason in its line",
    ),
    meaning(
        "opener_taken",
        "",
        "",
        "it was taken and nothing went wrong that would be logged",
    ),
];

/// The meanings of context lines, which may have contributed; each match is reported.
const CONTEXT_MEANINGS: [EventMeaning; 16] = [
    meaning(
        "lines_dropped",
        "",
        "",
        "lines are missing there: it logged more than its budget allows",
    ),
    meaning("resumed", "", "", "the process had been paused before"),
    meaning("start", "", "", "the process had just started"),
    meaning(
        "waiting_for_configuration",
        "",
        "",
        "it had no configuration, and the platform gave it none",
    ),
    meaning(
        "configuration_from_peer",
        "",
        "",
        "it took its configuration from another process",
    ),
    meaning(
        "backend_fails",
        "",
        "",
        "its backend server failed many requests then",
    ),
    meaning(
        "backend_silent",
        "",
        "",
        "its backend server did not answer openers then",
    ),
    meaning(
        "entry_unusable",
        "",
        "",
        "a published entry named no backend server to use then, as when another program writes there",
    ),
    meaning(
        "zone_evacuated",
        "",
        "",
        "it read then that an availability zone is evacuated",
    ),
    meaning(
        "zone_taken_back",
        "",
        "",
        "it read then that an evacuated availability zone is back in service",
    ),
    meaning(
        "history_forgotten",
        "",
        "",
        "the platform no longer had the changes that it requested",
    ),
    meaning(
        "platform_restored",
        "",
        "",
        "the platform had come back from an older copy",
    ),
    meaning(
        "platform_settled",
        "",
        "",
        "it assumed then that everything the platform had lost was written again",
    ),
    meaning(
        "values_dropped",
        "",
        "",
        "it received values that differ from those in force and discarded them as older",
    ),
    meaning(
        "platform_fails",
        "",
        "",
        "it had lost touch with the platform",
    ),
    meaning(
        "unsettled",
        "",
        "",
        "it waited for lapsed backend servers to come back",
    ),
];

/// Returns the cause that a trace shows with its remedy, then its context, one line each.
pub(crate) fn describe_causes(trace: &Trace<'_>) -> Vec<String> {
    let mut descriptions = Vec::new();
    if let Some((meaning, line)) = first_match(&CAUSES, trace) {
        descriptions.push(format!("cause: {} ({})", meaning.text, line.process));
        if let Some(code) = line.field("code").and_then(|code| code.parse().ok())
            && let Some(code) = Code::from_number(code)
        {
            descriptions.push(format!("remedy of E{}: {}", code.number(), code.remedy()));
        }
    }
    for meaning in &CONTEXT_MEANINGS {
        let mut processes: Vec<&str> = trace
            .lines
            .iter()
            .filter(|line| matches(meaning, line))
            .map(|line| line.process)
            .collect();
        processes.sort_unstable();
        processes.dedup();
        for process in processes {
            descriptions.push(format!("beside it: {} ({process})", meaning.text));
        }
    }
    descriptions
}

fn first_match<'a, 'b>(
    meanings: &'b [EventMeaning],
    trace: &'b Trace<'a>,
) -> Option<(&'b EventMeaning, &'b LogLine<'a>)> {
    meanings.iter().find_map(|meaning| {
        let mut lines = trace.lines.iter();
        let line = lines.find(|line| matches(meaning, line))?;
        Some((meaning, line))
    })
}

fn matches(meaning: &EventMeaning, line: &LogLine<'_>) -> bool {
    if line.event != meaning.event {
        return false;
    }
    let value = line.field(meaning.field);
    meaning.field.is_empty() || value.is_some_and(|value| value.starts_with(meaning.value))
}
