//! The buffer of openers that arrive at a balancer before it has a configuration.
//!
//! Load pattern: all processes restart and all callers connect at once. A balancer needs some tens
//! of milliseconds to read its configuration. An opener that is dropped in that time is
//! retransmitted after 200 ms, which is most of a latency objective, or never, if it was the last
//! copy. See docs/design/offers.md.

/// How many openers are buffered: as many as a balancer watches for answers, and more than arrive
/// before a configuration does.
const MAX_BUFFERED: usize = 4_096;
/// How long each copy is buffered, in milliseconds, indexed by its number. A copy expires 100 ms,
/// the time an agent has to answer, before its caller sends the next copy, which may reach another
/// balancer, or gives up the attempt.
const COPY_LIFETIME_MS: [u64; 3] = [100, 300, 700];

#[derive(Debug, Clone)]
struct Buffered<K, T> {
    flow: K,
    copy: u32,
    since_ms: u64,
    packet: T,
}

/// A buffered opener that can be offered now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EarlyOpener<T> {
    /// The packet that the caller sent.
    pub packet: T,
    /// How long the opener was buffered, in milliseconds.
    pub kept_ms: u64,
}

/// The newest copy of each opener that arrived before a configuration, sorted by flow.
#[derive(Debug)]
pub struct EarlyOpeners<K, T> {
    buffered: Vec<Buffered<K, T>>,
}

impl<K, T> Default for EarlyOpeners<K, T> {
    fn default() -> Self {
        Self {
            buffered: Vec::new(),
        }
    }
}

impl<K: Ord, T> EarlyOpeners<K, T> {
    /// Returns whether no opener is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffered.is_empty()
    }

    /// Buffers a copy of an opener in place of an earlier copy; returns whether there was room.
    pub fn insert(&mut self, flow: K, copy: u32, packet: T, now_ms: u64) -> bool {
        if self.buffered.len() >= MAX_BUFFERED {
            self.remove_expired(now_ms);
        }
        let found = self
            .buffered
            .binary_search_by(|opener| opener.flow.cmp(&flow));
        let opener = Buffered {
            flow,
            copy,
            since_ms: now_ms,
            packet,
        };
        match found {
            Ok(index) if opener.copy < self.buffered[index].copy => {}
            Ok(index) => self.buffered[index] = opener,
            Err(index) if self.buffered.len() < MAX_BUFFERED => self.buffered.insert(index, opener),
            Err(_) => return false,
        }
        true
    }

    /// Removes copies whose lifetime is over.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.buffered.retain(|opener| opener.is_alive(now_ms));
    }

    /// Removes and returns the live openers that can be offered.
    ///
    /// The lowest copy numbers come first, since their callers have waited least and can still be
    /// answered in time.
    pub fn take_if(
        &mut self,
        now_ms: u64,
        can_be_offered: impl Fn(&T) -> bool,
    ) -> Vec<EarlyOpener<T>> {
        self.remove_expired(now_ms);
        let taken = self
            .buffered
            .extract_if(.., |opener| can_be_offered(&opener.packet));
        let mut taken: Vec<_> = taken.collect();
        taken.sort_by_key(|opener| (opener.copy, opener.since_ms));
        let early = taken.into_iter().map(|opener| EarlyOpener {
            packet: opener.packet,
            kept_ms: now_ms.saturating_sub(opener.since_ms),
        });
        early.collect()
    }
}

impl<K, T> Buffered<K, T> {
    fn is_alive(&self, now_ms: u64) -> bool {
        let copy = (self.copy as usize).min(COPY_LIFETIME_MS.len() - 1);
        now_ms < self.since_ms + COPY_LIFETIME_MS[copy]
    }
}
