//! Lifetimes of backend servers, told apart by id and start time. A server that restarts under its
//! id holds no flows from before.

use endivedyke::Revision;
use endivedyke::opaque::{Backend, BackendState, Directory};

use crate::builder::{
    AgentUnderTest, backend_address, directory, entry_text, flow, host, opener, publish,
    reaches_backend, remove_entry, resets, started_entry_text,
};

/// Returns the revision at which the lifetime published on host 1 began.
fn lifetime(directory: &Directory) -> Revision {
    let own = directory.local_backend(backend_address(1));
    own.expect("published").first_revision
}

/// Publishes these start times one after the other, from revision 10, and returns the number of new
/// lifetimes.
fn count_new_lifetimes(starts: &[Option<u64>]) -> usize {
    let mut directory = Directory::default();
    let mut seen = Vec::new();
    for (revision, start) in (10_u64..).zip(starts) {
        let text = match start {
            Some(start) => started_entry_text(1, *start),
            None => entry_text(1, BackendState::Ready),
        };
        publish(&mut directory, 1, &text, revision, 1_000);
        seen.push(lifetime(&directory));
    }
    seen.dedup();
    seen.len() - 1
}

#[test]
fn only_a_later_start_counts_as_a_new_lifetime() {
    let cases: [(&[Option<u64>], usize); 8] = [
        (&[Some(100), Some(100)], 0),
        (&[Some(100), Some(200)], 1),
        (&[Some(100), Some(200), Some(300)], 2),
        // The store applied a write of the previous lifetime late, before the next heartbeat.
        (&[Some(200), Some(100), Some(200)], 0),
        (&[Some(100), Some(200), Some(100), Some(200)], 1),
        // The clock went back between two starts, or another program wrote an entry without a start
        // time.
        (&[Some(200), Some(150)], 0),
        (&[Some(200), None, Some(200)], 0),
        (&[None, Some(200)], 0),
    ];
    for (starts, new) in cases {
        assert_eq!(count_new_lifetimes(starts), new, "{starts:?}");
    }
}

#[test]
fn a_start_in_the_far_future_hides_later_starts() {
    assert_eq!(
        count_new_lifetimes(&[Some(u64::MAX), Some(100), Some(200)]),
        0
    );
}

#[test]
fn a_restart_while_the_entry_was_missing_is_detected() {
    let mut directory = Directory::default();
    publish(&mut directory, 1, &started_entry_text(1, 100), 5, 0);
    remove_entry(&mut directory, 1, 9, 1_000);
    publish(&mut directory, 1, &started_entry_text(1, 200), 11, 2_000);
    assert_eq!(lifetime(&directory), 11.into());
    assert!(
        directory
            .local_backend(backend_address(1))
            .expect("published")
            .takes_flows
    );
}

#[test]
fn an_entry_that_comes_back_unchanged_is_the_same_lifetime() {
    let mut directory = Directory::default();
    publish(&mut directory, 1, &started_entry_text(1, 100), 5, 0);
    remove_entry(&mut directory, 1, 9, 1_000);
    publish(&mut directory, 1, &started_entry_text(1, 100), 11, 2_000);
    assert_eq!(lifetime(&directory), 5.into());
}

#[test]
fn an_id_that_starts_again_elsewhere_leaves_its_old_host() {
    let mut directory = directory(2);
    let text = started_entry_text(1, 100);
    publish(&mut directory, 1, &text, 10, 1_000);
    let moved = started_entry_text(3, 200);
    publish(&mut directory, 1, &moved, 11, 1_000);
    assert_eq!(directory.current_hosts(), [host(2), host(3)]);
    assert!(directory.local_backend(backend_address(1)).is_none());
}

#[test]
fn an_id_that_starts_again_gets_its_address_back() {
    let mut directory = Directory::default();
    publish(&mut directory, 1, &started_entry_text(1, 100), 5, 0);
    let other = Backend::parse(&entry_text(1, BackendState::Draining)).expect("sound");
    directory.apply_backend("i-other", other, 6, 100);
    publish(&mut directory, 1, &started_entry_text(1, 200), 7, 200);
    let own = directory
        .local_backend(backend_address(1))
        .expect("published");
    assert!(own.takes_flows, "the other server had the address before");
    assert_eq!(own.first_revision, 7.into());
}

/// Publishes a start time of the agent's backend server.
fn publish_start(agent: &mut AgentUnderTest, start: u64) -> Vec<endivedyke::opaque::Action> {
    agent.revision += 1;
    let text = started_entry_text(1, start);
    publish(&mut agent.directory, 1, &text, agent.revision, agent.now_ms);
    agent.handle_published_change()
}

/// Returns an agent whose backend server held flow 2 when the connection to it broke.
fn agent_after_disconnect() -> AgentUnderTest {
    let mut agent = AgentUnderTest::new(3, true);
    publish_start(&mut agent, 100);
    agent.open(&flow(2), 500);
    agent.acknowledge_from_backend(&flow(2));
    agent.reconnect();
    agent
}

#[test]
fn flows_from_before_a_restart_under_the_same_id_are_reset() {
    let mut agent = agent_after_disconnect();
    agent.open(&flow(3), 900);
    agent.acknowledge_from_backend(&flow(3));
    assert_eq!(resets(&publish_start(&mut agent, 200)), [flow(2)]);
}

#[test]
fn a_late_write_of_the_previous_lifetime_resets_no_flow() {
    let mut agent = agent_after_disconnect();
    assert!(resets(&publish_start(&mut agent, 50)).is_empty());
    assert!(resets(&publish_start(&mut agent, 100)).is_empty());
}

#[test]
fn a_restarted_backend_server_does_not_count_as_failing() {
    let mut agent = AgentUnderTest::new(3, true);
    publish_start(&mut agent, 100);
    for port in 1..=4 {
        agent.open(&flow(port), 500);
    }
    agent.now_ms += 1_000;
    agent.flow_agent.expire(agent.now_ms);
    agent.deliver(&opener(&flow(50), 0));
    assert!(
        !reaches_backend(&agent.deliver(&opener(&flow(51), 0))),
        "it counts as failing"
    );
    agent.flow_agent.handle_backend_disconnected(agent.now_ms);
    publish_start(&mut agent, 200);
    for port in 60..64 {
        assert!(
            reaches_backend(&agent.deliver(&opener(&flow(port), 0))),
            "{port}"
        );
    }
}
