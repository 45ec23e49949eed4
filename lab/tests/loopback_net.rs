//! Two sites never share a network of the machine.

use endivedyke_lab::LoopbackNet;

#[test]
fn a_network_has_one_site_at_a_time() {
    let first = LoopbackNet::reserve_random().expect("a free one");
    assert!(LoopbackNet::reserve(first.octets()).is_err());
    let numbers = first.octets();
    drop(first);
    LoopbackNet::reserve(numbers).expect("free again");
}
