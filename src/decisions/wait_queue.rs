//! The bounded queue of what waits for a slot, and who goes first.
//!
//! Load pattern: for some seconds more is asked for than can be served, by callers of different urgency, some of
//! whom ask ten times as often as others and some of whom have waited too long already. In the order of arrival
//! all would be late. Here what can still be in time goes before what can't, the more urgent before the less, each
//! caller's first before another one's second, and then the earliest due, or the newest where the queue is long. See
//! docs/design/waiting-openers.md.

/// The most that waits: with the shortest requests of a few milliseconds, more would wait past any deadline.
const MAX_WAITING: usize = 256;

/// How many service times one that is served needs to be answered: many take longer than the mean.
const SERVICE_MARGIN: f64 = 2.0;
/// How long the queue may be before the newest goes first, as a part of the latency objective.
///
/// While more is asked for than can be served, the order of arrival serves each one at the last moment, and all that
/// take longer than the mean are late. The newest first, those that come are in time, and only what already waits is
/// late.
const LONG_QUEUE: f64 = 0.25;

/// How fast a queue is served, and what its callers aim at.
#[derive(Debug, Clone, Copy)]
pub struct QueueParams {
    /// For how long each occupies a slot, in milliseconds.
    pub service_ms: f64,
    /// How many are served at once.
    pub slots: u32,
    /// The least latency objective of those that wait, in milliseconds.
    pub objective_ms: u32,
}

impl QueueParams {
    /// Returns when one that goes now is answered.
    fn answered_ms(&self, now_ms: u64) -> u64 {
        now_ms + (SERVICE_MARGIN * self.service_ms) as u64
    }
}

/// Something that waits for a slot.
#[derive(Debug, Clone)]
pub struct QueuedItem<T> {
    /// What waits.
    pub item: T,
    /// Tells callers apart.
    pub caller: u64,
    /// How urgent it is; 0 goes first.
    pub priority: u8,
    /// When it came.
    pub since_ms: u64,
    /// What its caller aims at, in milliseconds.
    pub objective_ms: u32,
    /// The time after which its answer is late.
    pub due_ms: u64,
    /// The time at which its caller gives up.
    pub deadline_ms: u64,
}

impl<T> QueuedItem<T> {
    /// Returns when its caller first asked, by which those of different objectives are told apart in age.
    fn asked_ms(&self) -> u64 {
        self.due_ms.saturating_sub(self.objective_ms.into())
    }
}

#[derive(Debug)]
struct Entry<T> {
    waiting: QueuedItem<T>,
    /// How many of the same caller were waiting when it came.
    turn: u32,
}

/// What waits for a slot, kept in order of arrival.
#[derive(Debug)]
pub struct WaitQueue<T> {
    entries: Vec<Entry<T>>,
    most: usize,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            most: MAX_WAITING,
        }
    }
}

impl<T> WaitQueue<T> {
    /// Makes a queue in which at most so many wait.
    pub(crate) fn with_max_len(most: usize) -> Self {
        Self {
            entries: Vec::new(),
            most,
        }
    }

    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether none waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tells whether one more may wait.
    pub fn has_room(&self) -> bool {
        self.entries.len() < self.most
    }

    /// Adds one at the end; says whether there was room.
    pub fn push(&mut self, waiting: QueuedItem<T>) -> bool {
        if !self.has_room() {
            return false;
        }
        let turn = self.turn_of(waiting.caller);
        self.entries.push(Entry { waiting, turn });
        true
    }

    /// Takes out the one that goes first of those that may go now.
    pub fn pop_if(
        &mut self,
        params: &QueueParams,
        now_ms: u64,
        may_go: impl Fn(&T) -> bool,
    ) -> Option<QueuedItem<T>> {
        let order = self.order(params, now_ms);
        let entries = self.entries.iter().enumerate();
        let going = entries.filter(|(_, entry)| may_go(&entry.waiting.item));
        let (index, _) = going.min_by_key(|(_, entry)| order.rank(&entry.waiting, entry.turn))?;
        Some(self.entries.remove(index).waiting)
    }

    /// Returns how many would go before one that came now.
    pub fn count_ahead_of(
        &self,
        waiting: &QueuedItem<T>,
        params: &QueueParams,
        now_ms: u64,
    ) -> u32 {
        let order = self.order(params, now_ms);
        let own = order.rank(waiting, self.turn_of(waiting.caller));
        let ranks = self
            .entries
            .iter()
            .map(|entry| order.rank(&entry.waiting, entry.turn));
        ranks.filter(|rank| *rank <= own).count() as u32
    }

    /// Returns how many can still be in time; the others delay nothing that comes.
    pub fn count_in_time(&self, params: &QueueParams, now_ms: u64) -> u32 {
        let answered_ms = params.answered_ms(now_ms);
        let entries = self.entries.iter();
        let in_time = entries.filter(|entry| answered_ms <= entry.waiting.due_ms);
        in_time.count() as u32
    }

    fn order(&self, params: &QueueParams, now_ms: u64) -> Order {
        let in_time = f64::from(self.count_in_time(params, now_ms));
        let queue_ms = in_time * params.service_ms / f64::from(params.slots.max(1));
        Order {
            answered_ms: params.answered_ms(now_ms),
            newest_first: queue_ms > LONG_QUEUE * f64::from(params.objective_ms),
        }
    }

    /// Takes out those for which a test holds.
    pub fn take_if(&mut self, is_taken: impl Fn(&QueuedItem<T>) -> bool) -> Vec<QueuedItem<T>> {
        let taken = self
            .entries
            .extract_if(.., |entry| is_taken(&entry.waiting))
            .map(|entry| entry.waiting);
        taken.collect()
    }

    /// Returns the first in order of arrival for which a test holds.
    pub fn find_mut(&mut self, is_it: impl Fn(&T) -> bool) -> Option<&mut T> {
        let items = self.entries.iter_mut().map(|entry| &mut entry.waiting.item);
        items.into_iter().find(|item| is_it(item))
    }

    /// Returns what waits, in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedItem<T>> {
        self.entries.iter().map(|entry| &entry.waiting)
    }

    fn turn_of(&self, caller: u64) -> u32 {
        let of_caller = |entry: &&Entry<T>| entry.waiting.caller == caller;
        self.entries.iter().filter(of_caller).count() as u32
    }
}

/// The order in which those that wait are served at one moment.
#[derive(Debug)]
struct Order {
    /// When one that goes now is answered.
    answered_ms: u64,
    newest_first: bool,
}

impl Order {
    /// Returns the place of one that waits; the least goes first.
    fn rank<T>(&self, waiting: &QueuedItem<T>, turn: u32) -> (bool, u8, u32, u64) {
        let is_late = self.answered_ms > waiting.due_ms;
        let due = match self.newest_first {
            true => u64::MAX - waiting.asked_ms(),
            false => waiting.due_ms,
        };
        (is_late, waiting.priority, turn, due)
    }
}
