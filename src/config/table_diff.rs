//! Compares two versions of a table: how shares and limits change, and what happens to open flows.

use crate::config::table::{Table, TableRow};

/// The change of one target.
#[derive(Debug, Clone, PartialEq)]
pub struct RowChange {
    /// The target's name.
    pub target: String,
    /// Its share of the service before and after, from 0 to 1.
    pub share: (f64, f64),
    /// Its slots before and after.
    pub slots: (u32, u32),
    /// Its connections before and after.
    pub connections: (u32, u32),
    /// What the change does to flows.
    pub effect: &'static str,
}

/// The changes between two versions of a service's table.
#[derive(Debug, Clone, PartialEq)]
pub struct TableDiff {
    /// The service's name.
    pub service: String,
    /// The changes of targets, in order of their names.
    pub changes: Vec<RowChange>,
}

impl TableDiff {
    /// Compares two versions of one service's table; `None` is a table without targets.
    pub fn between(old: Option<&Table>, new: Option<&Table>) -> TableDiff {
        let service = new
            .or(old)
            .map_or_else(String::new, |table| table.service.clone());
        let mut names: Vec<&str> = [old, new]
            .into_iter()
            .flatten()
            .flat_map(|table| table.rows.iter().map(|row| row.target.as_str()))
            .collect();
        names.sort_unstable();
        names.dedup();
        let total = |table: Option<&Table>| table.map_or(1, Table::total_weight).max(1) as f64;
        let (old_weight, new_weight) = (total(old), total(new));
        let changes = names.into_iter().filter_map(|name| {
            let before = old.and_then(|table| Some((old_weight, table.row(name)?)));
            let after = new.and_then(|table| Some((new_weight, table.row(name)?)));
            row_change(name, before, after)
        });
        TableDiff {
            service,
            changes: changes.collect(),
        }
    }
}

/// Compares the row of one target in two versions, each given with the total weight of its table.
fn row_change(
    name: &str,
    before: Option<(f64, &TableRow)>,
    after: Option<(f64, &TableRow)>,
) -> Option<RowChange> {
    let share = |side: Option<(f64, &TableRow)>| {
        side.map_or(0.0, |(total, row)| f64::from(row.weight) / total)
    };
    let slots = |side: Option<(f64, &TableRow)>| side.map_or(0, |(_, row)| row.slots);
    let connections = |side: Option<(f64, &TableRow)>| side.map_or(0, |(_, row)| row.connections);
    let change = RowChange {
        target: name.to_owned(),
        share: (share(before), share(after)),
        slots: (slots(before), slots(after)),
        connections: (connections(before), connections(after)),
        effect: effect(before.map(|(_, row)| row), after.map(|(_, row)| row)),
    };
    let same_limits =
        change.slots.0 == change.slots.1 && change.connections.0 == change.connections.1;
    let same_share = (change.share.0 - change.share.1).abs() < f64::EPSILON;
    let unchanged = same_limits && same_share && change.effect == ONLY_SHARE_CHANGES;
    (!unchanged).then_some(change)
}

const ONLY_SHARE_CHANGES: &str = "open flows stay; new ones follow the new share";

fn effect(before: Option<&TableRow>, after: Option<&TableRow>) -> &'static str {
    match (before, after) {
        (None, _) => "starts cold and takes new flows only",
        (Some(_), None) => {
            "drains: open flows are told to move, none is cut before the drain limit"
        }
        (Some(old), Some(new)) if old.host != new.host => {
            "moves to another host: flows on the old host drain there"
        }
        (Some(old), Some(new)) if old.backend != new.backend => {
            "requests go to the new backend address; open feeds stay"
        }
        (Some(old), Some(new)) if old.weight > 0 && new.weight == 0 => {
            "takes no new flow; open flows stay"
        }
        (Some(old), Some(new)) if new.connections < old.connections => {
            "open flows above the new limit stay; new ones are taken below it"
        }
        (Some(_), Some(_)) => ONLY_SHARE_CHANGES,
    }
}
