//! Selects the processes that read the platform and the peers of each process, from the host list
//! alone.
//!
//! Each process computes this by itself, from a list that may lag. Processes that disagree cause a
//! few extra reads or messages, but no wrong values. See docs/DESIGN.md, "Configuration".

use std::net::Ipv4Addr;

use crate::config::hash;
use crate::config::hosts::{Host, HostList};

/// The number of processes in each availability zone that watch the platform.
pub const READERS_PER_ZONE: usize = 3;
/// The number of peers to which a process pushes changes and with which it compares revisions.
pub const PEERS_PER_PROCESS: usize = 6;
/// The number of peers in the process's own availability zone, so that a network partition between
/// zones or regions leaves no process without a path to a reader of its zone.
const PEERS_IN_ZONE: usize = 3;

const READER_SALT: u64 = 0x7265_6164;

/// Returns the first `count` hosts in the pseudorandom order that `salt` determines.
fn first_ranked<'a>(
    hosts: impl Iterator<Item = &'a Host>,
    salt: u64,
    count: usize,
) -> Vec<Ipv4Addr> {
    let rank = |address: Ipv4Addr| std::cmp::Reverse(hash::host_rank(salt, address));
    let mut addresses: Vec<Ipv4Addr> = hosts.map(|host| host.address).collect();
    if addresses.len() > count && count > 0 {
        addresses.select_nth_unstable_by_key(count - 1, |address| rank(*address));
    }
    addresses.truncate(count);
    addresses.sort_by_key(|address| rank(*address));
    addresses
}

/// Returns the readers of an availability zone, chosen among the hosts that `is_trusted` accepts.
pub fn select_readers(
    hosts: &HostList,
    zone: &str,
    is_trusted: impl Fn(Ipv4Addr) -> bool,
) -> Vec<Ipv4Addr> {
    let of_zone = hosts.all().iter().filter(|host| host.zone == zone);
    let eligible = of_zone.filter(|host| is_trusted(host.address));
    first_ranked(eligible, READER_SALT, READERS_PER_ZONE)
}

/// Returns the peers of the process on `own_host`, chosen among the hosts that `is_trusted`
/// accepts.
///
/// The choice changes only with the list, so that links stay open. Together the links of all
/// processes form a random graph, which stays connected when many hosts fail.
pub fn select_peers(
    hosts: &HostList,
    own_host: Ipv4Addr,
    is_trusted: impl Fn(Ipv4Addr) -> bool,
) -> Vec<Ipv4Addr> {
    let others = || hosts.all().iter().filter(|host| host.address != own_host);
    let eligible = || others().filter(|host| is_trusted(host.address));
    let zone = hosts.get(own_host).map(|host| host.zone.as_str());
    let near = eligible().filter(|host| Some(host.zone.as_str()) == zone);
    let mut peers = first_ranked(near, hash::host_hash(own_host), PEERS_IN_ZONE);
    let far = eligible().filter(|host| !peers.contains(&host.address));
    peers.extend(first_ranked(
        far,
        hash::host_hash(own_host),
        PEERS_PER_PROCESS - peers.len(),
    ));
    peers
}
