//! Which openers an agent takes whose backend server listens and is not published, and who sends it some.
//!
//! None, whatever the agent has seen of its server: see docs/design/servers-before-their-entries.md, whose rows these
//! tests follow in order.

use endivedyke::Revision;
use endivedyke::opaque::{Backend, BackendState, Deadline, Directory, ROUTES_HEADER, RouteTable};

use crate::builder::{
    AgentUnderTest, CALLED, SERVICE, ZONE, flow, host, identity, keeper, opener, overwrite,
    publish, reaches_backend, resets, started_text, state_text, takers, vanish,
};

/// The service to which the address of a server that has left goes.
const OTHER_SERVICE: &str = "scene-intake";
/// What callers wait on the route with a deadline: there is time for one attempt.
const DEADLINE_MS: (u32, u32) = (300, 1_500);

/// What an agent has seen of the connection to its server since it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Seen {
    /// The first connection was accepted.
    Accepted,
    /// Connections were refused for a while, and then one was accepted.
    RefusedThenAccepted,
}

/// Returns the agent on host 1, which knows a route to its service and no entry of its server; that of host 2 is known.
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
    let other = state_text(2, BackendState::Ready);
    publish(&mut agent.directory, 2, &other, 2, agent.now_ms);
    if seen == Seen::RefusedThenAccepted {
        restart_server(&mut agent);
    }
    agent.keeper.backend_listens(agent.now_ms);
    agent
}

/// Lets the process of the server end, so that connections are refused, and another one listen.
fn restart_server(agent: &mut AgentUnderTest) {
    agent.keeper.backend_breaks(agent.now_ms);
    agent.refuse();
    agent.now_ms += 200;
    agent.refuse();
    agent.now_ms += 200;
    agent.keeper.backend_listens(agent.now_ms);
}

/// Tells whether an opener of a new flow reaches the server.
fn takes(agent: &mut AgentUnderTest, port: u16) -> bool {
    reaches_backend(&agent.deliver(&opener(&flow(port), 0)))
}

/// Publishes the server on host 1 in a state.
fn publish_own(agent: &mut AgentUnderTest, state: BackendState) {
    agent.revision += 1;
    let text = state_text(1, state);
    publish(&mut agent.directory, 1, &text, agent.revision, agent.now_ms);
    agent.published_changed();
}

#[test]
fn a_server_that_is_not_published_takes_no_flow_whatever_its_agent_has_seen() {
    for seen in [Seen::Accepted, Seen::RefusedThenAccepted] {
        let mut agent = agent(seen);
        assert!(!takes(&mut agent, 1), "{seen:?}");
        assert!(agent.keeper.is_unlisted(&agent.directory), "{seen:?}");
        publish_own(&mut agent, BackendState::Ready);
        assert!(takes(&mut agent, 2), "{seen:?}");
        assert!(!agent.keeper.is_unlisted(&agent.directory), "{seen:?}");
    }
}

#[test]
fn the_word_of_its_agent_makes_no_row_of_the_table() {
    let mut directory = agent(Seen::Accepted).directory;
    directory.record_unlisted(host(1), 1_000);
    assert!(directory.may_hold_flows(host(1)), "it is asked for flows");
    assert_eq!(takers(&directory), [host(2)]);
}

#[test]
fn an_agent_that_restarts_alone_beside_a_draining_server_hands_it_nothing() {
    // The entry lapsed, and with the processes that were killed went all memory that it said "draining".
    let mut agent = agent(Seen::Accepted);
    assert!(!takes(&mut agent, 1));
    publish_own(&mut agent, BackendState::Draining);
    assert!(!takes(&mut agent, 2));
}

#[test]
fn the_server_of_another_service_at_the_address_gets_nothing_of_the_old_one() {
    // The settings still name the service of the server that has left.
    let mut agent = agent(Seen::RefusedThenAccepted);
    assert!(!takes(&mut agent, 1));
    let text = state_text(1, BackendState::Ready).replace(SERVICE, OTHER_SERVICE);
    publish(&mut agent.directory, 1, &text, 9, agent.now_ms);
    assert!(!takes(&mut agent, 2));
}

#[test]
fn an_address_whose_server_drained_and_was_taken_off_takes_nothing() {
    for seen in [Seen::Accepted, Seen::RefusedThenAccepted] {
        let mut agent = agent(seen);
        publish_own(&mut agent, BackendState::Draining);
        vanish(&mut agent.directory, 1, 9, agent.now_ms);
        agent.published_changed();
        assert!(!takes(&mut agent, 1), "{seen:?}");
        restart_server(&mut agent);
        assert!(!takes(&mut agent, 2), "{seen:?}");
    }
}

#[test]
fn a_server_in_an_evacuated_zone_takes_nothing_before_or_after_its_entry() {
    let mut agent = agent(Seen::RefusedThenAccepted);
    agent.directory.set_zone_evacuated(ZONE, true, 9);
    assert!(!takes(&mut agent, 1));
    publish_own(&mut agent, BackendState::Ready);
    assert!(!takes(&mut agent, 2));
    agent.directory.set_zone_evacuated(ZONE, false, 10);
    assert!(takes(&mut agent, 3));
}

#[test]
fn a_lapsed_entry_lets_an_agent_that_saw_it_go_on_for_as_long_as_it_may_come_back() {
    let mut agent = agent(Seen::Accepted);
    publish_own(&mut agent, BackendState::Ready);
    vanish(&mut agent.directory, 1, 9, agent.now_ms);
    agent.published_changed();
    assert!(takes(&mut agent, 1));
    agent.now_ms += 2_500;
    agent.directory.expire(agent.now_ms, agent.now_ms);
    assert!(!takes(&mut agent, 2));
}

#[test]
fn a_store_that_came_back_from_an_older_copy_is_believed_as_far_as_it_tells() {
    let restored = Revision::new(1, 5).expect("small");
    for (text, taken) in [
        (Some(started_text(1, 100)), true),
        (Some(state_text(1, BackendState::Draining)), false),
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
        assert_eq!(takes(&mut agent, 1), taken, "{text:?}");
    }
}

#[test]
fn a_server_whose_entry_was_overwritten_takes_nothing() {
    for seen in [Seen::Accepted, Seen::RefusedThenAccepted] {
        let mut agent = agent(seen);
        // No process knows whose it is, as none has read it while it was sound.
        overwrite(&mut agent.directory, 1, 9, agent.now_ms);
        assert!(!takes(&mut agent, 1), "{seen:?}");
        publish_own(&mut agent, BackendState::Ready);
        assert!(takes(&mut agent, 2), "{seen:?}");
        overwrite(&mut agent.directory, 1, 11, agent.now_ms);
        assert!(!takes(&mut agent, 3), "{seen:?}");
    }
}

#[test]
fn what_an_agent_has_seen_is_not_left_to_the_one_after_it() {
    let mut agent = agent(Seen::RefusedThenAccepted);
    publish_own(&mut agent, BackendState::Ready);
    assert!(takes(&mut agent, 1));
    // The next agent finds the server listening, and the store empty.
    let directory = self::agent(Seen::Accepted).directory;
    agent.keeper = keeper(identity(1));
    agent.directory = directory;
    agent.keeper.backend_listens(agent.now_ms);
    assert!(!takes(&mut agent, 2));
}

#[test]
fn a_server_that_restarts_twice_takes_nothing_until_one_of_its_lifetimes_is_published() {
    let mut agent = agent(Seen::RefusedThenAccepted);
    restart_server(&mut agent);
    assert!(!takes(&mut agent, 1));
    publish_own(&mut agent, BackendState::Ready);
    assert!(takes(&mut agent, 2));
    agent.open(&flow(2), 500);
    agent.answer_from_backend(&flow(2));
    // Its entry stands for a while after it has ended, and the next lifetime takes flows under it.
    agent.keeper.backend_breaks(agent.now_ms);
    agent.refuse();
    agent.now_ms += 200;
    assert_eq!(resets(&agent.refuse()), [flow(2)]);
    assert!(!takes(&mut agent, 3), "nothing listens");
    agent.keeper.backend_listens(agent.now_ms);
    assert!(takes(&mut agent, 4));
}
