//! Which packets a balancer keeps until it knows a configuration, and in which order it forwards them then.
//!
//! Load pattern: all processes start anew and callers all come at once. A balancer reads its configuration for some
//! tens of milliseconds. What is dropped meanwhile comes again after 200 ms, which is most of a latency objective, or
//! never, where it was the last copy of an opener. See docs/design/offers.md.

/// How many packets are kept: as many as a balancer watches for answers, and more than come before a configuration.
const MAX_KEPT: usize = 4_096;
/// For how long each copy of an opener is kept, in milliseconds: until its caller sends the next one, which may reach
/// another balancer, and the last one until its caller gives the attempt up.
const OPENER_KEPT_MS: [u64; 3] = [200, 400, 800];
/// The same for data on an open flow, in milliseconds: the first time after which its caller sends it again.
const DATA_KEPT_MS: u64 = 200;

#[derive(Debug, Clone)]
struct Kept<K, T> {
    flow: K,
    copy: Option<u32>,
    since_ms: u64,
    packet: T,
}

/// A packet that may be forwarded now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EarlyPacket<T> {
    /// What its caller sent.
    pub packet: T,
    /// For how long it was kept, in milliseconds.
    pub kept_ms: u64,
}

/// The newest opener, or data, of each flow that came before a configuration, sorted by flow.
#[derive(Debug)]
pub struct EarlyPackets<K, T> {
    kept: Vec<Kept<K, T>>,
}

impl<K, T> Default for EarlyPackets<K, T> {
    fn default() -> Self {
        Self { kept: Vec::new() }
    }
}

impl<K: Ord, T> EarlyPackets<K, T> {
    /// Tells whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Keeps a packet in place of the one before of its flow: this copy of its opener, or data; says whether there was
    /// room.
    pub fn keep(&mut self, flow: K, copy: Option<u32>, packet: T, now_ms: u64) -> bool {
        let found = self.kept.binary_search_by(|kept| kept.flow.cmp(&flow));
        let newest = Kept {
            flow,
            copy,
            since_ms: now_ms,
            packet,
        };
        match found {
            Ok(index) => self.kept[index] = newest,
            Err(index) if self.kept.len() < MAX_KEPT => self.kept.insert(index, newest),
            Err(_) => return false,
        }
        true
    }

    /// Takes out all, and returns those which their callers have not sent again since: data first, whose servers have
    /// its flow already, then the earliest copies, whose callers can still be answered in time.
    pub fn take(&mut self, now_ms: u64) -> Vec<EarlyPacket<T>> {
        let mut kept = std::mem::take(&mut self.kept);
        kept.retain(|one| now_ms < one.since_ms + one.kept_for_ms());
        kept.sort_by_key(|one| (one.copy, one.since_ms));
        let early = kept.into_iter().map(|one| EarlyPacket {
            packet: one.packet,
            kept_ms: now_ms - one.since_ms,
        });
        early.collect()
    }
}

impl<K, T> Kept<K, T> {
    fn kept_for_ms(&self) -> u64 {
        let Some(copy) = self.copy else {
            return DATA_KEPT_MS;
        };
        OPENER_KEPT_MS[(copy as usize).min(OPENER_KEPT_MS.len() - 1)]
    }
}
