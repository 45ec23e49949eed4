//! Requests that may run more than once, which are retried at a peer within the retry budget, and
//! feeds.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use hyper::body::Incoming;

use crate::code::Code;
use crate::decisions::slot_queue::SlotGuard;
use crate::decisions::slots::Refusal;
use crate::quic::answer::{Answer, AnswerBody};
use crate::quic::backend::{self, BackendFailure, BackendRequest};
use crate::quic::caller_body::{CallerBody, whole_body};
use crate::quic::health::PROBE_INTERVAL_MS;
use crate::quic::local_request::{self, RunOutcome};
use crate::quic::moved_request::{self, PeerRunOutcome};
use crate::quic::request_context::RequestContext;

/// Answers a request that may be repeated.
pub(crate) async fn answer(context: &RequestContext<'_>, body: CallerBody) -> Answer {
    context.target.retry_budget.borrow_mut().deposit();
    let whole = body.whole().cloned();
    let location = choose_location(context);
    if location != RunLocation::Local
        && let Some(answer) = try_run_at_peer(context, whole.as_ref()).await
    {
        return answer;
    }
    if location == RunLocation::PeerOnly {
        return no_peer_refusal().into();
    }
    let slot = match context.target.slots.acquire(context.deadline_ms).await {
        Ok(slot) => slot,
        Err(refusal) => return refusal.into(),
    };
    match run_locally(context, body, slot).await {
        Ok(answer) => answer,
        Err(outcome) => retry_at_peer(context, outcome, whole.as_ref()).await,
    }
}

/// The place where a request is tried first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunLocation {
    /// At this host's backend server.
    Local,
    /// At a peer, or else at this host: no slot is free here, or the request was selected to be
    /// moved.
    PeerFirst,
    /// Only at a peer: this host's backend server is failing, and no probe of it is due.
    PeerOnly,
}

/// Chooses the place where a request is tried first.
pub(crate) fn choose_location(context: &RequestContext<'_>) -> RunLocation {
    let mut health = context.target.health.borrow_mut();
    if health.is_failing() && !health.try_start_probe(context.agent.control.now_ms()) {
        return RunLocation::PeerOnly;
    }
    let should_move = context
        .target
        .moved_fraction
        .borrow()
        .should_move(&mut rand::rng());
    if context.target.slots.has_free_slot() && !should_move {
        return RunLocation::Local;
    }
    RunLocation::PeerFirst
}

/// Returns the refusal of a request that only a peer was allowed to run.
pub(crate) fn no_peer_refusal() -> Refusal {
    Refusal {
        code: Code::NoTarget,
        retry_after_ms: PROBE_INTERVAL_MS as u32,
    }
}

async fn try_run_at_peer(context: &RequestContext<'_>, whole: Option<&Bytes>) -> Option<Answer> {
    match moved_request::run_at_peer(context, whole?).await {
        PeerRunOutcome::Answered(answer) => Some(answer),
        PeerRunOutcome::NotRun | PeerRunOutcome::Unknown => None,
    }
}

async fn run_locally(
    context: &RequestContext<'_>,
    body: CallerBody,
    mut slot: SlotGuard,
) -> Result<Answer, RunOutcome> {
    let request = context.local_request(body);
    let remaining = Duration::from_millis(context.remaining_ms());
    let response = local_request::send_to_backend(request, &mut slot, context.agent.control.clock);
    match compio::time::timeout(remaining, response).await {
        Ok(Ok(response)) => Ok(streamed_answer(response, Some(slot))),
        Ok(Err(outcome)) => Err(outcome),
        Err(_) => Ok(Answer::refusal(
            Code::DeadlinePassed,
            context.target.slots.retry_after_ms(),
        )),
    }
}

/// Retries a failed request at a peer if the retry budget allows it.
async fn retry_at_peer(
    context: &RequestContext<'_>,
    outcome: RunOutcome,
    whole: Option<&Bytes>,
) -> Answer {
    if context.target.retry_budget.borrow_mut().try_withdraw()
        && let Some(answer) = try_run_at_peer(context, whole).await
    {
        return answer;
    }
    match outcome {
        RunOutcome::NotRun(refusal) => refusal.into(),
        RunOutcome::Unknown(code) => Answer::refusal(code, context.target.slots.retry_after_ms()),
        RunOutcome::Answered(answer) => moved_request::whole_answer(answer),
    }
}

/// Answers a feed, which holds no slot and stays open until its backend server or caller closes it.
pub(crate) async fn answer_feed(context: &RequestContext<'_>, body: CallerBody) -> Answer {
    let whole = body.whole().cloned().unwrap_or_default();
    let request = BackendRequest {
        method: &context.head.method,
        path: context.path,
        headers: &context.head.headers,
        body: whole_body(whole),
        remaining_ms: None,
    };
    match backend::send(context.target.backend.get(), request).await {
        Ok(response) => streamed_answer(response, None),
        Err(failure) => {
            context.target.health.borrow_mut().record_outcome(false);
            let code = match failure {
                BackendFailure::NotSent => Code::BackendUnreachable,
                BackendFailure::Lost => Code::OutcomeUnknown,
            };
            Answer::refusal(code, context.target.slots.retry_after_ms())
        }
    }
}

fn streamed_answer(response: Response<Incoming>, slot: Option<SlotGuard>) -> Answer {
    let (parts, body) = response.into_parts();
    Answer {
        code: Code::Answered,
        status: parts.status.as_u16(),
        headers: backend::forwarded_headers(&parts.headers),
        body: AnswerBody::Stream(body),
        retry_after_ms: 0,
        ticket: None,
        slot,
    }
}
