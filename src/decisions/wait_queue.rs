//! The bounded queue of items that wait for a slot, and the order in which they are served.
//!
//! Load pattern: for some seconds there is more load than capacity, from callers of different
//! priority, some of which send ten times as many requests as others, and some of which have waited
//! too long already. In order of arrival all answers would be late. This queue serves items that
//! can still meet their objective before those that can't, then by priority, then the first item of
//! each caller before its second, and then the earliest due first, or the newest first while the
//! queue is long. See docs/design/waiting-openers.md.

/// The default maximum length: even with the shortest requests, of a few milliseconds, items behind
/// that many would wait past any deadline.
const DEFAULT_MAX_LEN: usize = 256;

/// How many service times to allow for the answer of a served item: many take longer than the mean.
const SERVICE_MARGIN: f64 = 2.0;
/// The expected wait above which the newest item is served first, as a fraction of the latency
/// objective.
///
/// Under overload, serving items in order of arrival would serve each one at the last moment, and
/// all that take longer than the mean would be late. If the newest is served first, arriving items
/// are in time, and only those that already wait are late.
const LONG_QUEUE_FRACTION: f64 = 0.25;

/// The service time, the slots and the objective by which a queue is ordered.
#[derive(Debug, Clone, Copy)]
pub struct QueueParams {
    /// How long each item occupies a slot, in milliseconds.
    pub service_ms: f64,
    /// How many items are served at the same time.
    pub slots: u32,
    /// The shortest latency objective of the queued items, in milliseconds.
    pub objective_ms: u32,
}

impl QueueParams {
    /// Returns the expected time of the answer to an item that is served now.
    fn answered_ms(&self, now_ms: u64) -> u64 {
        now_ms + (SERVICE_MARGIN * self.service_ms) as u64
    }
}

/// An item that waits for a slot.
#[derive(Debug, Clone)]
pub struct QueuedItem<T> {
    /// The item.
    pub item: T,
    /// Identifies the caller.
    pub caller: u64,
    /// The priority; 0 is served first.
    pub priority: u8,
    /// When the item was queued.
    pub since_ms: u64,
    /// The latency objective of its caller, in milliseconds.
    pub objective_ms: u32,
    /// The time after which its answer misses the objective.
    pub due_ms: u64,
    /// The time at which its caller gives up.
    pub deadline_ms: u64,
}

impl<T> QueuedItem<T> {
    /// Returns when its caller sent the first attempt, by which items with different objectives are
    /// ordered by age.
    fn first_attempt_ms(&self) -> u64 {
        self.due_ms.saturating_sub(self.objective_ms.into())
    }
}

#[derive(Debug)]
struct Entry<T> {
    queued: QueuedItem<T>,
    /// How many items of the same caller were queued before this one.
    turn: u32,
}

/// The items that wait for a slot, stored in order of arrival.
#[derive(Debug)]
pub struct WaitQueue<T> {
    entries: Vec<Entry<T>>,
    max_len: usize,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            max_len: DEFAULT_MAX_LEN,
        }
    }
}

impl<T> WaitQueue<T> {
    /// Creates a queue of at most `max_len` items.
    pub(crate) fn with_max_len(max_len: usize) -> Self {
        Self {
            entries: Vec::new(),
            max_len,
        }
    }

    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the queue has room for one more item.
    pub fn has_room(&self) -> bool {
        self.entries.len() < self.max_len
    }

    /// Adds an item; returns whether there was room.
    pub fn push(&mut self, queued: QueuedItem<T>) -> bool {
        if !self.has_room() {
            return false;
        }
        let turn = self.turn_of(queued.caller);
        self.entries.push(Entry { queued, turn });
        true
    }

    /// Removes and returns the item to serve next, among those for which `is_allowed` holds.
    pub fn pop_if(
        &mut self,
        params: &QueueParams,
        now_ms: u64,
        is_allowed: impl Fn(&T) -> bool,
    ) -> Option<QueuedItem<T>> {
        let order = self.order(params, now_ms);
        let entries = self.entries.iter().enumerate();
        let allowed = entries.filter(|(_, entry)| is_allowed(&entry.queued.item));
        let (index, _) = allowed.min_by_key(|(_, entry)| order.rank(&entry.queued, entry.turn))?;
        Some(self.entries.remove(index).queued)
    }

    /// Returns how many queued items would be served before `item` if it were queued now.
    pub fn count_ahead_of(&self, item: &QueuedItem<T>, params: &QueueParams, now_ms: u64) -> u32 {
        let order = self.order(params, now_ms);
        let own = order.rank(item, self.turn_of(item.caller));
        let ranks = self
            .entries
            .iter()
            .map(|entry| order.rank(&entry.queued, entry.turn));
        ranks.filter(|rank| *rank <= own).count() as u32
    }

    /// Returns how many items can still meet their objective; the others don't delay new items.
    pub fn count_in_time(&self, params: &QueueParams, now_ms: u64) -> u32 {
        let answered_ms = params.answered_ms(now_ms);
        let entries = self.entries.iter();
        let in_time = entries.filter(|entry| answered_ms <= entry.queued.due_ms);
        in_time.count() as u32
    }

    fn order(&self, params: &QueueParams, now_ms: u64) -> Order {
        let in_time = f64::from(self.count_in_time(params, now_ms));
        let queue_ms = in_time * params.service_ms / f64::from(params.slots.max(1));
        Order {
            answered_ms: params.answered_ms(now_ms),
            is_newest_first: queue_ms > LONG_QUEUE_FRACTION * f64::from(params.objective_ms),
        }
    }

    /// Removes and returns the items for which `is_taken` holds.
    pub fn take_if(&mut self, is_taken: impl Fn(&QueuedItem<T>) -> bool) -> Vec<QueuedItem<T>> {
        let taken = self
            .entries
            .extract_if(.., |entry| is_taken(&entry.queued))
            .map(|entry| entry.queued);
        taken.collect()
    }

    /// Returns the oldest item for which `is_match` holds.
    pub fn find_mut(&mut self, is_match: impl Fn(&T) -> bool) -> Option<&mut T> {
        let items = self.entries.iter_mut().map(|entry| &mut entry.queued.item);
        items.into_iter().find(|item| is_match(item))
    }

    /// Returns the queued items in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedItem<T>> {
        self.entries.iter().map(|entry| &entry.queued)
    }

    fn turn_of(&self, caller: u64) -> u32 {
        let of_caller = |entry: &&Entry<T>| entry.queued.caller == caller;
        self.entries.iter().filter(of_caller).count() as u32
    }
}

/// The order in which queued items are served at one moment.
#[derive(Debug)]
struct Order {
    /// The expected time of the answer to an item that is served now.
    answered_ms: u64,
    is_newest_first: bool,
}

impl Order {
    /// Returns the sort key of an item; the lowest is served first.
    fn rank<T>(&self, queued: &QueuedItem<T>, turn: u32) -> (bool, u8, u32, u64) {
        let is_late = self.answered_ms > queued.due_ms;
        let due = match self.is_newest_first {
            true => u64::MAX - queued.first_attempt_ms(),
            false => queued.due_ms,
        };
        (is_late, queued.priority, turn, due)
    }
}
