//! Formats the states of all processes as tables.

use std::net::Ipv4Addr;

use serde_json::Value;

use crate::programs::operator::host_states::HostStates;
use crate::programs::operator::service_loads;
use crate::programs::state_view::{align_columns, format_inline, format_percent, table_row};

/// Returns a table of the processes and a table of the targets.
///
/// For opaque flows, tables of the processes' counts, the services and the evacuated zones replace the targets.
pub(crate) fn render(states: &HostStates) -> String {
    let mut processes = vec![table_row(&[
        "host", "role", "zone", "revision", "platform", "rejected",
    ])];
    let mut targets = vec![table_row(&[
        "service", "target", "host", "flows", "table", "load", "busy", "queued", "state",
    ])];
    let mut opaque = vec![table_row(&[
        "host",
        "flows",
        "busy",
        "hints",
        "taken",
        "passed on",
        "dropped",
        "age ms",
        "suspects",
    ])];
    for (host, state) in states {
        let Some(state) = state else {
            processes.push(table_row(&[&host.to_string(), "silent"]));
            continue;
        };
        processes.push(process_row(*host, state));
        for target in items(&state["targets"]) {
            targets.push(target_row(*host, target, states));
        }
        if state["opaque"].is_object() {
            opaque.push(opaque_row(*host, state));
        }
    }
    let mut tables = vec![processes];
    if opaque.len() > 1 {
        tables.extend([opaque, service_loads::rows(states)]);
        tables.extend(evacuation_rows(states));
    } else {
        tables.push(targets);
    }
    let tables: Vec<String> = tables.iter().map(|rows| align_columns(rows, 0)).collect();
    tables.join("\n")
}

/// Returns a table with a row for each evacuated availability zone and the number of processes that know of it, or
/// `None` if no zone is evacuated.
fn evacuation_rows(states: &HostStates) -> Option<Vec<Vec<String>>> {
    let answered: Vec<&Value> = states
        .iter()
        .filter_map(|(_, state)| state.as_ref())
        .collect();
    let known = answered
        .iter()
        .flat_map(|state| items(&state["evacuated_zones"]));
    let mut zones: Vec<String> = known.map(format_inline).collect();
    zones.sort_unstable();
    let mut rows = vec![table_row(&["evacuated zone", "known to", "of"])];
    for of_zone in zones.chunk_by(|one, other| one == other) {
        let known_to = of_zone.len().to_string();
        rows.push(table_row(&[
            &of_zone[0],
            &known_to,
            &answered.len().to_string(),
        ]));
    }
    (rows.len() > 1).then_some(rows)
}

/// Returns the items of a JSON array, or none for any other value.
fn items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn process_row(host: Ipv4Addr, state: &Value) -> Vec<String> {
    let rejected = items(&state["values"]).iter();
    let rejected = rejected.filter(|value| !value["rejected_revision"].is_null());
    let rejected: Vec<String> = rejected
        .map(|value| {
            format!(
                "{}@{}",
                format_inline(&value["name"]),
                value["rejected_revision"]
            )
        })
        .collect();
    let answers = state["platform_answers"].as_bool().unwrap_or(false);
    vec![
        host.to_string(),
        format_inline(&state["role"]),
        format_inline(&state["zone"]),
        revision_text(state),
        if answers { "answers" } else { "not read" }.to_owned(),
        if rejected.is_empty() {
            "-".to_owned()
        } else {
            rejected.join(" ")
        },
    ]
}

/// Returns the highest revision of a process, after its era and a dot if the platform was restored from a copy.
fn revision_text(state: &Value) -> String {
    let number = format_inline(&state["revision"]);
    match state["era"].as_u64() {
        None | Some(0) => number,
        Some(era) => format!("{era}.{number}"),
    }
}

fn opaque_row(host: Ipv4Addr, state: &Value) -> Vec<String> {
    let counts = &state["opaque"];
    let mut row = vec![host.to_string()];
    let names = [
        "flows_open",
        "requests_busy",
        "hints_held",
        "openers_taken",
        "openers_handed_on",
        "openers_dropped",
        "values_age_ms",
    ];
    row.extend(names.map(|name| format_inline(&counts[name])));
    row.push(items(&state["suspected"]).len().to_string());
    row
}

/// Returns the row of a target: the share of its host in the table, and in the open flows as its load.
fn target_row(host: Ipv4Addr, target: &Value, states: &HostStates) -> Vec<String> {
    let service = format_inline(&target["service"]);
    let flows = target["open_flows"].as_u64().unwrap_or(0);
    let total = total_flows(states, &service);
    let load = if total == 0 {
        0.0
    } else {
        flows as f64 / total as f64
    };
    let draining = target["draining"].as_bool().unwrap_or(false);
    let share_permille = target["share_permille"].as_u64().unwrap_or(0);
    let condition = match (draining, share_permille) {
        (true, _) => "drains",
        (false, 0) => "fails",
        (false, 1_000) => "serves",
        (false, _) => "warms",
    };
    vec![
        service.clone(),
        format_inline(&target["target"]),
        host.to_string(),
        flows.to_string(),
        format_percent(table_share(states, &service, host)),
        format_percent(load),
        format_inline(&target["busy_slots"]),
        format_inline(&target["queued"]),
        condition.to_owned(),
    ]
}

/// Returns the number of open flows of a service at all targets.
fn total_flows(states: &HostStates, service: &str) -> u64 {
    let states = states.iter().filter_map(|(_, state)| state.as_ref());
    let targets = states.flat_map(|state| items(&state["targets"]));
    let of_service = targets.filter(|target| target["service"] == service);
    of_service
        .filter_map(|target| target["open_flows"].as_u64())
        .sum()
}

/// Returns the share of a host in the weights of a service, by the first state that has its table.
fn table_share(states: &HostStates, service: &str, host: Ipv4Addr) -> f64 {
    let mut states = states.iter().filter_map(|(_, state)| state.as_ref());
    let table = states.find_map(|state| {
        items(&state["tables"])
            .iter()
            .find(|table| table["service"] == service)
    });
    let rows = table.map_or(&[] as &[Value], |table| items(&table["rows"]));
    let weight = |row: &Value| row["weight"].as_f64().unwrap_or(0.0);
    let total: f64 = rows.iter().map(weight).sum();
    let host_row = rows.iter().find(|row| row["host"] == host.to_string());
    host_row.map_or(0.0, |row| weight(row) / total.max(1.0))
}
