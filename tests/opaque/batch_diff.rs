//! What a read of the platform tells that is new.

use endivedyke::opaque::{
    BackendState, Batch, DroppedValue, GONE_TEXT, PublishedValue, dropped_values, new_values,
};
use endivedyke::{ClusterKey, ConfigStore, Revision};

use crate::builder::state_text;

const NAME: &str = "backend/i-1";

fn ready() -> String {
    state_text(1, BackendState::Ready)
}

/// Returns a store that holds the ready backend server since revision 7.
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

/// Returns revision and text of what a store holds once it took the news of a batch.
fn taken(mut store: ConfigStore, batch: &Batch) -> (u64, String) {
    for state in new_values(&store, batch) {
        store
            .accept(state.name, state.stamp, state.text)
            .expect("sound");
    }
    let value = store.get(NAME).expect("held");
    (value.revision.number(), value.text.clone())
}

#[test]
fn a_sign_of_life_is_no_news() {
    let changes = batch(false, &[(9, true), (12, true)]);
    assert_eq!(taken(store(), &changes), (7, ready()));
}

/// A process that starts after the platform's return holds the entry's end at a revision of the new era. One that kept the
/// end of before would have another digest, and never be taken for level.
#[test]
fn the_first_state_of_an_era_is_news_though_its_text_is_known() {
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
fn an_entry_that_lapsed_and_came_back_within_a_batch_is_there_and_newer() {
    let changes = batch(false, &[(16, false), (25, true), (27, true)]);
    assert_eq!(taken(store(), &changes), (25, ready()));
    let ended = batch(false, &[(16, false), (25, true), (28, false)]);
    assert_eq!(taken(store(), &ended), (28, GONE_TEXT.to_owned()));
}

#[test]
fn after_a_whole_read_no_older_end_of_an_entry_is_believed() {
    let (revision, text) = taken(store(), &batch(true, &[(25, true)]));
    assert_eq!((revision, text), (25, ready()));
}

#[test]
fn values_that_differ_and_are_older_are_told_as_dropped() {
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
