//! The ends of requests that count as failures of a backend server, on routes with a deadline.

use crate::builder::{
    ACK, AgentUnderTest, FIN, PacketSpec, RST, flow, from_backend, from_caller, opener,
    reaches_backend, request, set_deadline,
};
use crate::waiting::answer;

/// Flows whose ends, if they were failures, would be enough for a failing backend server.
const ENDED: std::ops::Range<u16> = 1..6;
/// Flows with more requests than the backend server is handed at once.
const FULL: std::ops::Range<u16> = 100..120;
/// Flows whose ends, if they were failures, would be enough among the answers to [`FULL`].
const LEAVING: std::ops::Range<u16> = 1..16;

fn agent(has_deadline: bool, knows_all_flows: bool) -> AgentUnderTest {
    let mut agent = AgentUnderTest::new(3, knows_all_flows);
    if has_deadline {
        set_deadline(&mut agent.directory);
    }
    agent
}

/// Ends a flow with a running request by its caller, and then by the backend server without an answer.
fn caller_leaves(agent: &mut AgentUnderTest, port: u16) {
    let key = flow(port);
    agent.open(&key, 500);
    let leaves = PacketSpec {
        flags: ACK | FIN,
        sequence: 141,
        acknowledgement: 501,
        data_bytes: 0,
    };
    agent.deliver(&from_caller(&key, leaves));
    backend_ends(agent, port, FIN);
}

/// Ends a flow by the backend server without an answer.
fn backend_ends(agent: &mut AgentUnderTest, port: u16, flag: u8) {
    let end = PacketSpec {
        flags: ACK | flag,
        sequence: 501,
        ..PacketSpec::default()
    };
    agent.deliver_from_backend(from_backend(&flow(port), end));
}

/// Delivers a request on a flow from before the start of the agent, which the backend server resets.
fn flow_from_before_is_reset(agent: &mut AgentUnderTest, port: u16) {
    agent.deliver(&request(&flow(port), 501));
    agent.tick_at(agent.now_ms + 50);
    let next = PacketSpec {
        flags: ACK,
        sequence: 141,
        acknowledgement: 501,
        data_bytes: 40,
    };
    agent.deliver(&from_caller(&flow(port), next));
    backend_ends(agent, port, RST);
}

/// Returns whether the agent takes openers without limit, so that its backend server is not failing.
fn takes_openers(agent: &mut AgentUnderTest) -> bool {
    // A failing backend server is probed with one opener.
    agent.deliver(&opener(&flow(200), 0));
    reaches_backend(&agent.deliver(&opener(&flow(201), 0)))
}

#[test]
fn flows_ended_by_their_callers_are_no_failures() {
    let mut agent = agent(true, true);
    for port in ENDED {
        caller_leaves(&mut agent, port);
    }
    assert_eq!(agent.flow_agent.busy_requests(), 0);
    assert!(takes_openers(&mut agent));
}

#[test]
fn resets_of_flows_from_before_the_agent_are_no_failures() {
    let mut agent = agent(true, false);
    for port in ENDED {
        flow_from_before_is_reset(&mut agent, port);
    }
    assert_eq!(agent.flow_agent.busy_requests(), 0);
    assert!(takes_openers(&mut agent));
}

#[test]
fn flows_ended_by_their_callers_while_requests_wait_are_no_failures() {
    let mut agent = agent(true, true);
    for port in FULL {
        agent.open(&flow(port), 500);
    }
    for port in LEAVING {
        let acknowledgement = PacketSpec {
            flags: ACK,
            sequence: 501,
            acknowledgement: 101,
            data_bytes: 0,
        };
        // The first packet shows that the flow exists, the second what the backend server has
        // acknowledged.
        agent.deliver_from_backend(from_backend(&flow(port), acknowledgement));
        agent.deliver_from_backend(from_backend(&flow(port), acknowledgement));
        agent.deliver(&request(&flow(port), 501));
        let leaves = PacketSpec {
            flags: ACK | FIN,
            sequence: 141,
            acknowledgement: 501,
            data_bytes: 0,
        };
        assert!(!reaches_backend(
            &agent.deliver(&from_caller(&flow(port), leaves))
        ));
    }
    for port in FULL {
        answer(&mut agent, port);
    }
    for port in LEAVING {
        backend_ends(&mut agent, port, FIN);
    }
    assert!(takes_openers(&mut agent));
}

#[test]
fn resets_of_old_flows_that_were_proved_to_be_held_are_failures() {
    let mut agent = agent(true, false);
    for port in ENDED {
        agent.acknowledge_from_backend(&flow(port));
        flow_from_before_is_reset(&mut agent, port);
    }
    assert!(!takes_openers(&mut agent));
}

#[test]
fn unanswered_flows_that_the_backend_server_ends_are_failures() {
    for flag in [FIN, RST] {
        let mut agent = agent(true, true);
        for port in ENDED {
            agent.open(&flow(port), 500);
            backend_ends(&mut agent, port, flag);
        }
        assert!(!takes_openers(&mut agent));
    }
}

#[test]
fn without_a_deadline_each_end_without_an_answer_is_a_failure() {
    let mut left = agent(false, true);
    let mut reset = agent(false, false);
    for port in ENDED {
        caller_leaves(&mut left, port);
        flow_from_before_is_reset(&mut reset, port);
    }
    assert!(!takes_openers(&mut left));
    assert!(!takes_openers(&mut reset));
}
