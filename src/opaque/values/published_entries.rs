//! The published entries of backend servers, those that vanished lately among them.

use crate::code::Code;
use crate::config::backend_entry::{BackendState, BackendValue};
use crate::opaque::values::backend_change::BackendChange;
use crate::opaque::values::published_entry::{GONE_RETENTION_MS, Gone, PublishedEntry};

/// Entries sorted by id.
#[derive(Debug, Default)]
pub(crate) struct PublishedEntries {
    entries: Vec<PublishedEntry>,
    /// Ids whose values name no backend server to use, sorted.
    unusable: Vec<String>,
}

impl PublishedEntries {
    /// Takes what is published of one backend server.
    pub(crate) fn put(&mut self, change: BackendChange<'_>, now_ms: u64) {
        self.note_usable(&change);
        let found = self
            .entries
            .binary_search_by(|entry| entry.id.as_str().cmp(change.id));
        match (found, change.value) {
            (Ok(index), BackendValue::Published(backend)) => {
                self.entries[index].take(backend, change.revision, now_ms);
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
            // Nothing is known of it: its host can't be asked, and its agent makes itself known.
            (Err(_), BackendValue::Unusable(_) | BackendValue::Gone) => {}
        }
    }

    /// Notes whether a value can be used; says so where that changed.
    fn note_usable(&mut self, change: &BackendChange<'_>) {
        let BackendChange {
            id,
            value,
            revision,
        } = change;
        let found = self
            .unusable
            .binary_search_by(|known| known.as_str().cmp(id));
        match (found, value) {
            (Err(index), BackendValue::Unusable(reason)) => {
                self.unusable.insert(index, (*id).to_owned());
                let code = Code::EntryUnusable.number();
                let reason = reason.as_str();
                log::warn!(
                    "event=entry_unusable id={id:?} revision={revision} code={code} reason={reason}"
                );
            }
            (Ok(index), BackendValue::Published(_) | BackendValue::Gone) => {
                self.unusable.remove(index);
                log::info!("event=entry_mended id={id:?} revision={revision}");
            }
            _ => {}
        }
    }

    /// Returns how many values name no backend server to use.
    pub(crate) fn unusable_count(&self) -> usize {
        self.unusable.len()
    }

    /// Returns all entries in order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &PublishedEntry> {
        self.entries.iter()
    }

    /// Tells whether time alone changes what some entry is good for.
    pub(crate) fn has_lapses(&self) -> bool {
        let lapses =
            |entry: &PublishedEntry| entry.gone.is_some() || entry.unusable_since_ms.is_some();
        self.entries.iter().any(lapses)
    }

    /// Forgets what vanished long ago.
    pub(crate) fn forget(&mut self, now_ms: u64) {
        self.entries.retain(|entry| {
            let gone = entry.gone;
            gone.is_none_or(|gone| now_ms < gone.since_ms + GONE_RETENTION_MS)
        });
    }
}
