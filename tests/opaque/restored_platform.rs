//! What processes hold while the platform comes back from older copies and numbers changes anew.

use endivedyke::opaque::{
    BackendState, Batch, PublishedValue, RESTORE_SETTLE_MS, ROUTES_HEADER, ROUTES_NAME,
    RestorationEvent, RestorationTracker, new_values,
};
use endivedyke::{AcceptOutcome, ClusterKey, ConfigStore, Revision, VersionStamp};
use proptest::prelude::*;

use crate::builder::{started_text, state_text};

const ENTRY: &str = "backend/i-1";
/// How long the entry of a server that has ended stands in a copy, in milliseconds: three signs of life of 1.2 s.
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

/// Returns a text of routes that names a version.
fn routes(version: u64) -> String {
    format!("{ROUTES_HEADER}\n192.0.2.1:{version},panel-front,1,2,yes\n")
}

#[test]
fn a_later_era_is_after_all_numbers_of_those_before() {
    assert!(revision(1, 1) > revision(0, 900));
    assert!(revision(2, 3) > revision(2, 2));
    assert_eq!((revision(2, 14).era(), revision(2, 14).number()), (2, 14));
    assert_eq!(revision(2, 14).to_string(), "2.14");
    assert_eq!(revision(0, 14).to_string(), "14");
    assert_eq!(Revision::new(0, u64::MAX), None);
    assert_eq!(Revision::new(u64::MAX, 1), None);
}

#[test]
fn a_state_replaces_another_by_the_writer_s_version_only_across_eras() {
    // (offered, held, is it after)
    let cases = [
        (stamp(0, 9, 0), stamp(0, 8, 0), true),
        (stamp(0, 8, 0), stamp(0, 8, 0), false),
        // In one era the platform's order decides, whatever writers count.
        (stamp(0, 9, 20), stamp(0, 8, 24), true),
        // Confirmed after the return, with a number that was given out before.
        (stamp(1, 5, 32), stamp(0, 18, 24), true),
        // From the older copy.
        (stamp(1, 4, 21), stamp(0, 18, 24), false),
        (stamp(0, 18, 24), stamp(1, 4, 21), true),
        // Written again.
        (stamp(1, 5, 24), stamp(0, 18, 24), true),
        // Without versions on both sides there is only the platform's order.
        (stamp(1, 4, 0), stamp(0, 18, 24), true),
        (stamp(0, 18, 24), stamp(1, 4, 0), false),
    ];
    for (offered, held, supersedes) in cases {
        assert_eq!(offered.supersedes(held), supersedes, "{offered:?} {held:?}");
    }
}

#[test]
fn an_entry_of_the_older_copy_does_not_take_back_that_a_server_leaves() {
    let ready = state_text(1, BackendState::Ready);
    let draining = state_text(1, BackendState::Draining);
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
        "what still stands there was written again"
    );
}

#[test]
fn the_first_value_of_an_era_is_judged_like_those_after_it() {
    let mut store = store();
    let draining = state_text(1, BackendState::Draining);
    store.accept(ENTRY, 7, &draining).expect("sound");
    let ready = state_text(1, BackendState::Ready);
    assert_eq!(
        store.accept(ENTRY, revision(1, 5), &ready),
        Ok(AcceptOutcome::Stale)
    );
}

#[test]
fn a_server_that_left_before_the_return_stays_gone_and_one_that_lapsed_is_back() {
    let ready = state_text(1, BackendState::Ready);
    for (last, accepted) in [
        (BackendState::Draining, AcceptOutcome::Stale),
        (BackendState::Ready, AcceptOutcome::Accepted),
    ] {
        let mut store = store();
        store.accept(ENTRY, 7, &state_text(1, last)).expect("sound");
        store.accept(ENTRY, 8, "gone").expect("sound");
        store.accept("other", revision(1, 4), "").expect("sound");
        assert_eq!(store.accept(ENTRY, revision(1, 5), &ready), Ok(accepted));
    }
}

#[test]
fn a_lifetime_does_not_come_back_with_the_platform() {
    let mut store = store();
    store
        .accept(ENTRY, 7, &started_text(1, 200))
        .expect("sound");
    store.accept("other", revision(1, 4), "").expect("sound");
    let before = started_text(1, 100);
    assert_eq!(
        store.accept(ENTRY, revision(1, 5), &before),
        Ok(AcceptOutcome::Stale)
    );
    let after = started_text(1, 300);
    assert_eq!(
        store.accept(ENTRY, revision(1, 6), &after),
        Ok(AcceptOutcome::Accepted)
    );
}

#[test]
fn a_restoration_settles_once_values_are_new_for_long_enough() {
    let mut restoration = RestorationTracker::default();
    const {
        assert!(
            RESTORE_SETTLE_MS > LEASE_MS,
            "an ended server would get flows again"
        )
    };
    assert_eq!(restoration.observe_era(0, 100), None);
    assert_eq!(
        restoration.observe_era(1, 1_000),
        Some(RestorationEvent::Restored)
    );
    // The clock stands still while the platform is away once more.
    assert_eq!(
        restoration.observe_era(1, 1_000 + RESTORE_SETTLE_MS - 1),
        None
    );
    assert_eq!(
        restoration.observe_era(1, 1_000 + RESTORE_SETTLE_MS),
        Some(RestorationEvent::Settled)
    );
    assert_eq!(restoration.observe_era(1, 9_000), None);
    // A return while it settles begins anew.
    restoration.observe_era(2, 10_000);
    assert_eq!(
        restoration.observe_era(3, 11_000),
        Some(RestorationEvent::Restored)
    );
    assert_eq!(restoration.observe_era(3, 10_000 + RESTORE_SETTLE_MS), None);
}

/// A platform that takes configurations, and comes back from copies of itself.
#[derive(Debug, Default, Clone)]
struct PlatformModel {
    era: u64,
    number: u64,
    version: u64,
    /// The configuration that it shows.
    shown: Option<PublishedValue>,
    copy: Option<(u64, Option<PublishedValue>)>,
}

impl PlatformModel {
    fn write(&mut self) {
        self.number += 1;
        self.shown = Some(PublishedValue {
            name: ROUTES_NAME.to_owned(),
            stamp: stamp(self.era, self.number, self.version),
            text: Some(routes(self.version)),
        });
    }

    fn restore(&mut self) {
        if let Some((number, shown)) = self.copy.clone() {
            self.number = number;
            self.shown = shown.map(|shown| shown.with_era(self.era + 1));
            self.era += 1;
        }
    }

    fn batch(&self) -> Batch {
        Batch {
            revision: revision(self.era, self.number),
            values: self.shown.iter().cloned().collect(),
            is_whole: true,
        }
    }
}

#[derive(Debug, Clone)]
enum Event {
    /// Operators publish the next version.
    Publish,
    Copy,
    /// The platform comes back from its copy.
    Restore,
    /// Operators write the newest version again.
    WriteAgain,
    /// A process reads everything.
    Read(usize),
    /// A process takes what another one holds.
    Pull(usize, usize),
    Restart(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let process = 0_usize..PROCESSES;
    prop_oneof![
        3 => Just(Event::Publish),
        1 => Just(Event::Copy),
        1 => Just(Event::Restore),
        1 => Just(Event::WriteAgain),
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

/// Returns the version of the routes in force, as the text itself tells it.
fn version(store: &ConfigStore) -> u64 {
    let value = store
        .get(ROUTES_NAME)
        .filter(|value| !value.text.is_empty());
    let told = value.map_or(0, |value| value.version);
    if let Some(value) = value {
        assert_eq!(value.text, routes(told), "text and version differ");
    }
    told
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn no_process_goes_back_and_all_end_with_what_was_confirmed_last(events in prop::collection::vec(event(), 1..80)) {
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
                Event::Copy => platform.copy = Some((platform.number, platform.shown.clone())),
                Event::Restore => platform.restore(),
                Event::WriteAgain if platform.version > 0 => platform.write(),
                Event::WriteAgain => {}
                Event::Read(process) => read(&mut stores[process], &platform.batch()),
                Event::Pull(from, to) => pull(&mut stores, from, to),
                Event::Restart(process) => {
                    stores[process] = store();
                    restarted = Some(process);
                }
            }
            for (process, before) in before.iter().enumerate() {
                let went_back = version(&stores[process]) < *before;
                prop_assert!(!went_back || restarted == Some(process), "process {process}");
            }
        }
        // Operators write what was lost, and one process reads it.
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
