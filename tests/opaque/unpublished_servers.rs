//! Backend servers that listen without a published entry get no new flows, whatever their agents
//! have seen.
//!
//! The tests follow the rows of docs/design/servers-before-their-entries.md in order.

use endivedyke::Revision;
use endivedyke::opaque::{Backend, BackendState, Deadline, Directory, ROUTES_HEADER, RouteTable};

use crate::builder::{
    AgentUnderTest, CALLED, SERVICE, ZONE, entry_text, flow, flow_agent, host, hosts_taking_flows,
    identity, opener, overwrite_entry, publish, reaches_backend, remove_entry, resets,
    started_entry_text,
};

/// The service that takes over the address of a server that has left.
const OTHER_SERVICE: &str = "scene-intake";
/// The objective and the timeout of the route's callers, which have time for one attempt.
const DEADLINE_MS: (u32, u32) = (300, 1_500);

/// What an agent has seen of the connection to its server since it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Seen {
    /// The first connection was accepted.
    Accepted,
    /// Connections were refused for a while, and then one was accepted.
    RefusedThenAccepted,
}

/// Returns the agent on host 1, which knows a route to its service and the entry of the server on
/// host 2, but no entry of its own server.
fn agent(seen: Seen) -> AgentUnderTest {
    let mut agent = AgentUnderTest::new(1, false);
    agent.directory = Directory::default();
    let routes = format!("{ROUTES_HEADER}\n{CALLED},{SERVICE},1,2,yes\n");
    let routes = RouteTable::parse(&routes).expect("sound routes");
    agent.directory.set_routes(routes);
    let (objective_ms, timeout_ms) = DEADLINE_MS;
    agent.directory.set_deadlines(vec![Deadline {
        address: CALLED.parse().expect("address"),
        objective_ms,
        timeout_ms,
    }]);
    let other = entry_text(2, BackendState::Ready);
    publish(&mut agent.directory, 2, &other, 2, agent.now_ms);
    if seen == Seen::RefusedThenAccepted {
        restart_server(&mut agent);
    }
    agent.flow_agent.handle_backend_listening(agent.now_ms);
    agent
}

/// Ends the process of the server, so that connections are refused, and starts another one.
fn restart_server(agent: &mut AgentUnderTest) {
    agent.flow_agent.handle_backend_disconnected(agent.now_ms);
    agent.refuse_connection();
    agent.now_ms += 200;
    agent.refuse_connection();
    agent.now_ms += 200;
    agent.flow_agent.handle_backend_listening(agent.now_ms);
}

/// Returns whether an opener of a new flow reaches the server.
fn takes_opener(agent: &mut AgentUnderTest, port: u16) -> bool {
    reaches_backend(&agent.deliver(&opener(&flow(port), 0)))
}

/// Publishes the server on host 1 in a state.
fn publish_own(agent: &mut AgentUnderTest, state: BackendState) {
    agent.revision += 1;
    let text = entry_text(1, state);
    publish(&mut agent.directory, 1, &text, agent.revision, agent.now_ms);
    agent.handle_published_change();
}

#[test]
fn an_unpublished_server_takes_no_flow_whatever_its_agent_has_seen() {
    for seen in [Seen::Accepted, Seen::RefusedThenAccepted] {
        let mut agent = agent(seen);
        assert!(!takes_opener(&mut agent, 1), "{seen:?}");
        assert!(
            agent.flow_agent.is_backend_unlisted(&agent.directory),
            "{seen:?}"
        );
        publish_own(&mut agent, BackendState::Ready);
        assert!(takes_opener(&mut agent, 2), "{seen:?}");
        assert!(
            !agent.flow_agent.is_backend_unlisted(&agent.directory),
            "{seen:?}"
        );
    }
}

#[test]
fn an_unlisted_server_gets_no_row_in_the_table() {
    let mut directory = agent(Seen::Accepted).directory;
    directory.record_unlisted(host(1), 1_000);
    assert!(directory.may_hold_flows(host(1)), "lookups include it");
    assert_eq!(hosts_taking_flows(&directory), [host(2)]);
}

#[test]
fn an_agent_restarted_next_to_a_draining_server_hands_it_no_flow() {
    // The entry lapsed, and the killed processes were the only ones that knew its state "draining".
    let mut agent = agent(Seen::Accepted);
    assert!(!takes_opener(&mut agent, 1));
    publish_own(&mut agent, BackendState::Draining);
    assert!(!takes_opener(&mut agent, 2));
}

#[test]
fn a_server_of_another_service_at_the_address_gets_no_flow_of_the_old_one() {
    // The agent's settings still name the service of the server that has left.
    let mut agent = agent(Seen::RefusedThenAccepted);
    assert!(!takes_opener(&mut agent, 1));
    let text = entry_text(1, BackendState::Ready).replace(SERVICE, OTHER_SERVICE);
    publish(&mut agent.directory, 1, &text, 9, agent.now_ms);
    assert!(!takes_opener(&mut agent, 2));
}

#[test]
fn an_address_whose_server_drained_and_left_takes_no_flow() {
    for seen in [Seen::Accepted, Seen::RefusedThenAccepted] {
        let mut agent = agent(seen);
        publish_own(&mut agent, BackendState::Draining);
        remove_entry(&mut agent.directory, 1, 9, agent.now_ms);
        agent.handle_published_change();
        assert!(!takes_opener(&mut agent, 1), "{seen:?}");
        restart_server(&mut agent);
        assert!(!takes_opener(&mut agent, 2), "{seen:?}");
    }
}

#[test]
fn a_server_in_an_evacuated_zone_takes_no_flow_before_or_after_its_entry() {
    let mut agent = agent(Seen::RefusedThenAccepted);
    agent.directory.set_zone_evacuated(ZONE, true, 9);
    assert!(!takes_opener(&mut agent, 1));
    publish_own(&mut agent, BackendState::Ready);
    assert!(!takes_opener(&mut agent, 2));
    agent.directory.set_zone_evacuated(ZONE, false, 10);
    assert!(takes_opener(&mut agent, 3));
}

#[test]
fn a_lapsed_entry_counts_until_it_can_no_longer_come_back() {
    let mut agent = agent(Seen::Accepted);
    publish_own(&mut agent, BackendState::Ready);
    remove_entry(&mut agent.directory, 1, 9, agent.now_ms);
    agent.handle_published_change();
    assert!(takes_opener(&mut agent, 1));
    agent.now_ms += 2_500;
    agent.directory.expire(agent.now_ms, agent.now_ms);
    assert!(!takes_opener(&mut agent, 2));
}

#[test]
fn after_a_restore_the_agent_follows_the_entries_of_the_older_copy() {
    let restored = Revision::new(1, 5).expect("small");
    for (text, taken) in [
        (Some(started_entry_text(1, 100)), true),
        (Some(entry_text(1, BackendState::Draining)), false),
        // The copy is older than the entry.
        (None, false),
    ] {
        let mut agent = agent(Seen::RefusedThenAccepted);
        if let Some(text) = &text {
            let backend = Backend::parse(text).expect("sound");
            let now_ms = agent.now_ms;
            agent
                .directory
                .apply_backend("i-before", backend, restored, now_ms);
        }
        assert_eq!(takes_opener(&mut agent, 1), taken, "{text:?}");
    }
}

#[test]
fn a_server_whose_entry_was_overwritten_takes_no_flow() {
    for seen in [Seen::Accepted, Seen::RefusedThenAccepted] {
        let mut agent = agent(seen);
        // No process knows whose entry it is, as none has read it while it was valid.
        overwrite_entry(&mut agent.directory, 1, 9, agent.now_ms);
        assert!(!takes_opener(&mut agent, 1), "{seen:?}");
        publish_own(&mut agent, BackendState::Ready);
        assert!(takes_opener(&mut agent, 2), "{seen:?}");
        overwrite_entry(&mut agent.directory, 1, 11, agent.now_ms);
        assert!(!takes_opener(&mut agent, 3), "{seen:?}");
    }
}

#[test]
fn a_new_agent_does_not_inherit_what_the_previous_one_has_seen() {
    let mut agent = agent(Seen::RefusedThenAccepted);
    publish_own(&mut agent, BackendState::Ready);
    assert!(takes_opener(&mut agent, 1));
    // The next agent finds the server listening and no entry of it.
    let directory = self::agent(Seen::Accepted).directory;
    agent.flow_agent = flow_agent(identity(1));
    agent.directory = directory;
    agent.flow_agent.handle_backend_listening(agent.now_ms);
    assert!(!takes_opener(&mut agent, 2));
}

#[test]
fn a_server_that_restarts_twice_takes_no_flow_until_a_lifetime_is_published() {
    let mut agent = agent(Seen::RefusedThenAccepted);
    restart_server(&mut agent);
    assert!(!takes_opener(&mut agent, 1));
    publish_own(&mut agent, BackendState::Ready);
    assert!(takes_opener(&mut agent, 2));
    agent.open(&flow(2), 500);
    agent.acknowledge_from_backend(&flow(2));
    // The entry outlives the process for a while, and the next lifetime takes flows under it.
    agent.flow_agent.handle_backend_disconnected(agent.now_ms);
    agent.refuse_connection();
    agent.now_ms += 200;
    assert_eq!(resets(&agent.refuse_connection()), [flow(2)]);
    assert!(!takes_opener(&mut agent, 3), "nothing listens");
    agent.flow_agent.handle_backend_listening(agent.now_ms);
    assert!(takes_opener(&mut agent, 4));
}
