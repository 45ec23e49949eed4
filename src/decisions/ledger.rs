//! The record of requests that may run at most once.
//!
//! A ticket binds a request to one incarnation of one agent and carries a counter. The ledger of
//! that incarnation remembers a window of counters; what lies below it never runs, so the memory is
//! bounded and a request is never doubled. See docs/DESIGN.md, "At most once".

use std::collections::VecDeque;

use bytes::Bytes;

use crate::code::Code;

/// How many begun tickets a ledger remembers.
pub(crate) const LEDGER_ENTRIES: usize = 100_000;
/// The largest answer that is kept to be given again, in bytes.
pub const MAX_KEPT_ANSWER_BYTES: usize = 4_096;

/// The most bytes of answers that a ledger keeps; the oldest go first, their tickets stay known.
pub const MAX_KEPT_BYTES: usize = 16 << 20;

/// An answer kept for a caller that asks again with the same ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The value of the content-type header.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// What the ledger says to a request that wants to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginOutcome {
    /// It is recorded as running and may be handed to the backend server, once.
    Run,
    /// It does not run; the code says why, and whether it ran before.
    Reject(Code),
    /// It ran before, and this was the answer.
    Answered(KeptAnswer),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Running,
    Refused,
    Unknown(Code),
    Answered(KeptAnswer),
    AnsweredLarge,
}

#[derive(Debug)]
struct Entry {
    counter: u32,
    digest: u64,
    state: State,
}

/// The tickets of one incarnation.
#[derive(Debug)]
pub struct Ledger {
    next_counter: u32,
    floor: u32,
    capacity: usize,
    entries: VecDeque<Entry>,
    kept_bytes: usize,
    stripped_below: u32,
}

impl Ledger {
    /// Makes an empty ledger that remembers `capacity` begun tickets.
    pub fn new(capacity: usize) -> Self {
        Self {
            next_counter: 0,
            floor: 0,
            capacity,
            entries: VecDeque::new(),
            kept_bytes: 0,
            stripped_below: 0,
        }
    }

    /// Returns the counter of a new ticket, or `None` when the incarnation has used all of them.
    pub fn issue_ticket(&mut self) -> Option<u32> {
        let counter = self.next_counter;
        self.next_counter = counter.checked_add(1)?;
        Some(counter)
    }

    /// Returns how many begun tickets are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns how many bytes of answers are kept.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Tells whether no ticket has begun.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Asks whether the request with this ticket and `digest` may run now.
    pub fn begin(&mut self, counter: u32, digest: u64) -> BeginOutcome {
        match self.position(counter) {
            Ok(index) => begin_again(&self.entries[index], digest),
            Err(_) if counter < self.floor => BeginOutcome::Reject(Code::TicketExpired),
            Err(_) if counter >= self.next_counter => BeginOutcome::Reject(Code::BadRequest),
            Err(index) => {
                let entry = Entry {
                    counter,
                    digest,
                    state: State::Running,
                };
                self.entries.insert(index, entry);
                self.trim();
                BeginOutcome::Run
            }
        }
    }

    /// Records that the request was not run and from now on never will be.
    pub fn record_refusal(&mut self, counter: u32) {
        self.set(counter, State::Refused);
    }

    /// Records that nobody can know whether the request ran.
    pub fn record_unknown_outcome(&mut self, counter: u32, code: Code) {
        self.set(counter, State::Unknown(code));
    }

    /// Records the answer of a request that ran.
    pub fn record_answer(&mut self, counter: u32, answer: Option<KeptAnswer>) {
        let kept = answer.filter(|answer| answer.body.len() <= MAX_KEPT_ANSWER_BYTES);
        let state = match kept {
            Some(answer) if self.position(counter).is_ok() => {
                self.kept_bytes += answer.body.len();
                State::Answered(own_memory(answer))
            }
            _ => State::AnsweredLarge,
        };
        self.set(counter, state);
        self.strip();
    }

    fn position(&self, counter: u32) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&counter, |entry| entry.counter)
    }

    fn set(&mut self, counter: u32, state: State) {
        if let Ok(index) = self.position(counter) {
            self.entries[index].state = state;
            self.trim();
        }
    }

    /// Drops the oldest answers, but not their tickets, until the rest fits.
    fn strip(&mut self) {
        while self.kept_bytes > MAX_KEPT_BYTES {
            let from = self.stripped_below;
            let index = self.entries.partition_point(|entry| entry.counter < from);
            let Some(entry) = self.entries.get_mut(index) else {
                self.stripped_below = 0;
                continue;
            };
            self.stripped_below = entry.counter + 1;
            self.kept_bytes -= entry.kept_bytes();
            if matches!(entry.state, State::Answered(_)) {
                entry.state = State::AnsweredLarge;
            }
        }
    }

    /// Forgets the oldest entries that have ended and raises the floor over them.
    ///
    /// A running entry below the floor stays, and is still found, until it has ended.
    fn trim(&mut self) {
        while self.entries.len() > self.capacity {
            let ended = |entry: &Entry| entry.state != State::Running;
            let Some(oldest) = self.entries.iter().position(ended) else {
                return;
            };
            if let Some(entry) = self.entries.remove(oldest) {
                self.floor = self.floor.max(entry.counter + 1);
                self.kept_bytes -= entry.kept_bytes();
            }
        }
    }
}

impl Entry {
    fn kept_bytes(&self) -> usize {
        match &self.state {
            State::Answered(answer) => answer.body.len(),
            _ => 0,
        }
    }
}

/// Copies the body, which may be a small slice of a connection's whole buffer.
fn own_memory(answer: KeptAnswer) -> KeptAnswer {
    KeptAnswer {
        body: Bytes::copy_from_slice(&answer.body),
        ..answer
    }
}

fn begin_again(entry: &Entry, digest: u64) -> BeginOutcome {
    if entry.digest != digest {
        return BeginOutcome::Reject(Code::TicketMismatch);
    }
    match &entry.state {
        State::Running => BeginOutcome::Reject(Code::InProgress),
        State::Refused => BeginOutcome::Reject(Code::TicketSpent),
        State::Unknown(code) => BeginOutcome::Reject(*code),
        State::Answered(answer) => BeginOutcome::Answered(answer.clone()),
        State::AnsweredLarge => BeginOutcome::Reject(Code::AnswerNotKept),
    }
}
