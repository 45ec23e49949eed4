//! Which values of a read of the platform are new, and which are dropped.

use endivedyke::opaque::{
    BackendState, Batch, DroppedValue, GONE_TEXT, PublishedValue, dropped_values, new_values,
};
use endivedyke::{ClusterKey, ConfigStore, Revision};

use crate::builder::entry_text;

const NAME: &str = "backend/i-1";

fn ready() -> String {
    entry_text(1, BackendState::Ready)
}

/// Returns a store that holds the ready backend server at revision 7.
fn store() -> ConfigStore {
    let mut store = ConfigStore::new(&ClusterKey::new([7; 32]));
    store.accept(NAME, 7, &ready()).expect("sound");
    store
}

fn batch(is_whole: bool, states: &[(u64, bool)]) -> Batch {
    let value = |&(revision, is_there): &(u64, bool)| PublishedValue {
        name: NAME.to_owned(),
        stamp: revision.into(),
        text: is_there.then(ready),
    };
    Batch {
        revision: 30.into(),
        values: states.iter().map(value).collect(),
        is_whole,
    }
}

/// Returns the revision and text that a store holds after it accepted the new values of a batch.
fn accepted(mut store: ConfigStore, batch: &Batch) -> (u64, String) {
    for state in new_values(&store, batch) {
        store
            .accept(state.name, state.stamp, state.text)
            .expect("sound");
    }
    let value = store.get(NAME).expect("held");
    (value.revision.number(), value.text.clone())
}

#[test]
fn a_heartbeat_is_not_a_new_value() {
    let changes = batch(false, &[(9, true), (12, true)]);
    assert_eq!(accepted(store(), &changes), (7, ready()));
}

/// A process that starts after a restore of the platform holds the removal of the entry at a
/// revision of the new era. A process that kept the removal from before would never have the same
/// digest.
#[test]
fn the_first_state_of_an_era_is_new_even_if_its_text_is_known() {
    let mut store = store();
    store.accept(NAME, 8, GONE_TEXT).expect("sound");
    let mut removed = batch(false, &[(5, false)]);
    removed.values[0].stamp.revision = Revision::new(1, 5).expect("small");
    let states = new_values(&store, &removed);
    assert_eq!(states.len(), 1);
    store
        .accept(NAME, states[0].stamp, states[0].text)
        .expect("sound");
    removed.values[0].stamp.revision = Revision::new(1, 6).expect("small");
    assert_eq!(new_values(&store, &removed), []);
}

#[test]
fn an_entry_that_is_removed_and_restored_in_one_batch_has_the_newer_revision() {
    let changes = batch(false, &[(16, false), (25, true), (27, true)]);
    assert_eq!(accepted(store(), &changes), (25, ready()));
    let ended = batch(false, &[(16, false), (25, true), (28, false)]);
    assert_eq!(accepted(store(), &ended), (28, GONE_TEXT.to_owned()));
}

#[test]
fn a_whole_read_raises_the_revision_of_an_unchanged_entry() {
    let (revision, text) = accepted(store(), &batch(true, &[(25, true)]));
    assert_eq!((revision, text), (25, ready()));
}

#[test]
fn older_values_that_differ_are_dropped() {
    let same = batch(true, &[(5, true)]);
    assert_eq!(dropped_values(&store(), &same), []);
    let newer = batch(true, &[(8, false)]);
    assert_eq!(dropped_values(&store(), &newer), []);
    let older = batch(true, &[(6, false)]);
    let expected = DroppedValue {
        name: NAME,
        revision: 6.into(),
        held_revision: 7.into(),
    };
    assert_eq!(dropped_values(&store(), &older), [expected]);
}
