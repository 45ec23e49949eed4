//! Hashes that are the same on every host.

use std::net::Ipv4Addr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

const NAME_SEED: u64 = 0x656e_6469_7665_0001;
const PAIR_SEED: u64 = 0x656e_6469_7665_0002;

/// Hashes a name to the 64 bits that identify it between processes.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), NAME_SEED)
}

/// Hashes bytes such as a connection id or a published text.
pub fn bytes_hash(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, NAME_SEED)
}

/// Hashes the address of a host.
pub(crate) fn host_hash(host: Ipv4Addr) -> u64 {
    bytes_hash(&host.octets())
}

/// Returns the rank of a host in the pseudorandom order of hosts that `order_hash` determines.
pub(crate) fn host_rank(order_hash: u64, host: Ipv4Addr) -> u64 {
    pair_hash(order_hash, host_hash(host))
}

/// Combines two hashes, such as those of an opener and a target; the order of the two matters.
pub(crate) fn pair_hash(left: u64, right: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&left.to_le_bytes());
    bytes[8..].copy_from_slice(&right.to_le_bytes());
    xxh3_64_with_seed(&bytes, PAIR_SEED)
}
