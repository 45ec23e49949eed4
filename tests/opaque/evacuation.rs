//! Balancers and agents while availability zones are evacuated.

use std::net::Ipv4Addr;

use endivedyke::opaque::{
    Action, BackendState, Batch, Directory, MessageKind, PublishedValue, evacuation_name,
    new_values,
};
use endivedyke::{ClusterKey, Code, ConfigStore, Suspicion};

use crate::builder::{
    AgentUnderTest, FLOW_LIFETIME_MS, ZONE, directory, entry_text, entry_text_in, flow,
    forwarded_to, forwarder, host, hosts_taking_flows, index_of, opener, publish, reaches_backend,
    receivers, remove_entry, request, resets,
};

/// The second availability zone of the sites in these tests.
const OTHER_ZONE: &str = "zone-b";

/// Returns a directory whose backend servers with odd indices are in [`ZONE`], the others in
/// [`OTHER_ZONE`].
fn two_zones(count: u16) -> Directory {
    let mut directory = directory(count);
    for index in (2..=count).step_by(2) {
        let text = entry_text_in(OTHER_ZONE, index, BackendState::Ready);
        publish(&mut directory, index, &text, 100 + u64::from(index), 0);
    }
    directory
}

/// Returns what a new balancer does with a packet.
fn send(directory: &Directory, packet: Vec<u8>) -> Result<Action, Code> {
    let mut suspicion = Suspicion::default();
    let sent = forwarder().handle(directory, &mut suspicion, packet, 1_000);
    sent.map_err(|error| error.code)
}

#[test]
fn an_evacuated_zone_gets_no_new_flows_until_it_is_taken_back() {
    let mut directory = two_zones(4);
    directory.set_zone_evacuated(OTHER_ZONE, true, 200);
    assert_eq!(hosts_taking_flows(&directory), [host(1), host(3)]);
    assert_eq!(directory.evacuated_zones(), [OTHER_ZONE]);
    for port in 1..100 {
        let action = send(&directory, opener(&flow(port), 0)).expect("sent");
        assert!(
            [host(1), host(3)].contains(&forwarded_to(&action)),
            "{port}"
        );
    }
    directory.set_zone_evacuated(OTHER_ZONE, false, 201);
    assert_eq!(hosts_taking_flows(&directory).len(), 4);
    assert!(directory.evacuated_zones().is_empty());
}

#[test]
fn an_evacuation_of_an_unknown_zone_changes_nothing() {
    let mut directory = two_zones(4);
    directory.set_zone_evacuated("elsewhere", true, 200);
    directory.set_zone_evacuated("elsewhere", true, 201);
    directory.set_zone_evacuated(ZONE, false, 202);
    assert_eq!(hosts_taking_flows(&directory).len(), 4);
}

#[test]
fn servers_that_join_an_evacuated_zone_get_no_new_flows() {
    let mut directory = two_zones(2);
    directory.set_zone_evacuated(ZONE, true, 200);
    publish(
        &mut directory,
        5,
        &entry_text(5, BackendState::Ready),
        201,
        10,
    );
    // An entry that lapses and comes back is still in its zone.
    remove_entry(&mut directory, 1, 202, 20);
    directory.expire(1_000, 1_000);
    assert_eq!(hosts_taking_flows(&directory), [host(2)]);
    publish(
        &mut directory,
        1,
        &entry_text(1, BackendState::Ready),
        203,
        1_500,
    );
    assert_eq!(hosts_taking_flows(&directory), [host(2)]);
}

#[test]
fn an_agent_in_an_evacuated_zone_hands_openers_on_and_keeps_its_flows() {
    let mut agent = AgentUnderTest::new(4, true);
    agent.directory = two_zones(4);
    agent.open(&flow(1), 500);
    agent.directory.set_zone_evacuated(ZONE, true, 200);
    let actions = agent.deliver(&opener(&flow(2), 0));
    assert!(!reaches_backend(&actions));
    let next = receivers(&actions, MessageKind::HandOn);
    assert!(next == [host(2)] || next == [host(4)], "{next:?}");
    assert!(reaches_backend(&agent.deliver(&request(&flow(1), 501))));
    // A late copy of the opener of an open flow still goes to the flow's backend server.
    assert!(reaches_backend(&agent.deliver(&opener(&flow(1), 1))));
}

#[test]
fn an_evacuated_backend_server_that_refuses_connections_has_ended() {
    let mut agent = AgentUnderTest::new(4, true);
    agent.open(&flow(1), 500);
    agent.directory.set_zone_evacuated(ZONE, true, 200);
    // A draining server may stop listening. An evacuated one keeps listening, so refusals prove
    // that it has ended.
    agent.now_ms += 10_000;
    agent.refuse_connection();
    agent.now_ms += 200;
    assert_eq!(resets(&agent.refuse_connection()), [flow(1)]);
}

#[test]
fn openers_are_reset_at_once_if_all_servers_are_in_evacuated_zones() {
    let mut directory = two_zones(4);
    directory.set_zone_evacuated(ZONE, true, 200);
    directory.set_zone_evacuated(OTHER_ZONE, true, 201);
    let action = send(&directory, opener(&flow(1), 0)).expect("an answer");
    assert_eq!(resets(&[action]), [flow(1)]);
    // The first opener may have been taken, so a reset in answer to a copy could end an open flow.
    let copy = send(&directory, opener(&flow(1), 1));
    assert_eq!(copy, Err(Code::HostUnknown));
}

#[test]
fn openers_are_not_reset_if_servers_are_missing_for_another_reason() {
    let mut directory = two_zones(2);
    directory.set_zone_evacuated(ZONE, true, 200);
    let draining = entry_text_in(OTHER_ZONE, 2, BackendState::Draining);
    publish(&mut directory, 2, &draining, 201, 10);
    // The only server that would take the flow is in the evacuated zone.
    assert!(matches!(
        send(&directory, opener(&flow(1), 0)),
        Ok(Action::ToCaller(..))
    ));
    publish(
        &mut directory,
        1,
        &entry_text(1, BackendState::Draining),
        202,
        10,
    );
    // No server would take the flow even without the evacuation; a successor may be about to start.
    assert_eq!(
        send(&directory, opener(&flow(1), 0)).err(),
        Some(Code::HostUnknown)
    );
}

#[test]
fn packets_of_open_flows_are_spread_over_all_agents_while_every_zone_is_evacuated() {
    let mut directory = two_zones(6);
    directory.set_zone_evacuated(ZONE, true, 200);
    directory.set_zone_evacuated(OTHER_ZONE, true, 201);
    let mut reached: Vec<Ipv4Addr> = (1..200)
        .map(|port| forwarded_to(&send(&directory, request(&flow(port), 501)).expect("sent")))
        .collect();
    reached.sort_unstable();
    reached.dedup();
    assert_eq!(reached.len(), 6, "packets are spread over all agents");
}

#[test]
fn lookups_ask_the_server_that_a_flow_was_placed_at_before_its_evacuation() {
    // More agents than a lookup asks at once.
    let count = 60;
    let mut asked_first = 0;
    for port in 1..=40 {
        let mut site = directory(count);
        let placed = forwarded_to(&send(&site, opener(&flow(port), 0)).expect("sent"));
        let index = index_of(placed);
        if index == 1 {
            asked_first += 1;
            continue;
        }
        publish(
            &mut site,
            index,
            &entry_text_in(OTHER_ZONE, index, BackendState::Ready),
            100,
            0,
        );
        site.set_zone_evacuated(OTHER_ZONE, true, 200);
        let mut agent = AgentUnderTest::new(count, true);
        agent.directory = site;
        agent.now_ms = FLOW_LIFETIME_MS / 2;
        let actions = agent.deliver(&request(&flow(port), 501));
        let asked = receivers(&actions, MessageKind::Find);
        asked_first += usize::from(asked.contains(&placed));
    }
    assert_eq!(asked_first, 40);
}

/// Returns one state of an evacuation as a read returns it.
fn evacuation(revision: u64, is_evacuated: bool) -> PublishedValue {
    PublishedValue {
        name: evacuation_name(ZONE),
        stamp: revision.into(),
        text: is_evacuated.then(|| "yes".to_owned()),
    }
}

#[test]
fn an_evacuation_that_is_removed_and_set_again_in_one_batch_is_in_force() {
    let mut store = ConfigStore::new(&ClusterKey::new([1; 32]));
    let values = vec![
        evacuation(5, true),
        evacuation(6, false),
        evacuation(7, true),
    ];
    let read = Batch {
        revision: 7.into(),
        values,
        is_whole: false,
    };
    for state in new_values(&store, &read) {
        store
            .accept(state.name, state.stamp, state.text)
            .expect("sound");
    }
    let value = store.get(&evacuation_name(ZONE)).expect("in force");
    assert_eq!((value.revision, value.text.as_str()), (7.into(), "yes"));
    // A late removal from a peer that lags does not end the evacuation.
    store
        .accept(&evacuation_name(ZONE), 6, "gone")
        .expect("sound");
    assert_eq!(store.revision(&evacuation_name(ZONE)), 7.into());
}
