//! The bounded queue of what waits for a slot, and who goes first.
//!
//! Load pattern: for some seconds more is asked for than can be served, by callers of different urgency, some of
//! whom ask ten times as often as others and some of whom have waited too long already. In the order of arrival
//! all would be late. Here what can still be in time goes before what can't, the more urgent before the less, each
//! caller's first before another one's second, and then the earliest due. See docs/design/waiting-openers.md.

/// The most that waits: with the shortest requests of a few milliseconds, more would wait past any deadline.
const MAX_WAITING: usize = 256;

/// Something that waits for a slot.
#[derive(Debug, Clone)]
pub(crate) struct Waiting<T> {
    pub(crate) item: T,
    /// Tells callers apart.
    pub(crate) caller: u64,
    /// How urgent it is; 0 goes first.
    pub(crate) priority: u8,
    pub(crate) since_ms: u64,
    /// The time after which its answer is late.
    pub(crate) due_ms: u64,
    /// The time at which its caller gives up.
    pub(crate) deadline_ms: u64,
}

#[derive(Debug)]
struct Entry<T> {
    waiting: Waiting<T>,
    /// How many of the same caller were waiting when it came.
    turn: u32,
}

/// What waits for a slot, in order of arrival.
#[derive(Debug)]
pub(crate) struct WaitQueue<T> {
    entries: Vec<Entry<T>>,
}

/// The order in which those that wait are served, least first.
type Rank = (bool, u8, u32, u64);

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<T> WaitQueue<T> {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn has_room(&self) -> bool {
        self.entries.len() < MAX_WAITING
    }

    /// Adds one at the end; says whether there was room.
    pub(crate) fn push(&mut self, waiting: Waiting<T>) -> bool {
        if !self.has_room() {
            return false;
        }
        let turn = self.turn_of(waiting.caller);
        self.entries.push(Entry { waiting, turn });
        true
    }

    /// Takes out the one that goes first, given how long each is served.
    pub(crate) fn pop(&mut self, service_ms: f64, now_ms: u64) -> Option<Waiting<T>> {
        self.pop_if(service_ms, now_ms, |_| true)
    }

    /// The same among those that may go now.
    pub(crate) fn pop_if(
        &mut self,
        service_ms: f64,
        now_ms: u64,
        may_go: impl Fn(&T) -> bool,
    ) -> Option<Waiting<T>> {
        let done_ms = now_ms + service_ms as u64;
        let entries = self.entries.iter().enumerate();
        let going = entries.filter(|(_, entry)| may_go(&entry.waiting.item));
        let (index, _) = going.min_by_key(|(_, entry)| entry.rank(done_ms))?;
        Some(self.entries.remove(index).waiting)
    }

    /// Returns how many would go before one that came now.
    pub(crate) fn ahead_of(&self, waiting: &Waiting<T>, service_ms: f64, now_ms: u64) -> u32 {
        let done_ms = now_ms + service_ms as u64;
        let own = waiting.rank(self.turn_of(waiting.caller), done_ms);
        let before = self
            .entries
            .iter()
            .filter(|entry| entry.rank(done_ms) <= own);
        before.count() as u32
    }

    /// Takes out those for which a test holds.
    pub(crate) fn take_if(&mut self, is_taken: impl Fn(&Waiting<T>) -> bool) -> Vec<Waiting<T>> {
        let taken = self
            .entries
            .extract_if(.., |entry| is_taken(&entry.waiting))
            .map(|entry| entry.waiting);
        taken.collect()
    }

    /// Returns the first in order of arrival for which a test holds.
    pub(crate) fn find_mut(&mut self, is_it: impl Fn(&T) -> bool) -> Option<&mut T> {
        let items = self.entries.iter_mut().map(|entry| &mut entry.waiting.item);
        items.into_iter().find(|item| is_it(item))
    }

    /// Returns what waits, in order of arrival.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiting<T>> {
        self.entries.iter().map(|entry| &entry.waiting)
    }

    fn turn_of(&self, caller: u64) -> u32 {
        let of_caller = |entry: &&Entry<T>| entry.waiting.caller == caller;
        self.entries.iter().filter(of_caller).count() as u32
    }
}

impl<T> Waiting<T> {
    fn rank(&self, turn: u32, done_ms: u64) -> Rank {
        (done_ms > self.due_ms, self.priority, turn, self.due_ms)
    }
}

impl<T> Entry<T> {
    fn rank(&self, done_ms: u64) -> Rank {
        self.waiting.rank(self.turn, done_ms)
    }
}
