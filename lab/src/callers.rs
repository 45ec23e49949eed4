//! Many callers in one process: feeds that stay open, and clients that ask and claim.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use endivedyke::{Code, Result, bytes_hash};
use http::Method;
use rand::Rng;

use crate::caller::{Caller, Reply};
use crate::caller_stats::CallerStats;

/// How often a caller comes back with one request.
const MAX_TRIES: u32 = 40;
/// How long a caller waits after a lost flow before it opens another, in milliseconds.
const RECONNECT_MS: u64 = 50;
const UPLOAD_BYTES: usize = 8_000;

/// What the callers of a process do.
#[derive(Debug, Clone)]
pub(crate) struct CallersPlan {
    pub(crate) address: SocketAddr,
    pub(crate) service: String,
    pub(crate) prefix: String,
    pub(crate) feeds: u64,
    pub(crate) clients: u64,
    pub(crate) seconds: u64,
    pub(crate) think_ms: u64,
    pub(crate) feed_period_ms: u64,
}

type SharedTally = Rc<RefCell<CallerStats>>;

/// Runs all callers to their end and returns what they saw.
pub(crate) async fn run(plan: &CallersPlan) -> Result<CallerStats> {
    let tally = SharedTally::default();
    let mut tasks = Vec::new();
    for index in 0..plan.feeds {
        let (plan, tally) = (plan.clone(), tally.clone());
        tasks.push(compio::runtime::spawn(async move {
            hold_feed(&plan, index, &tally).await
        }));
    }
    for index in 0..plan.clients {
        let (plan, tally) = (plan.clone(), tally.clone());
        tasks.push(compio::runtime::spawn(async move {
            ask(&plan, index, &tally).await
        }));
    }
    for task in tasks {
        task.await.unwrap_or(Ok(()))?;
    }
    Ok(tally.take())
}

fn count_flows(caller: &Caller, tally: &SharedTally) {
    let (flows, broken) = caller.flow_counts();
    let mut tally = tally.borrow_mut();
    tally.flows += flows;
    tally.flows_broken += broken;
}

/// Holds one feed for the whole run and checks each event.
async fn hold_feed(plan: &CallersPlan, index: u64, tally: &SharedTally) -> Result<()> {
    let period_ms = plan.feed_period_ms.max(1);
    let id = format!("{}-feed-{index}", plan.prefix);
    let events = plan.seconds * 1_000 / period_ms;
    let mut caller = Caller::new(plan.address).await?;
    tally.borrow_mut().requests += 1;
    let mut text = Vec::new();
    let path = format!("/feed/{id}/{events}/{period_ms}");
    let result = caller
        .read_feed(&path, |piece| text.extend_from_slice(piece))
        .await;
    caller.drop_flow();
    let event = |sequence| format!("data: {} {id} {sequence}\n\n", plan.service);
    let expected: String = (0..events).map(event).collect();
    let whole = result.is_ok() && text == expected.as_bytes();
    let mut counts = tally.borrow_mut();
    counts.answered += u64::from(whole);
    counts.feeds_broken += u64::from(!whole);
    drop(counts);
    count_flows(&caller, tally);
    Ok(())
}

/// One request that a client sends until it has its final answer.
struct Task {
    method: Method,
    kind: &'static str,
    id: String,
    body: Bytes,
}

impl Task {
    fn random(id: String) -> Task {
        let mut random = rand::rng();
        let (method, kind, bytes) = match random.random_range(0..10) {
            0..=5 => (Method::GET, "status", 0),
            6..=8 => (Method::POST, "claim", 16),
            _ => (Method::PUT, "upload", UPLOAD_BYTES),
        };
        let mut body = vec![0; bytes];
        random.fill(body.as_mut_slice());
        Task {
            method,
            kind,
            id,
            body: body.into(),
        }
    }

    fn path(&self) -> String {
        format!("/{}/{}", self.kind, self.id)
    }

    fn expected(&self, service: &str) -> String {
        let (bytes, hash) = (self.body.len(), bytes_hash(&self.body));
        format!("{service} {} {} {bytes} {hash:016x}\n", self.kind, self.id)
    }
}

/// Sends requests one after another until the run ends.
async fn ask(plan: &CallersPlan, index: u64, tally: &SharedTally) -> Result<()> {
    let mut caller = Caller::new(plan.address).await?;
    let until = Instant::now() + Duration::from_secs(plan.seconds);
    let mut number = 0;
    while Instant::now() < until {
        let task = Task::random(format!("{}-{index}-{number}", plan.prefix));
        number += 1;
        finish_task(plan, &mut caller, &task, tally).await;
        let think_ms = rand::rng().random_range(0..=plan.think_ms * 2);
        compio::time::sleep(Duration::from_millis(think_ms)).await;
    }
    caller.drop_flow();
    count_flows(&caller, tally);
    Ok(())
}

async fn finish_task(plan: &CallersPlan, caller: &mut Caller, task: &Task, tally: &SharedTally) {
    tally.borrow_mut().requests += 1;
    let started = Instant::now();
    let mut ticket: Option<String> = None;
    for _ in 0..MAX_TRIES {
        let reply = caller
            .call(&task.method, &task.path(), ticket.as_deref(), &task.body)
            .await;
        let Ok(reply) = reply else {
            compio::time::sleep(Duration::from_millis(RECONNECT_MS)).await;
            continue;
        };
        match reply.result_code() {
            Some(Code::Answered) => {
                let latency_us = started.elapsed().as_micros() as u64;
                count_answer(plan, task, &reply, latency_us, tally);
                return;
            }
            Some(Code::InProgress) => wait(&reply).await,
            Some(code) if code.is_not_run() => {
                ticket = reply.ticket.clone();
                if code != Code::TicketNeeded {
                    tally.borrow_mut().refused += 1;
                    wait(&reply).await;
                }
            }
            _ => {
                tally.borrow_mut().unknown += 1;
                return;
            }
        }
    }
}

async fn wait(reply: &Reply) {
    let jitter_ms = rand::rng().random_range(0..=100);
    compio::time::sleep(Duration::from_millis(reply.retry_after_ms + jitter_ms)).await;
}

fn count_answer(
    plan: &CallersPlan,
    task: &Task,
    reply: &Reply,
    latency_us: u64,
    tally: &SharedTally,
) {
    let mut tally = tally.borrow_mut();
    let right = reply.status == 200 && reply.body == task.expected(&plan.service);
    tally.answered += u64::from(right);
    tally.wrong += u64::from(!right);
    tally.latencies_us.push(latency_us);
    if task.kind == "claim" && right {
        tally.claims.push(task.id.clone());
    }
}
