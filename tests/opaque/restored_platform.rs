//! The values that processes hold while the platform is restored from older copies and reuses
//! revision numbers.

use endivedyke::opaque::{
    BackendState, Batch, PublishedValue, RESTORE_SETTLE_MS, ROUTES_HEADER, ROUTES_NAME,
    RestorationEvent, RestorationTracker, new_values,
};
use endivedyke::{AcceptOutcome, ClusterKey, ConfigStore, Revision, VersionStamp};
use proptest::prelude::*;

use crate::builder::{entry_text, started_entry_text};

const ENTRY: &str = "backend/i-1";
/// The time for which the entry of a server that has ended stays in a copy, in milliseconds: three
/// heartbeats of 1.2 s.
const LEASE_MS: u64 = 3_600;

fn revision(era: u64, number: u64) -> Revision {
    Revision::new(era, number).expect("small")
}

fn stamp(era: u64, number: u64, version: u64) -> VersionStamp {
    VersionStamp {
        revision: revision(era, number),
        version,
    }
}

fn store() -> ConfigStore {
    ConfigStore::new(&ClusterKey::new([3; 32]))
}

/// Returns a routes text that contains a version.
fn routes(version: u64) -> String {
    format!("{ROUTES_HEADER}\n192.0.2.1:{version},panel-front,1,2,yes\n")
}

#[test]
fn a_revision_of_a_later_era_is_after_all_revisions_of_earlier_eras() {
    assert!(revision(1, 1) > revision(0, 900));
    assert!(revision(2, 3) > revision(2, 2));
    assert_eq!((revision(2, 14).era(), revision(2, 14).number()), (2, 14));
    assert_eq!(revision(2, 14).to_string(), "2.14");
    assert_eq!(revision(0, 14).to_string(), "14");
    assert_eq!(Revision::new(0, u64::MAX), None);
    assert_eq!(Revision::new(u64::MAX, 1), None);
}

#[test]
fn states_are_ordered_by_the_writer_s_version_only_across_eras() {
    // (offered, held, whether offered is after held)
    let cases = [
        (stamp(0, 9, 0), stamp(0, 8, 0), true),
        (stamp(0, 8, 0), stamp(0, 8, 0), false),
        // Within an era the platform's order decides, whatever the versions are.
        (stamp(0, 9, 20), stamp(0, 8, 24), true),
        // Written after the restore, with a number that was used before.
        (stamp(1, 5, 32), stamp(0, 18, 24), true),
        // Read from the older copy.
        (stamp(1, 4, 21), stamp(0, 18, 24), false),
        (stamp(0, 18, 24), stamp(1, 4, 21), true),
        // Rewritten after the restore.
        (stamp(1, 5, 24), stamp(0, 18, 24), true),
        // Without versions on both sides the platform's order decides.
        (stamp(1, 4, 0), stamp(0, 18, 24), true),
        (stamp(0, 18, 24), stamp(1, 4, 0), false),
    ];
    for (offered, held, supersedes) in cases {
        assert_eq!(offered.supersedes(held), supersedes, "{offered:?} {held:?}");
    }
}

#[test]
fn an_entry_from_the_older_copy_does_not_undo_a_drain() {
    let ready = entry_text(1, BackendState::Ready);
    let draining = entry_text(1, BackendState::Draining);
    let mut store = store();
    store.accept(ENTRY, 7, &draining).expect("sound");
    let copied = revision(1, 5);
    store.accept("other", revision(1, 4), "").expect("sound");
    assert_eq!(
        store.accept(ENTRY, copied, &ready),
        Ok(AcceptOutcome::Stale)
    );
    store.mark_era_settled(1);
    assert_eq!(
        store.accept(ENTRY, copied, &ready),
        Ok(AcceptOutcome::Accepted),
        "an entry that is still there after settling was rewritten"
    );
}

#[test]
fn the_first_value_of_an_era_is_already_treated_as_unsettled() {
    let mut store = store();
    let draining = entry_text(1, BackendState::Draining);
    store.accept(ENTRY, 7, &draining).expect("sound");
    let ready = entry_text(1, BackendState::Ready);
    assert_eq!(
        store.accept(ENTRY, revision(1, 5), &ready),
        Ok(AcceptOutcome::Stale)
    );
}

#[test]
fn after_a_restore_a_drained_server_stays_gone_and_a_lapsed_one_comes_back() {
    let ready = entry_text(1, BackendState::Ready);
    for (last, accepted) in [
        (BackendState::Draining, AcceptOutcome::Stale),
        (BackendState::Ready, AcceptOutcome::Accepted),
    ] {
        let mut store = store();
        store.accept(ENTRY, 7, &entry_text(1, last)).expect("sound");
        store.accept(ENTRY, 8, "gone").expect("sound");
        store.accept("other", revision(1, 4), "").expect("sound");
        assert_eq!(store.accept(ENTRY, revision(1, 5), &ready), Ok(accepted));
    }
}

#[test]
fn a_restore_does_not_bring_an_earlier_lifetime_back() {
    let mut store = store();
    store
        .accept(ENTRY, 7, &started_entry_text(1, 200))
        .expect("sound");
    store.accept("other", revision(1, 4), "").expect("sound");
    let earlier = started_entry_text(1, 100);
    assert_eq!(
        store.accept(ENTRY, revision(1, 5), &earlier),
        Ok(AcceptOutcome::Stale)
    );
    let later = started_entry_text(1, 300);
    assert_eq!(
        store.accept(ENTRY, revision(1, 6), &later),
        Ok(AcceptOutcome::Accepted)
    );
}

#[test]
fn a_restore_settles_after_values_were_fresh_for_the_settling_time() {
    let mut restoration = RestorationTracker::default();
    const {
        assert!(
            RESTORE_SETTLE_MS > LEASE_MS,
            "a server that has ended would get flows again"
        )
    };
    assert_eq!(restoration.observe_era(0, 100), None);
    assert_eq!(
        restoration.observe_era(1, 1_000),
        Some(RestorationEvent::Restored)
    );
    // The clock pauses while the platform is unreachable again.
    assert_eq!(
        restoration.observe_era(1, 1_000 + RESTORE_SETTLE_MS - 1),
        None
    );
    assert_eq!(
        restoration.observe_era(1, 1_000 + RESTORE_SETTLE_MS),
        Some(RestorationEvent::Settled)
    );
    assert_eq!(restoration.observe_era(1, 9_000), None);
    // Another restore during the settling time starts it anew.
    restoration.observe_era(2, 10_000);
    assert_eq!(
        restoration.observe_era(3, 11_000),
        Some(RestorationEvent::Restored)
    );
    assert_eq!(restoration.observe_era(3, 10_000 + RESTORE_SETTLE_MS), None);
}

/// A platform that stores one configuration, and can be restored from a copy of itself.
#[derive(Debug, Default, Clone)]
struct PlatformModel {
    era: u64,
    number: u64,
    version: u64,
    /// The configuration that reads return.
    published: Option<PublishedValue>,
    copy: Option<(u64, Option<PublishedValue>)>,
}

impl PlatformModel {
    fn write(&mut self) {
        self.number += 1;
        self.published = Some(PublishedValue {
            name: ROUTES_NAME.to_owned(),
            stamp: stamp(self.era, self.number, self.version),
            text: Some(routes(self.version)),
        });
    }

    fn restore(&mut self) {
        if let Some((number, published)) = self.copy.clone() {
            self.number = number;
            self.published = published.map(|value| value.with_era(self.era + 1));
            self.era += 1;
        }
    }

    fn batch(&self) -> Batch {
        Batch {
            revision: revision(self.era, self.number),
            values: self.published.iter().cloned().collect(),
            is_whole: true,
        }
    }
}

#[derive(Debug, Clone)]
enum Event {
    /// Operators publish the next version.
    Publish,
    Copy,
    /// The platform is restored from its copy.
    Restore,
    /// Operators rewrite the newest version.
    Rewrite,
    /// A process reads everything.
    Read(usize),
    /// A process pulls from another one: the first is the sender.
    Pull(usize, usize),
    Restart(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let process = 0_usize..PROCESSES;
    prop_oneof![
        3 => Just(Event::Publish),
        1 => Just(Event::Copy),
        1 => Just(Event::Restore),
        1 => Just(Event::Rewrite),
        4 => process.clone().prop_map(Event::Read),
        3 => (process.clone(), process.clone()).prop_map(|(from, to)| Event::Pull(from, to)),
        1 => process.prop_map(Event::Restart),
    ]
}

const PROCESSES: usize = 4;

fn read(store: &mut ConfigStore, batch: &Batch) {
    for state in new_values(store, batch) {
        store
            .accept(state.name, state.stamp, state.text)
            .expect("sound");
    }
}

fn pull(stores: &mut [ConfigStore], from: usize, to: usize) {
    let wanted = stores[from]
        .changes_since(Revision::ZERO)
        .iter()
        .any(|(name, stamp)| stores[to].is_new_state(name, *stamp));
    let have = stores[to].revision(ROUTES_NAME);
    if let Some(update) = stores[from]
        .update_for(ROUTES_NAME, have)
        .filter(|_| wanted)
    {
        stores[to].accept_update(&update).expect("sound");
    }
}

/// Returns the version of the routes in force, after checking that their text contains the same
/// version.
fn version(store: &ConfigStore) -> u64 {
    let value = store
        .get(ROUTES_NAME)
        .filter(|value| !value.text.is_empty());
    let version = value.map_or(0, |value| value.version);
    if let Some(value) = value {
        assert_eq!(value.text, routes(version), "text and version differ");
    }
    version
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn versions_never_decrease_and_all_processes_end_with_the_last_one(events in prop::collection::vec(event(), 1..80)) {
        let mut platform = PlatformModel::default();
        let mut stores: Vec<ConfigStore> = (0..PROCESSES).map(|_| store()).collect();
        for event in events {
            let before: Vec<u64> = stores.iter().map(version).collect();
            let mut restarted = None;
            match event {
                Event::Publish => {
                    platform.version += 1;
                    platform.write();
                }
                Event::Copy => platform.copy = Some((platform.number, platform.published.clone())),
                Event::Restore => platform.restore(),
                Event::Rewrite if platform.version > 0 => platform.write(),
                Event::Rewrite => {}
                Event::Read(process) => read(&mut stores[process], &platform.batch()),
                Event::Pull(from, to) => pull(&mut stores, from, to),
                Event::Restart(process) => {
                    stores[process] = store();
                    restarted = Some(process);
                }
            }
            for (process, before) in before.iter().enumerate() {
                let has_decreased = version(&stores[process]) < *before;
                prop_assert!(!has_decreased || restarted == Some(process), "process {process}");
            }
        }
        // Operators rewrite what was lost, and one process reads it.
        platform.version += 1;
        platform.write();
        read(&mut stores[0], &platform.batch());
        for to in 1..PROCESSES {
            pull(&mut stores, 0, to);
        }
        for store in &stores {
            prop_assert_eq!(version(store), platform.version);
            prop_assert_eq!(store.digest(), stores[0].digest());
        }
    }
}
