//! Which openers a balancer keeps until it knows a configuration, and in which order it offers them then.
//!
//! Load pattern: all processes start anew and callers all come at once. A balancer reads its configuration for some
//! tens of milliseconds. An opener that is dropped meanwhile comes again after 200 ms, which is most of a latency
//! objective, or never, where it was the last copy. See docs/design/offers.md.

/// How many openers are kept: as many as a balancer watches for answers, and more than come before a configuration.
const MAX_KEPT: usize = 4_096;
/// For how long each copy is kept, in milliseconds: up to 100 ms, the time that an agent has to answer, before its
/// caller sends the next one, which may reach another balancer, or gives the attempt up.
const KEPT_MS: [u64; 3] = [100, 300, 700];

#[derive(Debug, Clone)]
struct Kept<K, T> {
    flow: K,
    copy: u32,
    since_ms: u64,
    packet: T,
}

/// An opener that may be offered now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EarlyOpener<T> {
    /// What its caller sent.
    pub packet: T,
    /// For how long it was kept, in milliseconds.
    pub kept_ms: u64,
}

/// The newest copy of each opener that came before a configuration, sorted by flow.
#[derive(Debug)]
pub struct EarlyOpeners<K, T> {
    kept: Vec<Kept<K, T>>,
}

impl<K, T> Default for EarlyOpeners<K, T> {
    fn default() -> Self {
        Self { kept: Vec::new() }
    }
}

impl<K: Ord, T> EarlyOpeners<K, T> {
    /// Tells whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Keeps a copy of an opener in place of an earlier one; says whether there was room.
    pub fn insert(&mut self, flow: K, copy: u32, packet: T, now_ms: u64) -> bool {
        if self.kept.len() >= MAX_KEPT {
            self.remove_expired(now_ms);
        }
        let found = self.kept.binary_search_by(|kept| kept.flow.cmp(&flow));
        let opener = Kept {
            flow,
            copy,
            since_ms: now_ms,
            packet,
        };
        match found {
            Ok(index) if opener.copy < self.kept[index].copy => {}
            Ok(index) => self.kept[index] = opener,
            Err(index) if self.kept.len() < MAX_KEPT => self.kept.insert(index, opener),
            Err(_) => return false,
        }
        true
    }

    /// Forgets copies for which their callers no longer wait.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.kept.retain(|opener| opener.is_awaited(now_ms));
    }

    /// Takes out those that can be offered and whose callers still wait for this copy: the earliest copies first, since
    /// their callers can still be answered in time.
    pub fn take_if(
        &mut self,
        now_ms: u64,
        can_be_offered: impl Fn(&T) -> bool,
    ) -> Vec<EarlyOpener<T>> {
        self.remove_expired(now_ms);
        let taken = self
            .kept
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

impl<K, T> Kept<K, T> {
    fn is_awaited(&self, now_ms: u64) -> bool {
        let copy = (self.copy as usize).min(KEPT_MS.len() - 1);
        now_ms < self.since_ms + KEPT_MS[copy]
    }
}
