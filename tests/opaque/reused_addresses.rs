//! Who stands at an address once the platform came back from an older copy, in which the server before may stand there.
//!
//! Entries are told apart by the revision at which a lifetime was published first, the highest of which has the address. An
//! entry of the copy that a process did not know has a revision of the new era, however old it is. An agent took such
//! an entry for that of its backend server, for as long as gone entries are remembered: a minute without new flows, and
//! the flows of before a break of its connection reset while the server held them.

use endivedyke::Revision;
use endivedyke::opaque::{Backend, BackendState, Directory};

use crate::builder::{
    AgentUnderTest, FLOW_LIFETIME_MS, backend_address, flow, publish, resets, started_text,
    state_text,
};

/// The entry that the copy shows at the address of the server on host 1, though that server has taken it since.
const OLD_ID: &str = "i-before";

fn restored(number: u64) -> Revision {
    Revision::new(1, number).expect("small")
}

/// Publishes what the copy shows of the server before.
fn publish_old(directory: &mut Directory, text: &str, number: u64, now_ms: u64) {
    let backend = Backend::parse(text).expect("sound");
    directory.apply_backend(OLD_ID, backend, restored(number), now_ms);
}

#[test]
fn the_server_that_started_last_keeps_its_address() {
    let mut directory = Directory::default();
    publish(&mut directory, 1, &started_text(1, 200), 40, 0);
    publish_old(&mut directory, &started_text(1, 100), 5, 1_000);
    let own = directory
        .local_backend(backend_address(1))
        .expect("published");
    assert_eq!(own.first_revision, 40.into());
    // And one that starts after the return takes it.
    let next = Backend::parse(&started_text(1, 300)).expect("sound");
    directory.apply_backend("i-next", next, restored(9), 2_000);
    let own = directory
        .local_backend(backend_address(1))
        .expect("published");
    assert_eq!(own.first_revision, restored(9));
}

#[test]
fn where_starts_are_not_told_the_old_entry_has_the_address_no_longer_than_it_stands() {
    let mut directory = Directory::default();
    publish(
        &mut directory,
        1,
        &state_text(1, BackendState::Ready),
        40,
        0,
    );
    publish_old(
        &mut directory,
        &state_text(1, BackendState::Draining),
        5,
        1_000,
    );
    // Its lease runs out, as nobody writes it.
    directory.apply_backend(OLD_ID, None, restored(9), 4_000);
    directory.expire(4_100, 4_100);
    let own = directory
        .local_backend(backend_address(1))
        .expect("published");
    assert!(own.takes_flows && !own.is_gone, "{own:?}");
}

#[test]
fn an_entry_of_the_copy_proves_no_end() {
    for old in [started_text(1, 100), state_text(1, BackendState::Ready)] {
        let mut agent = AgentUnderTest::new(3, true);
        agent.published_changed();
        agent.open(&flow(2), 500);
        agent.answer_from_backend(&flow(2));
        agent.reconnect();
        publish_old(&mut agent.directory, &old, 2, agent.now_ms);
        assert!(resets(&agent.published_changed()).is_empty(), "{old}");
        agent.now_ms += FLOW_LIFETIME_MS / 10;
        assert!(resets(&agent.published_changed()).is_empty(), "{old}");
    }
}
