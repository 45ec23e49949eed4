//! Whether a backend server works slower than it usually does, whatever waits in its queue.
//!
//! The load that this answers: at a crest some servers of many take several times as long for each request. Their
//! flows stay with them, so that their queues grow until nothing is in time there, while others have room. A queue
//! alone shows no slow server, as all have one at a crest; and a few long requests show none either. So each request
//! is timed from when it must have begun, and the middle one of the last requests is held against the usual time of
//! its own address. See docs/design/slow-servers.md.

use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// How many requests the short window holds: where half of them took far too long, chance is no explanation.
const RECENT: usize = 15;
/// The age at which a request leaves the short window, in milliseconds: a server that gets no work any more shows
/// nothing, and is tried again.
const RECENT_MS: u64 = 3_000;
/// How many requests the short window must hold to tell anything.
const MIN_RECENT: usize = 8;
/// How many requests of an address are timed before their usual time is known.
const FIRST: usize = 64;
/// How many times the usual time the middle request must take: one that starts cold takes nearly twice as long.
const SLOW_FACTOR: f64 = 2.5;
/// The quantile at which a server is held for slow, and the one at which there is no doubt.
const MIDDLE: f64 = 0.5;
const NEARLY_ALL: f64 = 0.25;
/// By which part one request moves the usual time of its address.
const USUAL_STEP: f64 = 0.02;
/// The part of that step while the server is slow: what lasts for minutes is usual.
const SLOW_STEP_PART: f64 = 0.1;
/// How many addresses have a usual time: services have a few that are called.
const MAX_ADDRESSES: usize = 16;
/// How many requests are timed at once: far more than a server queues.
const MAX_RUNNING: usize = 256;
/// How long a request is remembered that is never answered, in milliseconds.
const FORGET_MS: u64 = 5_000;
/// For how long requests are not timed after one of which it is unknown whether it is worked on, in milliseconds:
/// some service times.
const UNCLEAR_MS: u64 = 500;
/// The longest time between two looks at the clock, in milliseconds; after a longer one this process was paused.
const MAX_GAP_MS: u64 = 300;
const LEAST_MS: f64 = 1.0;

/// A request at the backend server.
#[derive(Debug, Clone, Copy)]
struct Running<K> {
    flow: K,
    /// The address that was called, where the request is to be timed.
    called: Option<SocketAddrV4>,
    /// How many requests have to leave before a slot is free for it.
    behind: u32,
    /// When it was handed over, and then when it must have begun.
    since_ms: u64,
}

/// The usual time of requests to an address: about as many take longer as take less.
#[derive(Debug)]
struct Usual {
    called: SocketAddrV4,
    /// The times of the first requests, while these are too few.
    first_ms: Vec<f64>,
    median_ms: f64,
}

#[derive(Debug, Clone, Copy)]
struct Timed {
    /// How many times the usual time it took.
    ratio: f64,
    at_ms: u64,
}

/// The requests at one backend server and how long they took, by flows that are named by `K`.
#[derive(Debug)]
pub struct PaceWatch<K> {
    /// Sorted by flow; each has one.
    running: Vec<Running<K>>,
    /// Sorted by address.
    usual: Vec<Usual>,
    recent: VecDeque<Timed>,
    looked_ms: u64,
    /// Until when the backend server may work on what is no longer known to be there.
    unclear_until_ms: u64,
}

impl<K: Copy + Ord> PaceWatch<K> {
    /// Makes a watch of a backend server of which nothing is known.
    pub fn new() -> Self {
        Self {
            running: Vec::new(),
            usual: Vec::new(),
            recent: VecDeque::new(),
            looked_ms: 0,
            unclear_until_ms: 0,
        }
    }

    /// Looks at the clock; to be called several times in [`MAX_GAP_MS`].
    pub fn look(&mut self, now_ms: u64) {
        self.look_at_clock(now_ms);
    }

    /// Tells whether requests were ever timed.
    pub fn is_used(&self) -> bool {
        !self.usual.is_empty()
    }

    /// Notes data of a request that was handed over; `called` where it may be all of it, and is to be timed.
    pub fn handed_over(&mut self, flow: K, called: Option<SocketAddrV4>, slots: u32, now_ms: u64) {
        self.look_at_clock(now_ms);
        let there = self.running.len() as u32;
        match self.position(flow) {
            Ok(index) => self.running[index].called = None,
            Err(index) if self.running.len() < MAX_RUNNING => {
                let is_clear = now_ms >= self.unclear_until_ms;
                let request = Running {
                    flow,
                    called: called.filter(|_| is_clear),
                    behind: (there + 1).saturating_sub(slots),
                    since_ms: now_ms,
                };
                self.running.insert(index, request);
            }
            Err(_) => {}
        }
    }

    /// Notes that a request was answered.
    pub fn answered(&mut self, flow: K, now_ms: u64) {
        self.look_at_clock(now_ms);
        let Some(request) = self.take(flow, now_ms) else {
            return;
        };
        if request.behind > 0 {
            // What is there is not what was seen.
            self.time_nothing();
            return;
        }
        if let Some(called) = request.called {
            let took_ms = now_ms.saturating_sub(request.since_ms) as f64;
            self.learn(called, took_ms.max(LEAST_MS), now_ms);
        }
    }

    /// Notes that a request was refused, failed or was given up by its caller.
    ///
    /// The backend server may go on with it or not, so that nobody knows when others begin.
    pub fn ended(&mut self, flow: K, now_ms: u64) {
        if let Ok(index) = self.position(flow) {
            self.running.remove(index);
            self.unclear_until_ms = now_ms + UNCLEAR_MS;
            self.time_nothing();
        }
    }

    /// Forgets everything: another process answers from now on.
    pub fn forget(&mut self) {
        *self = Self {
            looked_ms: self.looked_ms,
            ..Self::new()
        };
    }

    /// Returns how many times the usual time requests take now, where that is far too long.
    pub fn slower(&self, now_ms: u64) -> Option<f64> {
        self.quantile(MIDDLE, MIN_RECENT, now_ms)
    }

    /// Tells whether nearly all requests take far too long, so that neither chance nor a few long ones explain it.
    pub fn is_surely_slow(&self, now_ms: u64) -> bool {
        self.quantile(NEARLY_ALL, RECENT, now_ms).is_some()
    }

    /// Returns how many times the usual time the requests at a quantile take, where that is far too long.
    fn quantile(&self, part: f64, least: usize, now_ms: u64) -> Option<f64> {
        let recent = self.recent.iter();
        let counts = recent.filter(|timed| now_ms < timed.at_ms + RECENT_MS);
        let answered = counts.map(|timed| timed.ratio);
        let mut ratios: Vec<f64> = answered.chain(self.unanswered(now_ms)).collect();
        if ratios.len() < least {
            return None;
        }
        ratios.sort_unstable_by(f64::total_cmp);
        let slower = ratios[(part * ratios.len() as f64) as usize];
        (slower >= SLOW_FACTOR).then_some(slower)
    }

    /// Returns how many times the usual time those requests have taken that run for far too long already.
    fn unanswered(&self, now_ms: u64) -> impl Iterator<Item = f64> {
        let begun = self.running.iter().filter(|request| request.behind == 0);
        let ratio = move |request: &Running<K>| {
            let usual_ms = self.usual_ms(request.called?)?;
            Some(now_ms.saturating_sub(request.since_ms) as f64 / usual_ms)
        };
        begun
            .filter_map(ratio)
            .filter(|ratio| *ratio >= SLOW_FACTOR)
    }

    fn usual_ms(&self, called: SocketAddrV4) -> Option<f64> {
        let index = self
            .usual
            .binary_search_by_key(&called, |usual| usual.called);
        let usual = &self.usual[index.ok()?];
        usual.is_known().then_some(usual.median_ms)
    }

    /// Takes a request out that has left its slot, in which the next one begins.
    fn take(&mut self, flow: K, now_ms: u64) -> Option<Running<K>> {
        let request = self.running.remove(self.position(flow).ok()?);
        for other in self.running.iter_mut().filter(|other| other.behind > 0) {
            other.behind -= 1;
            if other.behind == 0 {
                other.since_ms = now_ms;
            }
        }
        Some(request)
    }

    fn learn(&mut self, called: SocketAddrV4, took_ms: f64, now_ms: u64) {
        let is_slow = self.slower(now_ms).is_some();
        let index = match self
            .usual
            .binary_search_by_key(&called, |usual| usual.called)
        {
            Ok(index) => index,
            Err(_) if self.usual.len() >= MAX_ADDRESSES => return,
            Err(index) => {
                let usual = Usual {
                    called,
                    first_ms: Vec::new(),
                    median_ms: 0.0,
                };
                self.usual.insert(index, usual);
                index
            }
        };
        let usual = &mut self.usual[index];
        if usual.is_known() {
            if self.recent.len() >= RECENT {
                self.recent.pop_front();
            }
            self.recent.push_back(Timed {
                ratio: took_ms / usual.median_ms,
                at_ms: now_ms,
            });
        }
        usual.learn(took_ms, is_slow);
    }

    fn position(&self, flow: K) -> Result<usize, usize> {
        self.running
            .binary_search_by_key(&flow, |request| request.flow)
    }

    fn time_nothing(&mut self) {
        for request in &mut self.running {
            request.called = None;
        }
    }

    /// Forgets what can't be timed: what was there during a pause of this process, and what never ends.
    fn look_at_clock(&mut self, now_ms: u64) {
        if now_ms > self.looked_ms + MAX_GAP_MS {
            self.time_nothing();
        }
        self.looked_ms = self.looked_ms.max(now_ms);
        self.running
            .retain(|request| now_ms < request.since_ms + FORGET_MS);
    }
}

impl<K: Copy + Ord> Default for PaceWatch<K> {
    fn default() -> Self {
        Self::new()
    }
}

impl Usual {
    fn is_known(&self) -> bool {
        self.median_ms > 0.0
    }

    fn learn(&mut self, took_ms: f64, is_slow: bool) {
        if !self.is_known() {
            self.first_ms.push(took_ms);
            if self.first_ms.len() >= FIRST {
                self.median_ms = median(std::mem::take(&mut self.first_ms));
            }
            return;
        }
        let step = if is_slow {
            USUAL_STEP * SLOW_STEP_PART
        } else {
            USUAL_STEP
        };
        let direction = if took_ms > self.median_ms { 1.0 } else { -1.0 };
        self.median_ms *= (direction * step).exp();
    }
}

/// Returns the middle one of some values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values[values.len() / 2]
}
