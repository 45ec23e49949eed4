//! How long callers wait, as published.

use std::net::SocketAddrV4;

use endivedyke::Code;
use endivedyke::opaque::{Deadline, Directory, deadlines_text, parse_deadlines};

use crate::builder::CALLED;

fn called() -> SocketAddrV4 {
    CALLED.parse().expect("address")
}

fn deadline(objective_ms: u32, timeout_ms: u32) -> Deadline {
    Deadline {
        address: called(),
        objective_ms,
        timeout_ms,
    }
}

#[test]
fn deadlines_with_time_for_a_second_attempt_are_not_told() {
    for (objective_ms, timeout_ms, is_told) in [
        (300, 1_500, true),
        (300, 1_699, true),
        (300, 1_700, false),
        (250, 3_000, false),
        (u32::MAX, u32::MAX, false),
        (0, 0, true),
    ] {
        let text = deadlines_text([deadline(objective_ms, timeout_ms)].into_iter());
        let told = parse_deadlines(&text).expect("sound");
        assert_eq!(!told.is_empty(), is_told, "{objective_ms} of {timeout_ms}");
    }
}

#[test]
fn the_deadline_of_an_address_is_found_and_withdrawn() {
    let mut directory = Directory::default();
    assert_eq!(directory.deadline(called()), None);
    let text = deadlines_text([deadline(300, 1_500)].into_iter());
    directory.set_deadlines(parse_deadlines(&text).expect("sound"));
    assert_eq!(directory.deadline(called()), Some(deadline(300, 1_500)));
    directory.set_deadlines(parse_deadlines("").expect("none told"));
    assert_eq!(directory.deadline(called()), None);
}

#[test]
fn deadlines_are_parsed_whole_or_refused_with_their_code() {
    for text in [
        "a",
        "192.0.2.1:443,300",
        "192.0.2.1:443,300,x",
        "192.0.2.1:443,300,-1",
        "192.0.2.1:443,300,1500,7",
        "192.0.2.1,300,1500",
        "\n",
    ] {
        let code = parse_deadlines(text).map_err(|error| error.code);
        assert_eq!(code.err(), Some(Code::DeadlineSyntax), "{text:?}");
    }
}
