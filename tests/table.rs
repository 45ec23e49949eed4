//! Tables are taken whole or rejected whole, with the place and the number of the fault.

mod common;

use common::table_text;
use endivedyke::{Code, TABLE_HEADER, Table, TableDiff, parse_tables};
use proptest::prelude::*;

const GOOD: &str = "front,192.0.2.1:443,a,10.0.0.1,10.0.0.1:80,100,4,2000";

fn error_of(rows: &[&str]) -> endivedyke::Error {
    let text = format!("{TABLE_HEADER}\n{}\n", rows.join("\n"));
    parse_tables(&text).expect_err("a bad table")
}

#[test]
fn bad_rows_name_their_place() {
    let cases: &[(&[&str], Code, &str)] = &[
        (&[], Code::TableEmpty, ""),
        (&["front,192.0.2.1:443"], Code::TableSyntax, "line 2"),
        (
            &[GOOD, "front,192.0.2.1:443,b,10.0.0.2,10.0.0.2:80,-1,4,9"],
            Code::TableNumber,
            "line 3, column weight",
        ),
        (
            &["front,192.0.2.1:443,b,10.0.0.2,10.0.0.2:80,1,0,9"],
            Code::TableNumber,
            "column slots",
        ),
        (
            &["front,192.0.2.1:443,b,10.0.0.2,10.0.0.2:80,1,1,0"],
            Code::TableNumber,
            "column connections",
        ),
        (
            &["front,192.0.2.1:443,b,10.0.0.2,10.0.0.2:80,1e3,1,1"],
            Code::TableNumber,
            "column weight",
        ),
        (
            &["front,192.0.2.1,b,10.0.0.2,10.0.0.2:80,1,1,1"],
            Code::TableAddress,
            "column address",
        ),
        (
            &["front,192.0.2.1:443,b,host-b,10.0.0.2:80,1,1,1"],
            Code::TableAddress,
            "column host",
        ),
        (
            &["front,192.0.2.1:443,b,10.0.0.2,10.0.0.2,1,1,1"],
            Code::TableAddress,
            "column backend",
        ),
        (
            &["Front,192.0.2.1:443,b,10.0.0.2,10.0.0.2:80,1,1,1"],
            Code::TableName,
            "column service",
        ),
        (
            &["front,192.0.2.1:443,,10.0.0.2,10.0.0.2:80,1,1,1"],
            Code::TableName,
            "column target",
        ),
        (&[GOOD, GOOD], Code::TableDuplicate, "target a"),
        (
            &[GOOD, "front,192.0.2.1:443,b,10.0.0.1,10.0.0.1:81,1,1,1"],
            Code::TableDuplicate,
            "host 10.0.0.1",
        ),
        (
            &[GOOD, "front,192.0.2.2:443,b,10.0.0.2,10.0.0.2:80,1,1,1"],
            Code::TableMixed,
            "column address",
        ),
        (
            &[GOOD, "intake,192.0.2.1:443,b,10.0.0.2,10.0.0.2:80,1,1,1"],
            Code::TableDuplicate,
            "two services",
        ),
        (
            &["front,192.0.2.1:443,b,10.0.0.2,10.0.0.2:80,0,1,1"],
            Code::TableEmpty,
            "weight",
        ),
    ];
    for (rows, code, place) in cases {
        let error = error_of(rows);
        assert_eq!(error.code, *code, "{rows:?}: {error}");
        assert!(error.message.contains(place), "{rows:?}: {error}");
    }
}

#[test]
fn header_must_match() {
    let error = parse_tables("service,target\n").expect_err("a bad header");
    assert_eq!(error.code, Code::TableHeader);
}

#[test]
fn diff_predicts_each_change() {
    let old = Table::parse(&table_text("front", &[100, 100], 2_000)).expect("old");
    let new = Table::parse(&table_text("front", &[300, 100, 0], 2_000)).expect("new");
    let diff = TableDiff::between(Some(&old), Some(&new));
    let names: Vec<&str> = diff
        .changes
        .iter()
        .map(|change| change.target.as_str())
        .collect();
    assert_eq!(names, ["t0000", "t0001", "t0002"]);
    assert_eq!(diff.changes[0].share, (0.5, 0.75));
    assert!(diff.changes[2].effect.contains("starts cold"));
    assert!(
        TableDiff::between(Some(&old), Some(&old))
            .changes
            .is_empty()
    );
    let gone = TableDiff::between(Some(&old), None);
    assert!(
        gone.changes
            .iter()
            .all(|change| change.effect.contains("drains"))
    );
}

proptest! {
    #[test]
    fn any_text_is_taken_or_rejected_without_a_panic(text in "[ -~\n]{0,400}") {
        let _ = parse_tables(&text);
        let _ = parse_tables(&format!("{TABLE_HEADER}\n{text}"));
    }
}
