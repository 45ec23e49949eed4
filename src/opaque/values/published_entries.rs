//! The published entries of backend servers, including those that were removed recently.

use crate::code::Code;
use crate::config::backend_entry::{BackendState, BackendValue};
use crate::opaque::values::backend_change::BackendChange;
use crate::opaque::values::published_entry::{GONE_RETENTION_MS, Gone, PublishedEntry};

/// Entries sorted by id.
#[derive(Debug, Default)]
pub(crate) struct PublishedEntries {
    entries: Vec<PublishedEntry>,
    /// The ids of entries whose value can't be used, sorted.
    unusable_ids: Vec<String>,
}

impl PublishedEntries {
    /// Applies a change of one backend server.
    pub(crate) fn apply(&mut self, change: BackendChange<'_>, now_ms: u64) {
        self.update_usability(&change);
        let found = self
            .entries
            .binary_search_by(|entry| entry.id.as_str().cmp(change.id));
        match (found, change.value) {
            (Ok(index), BackendValue::Published(backend)) => {
                self.entries[index].update(backend, change.revision, now_ms);
            }
            (Ok(index), BackendValue::Unusable(_)) => {
                let entry = &mut self.entries[index];
                entry.gone = None;
                entry.unusable_since_ms.get_or_insert(now_ms);
            }
            (Ok(index), BackendValue::Gone) => {
                let entry = &mut self.entries[index];
                let was_ready = entry.backend.state == BackendState::Ready;
                let was_usable = entry.unusable_since_ms.is_none();
                entry.gone.get_or_insert(Gone {
                    since_ms: now_ms,
                    was_ready,
                    was_usable,
                });
            }
            (Err(index), BackendValue::Published(backend)) => {
                let entry = PublishedEntry::new(change.id, backend, change.revision, now_ms);
                self.entries.insert(index, entry);
            }
            // Its host is unknown and can't be queried; its agent announces the backend server.
            (Err(_), BackendValue::Unusable(_) | BackendValue::Gone) => {}
        }
    }

    /// Records whether a value can be used, and logs each change of that.
    fn update_usability(&mut self, change: &BackendChange<'_>) {
        let BackendChange {
            id,
            value,
            revision,
        } = change;
        let found = self
            .unusable_ids
            .binary_search_by(|known| known.as_str().cmp(id));
        match (found, value) {
            (Err(index), BackendValue::Unusable(reason)) => {
                self.unusable_ids.insert(index, (*id).to_owned());
                let code = Code::EntryUnusable.number();
                let reason = reason.as_str();
                log::warn!(
                    "event=entry_unusable id={id:?} revision={revision} code={code} reason={reason}"
                );
            }
            (Ok(index), BackendValue::Published(_) | BackendValue::Gone) => {
                self.unusable_ids.remove(index);
                log::info!("event=entry_mended id={id:?} revision={revision}");
            }
            _ => {}
        }
    }

    /// Returns the number of entries whose value can't be used.
    pub(crate) fn unusable_count(&self) -> usize {
        self.unusable_ids.len()
    }

    /// Returns all entries, sorted by id.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &PublishedEntry> {
        self.entries.iter()
    }

    /// Returns whether the state of some entry changes by the passage of time alone.
    pub(crate) fn has_expiring(&self) -> bool {
        let is_expiring =
            |entry: &PublishedEntry| entry.gone.is_some() || entry.unusable_since_ms.is_some();
        self.entries.iter().any(is_expiring)
    }

    /// Removes entries that have been gone for [`GONE_RETENTION_MS`].
    pub(crate) fn remove_expired(&mut self, now_ms: u64) {
        self.entries.retain(|entry| {
            let gone = entry.gone;
            gone.is_none_or(|gone| now_ms < gone.since_ms + GONE_RETENTION_MS)
        });
    }
}
