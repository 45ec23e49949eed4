//! Reservations of loopback networks for sites.

use endivedyke_lab::LoopbackNet;

#[test]
fn a_network_is_reserved_for_one_site_at_a_time() {
    let first = LoopbackNet::reserve_random().expect("a free network");
    assert!(LoopbackNet::reserve(first.octets()).is_err());
    let octets = first.octets();
    drop(first);
    LoopbackNet::reserve(octets).expect("free again");
}
