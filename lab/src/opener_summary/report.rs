//! The account of openers as a table to read and as rows for programs.

use crate::opener_summary::{OpenerEnd, OpenerOutcome, OpenerSummary};

/// The shares of openers whose time until they were taken is told, in percent.
const PERCENTILES: [usize; 3] = [50, 95, 99];

const COLUMNS: &str = "| openers of | all | at once | offered on | waited | dropped | refused | no end told | needless of dropped and refused | p50 ms | p95 ms | p99 ms |";

/// Returns the totals, those of each service and availability zone, and the reasons.
pub fn openers_table(account: &OpenerSummary<'_>) -> String {
    let mut text = format!("{COLUMNS}\n{}\n", rule_under(COLUMNS));
    let all: Vec<&OpenerOutcome<'_>> = account.openers.iter().collect();
    add_row(&mut text, "all", &all);
    add_rows(&mut text, "service", &all, |opener| opener.service);
    add_rows(&mut text, "zone", &all, |opener| opener.zone);
    text += "\n";
    add_reasons(&mut text, &all);
    text + &format!(
        "\n{} copies of openers were dropped.\n",
        account.copies_dropped
    )
}

/// Returns a row for each opener, under a row of names.
pub fn openers_csv(account: &OpenerSummary<'_>) -> String {
    let mut text = "flow,service,zone,end,reason,first_ms,took_ms,offers,needless\n".to_owned();
    for opener in &account.openers {
        let took = opener.took_ms.map(|ms| ms.to_string()).unwrap_or_default();
        let needless = opener.slot_was_free.map(|needless| needless.to_string());
        let cells = [
            opener.flow.to_owned(),
            opener.service.to_owned(),
            opener.zone.to_owned(),
            opener.end.name().to_owned(),
            opener.reason.to_owned(),
            opener.first_ms.to_string(),
            took,
            opener.offers.to_string(),
            needless.unwrap_or_default(),
        ];
        text += &cells.join(",");
        text += "\n";
    }
    text
}

/// Adds a row for each name that openers have, in order.
fn add_rows<'a>(
    text: &mut String,
    kind: &str,
    openers: &[&'a OpenerOutcome<'a>],
    name: impl Fn(&OpenerOutcome<'a>) -> &'a str,
) {
    let mut names: Vec<&str> = openers.iter().map(|opener| name(opener)).collect();
    names.sort_unstable();
    names.dedup();
    for wanted in names.into_iter().filter(|name| !name.is_empty()) {
        let own = openers.iter().copied();
        let own: Vec<_> = own.filter(|opener| name(opener) == wanted).collect();
        add_row(text, &format!("{kind} {wanted}"), &own);
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
    cells.push(needless(&lost));
    let mut taken_ms: Vec<u64> = openers.iter().filter_map(|opener| opener.took_ms).collect();
    taken_ms.sort_unstable();
    for percent in PERCENTILES {
        let ms = percentile(&taken_ms, percent);
        cells.push(ms.map_or_else(|| "none".to_owned(), |ms| ms.to_string()));
    }
    *text += &format!("| {} |\n", cells.join(" | "));
}

/// Adds how many openers ended how and why.
fn add_reasons(text: &mut String, openers: &[&OpenerOutcome<'_>]) {
    let columns = "| end | reason | openers | a slot was free |";
    *text += &format!("{columns}\n{}\n", rule_under(columns));
    let delayed = openers
        .iter()
        .copied()
        .filter(|opener| opener.end != OpenerEnd::AtOnce);
    let mut delayed: Vec<_> = delayed.collect();
    delayed.sort_by_key(|opener| (opener.end, opener.reason));
    for same in delayed.chunk_by(|one, next| (one.end, one.reason) == (next.end, next.reason)) {
        let (end, reason) = (same[0].end.name(), same[0].reason);
        let reason = if reason.is_empty() {
            "not told"
        } else {
            reason
        };
        let (count, free) = (same.len(), needless(same));
        *text += &format!("| {end} | {reason} | {count} | {free} |\n");
    }
}

/// Returns how many openers met a free slot elsewhere, of those of which lines tell it.
fn needless(openers: &[&OpenerOutcome<'_>]) -> String {
    let told: Vec<bool> = openers
        .iter()
        .filter_map(|opener| opener.slot_was_free)
        .collect();
    let needless = told.iter().filter(|needless| **needless).count();
    format!("{needless} of {}", told.len())
}

/// Returns the smallest of sorted values that this part of them does not exceed.
fn percentile(sorted: &[u64], percent: usize) -> Option<u64> {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.checked_sub(1)?).copied()
}

/// Returns the line under the names of a table's columns.
fn rule_under(columns: &str) -> String {
    let cells = columns.matches('|').count() - 1;
    format!("|{}", "---|".repeat(cells))
}
