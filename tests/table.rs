//! An invalid table is rejected as a whole, with the line, column and code of the error.

mod common;

use common::table_text;
use endivedyke::{Code, TABLE_HEADER, Table, TableDiff, parse_tables};
use proptest::prelude::*;

const VALID_ROW: &str = "front,192.0.2.1:443,a,10.0.0.1,10.0.0.1:80,100,4,2000";

/// Returns the error of a table with these rows.
fn parse_error(rows: &[&str]) -> endivedyke::Error {
    let text = format!("{TABLE_HEADER}\n{}\n", rows.join("\n"));
    parse_tables(&text).expect_err("invalid table")
}

#[test]
fn errors_name_line_and_column() {
    let cases: &[(&[&str], Code, &str)] = &[
        (&[], Code::TableEmpty, ""),
        (&["front,192.0.2.1:443"], Code::TableSyntax, "line 2"),
        (
            &[
                VALID_ROW,
                "front,192.0.2.1:443,b,10.0.0.2,10.0.0.2:80,-1,4,9",
            ],
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
        (&[VALID_ROW, VALID_ROW], Code::TableDuplicate, "target a"),
        (
            &[
                VALID_ROW,
                "front,192.0.2.1:443,b,10.0.0.1,10.0.0.1:81,1,1,1",
            ],
            Code::TableDuplicate,
            "host 10.0.0.1",
        ),
        (
            &[
                VALID_ROW,
                "front,192.0.2.2:443,b,10.0.0.2,10.0.0.2:80,1,1,1",
            ],
            Code::TableMixed,
            "column address",
        ),
        (
            &[
                VALID_ROW,
                "intake,192.0.2.1:443,b,10.0.0.2,10.0.0.2:80,1,1,1",
            ],
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
        let error = parse_error(rows);
        assert_eq!(error.code, *code, "{rows:?}: {error}");
        assert!(error.message.contains(place), "{rows:?}: {error}");
    }
}

#[test]
fn a_table_without_the_header_is_rejected() {
    let error = parse_tables("service,target\n").expect_err("wrong header");
    assert_eq!(error.code, Code::TableHeader);
}

#[test]
fn a_diff_lists_every_changed_target_with_its_effect() {
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
    let removed = TableDiff::between(Some(&old), None);
    assert!(
        removed
            .changes
            .iter()
            .all(|change| change.effect.contains("drains"))
    );
}

proptest! {
    #[test]
    fn no_text_makes_the_parser_panic(text in "[ -~\n]{0,400}") {
        let _ = parse_tables(&text);
        let _ = parse_tables(&format!("{TABLE_HEADER}\n{text}"));
    }
}
