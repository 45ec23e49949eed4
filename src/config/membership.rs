//! Who reads the platform and who tells whom: pure functions of the host list.
//!
//! Each process works these out alone, from a list that may lag. Two that disagree cost a few reads
//! or messages more, never correctness. See docs/DESIGN.md, "Configuration".

use std::net::Ipv4Addr;

use crate::config::hash;
use crate::config::hosts::{Host, HostList};

/// How many processes of an availability zone watch the platform.
pub const READERS_PER_ZONE: usize = 3;
/// To how many peers a process tells a change, and with how many it compares revisions.
pub const PEERS_PER_PROCESS: usize = 6;
/// How many of them are of its own availability zone, so that a cut between zones or regions leaves
/// no process without a peer that some reader of its zone reaches.
const NEAR_LINKS: usize = 3;

const READER_SALT: u64 = 0x7265_6164;

/// Returns the `count` hosts with the greatest hash for `salt`, best first.
fn ranked<'a>(hosts: impl Iterator<Item = &'a Host>, salt: u64, count: usize) -> Vec<Ipv4Addr> {
    let rank = |address: Ipv4Addr| std::cmp::Reverse(hash::host_rank(salt, address));
    let mut addresses: Vec<Ipv4Addr> = hosts.map(|host| host.address).collect();
    if addresses.len() > count && count > 0 {
        addresses.select_nth_unstable_by_key(count - 1, |address| rank(*address));
    }
    addresses.truncate(count);
    addresses.sort_by_key(|address| rank(*address));
    addresses
}

/// Returns the readers of a zone among the hosts that `trusted` lets pass.
pub fn select_readers(
    hosts: &HostList,
    zone: &str,
    trusted: impl Fn(Ipv4Addr) -> bool,
) -> Vec<Ipv4Addr> {
    let of_zone = hosts.all().iter().filter(|host| host.zone == zone);
    let eligible = of_zone.filter(|host| trusted(host.address));
    ranked(eligible, READER_SALT, READERS_PER_ZONE)
}

/// Returns the peers to which the process on `me` keeps a control link.
///
/// The choice is stable while the list is, so that links stay open; together the links of all
/// processes form a random graph, which stays connected when many hosts are gone.
pub fn select_peers(
    hosts: &HostList,
    me: Ipv4Addr,
    trusted: impl Fn(Ipv4Addr) -> bool,
) -> Vec<Ipv4Addr> {
    let others = || hosts.all().iter().filter(|host| host.address != me);
    let eligible = || others().filter(|host| trusted(host.address));
    let zone = hosts.get(me).map(|host| host.zone.as_str());
    let near = eligible().filter(|host| Some(host.zone.as_str()) == zone);
    let mut links = ranked(near, hash::host_hash(me), NEAR_LINKS);
    let far = eligible().filter(|host| !links.contains(&host.address));
    links.extend(ranked(
        far,
        hash::host_hash(me),
        PEERS_PER_PROCESS - links.len(),
    ));
    links
}
