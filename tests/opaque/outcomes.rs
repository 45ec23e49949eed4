//! Which ends of requests say that a backend server fails, where callers have time for one attempt.

use crate::builder::{
    ACK, AgentUnderTest, FIN, PacketSpec, RST, flow, from_backend, from_caller, opener,
    reaches_backend, request, tell_deadline,
};
use crate::waiting::answer;

/// As many as show that a backend server fails, and some more.
const ENDED: std::ops::Range<u16> = 1..6;
/// More than the backend server is handed at once.
const FULL: std::ops::Range<u16> = 100..120;
/// Enough to show a failure among the answers of those.
const LEAVING: std::ops::Range<u16> = 1..16;

fn agent(has_deadline: bool, knows_all_flows: bool) -> AgentUnderTest {
    let mut agent = AgentUnderTest::new(3, knows_all_flows);
    if has_deadline {
        tell_deadline(&mut agent.directory);
    }
    agent
}

/// Lets the caller of a running request end its flow, and the backend server close it without an answer.
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

/// Lets the backend server end a flow without an answer.
fn backend_ends(agent: &mut AgentUnderTest, port: u16, flag: u8) {
    let end = PacketSpec {
        flags: ACK | flag,
        sequence: 501,
        ..PacketSpec::default()
    };
    agent.backend(from_backend(&flow(port), end));
}

/// Lets a request come in on a flow from before the start of the agent, which the backend server resets.
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

/// Tells whether the agent takes openers as they come, so that its backend server does not fail.
fn takes_openers(agent: &mut AgentUnderTest) -> bool {
    // One is risked also where it fails.
    agent.deliver(&opener(&flow(200), 0));
    reaches_backend(&agent.deliver(&opener(&flow(201), 0)))
}

#[test]
fn callers_that_leave_show_no_failure() {
    let mut agent = agent(true, true);
    for port in ENDED {
        caller_leaves(&mut agent, port);
    }
    assert_eq!(agent.flow_agent.busy(), 0);
    assert!(takes_openers(&mut agent));
}

#[test]
fn resets_of_flows_from_before_show_no_failure() {
    let mut agent = agent(true, false);
    for port in ENDED {
        flow_from_before_is_reset(&mut agent, port);
    }
    assert_eq!(agent.flow_agent.busy(), 0);
    assert!(takes_openers(&mut agent));
}

#[test]
fn callers_that_leave_while_their_requests_wait_show_no_failure() {
    let mut agent = agent(true, true);
    for port in FULL {
        agent.open(&flow(port), 500);
    }
    for port in LEAVING {
        let shows_itself = PacketSpec {
            flags: ACK,
            sequence: 501,
            acknowledgement: 101,
            data_bytes: 0,
        };
        // The first tells of the flow, the second how far the backend server is.
        agent.backend(from_backend(&flow(port), shows_itself));
        agent.backend(from_backend(&flow(port), shows_itself));
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
fn a_backend_server_that_resets_old_flows_which_it_has_shown_to_hold_fails() {
    let mut agent = agent(true, false);
    for port in ENDED {
        agent.answer_from_backend(&flow(port));
        flow_from_before_is_reset(&mut agent, port);
    }
    assert!(!takes_openers(&mut agent));
}

#[test]
fn a_backend_server_that_ends_flows_of_callers_who_wait_fails() {
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
