//! The table of codes in docs/CODES.md equals the one in the code.

use endivedyke::Code;

#[test]
fn docs_list_every_code() {
    let mut rows = String::from("| code | name | meaning | remedy |\n|---|---|---|---|\n");
    for code in Code::ALL {
        let (number, meaning, remedy) = (code.number(), code.meaning(), code.remedy());
        rows += &format!("| {number} | {code:?} | {meaning} | {remedy} |\n");
    }
    let docs = include_str!("../docs/CODES.md");
    assert!(
        docs.contains(&rows),
        "docs/CODES.md should hold these rows:\n{rows}"
    );
}

#[test]
fn numbers_rise_and_map_back_to_their_codes() {
    for pair in Code::ALL.windows(2) {
        assert!(pair[0].number() < pair[1].number());
    }
    for code in Code::ALL {
        assert_eq!(Code::from_number(code.number()), Some(*code));
    }
    assert_eq!(Code::from_number(1), None);
}
