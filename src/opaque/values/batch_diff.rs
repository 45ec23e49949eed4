//! What a read of the platform tells that is new here, what is older, and what it no longer names.

use std::collections::BTreeMap;

use crate::config::config_store::ConfigStore;
use crate::config::evacuation::EVACUATED_PREFIX;
use crate::config::incoming_value::IncomingValue;
use crate::config::revision::Revision;
use crate::opaque::values::source::Batch;
use crate::opaque::{BACKEND_PREFIX, GONE_TEXT};

/// Returns the values of a batch that are news, in the order of their revisions.
///
/// A change to the text that a value has already, by its own batch or else by the store, is none: entries
/// are written anew for signs of life in fields that the product does not use. Three cases are news though
/// the text is known, since an older end of the entry would be believed without them, here or from a peer
/// that lags, and flows of a backend server that serves be reset: the return of an entry that vanished within
/// the batch, every newer revision of a whole read, which follows lost history, and the first state in an era of the
/// platform, at whose revision processes that start then hold the value.
pub fn new_values<'a>(store: &ConfigStore, batch: &'a Batch) -> Vec<IncomingValue<'a>> {
    let mut news: Vec<IncomingValue<'_>> = Vec::new();
    // What each value holds once the batch was taken up to here, where that changed.
    let mut taken: BTreeMap<&str, &str> = BTreeMap::new();
    for value in &batch.values {
        let name = value.name.as_str();
        let text = value.text.as_deref().unwrap_or(GONE_TEXT);
        let stamp = value.stamp;
        let held = store.get(name);
        let held = held.filter(|held| held.revision.era() == stamp.revision.era());
        let held_text = || held.map(|held| held.text.as_str());
        let known = taken.get(name).copied().or_else(held_text);
        let is_new = batch.is_whole || known != Some(text);
        if is_new && store.is_new_state(name, stamp) {
            news.push(IncomingValue { name, stamp, text });
            taken.insert(name, text);
        }
    }
    news
}

/// A value that a read told and that does not come into force, since a newer one is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DroppedValue<'a> {
    /// Its name.
    pub name: &'a str,
    /// The revision that the read told.
    pub revision: Revision,
    /// The revision in force.
    pub held_revision: Revision,
}

/// Returns the values of a batch that say something else than what is in force, and are older.
///
/// A read that may be old tells some after a change; where the platform's newest read does, the two differ in what
/// they take for the order of changes.
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

/// Returns the backend servers and evacuations that a whole read no longer names, which are gone.
///
/// A read of changes names what is gone.
pub(crate) fn removed_names(store: &ConfigStore, batch: &Batch) -> Vec<String> {
    if !batch.is_whole {
        return Vec::new();
    }
    let mut named: Vec<&str> = batch
        .values
        .iter()
        .map(|value| value.name.as_str())
        .collect();
    named.sort_unstable();
    let values = store.values().iter();
    let is_settled = store.is_era_settled(batch.revision.era());
    values
        .filter(|value| may_vanish(&value.name, is_settled))
        .filter(|value| value.text != GONE_TEXT && value.revision <= batch.revision)
        .filter(|value| named.binary_search(&value.name.as_str()).is_err())
        .map(|value| value.name.clone())
        .collect()
}

/// Tells whether a value is withdrawn by no longer being published; the others are only replaced.
///
/// An older copy of the platform may lack an evacuation until operators have asked for it again, and flows must not go back
/// into the zone meanwhile. A backend server that the copy lacks takes flows for as long as one whose entry lapsed.
fn may_vanish(name: &str, is_settled: bool) -> bool {
    name.starts_with(BACKEND_PREFIX) || (name.starts_with(EVACUATED_PREFIX) && is_settled)
}
