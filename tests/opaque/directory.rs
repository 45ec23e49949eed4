//! The directory of published backend servers: which of them take new flows, and which may hold
//! flows.

use endivedyke::ServiceId;
use endivedyke::opaque::{Backend, BackendState};

use crate::builder::{
    SERVICE, backend_address, directory, entry_text, host, hosts_taking_flows, publish,
    remove_entry,
};

#[test]
fn an_entry_that_lapses_without_draining_takes_flows_for_the_grace_period() {
    let mut directory = directory(2);
    remove_entry(&mut directory, 1, 9, 1_000);
    directory.expire(3_400, 3_400);
    assert_eq!(hosts_taking_flows(&directory), [host(1), host(2)]);
    directory.expire(3_500, 3_500);
    assert_eq!(hosts_taking_flows(&directory), [host(2)]);
    assert!(!directory.may_hold_flows(host(1)));
}

#[test]
fn an_entry_that_is_removed_after_draining_takes_no_flows() {
    let mut directory = directory(2);
    publish(
        &mut directory,
        1,
        &entry_text(1, BackendState::Draining),
        8,
        900,
    );
    assert_eq!(hosts_taking_flows(&directory), [host(2)]);
    assert!(directory.may_hold_flows(host(1)), "it keeps its flows");
    remove_entry(&mut directory, 1, 9, 1_000);
    assert!(!directory.may_hold_flows(host(1)));
}

#[test]
fn a_lapsed_entry_that_comes_back_takes_flows() {
    let mut directory = directory(1);
    remove_entry(&mut directory, 1, 9, 1_000);
    publish(
        &mut directory,
        1,
        &entry_text(1, BackendState::Ready),
        10,
        2_000,
    );
    directory.expire(60_000, 60_000);
    assert_eq!(hosts_taking_flows(&directory), [host(1)]);
}

#[test]
fn the_newest_id_owns_an_address() {
    let mut directory = directory(1);
    let text = entry_text(1, BackendState::Ready).replace(SERVICE, "scene-intake");
    let backend = Backend::parse(&text).expect("sound text");
    directory.apply_backend("i-new", backend, 50, 1_000);
    assert!(hosts_taking_flows(&directory).is_empty());
    let own = directory
        .local_backend(backend_address(1))
        .expect("published");
    assert_eq!(own.service, ServiceId::from_name("scene-intake"));
    // A late write of the old id does not take the address back.
    publish(
        &mut directory,
        1,
        &entry_text(1, BackendState::Ready),
        51,
        1_100,
    );
    let own = directory
        .local_backend(backend_address(1))
        .expect("published");
    assert_eq!(own.service, ServiceId::from_name("scene-intake"));
}

#[test]
fn malformed_entries_are_rejected_as_backend_syntax() {
    let texts = [
        "",
        "a,b",
        "s,10.0.0.1,zone,4,ready",
        "s,10.0.0.1:80,zone,0,ready",
        "s,10.0.0.1:80,zone,4,odd",
        "s,10.0.0.1:80,ZONE,4,ready",
        "s,10.0.0.1:80,zone,4,ready,-1",
        "s,10.0.0.1:80,zone,4,ready,200,1",
    ];
    for text in texts {
        let code = Backend::parse(text).map_err(|error| error.code);
        assert_eq!(code, Err(endivedyke::Code::BackendSyntax), "{text:?}");
    }
}

#[test]
fn a_cold_start_is_capped_at_one_minute() {
    for (published_ms, expected_ms) in [("0", 0), ("1800", 1_800), ("4000000000", 60_000)] {
        let text = format!("s,10.0.0.1:80,zone,4,ready,{published_ms}");
        let backend = Backend::parse(&text).expect("sound").expect("there");
        assert_eq!(backend.cold_ms, expected_ms, "{published_ms}");
    }
}

#[test]
fn the_remaining_grace_period_counts_lapses_that_may_end() {
    let mut directory = directory(2);
    assert_eq!(directory.lapse_grace_left_ms(), 0);
    remove_entry(&mut directory, 1, 9, 1_000);
    directory.expire(1_500, 1_500);
    assert_eq!(directory.lapse_grace_left_ms(), 2_000);
    publish(
        &mut directory,
        1,
        &entry_text(1, BackendState::Ready),
        10,
        2_000,
    );
    assert_eq!(directory.lapse_grace_left_ms(), 0, "it is back");
    publish(
        &mut directory,
        2,
        &entry_text(2, BackendState::Draining),
        11,
        3_000,
    );
    remove_entry(&mut directory, 2, 12, 3_100);
    assert_eq!(directory.lapse_grace_left_ms(), 0, "it was draining");
}

#[test]
fn grace_periods_pause_while_values_are_stale() {
    let mut directory = directory(2);
    remove_entry(&mut directory, 1, 9, 1_000);
    directory.expire(1_200, 9_000);
    assert_eq!(hosts_taking_flows(&directory), [host(1), host(2)]);
    directory.expire(3_500, 12_000);
    assert_eq!(hosts_taking_flows(&directory), [host(2)]);
}

#[test]
fn an_unlisted_backend_server_may_hold_flows_until_its_announcements_end() {
    let mut directory = directory(2);
    directory.record_unlisted(host(3), 1_000);
    assert!(directory.may_hold_flows(host(3)));
    assert_eq!(
        hosts_taking_flows(&directory),
        [host(1), host(2)],
        "an unlisted backend server takes no new flows"
    );
    directory.expire(3_400, 3_400);
    assert!(directory.may_hold_flows(host(3)));
    directory.expire(3_500, 3_500);
    assert!(
        !directory.may_hold_flows(host(3)),
        "no announcement for a grace period"
    );
    assert_eq!(directory.current_hosts(), [host(1), host(2)]);
}

#[test]
fn an_entry_whose_address_was_reused_has_no_grace_period() {
    let mut directory = directory(2);
    let text = entry_text(1, BackendState::Ready);
    let backend = Backend::parse(&text).expect("sound text");
    directory.apply_backend("i-new", backend, 9, 1_000);
    remove_entry(&mut directory, 1, 10, 1_100);
    directory.expire(1_200, 1_200);
    assert_eq!(directory.lapse_grace_left_ms(), 0);
    remove_entry(&mut directory, 2, 11, 1_300);
    assert_eq!(
        directory.lapse_grace_left_ms(),
        2_600,
        "its address was not reused"
    );
}
