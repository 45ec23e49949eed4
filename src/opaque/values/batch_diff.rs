//! Compares a batch read from the platform with the values in force, to find new values, older
//! values and names that are no longer published.

use std::collections::BTreeMap;

use crate::config::config_store::ConfigStore;
use crate::config::evacuation::EVACUATED_PREFIX;
use crate::config::incoming_value::IncomingValue;
use crate::config::revision::Revision;
use crate::opaque::values::source::Batch;
use crate::opaque::{BACKEND_PREFIX, GONE_TEXT};

/// Returns the new values of a batch, in the order of their revisions.
///
/// A write of the text that a value already has, earlier in the batch or else in the store, is not
/// new: heartbeats rewrite entries in fields that the product does not use. Three cases are new
/// even though the text is known. Without them, an older removal of the entry would be accepted,
/// here or from a peer that lags, and flows of a backend server that serves would be reset:
///
/// - the return of an entry that was removed earlier in the batch,
/// - every newer revision in a whole read, since the history lost before it may contain a removal,
/// - the first state in an era of the platform, since processes that start later hold the value at
///   this revision.
pub fn new_values<'a>(store: &ConfigStore, batch: &'a Batch) -> Vec<IncomingValue<'a>> {
    let mut new: Vec<IncomingValue<'_>> = Vec::new();
    // The texts of the values that the batch changed so far.
    let mut changed: BTreeMap<&str, &str> = BTreeMap::new();
    for value in &batch.values {
        let name = value.name.as_str();
        let text = value.text.as_deref().unwrap_or(GONE_TEXT);
        let stamp = value.stamp;
        let held = store.get(name);
        let held = held.filter(|held| held.revision.era() == stamp.revision.era());
        let held_text = || held.map(|held| held.text.as_str());
        let known = changed.get(name).copied().or_else(held_text);
        let is_new = batch.is_whole || known != Some(text);
        if is_new && store.is_new_state(name, stamp) {
            new.push(IncomingValue { name, stamp, text });
            changed.insert(name, text);
        }
    }
    new
}

/// A value that a read returned and that was dropped, since a newer one is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DroppedValue<'a> {
    /// The name of the value.
    pub name: &'a str,
    /// The revision that was read.
    pub revision: Revision,
    /// The revision in force.
    pub held_revision: Revision,
}

/// Returns the values of a batch that differ from those in force and are older.
///
/// A read that may be stale returns such values shortly after a change. If a read of the newest
/// state returns any, the platform and this process order changes differently.
pub fn dropped_values<'a>(store: &ConfigStore, batch: &'a Batch) -> Vec<DroppedValue<'a>> {
    let older = batch.values.iter().filter_map(|value| {
        let held = store.get(&value.name)?;
        let text = value.text.as_deref().unwrap_or(GONE_TEXT);
        let is_older = !value.stamp.supersedes(held.stamp()) && held.text != text;
        is_older.then_some(DroppedValue {
            name: &value.name,
            revision: value.stamp.revision,
            held_revision: held.revision,
        })
    });
    older.collect()
}

/// Returns the names of the backend servers and evacuations in force that a whole read no longer
/// contains.
///
/// Returns none for a read of changes, which contains removals.
pub(crate) fn removed_names(store: &ConfigStore, batch: &Batch) -> Vec<String> {
    if !batch.is_whole {
        return Vec::new();
    }
    let mut batch_names: Vec<&str> = batch
        .values
        .iter()
        .map(|value| value.name.as_str())
        .collect();
    batch_names.sort_unstable();
    let values = store.values().iter();
    let is_settled = store.is_era_settled(batch.revision.era());
    values
        .filter(|value| is_removable(&value.name, is_settled))
        .filter(|value| value.text != GONE_TEXT && value.revision <= batch.revision)
        .filter(|value| batch_names.binary_search(&value.name.as_str()).is_err())
        .map(|value| value.name.clone())
        .collect()
}

/// Returns whether a value ends when it is no longer published; other values are only ever
/// replaced.
///
/// A platform restored from an older copy may lack an evacuation until operators have requested it
/// again, and no flow may go to the zone until then. A backend server that the copy lacks takes
/// flows for the same grace period as one whose entry lapsed.
fn is_removable(name: &str, is_settled: bool) -> bool {
    name.starts_with(BACKEND_PREFIX) || (name.starts_with(EVACUATED_PREFIX) && is_settled)
}
