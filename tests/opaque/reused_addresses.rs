//! The backend server at an address after the platform was restored from an older copy, which may
//! show a previous server there.
//!
//! Of the entries at one address, the one with the highest first revision counts. After a restore,
//! an old entry that a process did not know gets a revision of the new era. An agent took such an
//! entry for that of its backend server for as long as gone entries are remembered. For a minute it
//! took no new flows, and it reset flows from before a disconnect that the server still held.

use endivedyke::Revision;
use endivedyke::opaque::{Backend, BackendState, Directory};

use crate::builder::{
    AgentUnderTest, FLOW_LIFETIME_MS, backend_address, entry_text, flow, publish, resets,
    started_entry_text,
};

/// The id of the entry that the older copy shows at the address of the server on host 1, which has
/// taken the address since.
const OLD_ID: &str = "i-before";

fn restored(number: u64) -> Revision {
    Revision::new(1, number).expect("small")
}

/// Publishes the older copy's entry of the previous server.
fn publish_old(directory: &mut Directory, text: &str, number: u64, now_ms: u64) {
    let backend = Backend::parse(text).expect("sound");
    directory.apply_backend(OLD_ID, backend, restored(number), now_ms);
}

#[test]
fn the_server_that_started_last_keeps_its_address() {
    let mut directory = Directory::default();
    publish(&mut directory, 1, &started_entry_text(1, 200), 40, 0);
    publish_old(&mut directory, &started_entry_text(1, 100), 5, 1_000);
    let own = directory
        .local_backend(backend_address(1))
        .expect("published");
    assert_eq!(own.first_revision, 40.into());
    // A server that starts after the restore gets the address.
    let next = Backend::parse(&started_entry_text(1, 300)).expect("sound");
    directory.apply_backend("i-next", next, restored(9), 2_000);
    let own = directory
        .local_backend(backend_address(1))
        .expect("published");
    assert_eq!(own.first_revision, restored(9));
}

#[test]
fn without_start_times_the_old_entry_has_the_address_only_until_it_expires() {
    let mut directory = Directory::default();
    publish(
        &mut directory,
        1,
        &entry_text(1, BackendState::Ready),
        40,
        0,
    );
    publish_old(
        &mut directory,
        &entry_text(1, BackendState::Draining),
        5,
        1_000,
    );
    // Its lease expires, as no process renews it.
    directory.apply_backend(OLD_ID, None, restored(9), 4_000);
    directory.expire(4_100, 4_100);
    let own = directory
        .local_backend(backend_address(1))
        .expect("published");
    assert!(own.takes_flows && !own.is_gone, "{own:?}");
}

#[test]
fn an_entry_of_the_older_copy_does_not_prove_that_the_server_ended() {
    for old in [
        started_entry_text(1, 100),
        entry_text(1, BackendState::Ready),
    ] {
        let mut agent = AgentUnderTest::new(3, true);
        agent.handle_published_change();
        agent.open(&flow(2), 500);
        agent.acknowledge_from_backend(&flow(2));
        agent.reconnect();
        publish_old(&mut agent.directory, &old, 2, agent.now_ms);
        assert!(resets(&agent.handle_published_change()).is_empty(), "{old}");
        agent.now_ms += FLOW_LIFETIME_MS / 10;
        assert!(resets(&agent.handle_published_change()).is_empty(), "{old}");
    }
}
