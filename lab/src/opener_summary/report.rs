//! Formats the summary of openers as a Markdown table and as CSV.

use crate::opener_summary::{OpenerEnd, OpenerOutcome, OpenerSummary};

/// The reported percentiles of the time until openers were taken.
const PERCENTILES: [usize; 3] = [50, 95, 99];

const HEADING: &str = "| openers of | all | at once | offered on | waited | dropped | refused | no end told | needless of dropped and refused | p50 ms | p95 ms | p99 ms |";

/// Returns a Markdown table of the counts of all openers, of each service and of each availability
/// zone, and a second table of the reasons.
pub fn openers_table(summary: &OpenerSummary<'_>) -> String {
    let mut text = format!("{HEADING}\n{}\n", separator_of(HEADING));
    let all: Vec<&OpenerOutcome<'_>> = summary.openers.iter().collect();
    add_row(&mut text, "all", &all);
    add_rows(&mut text, "service", &all, |opener| opener.service);
    add_rows(&mut text, "zone", &all, |opener| opener.zone);
    text += "\n";
    add_reasons(&mut text, &all);
    text + &format!(
        "\n{} copies of openers were dropped.\n",
        summary.copies_dropped
    )
}

/// Returns CSV with a heading and a row for each opener.
pub fn openers_csv(summary: &OpenerSummary<'_>) -> String {
    let mut text = "flow,service,zone,end,reason,first_ms,took_ms,offers,needless\n".to_owned();
    for opener in &summary.openers {
        let took = opener.took_ms.map(|ms| ms.to_string()).unwrap_or_default();
        let slot_was_free = opener.slot_was_free.map(|is_free| is_free.to_string());
        let cells = [
            opener.flow.to_owned(),
            opener.service.to_owned(),
            opener.zone.to_owned(),
            opener.end.name().to_owned(),
            opener.reason.to_owned(),
            opener.first_ms.to_string(),
            took,
            opener.offers.to_string(),
            slot_was_free.unwrap_or_default(),
        ];
        text += &cells.join(",");
        text += "\n";
    }
    text
}

/// Adds a row for each non-empty name that `name` returns for an opener, sorted by name.
fn add_rows<'a>(
    text: &mut String,
    kind: &str,
    openers: &[&'a OpenerOutcome<'a>],
    name: impl Fn(&OpenerOutcome<'a>) -> &'a str,
) {
    let mut names: Vec<&str> = openers.iter().map(|opener| name(opener)).collect();
    names.sort_unstable();
    names.dedup();
    for group in names.into_iter().filter(|name| !name.is_empty()) {
        let members = openers.iter().copied();
        let members: Vec<_> = members.filter(|opener| name(opener) == group).collect();
        add_row(text, &format!("{kind} {group}"), &members);
    }
}

fn add_row(text: &mut String, name: &str, openers: &[&OpenerOutcome<'_>]) {
    let mut cells = vec![name.to_owned(), openers.len().to_string()];
    for end in OpenerEnd::ALL {
        let ended = openers.iter().filter(|opener| opener.end == end);
        cells.push(ended.count().to_string());
    }
    let lost = openers.iter().copied();
    let lost: Vec<_> = lost.filter(|opener| opener.end.is_loss()).collect();
    cells.push(free_slot_ratio(&lost));
    let mut taken_ms: Vec<u64> = openers.iter().filter_map(|opener| opener.took_ms).collect();
    taken_ms.sort_unstable();
    for percent in PERCENTILES {
        let ms = percentile(&taken_ms, percent);
        cells.push(ms.map_or_else(|| "none".to_owned(), |ms| ms.to_string()));
    }
    *text += &format!("| {} |\n", cells.join(" | "));
}

/// Adds a table of the openers that were not taken at once, counted by end and reason.
fn add_reasons(text: &mut String, openers: &[&OpenerOutcome<'_>]) {
    let heading = "| end | reason | openers | a slot was free |";
    *text += &format!("{heading}\n{}\n", separator_of(heading));
    let delayed = openers
        .iter()
        .copied()
        .filter(|opener| opener.end != OpenerEnd::AtOnce);
    let mut delayed: Vec<_> = delayed.collect();
    delayed.sort_by_key(|opener| (opener.end, opener.reason));
    for group in delayed.chunk_by(|one, next| (one.end, one.reason) == (next.end, next.reason)) {
        let (end, reason) = (group[0].end.name(), group[0].reason);
        let reason = if reason.is_empty() {
            "not told"
        } else {
            reason
        };
        let (count, free) = (group.len(), free_slot_ratio(group));
        *text += &format!("| {end} | {reason} | {count} | {free} |\n");
    }
}

/// Returns text such as "1 of 3": the number of openers for which a slot was free, of those for
/// which this is known.
fn free_slot_ratio(openers: &[&OpenerOutcome<'_>]) -> String {
    let known: Vec<bool> = openers
        .iter()
        .filter_map(|opener| opener.slot_was_free)
        .collect();
    let with_free_slot = known.iter().filter(|is_free| **is_free).count();
    format!("{with_free_slot} of {}", known.len())
}

/// Returns the nearest-rank percentile of sorted values.
fn percentile(sorted: &[u64], percent: usize) -> Option<u64> {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.checked_sub(1)?).copied()
}

/// Returns the separator line of a Markdown table with this heading.
fn separator_of(heading: &str) -> String {
    let cells = heading.matches('|').count() - 1;
    format!("|{}", "---|".repeat(cells))
}
