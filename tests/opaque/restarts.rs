//! Requests of flows that are older than their agent, for callers that have time for one attempt
//! only.

use endivedyke::opaque::{FlowKey, Message, MessageKind};

use crate::builder::{
    ACK, AgentUnderTest, PacketSpec, flow, from_backend, from_caller, host, reaches_backend,
    request, set_deadline,
};

/// The sequence number after the last byte of [`request`].
const REQUEST_END: u32 = 141;

/// Returns an agent that has just started beside a backend server that holds flows.
fn restarted_agent() -> AgentUnderTest {
    let mut agent = AgentUnderTest::new(3, false);
    set_deadline(&mut agent.directory);
    agent
}

/// Sends data from the backend server, with an acknowledgement of the caller's data.
fn answer(agent: &mut AgentUnderTest, key: &FlowKey, acknowledgement: u32) {
    let spec = PacketSpec {
        flags: ACK,
        sequence: 7,
        acknowledgement,
        data_bytes: 60,
    };
    agent.deliver_from_backend(from_backend(key, spec));
}

fn find_reaches_backend(agent: &mut AgentUnderTest, packet: &[u8]) -> bool {
    let actions = agent.deliver_message(host(2), Message::new(MessageKind::Find), packet);
    reaches_backend(&actions)
}

#[test]
fn a_copy_of_an_answered_request_does_not_count_as_busy() {
    let mut agent = restarted_agent();
    let key = flow(1);
    assert!(find_reaches_backend(&mut agent, &request(&key, 7)));
    answer(&mut agent, &key, REQUEST_END);
    assert!(find_reaches_backend(&mut agent, &request(&key, 7)));
    assert_eq!(agent.flow_agent.busy_requests(), 0);
}

#[test]
fn a_copy_of_a_request_answered_before_the_agent_started_does_not_count_as_busy() {
    let mut agent = restarted_agent();
    let key = flow(1);
    answer(&mut agent, &key, REQUEST_END);
    agent.deliver(&request(&key, 7));
    assert_eq!(agent.flow_agent.busy_requests(), 0);
}

#[test]
fn the_next_request_of_such_a_flow_counts_as_busy_until_it_is_answered() {
    let mut agent = restarted_agent();
    let key = flow(1);
    answer(&mut agent, &key, REQUEST_END);
    let spec = PacketSpec {
        flags: ACK,
        sequence: REQUEST_END,
        acknowledgement: 67,
        data_bytes: 40,
    };
    assert!(reaches_backend(&agent.deliver(&from_caller(&key, spec))));
    assert_eq!(agent.flow_agent.busy_requests(), 1);
    let spec = PacketSpec {
        flags: ACK,
        sequence: 67,
        acknowledgement: REQUEST_END + 40,
        data_bytes: 60,
    };
    agent.deliver_from_backend(from_backend(&key, spec));
    assert_eq!(agent.flow_agent.busy_requests(), 0);
}
