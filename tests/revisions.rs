//! Values in force never go back to an older revision, whatever the order of arrival and the source.

mod common;

use common::{cluster_key, host, table_text};
use endivedyke::{
    AcceptOutcome, Code, ConfigStore, Delta, HOSTS_HEADER, HostList, Revision, select_peers,
    select_readers,
};
use proptest::prelude::*;

const NAME: &str = "table/panel-front";

fn text(weight: u32) -> String {
    table_text("panel-front", &[weight, 100, 100], 2_000)
}

/// Returns the text of a published revision. Every fifth one is invalid and must be rejected by
/// every process.
fn published(revision: u64) -> String {
    if revision.is_multiple_of(5) {
        return text(1).replace("10.0.0.1,", "nowhere,");
    }
    text(revision as u32)
}

/// Returns the highest valid revision, as a reference to compare the store with.
fn highest_valid(seen: &[u64]) -> u64 {
    seen.iter()
        .copied()
        .filter(|revision| !revision.is_multiple_of(5))
        .max()
        .unwrap_or(0)
}

#[test]
fn an_invalid_value_leaves_the_old_one_in_force() {
    let mut store = ConfigStore::new(&cluster_key());
    assert_eq!(
        store.accept(NAME, 4, &published(4)),
        Ok(AcceptOutcome::Accepted)
    );
    let error = store.accept(NAME, 5, &published(5)).expect_err("invalid");
    assert_eq!(error.code, Code::TableAddress);
    assert_eq!(store.revision(NAME), 4.into());
    assert_eq!(
        store.tables().next().map(|table| table.rows[0].weight),
        Some(4)
    );
    assert!(
        !store.is_new_state(NAME, 5),
        "a rejected revision is not fetched again"
    );
    assert_eq!(
        store.accept(NAME, 3, &published(3)),
        Ok(AcceptOutcome::Stale)
    );
    assert_eq!(
        store.accept(NAME, 6, &published(6)),
        Ok(AcceptOutcome::Accepted)
    );
}

#[test]
fn values_of_another_service_or_above_the_size_limit_are_rejected() {
    let mut store = ConfigStore::new(&cluster_key());
    let error = store
        .accept("table/other", 1, &text(1))
        .expect_err("invalid");
    assert_eq!(error.code, Code::TableMixed);
    let large = "x".repeat((1 << 20) + 1);
    let error = store.accept("notes", 1, &large).expect_err("too large");
    assert_eq!(error.code, Code::ValueTooLarge);
}

#[test]
fn the_delta_of_an_edited_row_holds_one_row() {
    let old = table_text("panel-front", &vec![100; 500], 2_000);
    let new = old.replacen(
        "t0250,10.0.1.1,10.0.1.1:8080,100",
        "t0250,10.0.1.1,10.0.1.1:8080,150",
        1,
    );
    assert_ne!(old, new);
    let delta = Delta::between(&old, &new);
    assert_eq!(delta.text.lines().count(), 1);
    assert_eq!(delta.apply(&old), Ok(new));
}

#[test]
fn readers_and_peers_are_selected_from_the_host_list() {
    let mut text = format!("{HOSTS_HEADER}\n");
    for index in 0..60 {
        text += &format!("{},zone-{},backend,live\n", host(index), index % 3);
    }
    let hosts = HostList::parse(&text).expect("valid");
    let chosen = select_readers(&hosts, "zone-1", |_| true);
    assert_eq!(chosen.len(), 3);
    let without_first = select_readers(&hosts, "zone-1", |address| address != chosen[0]);
    assert_eq!(without_first[..2], chosen[1..], "the others stay readers");
    let links = select_peers(&hosts, host(0), |_| true);
    assert_eq!(links.len(), 6);
    assert!(!links.contains(&host(0)));
}

proptest! {
    #[test]
    fn revisions_in_force_only_rise_in_any_order_of_arrival(order in proptest::collection::vec(1u64..40, 1..60)) {
        let mut store = ConfigStore::new(&cluster_key());
        let mut highest = Revision::ZERO;
        for (index, revision) in order.iter().enumerate() {
            let _ = store.accept(NAME, *revision, &published(*revision));
            let held = store.revision(NAME);
            prop_assert!(held >= highest, "went back from revision {} to {}", highest, held);
            highest = held;
            prop_assert_eq!(held, highest_valid(&order[..=index]).into());
        }
    }

    #[test]
    fn peers_that_exchange_updates_end_with_the_same_values(
        edits in proptest::collection::vec((0usize..4, 0u32..3), 1..20),
        pushes in proptest::collection::vec((0usize..4, 0usize..4), 0..60),
    ) {
        let names = ["table/panel-front", "notes", "plan"];
        let mut stores: Vec<ConfigStore> =
            (0..4).map(|_| ConfigStore::new(&cluster_key())).collect();
        for (revision, (at, which)) in edits.iter().enumerate() {
            let name = names[*which as usize];
            let value = if *which == 0 { text(revision as u32 + 1) } else { format!("{revision}\n") };
            let accepted = stores[*at].accept(name, revision as u64 + 1, &value);
            prop_assert_eq!(accepted, Ok(AcceptOutcome::Accepted));
        }
        // Lost and duplicate messages: random pairs of stores exchange updates first, then every
        // pair twice.
        let round = (0..4).flat_map(|from| (0..4).map(move |to| (from, to)));
        let rounds: Vec<(usize, usize)> = pushes.into_iter().chain(round.clone()).chain(round).collect();
        for (from, to) in rounds {
            let changes: Vec<String> = stores[from]
                .changes_since(Revision::ZERO)
                .into_iter()
                .map(|(name, _)| name.to_owned())
                .collect();
            for name in changes {
                let have = stores[to].revision(&name);
                let update = stores[from].update_for(&name, have).expect("held");
                let before = stores[to].revision(&name);
                let _ = stores[to].accept_update(&update);
                prop_assert!(stores[to].revision(&name) >= before);
            }
        }
        for store in &stores[1..] {
            prop_assert_eq!(store.digest(), stores[0].digest());
        }
    }

    #[test]
    fn a_delta_turns_the_old_text_into_the_new_one(old in "([ab]{0,2}\n){0,12}", new in "([ab]{0,2}\n){0,12}[ab]?") {
        prop_assert_eq!(Delta::between(&old, &new).apply(&old), Ok(new));
    }
}

#[test]
fn a_revision_is_written_as_era_and_number() {
    let revision = Revision::new(3, 41).expect("fits");
    assert_eq!(format!("{revision}"), "3.41");
    assert_eq!(format!("{revision:?}"), "3.41");
    assert_eq!(format!("{:?}", Revision::from(41)), "41");
}
