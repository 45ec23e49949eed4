//! How long changes take to reach all processes, from log lines as they write them.

use endivedyke::parse_log;
use endivedyke_lab::{ValueSpread, spreads_table, value_spreads};

/// Writes lines as a collector does: the time and the name of the host before each.
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
const LATER: &str = "event=values_in_force count=3 revision=10";

#[test]
fn each_process_counts_from_the_first_one_that_has_the_change() {
    let spreads = spreads(&[
        (0, "a-1", START),
        (0, "a-2", START),
        (0, "a-3", START),
        (100, "a-1", FIRST),
        (120, "a-2", FIRST),
        (130, "a-3", FIRST),
        (1_000, "a-1", CHANGE),
        (1_250, "a-2", CHANGE),
        (1_400, "a-3", LATER),
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
fn who_starts_meanwhile_is_left_out_and_who_never_tells_is_counted() {
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
fn lines_without_a_change_make_an_empty_table() {
    assert!(spreads(&[(0, "a-1", START), (100, "a-1", FIRST)]).is_empty());
    assert_eq!(spreads_table(&[]).lines().count(), 1);
}
