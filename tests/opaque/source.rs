//! What changes tell of entries that vanished.

use endivedyke::opaque::{Batch, Published};

fn change(id: &str, text: Option<&str>) -> Published {
    Published {
        name: format!("backend/{id}"),
        revision: 1,
        text: text.map(str::to_owned),
    }
}

type Case<'a> = (&'a str, &'a [(&'a str, Option<&'a str>)], bool);

#[test]
fn a_lapse_is_told_from_a_leave_and_a_return() {
    let (ready, draining) = (
        Some("s,10.0.0.1:80,z,4,ready"),
        Some("s,10.0.0.1:80,z,4,draining"),
    );
    let cases: [Case<'_>; 6] = [
        ("nothing vanished", &[("a", ready)], false),
        ("it was ready", &[("a", ready), ("a", None)], true),
        ("its last change is long ago", &[("a", None)], true),
        (
            "it drained",
            &[("a", draining), ("b", ready), ("a", None)],
            false,
        ),
        ("it came back", &[("a", None), ("a", ready)], false),
        ("another came", &[("a", None), ("b", ready)], true),
    ];
    for (name, changes, lapsed) in cases {
        let batch = Batch {
            values: changes.iter().map(|(id, text)| change(id, *text)).collect(),
            ..Batch::default()
        };
        assert_eq!(batch.shows_lapse(), lapsed, "{name}");
    }
}
