//! Openers are spread by weight, independent of row order, and a weight edit moves as few as
//! possible.

mod common;

use common::table;
use endivedyke::{Table, place_opener};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn owner(table: &Table, opener_hash: u64) -> Option<&str> {
    place_opener(table, opener_hash, |_| true).map(|placement| placement.owner.target.as_str())
}

/// A simple reference implementation: each target gets as many hashes as its weight, and the target
/// with the highest hash is the owner.
fn reference_owner(table: &Table, opener_hash: u64) -> Option<&str> {
    let copies = table
        .rows
        .iter()
        .flat_map(|row| (0..row.weight).map(move |copy| (copy, row)));
    let best = copies.max_by_key(|(copy, row)| {
        endivedyke::bytes_hash(format!("{opener_hash} {} {copy}", row.target).as_bytes())
    });
    best.map(|(_, row)| row.target.as_str())
}

/// Returns the share of random openers that each target gets.
fn shares(table: &Table, choose: impl Fn(u64) -> Option<String>, openers: u64) -> Vec<f64> {
    let mut random = StdRng::seed_from_u64(11);
    let mut counts = vec![0u64; table.rows.len()];
    for _ in 0..openers {
        let target = choose(random.random()).expect("an owner");
        let index = table.rows.iter().position(|row| row.target == target);
        counts[index.expect("a row")] += 1;
    }
    counts
        .iter()
        .map(|count| *count as f64 / openers as f64)
        .collect()
}

#[test]
fn shares_match_the_weights_and_the_reference() {
    let table = table(&[1, 2, 3, 10]);
    let actual = shares(
        &table,
        |hash| owner(&table, hash).map(str::to_owned),
        40_000,
    );
    let reference = shares(
        &table,
        |hash| reference_owner(&table, hash).map(str::to_owned),
        40_000,
    );
    for (index, row) in table.rows.iter().enumerate() {
        let expected = table.share(row);
        assert!((actual[index] - expected).abs() < 0.01, "{actual:?}");
        assert!((reference[index] - expected).abs() < 0.01, "{reference:?}");
    }
}

#[test]
fn a_weight_edit_moves_openers_only_to_the_target_that_gained() {
    let before = table(&[100, 100, 100, 100]);
    let after = table(&[100, 100, 100, 140]);
    let mut random = StdRng::seed_from_u64(5);
    let mut moved = 0;
    for _ in 0..20_000 {
        let hash = random.random();
        let (old, new) = (owner(&before, hash), owner(&after, hash));
        if old != new {
            moved += 1;
            assert_eq!(
                new,
                Some("t0003"),
                "an opener moves only to the target that gained"
            );
        }
    }
    let gained = 140.0 / 440.0 - 100.0 / 400.0;
    let share = f64::from(moved) / 20_000.0;
    assert!(
        (share - gained).abs() < 0.01,
        "{share} of the openers moved"
    );
}

proptest! {
    #[test]
    fn the_runner_up_becomes_the_owner_if_the_owner_is_not_eligible(
        weights in proptest::collection::vec(0u32..50, 2..12),
        opener_hash: u64,
    ) {
        prop_assume!(weights.iter().filter(|weight| **weight > 0).count() >= 2);
        let table = table(&weights);
        let placement = place_opener(&table, opener_hash, |_| true).expect("an owner");
        let without = place_opener(&table, opener_hash, |row| row.target != placement.owner.target);
        prop_assert_eq!(placement.runner_up, without.map(|placement| placement.owner));
        prop_assert!(placement.owner.weight > 0);
    }

    #[test]
    fn the_order_of_rows_does_not_matter(opener_hash: u64, weights in proptest::collection::vec(1u32..50, 1..12)) {
        let text = common::table_text("panel-front", &weights, 9);
        let mut lines: Vec<&str> = text.lines().collect();
        lines[1..].reverse();
        let reversed = Table::parse(&lines.join("\n")).expect("sound table");
        let table = table(&weights);
        prop_assert_eq!(owner(&table, opener_hash), owner(&reversed, opener_hash));
    }
}
