//! Callers of one service in one process: feeds that stay open, and clients that send requests and
//! claims.

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

/// The maximum number of attempts of a request.
const MAX_ATTEMPTS: u32 = 40;
/// The delay before a caller reopens a lost flow, in milliseconds.
const RECONNECT_DELAY_MS: u64 = 50;
const UPLOAD_BYTES: usize = 8_000;

/// The load of the callers in a process.
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

type SharedStats = Rc<RefCell<CallerStats>>;

/// Runs all callers until they finish and returns their statistics.
pub(crate) async fn run(plan: &CallersPlan) -> Result<CallerStats> {
    let stats = SharedStats::default();
    let mut tasks = Vec::new();
    for index in 0..plan.feeds {
        let (plan, stats) = (plan.clone(), stats.clone());
        tasks.push(compio::runtime::spawn(async move {
            run_feed(&plan, index, &stats).await
        }));
    }
    for index in 0..plan.clients {
        let (plan, stats) = (plan.clone(), stats.clone());
        tasks.push(compio::runtime::spawn(async move {
            run_client(&plan, index, &stats).await
        }));
    }
    for task in tasks {
        task.await.unwrap_or(Ok(()))?;
    }
    Ok(stats.take())
}

fn add_flow_counts(caller: &Caller, stats: &SharedStats) {
    let (flows, broken) = caller.flow_counts();
    let mut stats = stats.borrow_mut();
    stats.flows += flows;
    stats.flows_broken += broken;
}

/// Reads one feed for the whole run and checks all of its events.
async fn run_feed(plan: &CallersPlan, index: u64, stats: &SharedStats) -> Result<()> {
    let period_ms = plan.feed_period_ms.max(1);
    let id = format!("{}-feed-{index}", plan.prefix);
    let events = plan.seconds * 1_000 / period_ms;
    let mut caller = Caller::new(plan.address).await?;
    stats.borrow_mut().requests += 1;
    let mut text = Vec::new();
    let path = format!("/feed/{id}/{events}/{period_ms}");
    let result = caller
        .read_feed(&path, |chunk| text.extend_from_slice(chunk))
        .await;
    caller.drop_flow();
    let event = |sequence| format!("data: {} {id} {sequence}\n\n", plan.service);
    let expected: String = (0..events).map(event).collect();
    let is_complete = result.is_ok() && text == expected.as_bytes();
    let mut counts = stats.borrow_mut();
    counts.answered += u64::from(is_complete);
    counts.feeds_broken += u64::from(!is_complete);
    drop(counts);
    add_flow_counts(&caller, stats);
    Ok(())
}

/// A request that a client sends and retries until it has the final response.
struct ClientRequest {
    method: Method,
    kind: &'static str,
    id: String,
    body: Bytes,
}

impl ClientRequest {
    fn random(id: String) -> ClientRequest {
        let mut random = rand::rng();
        let (method, kind, bytes) = match random.random_range(0..10) {
            0..=5 => (Method::GET, "status", 0),
            6..=8 => (Method::POST, "claim", 16),
            _ => (Method::PUT, "upload", UPLOAD_BYTES),
        };
        let mut body = vec![0; bytes];
        random.fill(body.as_mut_slice());
        ClientRequest {
            method,
            kind,
            id,
            body: body.into(),
        }
    }

    fn path(&self) -> String {
        format!("/{}/{}", self.kind, self.id)
    }

    /// Returns the body of a correct response.
    fn expected_body(&self, service: &str) -> String {
        let (bytes, hash) = (self.body.len(), bytes_hash(&self.body));
        format!("{service} {} {} {bytes} {hash:016x}\n", self.kind, self.id)
    }
}

/// Sends one request after another until the run ends.
async fn run_client(plan: &CallersPlan, index: u64, stats: &SharedStats) -> Result<()> {
    let mut caller = Caller::new(plan.address).await?;
    let end = Instant::now() + Duration::from_secs(plan.seconds);
    let mut number = 0;
    while Instant::now() < end {
        let request = ClientRequest::random(format!("{}-{index}-{number}", plan.prefix));
        number += 1;
        send_with_retries(plan, &mut caller, &request, stats).await;
        let think_ms = rand::rng().random_range(0..=plan.think_ms * 2);
        compio::time::sleep(Duration::from_millis(think_ms)).await;
    }
    caller.drop_flow();
    add_flow_counts(&caller, stats);
    Ok(())
}

async fn send_with_retries(
    plan: &CallersPlan,
    caller: &mut Caller,
    request: &ClientRequest,
    stats: &SharedStats,
) {
    stats.borrow_mut().requests += 1;
    let started = Instant::now();
    let mut ticket: Option<String> = None;
    for _ in 0..MAX_ATTEMPTS {
        let reply = caller
            .call(
                &request.method,
                &request.path(),
                ticket.as_deref(),
                &request.body,
            )
            .await;
        let Ok(reply) = reply else {
            compio::time::sleep(Duration::from_millis(RECONNECT_DELAY_MS)).await;
            continue;
        };
        match reply.result_code() {
            Some(Code::Answered) => {
                let latency_us = started.elapsed().as_micros() as u64;
                count_response(plan, request, &reply, latency_us, stats);
                return;
            }
            Some(Code::InProgress) => wait_to_retry(&reply).await,
            Some(code) if code.is_not_run() => {
                ticket = reply.ticket.clone();
                if code != Code::TicketNeeded {
                    stats.borrow_mut().refused += 1;
                    wait_to_retry(&reply).await;
                }
            }
            _ => {
                stats.borrow_mut().unknown += 1;
                return;
            }
        }
    }
}

/// Waits for the time that the reply asks for, plus a random jitter.
async fn wait_to_retry(reply: &Reply) {
    let jitter_ms = rand::rng().random_range(0..=100);
    compio::time::sleep(Duration::from_millis(reply.retry_after_ms + jitter_ms)).await;
}

fn count_response(
    plan: &CallersPlan,
    request: &ClientRequest,
    reply: &Reply,
    latency_us: u64,
    stats: &SharedStats,
) {
    let mut stats = stats.borrow_mut();
    let is_correct = reply.status == 200 && reply.body == request.expected_body(&plan.service);
    stats.answered += u64::from(is_correct);
    stats.wrong += u64::from(!is_correct);
    stats.latencies_us.push(latency_us);
    if request.kind == "claim" && is_correct {
        stats.claims.push(request.id.clone());
    }
}
