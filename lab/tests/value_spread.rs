//! The time that changes take to reach all processes, from their log lines.

use endivedyke::parse_log;
use endivedyke_lab::{ValueSpread, spreads_table, value_spreads};

/// Returns the spreads in lines with a time and a host each, in the format of a log collector.
fn spreads(lines: &[(u64, &str, &str)]) -> Vec<ValueSpread> {
    let line = |(time_ms, host, text): &(u64, &str, &str)| {
        format!("1.5 {host} time_ms={time_ms} level=INFO part=control {text}\n")
    };
    let text: String = lines.iter().map(line).collect();
    value_spreads(&parse_log("log", &text))
}

const START: &str = "event=start role=agent";
const FIRST: &str = "event=value_in_force name=routes revision=2 version=1";
const CHANGE: &str = "event=value_in_force name=routes revision=9 version=2";
const LATER_CHANGE: &str = "event=values_in_force count=3 revision=10";

#[test]
fn delays_are_measured_from_the_first_process_that_has_the_change() {
    let spreads = spreads(&[
        (0, "a-1", START),
        (0, "a-2", START),
        (0, "a-3", START),
        (100, "a-1", FIRST),
        (120, "a-2", FIRST),
        (130, "a-3", FIRST),
        (1_000, "a-1", CHANGE),
        (1_250, "a-2", CHANGE),
        (1_400, "a-3", LATER_CHANGE),
    ]);
    let [spread] = &spreads[..] else {
        panic!("one change: {spreads:?}");
    };
    assert_eq!((spread.revision, spread.first_ms), (9, 1_000));
    assert_eq!(spread.delays_ms, [0, 250, 400]);
    assert_eq!(spread.percentile_ms(50), Some(250));
    assert_eq!(spread.percentile_ms(99), Some(400));
    assert_eq!(spread.unreported, 0);
}

#[test]
fn processes_that_start_meanwhile_are_excluded_and_unreported_ones_are_counted() {
    let spreads = spreads(&[
        (0, "a-1", START),
        (0, "a-2", START),
        (0, "a-3", START),
        (100, "a-1", FIRST),
        (1_000, "a-1", CHANGE),
        (1_100, "a-2", START),
        (1_500, "a-2", CHANGE),
        (2_000, "a-4", START),
        (2_100, "a-4", CHANGE),
    ]);
    assert_eq!(spreads[0].delays_ms, [0]);
    assert_eq!(spreads[0].unreported, 1);
    let table = spreads_table(&spreads);
    assert!(table.contains("9         1          1"), "{table}");
}

#[test]
fn the_table_is_empty_without_changes() {
    assert!(spreads(&[(0, "a-1", START), (100, "a-1", FIRST)]).is_empty());
    assert_eq!(spreads_table(&[]).lines().count(), 1);
}
