//! Requests of flows that are older than their agent, where callers have time for one attempt.

use endivedyke::opaque::{Action, FlowKey, Message, MessageKind, deadlines};

use crate::builder::{
    ACK, AgentUnderTest, CALLED, PacketSpec, flow, from_backend, from_caller, host, hosts_told,
    reaches_backend, request,
};

/// The number after the last byte of [`request`].
const REQUEST_END: u32 = 141;

/// Returns an agent that has just started beside a backend server which holds flows.
fn restarted_agent() -> AgentUnderTest {
    let mut agent = AgentUnderTest::new(3, false);
    let told = deadlines(&format!("{CALLED},300,1500\n")).expect("sound");
    agent.directory.set_deadlines(told);
    agent
}

/// Lets the backend server send data, with what it has of the caller's.
fn answer(agent: &mut AgentUnderTest, key: &FlowKey, acknowledgement: u32) -> Vec<Action> {
    let spec = PacketSpec {
        flags: ACK,
        sequence: 7,
        acknowledgement,
        data_bytes: 60,
    };
    agent.backend(from_backend(key, spec))
}

fn find(agent: &mut AgentUnderTest, packet: &[u8]) -> bool {
    let actions = agent.hear(host(2), Message::new(MessageKind::Find), packet);
    reaches_backend(&actions)
}

#[test]
fn a_copy_of_an_answered_request_is_no_work() {
    let mut agent = restarted_agent();
    let key = flow(1);
    assert!(find(&mut agent, &request(&key, 7)));
    answer(&mut agent, &key, REQUEST_END);
    assert!(find(&mut agent, &request(&key, 7)));
    assert_eq!(agent.keeper.busy(), 0);
}

#[test]
fn a_copy_of_a_request_that_was_answered_before_the_agent_ran_is_no_work() {
    let mut agent = restarted_agent();
    let key = flow(1);
    answer(&mut agent, &key, REQUEST_END);
    agent.deliver(&request(&key, 7));
    assert_eq!(agent.keeper.busy(), 0);
}

#[test]
fn the_next_request_of_such_a_flow_is_work_until_it_is_answered() {
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
    assert_eq!(agent.keeper.busy(), 1);
    let spec = PacketSpec {
        flags: ACK,
        sequence: 67,
        acknowledgement: REQUEST_END + 40,
        data_bytes: 60,
    };
    agent.backend(from_backend(&key, spec));
    assert_eq!(agent.keeper.busy(), 0);
}

#[test]
fn who_asked_for_a_flow_is_told_as_soon_as_its_server_answers() {
    let mut agent = restarted_agent();
    let key = flow(1);
    assert!(find(&mut agent, &request(&key, 7)));
    let actions = answer(&mut agent, &key, REQUEST_END);
    assert_eq!(hosts_told(&actions, MessageKind::Found), [host(2)]);
    let more = answer(&mut agent, &key, REQUEST_END);
    assert!(hosts_told(&more, MessageKind::Found).is_empty());
}

#[test]
fn what_came_while_a_flow_was_asked_for_goes_to_its_holder() {
    let mut agent = AgentUnderTest::new(3, true);
    let told = deadlines(&format!("{CALLED},300,1500\n")).expect("sound");
    agent.directory.set_deadlines(told);
    let key = flow(1);
    agent.deliver(&request(&key, 7));
    let spec = PacketSpec {
        flags: ACK,
        sequence: REQUEST_END,
        acknowledgement: 67,
        data_bytes: 40,
    };
    let next = from_caller(&key, spec);
    assert!(agent.deliver(&next).is_empty(), "the question is open");
    let found = agent.answer(MessageKind::Found, host(3), &key);
    let delivered: Vec<_> = found
        .iter()
        .filter_map(|action| match action {
            Action::ToPeer(to, message, packet) if message.kind == MessageKind::Deliver => {
                Some((*to, packet.clone()))
            }
            _ => None,
        })
        .collect();
    assert_eq!(delivered, [(host(3), next)]);
}
