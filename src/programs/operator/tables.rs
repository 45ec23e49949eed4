//! Checks tables and published routes, and shows the effect of an edit.

use crate::config::route_diff::route_changes;
use crate::config::route_table::ROUTES_HEADER;
use crate::config::table::{self, Table};
use crate::config::table_diff::TableDiff;
use crate::error::Result;
use crate::programs::state_view::{align_columns, format_percent, table_row};

/// Returns whether a text holds published routes rather than tables of targets, by its header line.
fn is_routes(text: &str) -> bool {
    text.lines().next() == Some(ROUTES_HEADER)
}

/// Parses tables or routes and returns their rows with shares in per cent.
pub(crate) fn check(text: &str) -> Result<String> {
    if is_routes(text) {
        check_routes(text)
    } else {
        check_tables(text)
    }
}

/// Returns the effect of an edit, one line for each target or part of a route that changes.
pub(crate) fn diff(old: &str, new: &str) -> Result<String> {
    let rows = if is_routes(old) || is_routes(new) {
        diff_routes(old, new)?
    } else {
        diff_tables(old, new)?
    };
    if rows.len() == 1 {
        return Ok("no change\n".to_owned());
    }
    Ok(align_columns(&rows, 0))
}

fn check_routes(text: &str) -> Result<String> {
    // Compared with a file without routes, each part is a change.
    let mut rows = vec![table_row(&["address", "service", "share"])];
    for part in route_changes(&format!("{ROUTES_HEADER}\n"), text)? {
        rows.push(vec![
            part.address.to_string(),
            part.service,
            format_percent(part.share.1),
        ]);
    }
    Ok(align_columns(&rows, 0))
}

fn diff_routes(old: &str, new: &str) -> Result<Vec<Vec<String>>> {
    let mut rows = vec![table_row(&["address", "service", "share", "effect"])];
    for change in route_changes(old, new)? {
        rows.push(vec![
            change.address.to_string(),
            change.service,
            format!(
                "{} -> {}",
                format_percent(change.share.0),
                format_percent(change.share.1)
            ),
            change.effect.to_owned(),
        ]);
    }
    Ok(rows)
}

fn check_tables(text: &str) -> Result<String> {
    let tables = table::parse_tables(text)?;
    let mut rows = vec![table_row(&[
        "service",
        "target",
        "host",
        "share",
        "slots",
        "connections",
    ])];
    for table in &tables {
        for row in &table.rows {
            rows.push(vec![
                table.service.clone(),
                row.target.clone(),
                row.host.to_string(),
                format_percent(table.share(row)),
                row.slots.to_string(),
                row.connections.to_string(),
            ]);
        }
    }
    Ok(align_columns(&rows, 0))
}

fn diff_tables(old: &str, new: &str) -> Result<Vec<Vec<String>>> {
    let old = table::parse_tables(old)?;
    let new = table::parse_tables(new)?;
    let mut names: Vec<&str> = old
        .iter()
        .chain(&new)
        .map(|table| table.service.as_str())
        .collect();
    names.sort_unstable();
    names.dedup();
    let mut rows = vec![table_row(&[
        "service",
        "target",
        "share",
        "slots",
        "connections",
        "effect",
    ])];
    for name in names {
        let find = |tables: &[Table]| tables.iter().position(|table| table.service == name);
        let before = find(&old).map(|index| &old[index]);
        let after = find(&new).map(|index| &new[index]);
        for change in TableDiff::between(before, after).changes {
            rows.push(vec![
                name.to_owned(),
                change.target,
                format!(
                    "{} -> {}",
                    format_percent(change.share.0),
                    format_percent(change.share.1)
                ),
                format!("{} -> {}", change.slots.0, change.slots.1),
                format!("{} -> {}", change.connections.0, change.connections.1),
                change.effect.to_owned(),
            ]);
        }
    }
    Ok(rows)
}
