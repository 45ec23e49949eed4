//! The ledger of requests that may run at most once.
//!
//! A ticket binds a request to one incarnation of one agent and carries a counter. The ledger of
//! that incarnation records a window of counters. A request whose counter is below the window is
//! rejected, so that memory is bounded and no request runs twice. See docs/DESIGN.md, "At most
//! once".

use std::collections::VecDeque;

use bytes::Bytes;

use crate::code::Code;

/// How many begun tickets a ledger records.
pub(crate) const LEDGER_ENTRIES: usize = 100_000;
/// The largest answer that is kept for a repeated request, in bytes.
pub const MAX_KEPT_ANSWER_BYTES: usize = 4_096;

/// The most bytes of answers that a ledger keeps; above that it drops the oldest answers but keeps
/// their tickets.
pub const MAX_KEPT_BYTES: usize = 16 << 20;

/// An answer that is kept for callers that repeat the request with the same ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The value of the content-type header.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// Whether a request with a ticket may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginOutcome {
    /// It is recorded as running and may be sent to the backend server once.
    Run,
    /// It must not run; the code gives the reason and whether it ran before.
    Reject(Code),
    /// It ran before, with this answer.
    Answered(KeptAnswer),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Running,
    Refused,
    OutcomeUnknown(Code),
    Answered(KeptAnswer),
    /// It was answered, but its answer was too large to keep or has been dropped.
    AnswerNotKept,
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
    /// The start of the window: an unrecorded counter below it has expired.
    window_start: u32,
    capacity: usize,
    /// Sorted by counter.
    entries: VecDeque<Entry>,
    kept_bytes: usize,
    /// The counter below which the answers of finished requests have been dropped.
    dropped_below: u32,
}

impl Ledger {
    /// Creates an empty ledger that records `capacity` begun tickets.
    pub fn new(capacity: usize) -> Self {
        Self {
            next_counter: 0,
            window_start: 0,
            capacity,
            entries: VecDeque::new(),
            kept_bytes: 0,
            dropped_below: 0,
        }
    }

    /// Returns the counter of a new ticket, or `None` once the incarnation has issued all counters.
    pub fn issue_ticket(&mut self) -> Option<u32> {
        let counter = self.next_counter;
        self.next_counter = counter.checked_add(1)?;
        Some(counter)
    }

    /// Returns how many begun tickets are recorded.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns how many bytes of answers are kept.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Returns whether no begun ticket is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records the request with this ticket and `digest` as running, if it may run.
    pub fn begin(&mut self, counter: u32, digest: u64) -> BeginOutcome {
        match self.position(counter) {
            Ok(index) => begin_repeated(&self.entries[index], digest),
            Err(_) if counter < self.window_start => BeginOutcome::Reject(Code::TicketExpired),
            Err(_) if counter >= self.next_counter => BeginOutcome::Reject(Code::BadRequest),
            Err(index) => {
                let entry = Entry {
                    counter,
                    digest,
                    state: State::Running,
                };
                self.entries.insert(index, entry);
                self.evict_oldest();
                BeginOutcome::Run
            }
        }
    }

    /// Records that the request did not run and must not run any more.
    pub fn record_refusal(&mut self, counter: u32) {
        self.set_state(counter, State::Refused);
    }

    /// Records that it can't be known whether the request ran.
    pub fn record_unknown_outcome(&mut self, counter: u32, code: Code) {
        self.set_state(counter, State::OutcomeUnknown(code));
    }

    /// Records the answer of a request that ran.
    pub fn record_answer(&mut self, counter: u32, answer: Option<KeptAnswer>) {
        let kept = answer.filter(|answer| answer.body.len() <= MAX_KEPT_ANSWER_BYTES);
        let state = match kept {
            Some(answer) if self.position(counter).is_ok() => {
                self.kept_bytes += answer.body.len();
                State::Answered(copy_body(answer))
            }
            _ => State::AnswerNotKept,
        };
        self.set_state(counter, state);
        self.drop_oldest_answers();
    }

    fn position(&self, counter: u32) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&counter, |entry| entry.counter)
    }

    fn set_state(&mut self, counter: u32, state: State) {
        if let Ok(index) = self.position(counter) {
            self.entries[index].state = state;
            self.evict_oldest();
        }
    }

    /// Drops the oldest answers until the others fit, and keeps their tickets.
    fn drop_oldest_answers(&mut self) {
        while self.kept_bytes > MAX_KEPT_BYTES {
            let from = self.dropped_below;
            let index = self.entries.partition_point(|entry| entry.counter < from);
            let Some(entry) = self.entries.get_mut(index) else {
                self.dropped_below = 0;
                continue;
            };
            self.dropped_below = entry.counter + 1;
            self.kept_bytes -= entry.kept_bytes();
            if matches!(entry.state, State::Answered(_)) {
                entry.state = State::AnswerNotKept;
            }
        }
    }

    /// Evicts the oldest ended entries above the capacity and moves the start of the window past
    /// them.
    ///
    /// A running entry below the window stays recorded until it has ended.
    fn evict_oldest(&mut self) {
        while self.entries.len() > self.capacity {
            let has_ended = |entry: &Entry| entry.state != State::Running;
            let Some(oldest) = self.entries.iter().position(has_ended) else {
                return;
            };
            if let Some(entry) = self.entries.remove(oldest) {
                self.window_start = self.window_start.max(entry.counter + 1);
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

/// Copies the body, since a small slice would keep the whole buffer of its connection alive.
fn copy_body(answer: KeptAnswer) -> KeptAnswer {
    KeptAnswer {
        body: Bytes::copy_from_slice(&answer.body),
        ..answer
    }
}

/// Returns the outcome for a ticket that has begun before.
fn begin_repeated(entry: &Entry, digest: u64) -> BeginOutcome {
    if entry.digest != digest {
        return BeginOutcome::Reject(Code::TicketMismatch);
    }
    match &entry.state {
        State::Running => BeginOutcome::Reject(Code::InProgress),
        State::Refused => BeginOutcome::Reject(Code::TicketSpent),
        State::OutcomeUnknown(code) => BeginOutcome::Reject(*code),
        State::Answered(answer) => BeginOutcome::Answered(answer.clone()),
        State::AnswerNotKept => BeginOutcome::Reject(Code::AnswerNotKept),
    }
}
