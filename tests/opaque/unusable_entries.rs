//! Entries that another program wrote: they are not used, and do not affect other entries.

use endivedyke::ServiceId;
use endivedyke::opaque::{Backend, BackendState};

use crate::builder::{
    AgentUnderTest, SERVICE, backend_address, directory, entry_text, flow, host,
    hosts_taking_flows, opener, overwrite_entry, publish, reaches_backend, remove_entry, request,
    resets,
};

#[test]
fn an_overwritten_entry_takes_no_new_flows_and_may_hold_flows() {
    let mut directory = directory(2);
    overwrite_entry(&mut directory, 1, 9, 1_000);
    assert_eq!(hosts_taking_flows(&directory), [host(2)]);
    assert!(directory.may_hold_flows(host(1)));
    assert_eq!(directory.unusable_count(), 1);
    publish(
        &mut directory,
        1,
        &entry_text(1, BackendState::Ready),
        10,
        1_200,
    );
    assert_eq!(hosts_taking_flows(&directory), [host(1), host(2)]);
    assert_eq!(directory.unusable_count(), 0);
}

#[test]
fn an_entry_that_stays_unusable_may_hold_flows_for_the_longest_flow_lifetime() {
    let mut directory = directory(2);
    overwrite_entry(&mut directory, 1, 9, 1_000);
    overwrite_entry(&mut directory, 1, 10, 30_000);
    directory.expire(60_900, 60_900);
    assert!(directory.may_hold_flows(host(1)));
    directory.expire(61_000, 61_000);
    assert!(!directory.may_hold_flows(host(1)));
}

#[test]
fn an_overwritten_entry_that_lapses_may_come_back_and_takes_no_new_flows() {
    let mut directory = directory(2);
    overwrite_entry(&mut directory, 1, 9, 1_000);
    remove_entry(&mut directory, 1, 10, 1_100);
    assert_eq!(hosts_taking_flows(&directory), [host(2)]);
    assert!(directory.may_hold_flows(host(1)));
    assert!(directory.lapse_grace_left_ms() > 0);
    directory.expire(3_600, 3_600);
    assert!(!directory.may_hold_flows(host(1)));
}

#[test]
fn an_entry_that_was_never_usable_adds_no_host() {
    let mut directory = directory(2);
    overwrite_entry(&mut directory, 7, 9, 1_000);
    assert_eq!(directory.current_hosts(), [host(1), host(2)]);
    remove_entry(&mut directory, 7, 10, 1_100);
    assert_eq!(directory.unusable_count(), 0);
}

#[test]
fn an_entry_of_an_unknown_service_takes_no_address_and_adds_no_host() {
    let mut directory = directory(2);
    directory.set_services(vec![ServiceId::from_name(SERVICE)]);
    for (id, text) in [
        ("i-at-an-address-in-use", entry_text(1, BackendState::Ready)),
        ("i-at-a-host-of-its-own", entry_text(9, BackendState::Ready)),
    ] {
        let foreign = Backend::parse(&text.replace(SERVICE, "unheard-of")).expect("sound");
        directory.apply_backend(id, foreign, 50, 1_000);
    }
    assert_eq!(hosts_taking_flows(&directory), [host(1), host(2)]);
    assert_eq!(directory.current_hosts(), [host(1), host(2)]);
    let own = directory
        .local_backend(backend_address(1))
        .expect("published");
    assert_eq!(own.service, ServiceId::from_name(SERVICE));
    assert_eq!(directory.host_list().all().len(), 2);
}

#[test]
fn entries_of_a_service_are_used_once_it_is_configured() {
    let mut directory = directory(2);
    directory.set_services(Vec::new());
    assert!(hosts_taking_flows(&directory).is_empty());
    directory.set_services(vec![ServiceId::from_name(SERVICE)]);
    assert_eq!(hosts_taking_flows(&directory), [host(1), host(2)]);
}

#[test]
fn an_agent_whose_entry_was_overwritten_keeps_its_flows_and_is_unlisted() {
    let mut agent = AgentUnderTest::new(2, true);
    agent.flow_agent.handle_backend_listening(agent.now_ms);
    agent.open(&flow(1), 500);
    agent.acknowledge_from_backend(&flow(1));
    assert!(!agent.flow_agent.is_backend_unlisted(&agent.directory));
    overwrite_entry(&mut agent.directory, 1, 9, agent.now_ms);
    assert!(resets(&agent.handle_published_change()).is_empty());
    assert!(agent.flow_agent.is_backend_unlisted(&agent.directory));
    assert!(reaches_backend(&agent.deliver(&request(&flow(1), 501))));
    assert!(!reaches_backend(&agent.deliver(&opener(&flow(2), 0))));
}
