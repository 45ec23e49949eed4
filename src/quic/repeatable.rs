//! Requests that may run more than once: retried elsewhere within a budget, and feeds.

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
use crate::quic::health::PROBE_MS;
use crate::quic::local_run::{self, Outcome};
use crate::quic::move_request::{self, Moved};
use crate::quic::request_context::RequestContext;

/// Answers a request that may be repeated.
pub(crate) async fn answer(context: &RequestContext<'_>, body: CallerBody) -> Answer {
    context.target.budget.borrow_mut().deposit();
    let whole = body.whole().cloned();
    let place = place(context);
    if place != Place::Here
        && let Some(answer) = try_move(context, whole.as_ref()).await
    {
        return answer;
    }
    if place == Place::PeerOnly {
        return no_peer().into();
    }
    let slot = match context.target.slots.acquire(context.deadline_ms).await {
        Ok(slot) => slot,
        Err(refusal) => return refusal.into(),
    };
    match run_here(context, body, slot).await {
        Ok(answer) => answer,
        Err(outcome) => after_failure(context, outcome, whole.as_ref()).await,
    }
}

/// Where a request should run first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Place {
    /// At this host's backend server.
    Here,
    /// At a peer, or else here: no slot is free, or peers have more free than their share.
    PeerFirst,
    /// At a peer only: the backend server fails, and this request is no probe.
    PeerOnly,
}

/// Chooses where a request should run first.
pub(crate) fn place(context: &RequestContext<'_>) -> Place {
    let mut health = context.target.health.borrow_mut();
    if health.is_failing() && !health.try_start_probe(context.agent.control.now_ms()) {
        return Place::PeerOnly;
    }
    let moves = context
        .target
        .moved_fraction
        .borrow()
        .should_move(&mut rand::rng());
    if context.target.slots.has_free() && !moves {
        return Place::Here;
    }
    Place::PeerFirst
}

/// Returns the refusal of a request that only a peer could have run.
pub(crate) fn no_peer() -> Refusal {
    Refusal {
        code: Code::NoTarget,
        retry_after_ms: PROBE_MS as u32,
    }
}

async fn try_move(context: &RequestContext<'_>, whole: Option<&Bytes>) -> Option<Answer> {
    match move_request::run_at_peer(context, whole?).await {
        Moved::Answered(answer) => Some(answer),
        Moved::NotRun | Moved::Unknown => None,
    }
}

async fn run_here(
    context: &RequestContext<'_>,
    body: CallerBody,
    mut slot: SlotGuard,
) -> Result<Answer, Outcome> {
    let request = context.local_request(body);
    let left = Duration::from_millis(context.left_ms());
    let handed = local_run::hand_over(request, &mut slot, context.agent.control.clock);
    match compio::time::timeout(left, handed).await {
        Ok(Ok(response)) => Ok(streamed(response, Some(slot))),
        Ok(Err(outcome)) => Err(outcome),
        Err(_) => Ok(Answer::refusal(
            Code::DeadlinePassed,
            context.target.slots.retry_after_ms(),
        )),
    }
}

/// Tries a peer once more, if the failures of late leave a retry in the budget.
async fn after_failure(
    context: &RequestContext<'_>,
    outcome: Outcome,
    whole: Option<&Bytes>,
) -> Answer {
    if context.target.budget.borrow_mut().try_withdraw()
        && let Some(answer) = try_move(context, whole).await
    {
        return answer;
    }
    match outcome {
        Outcome::NotRun(refusal) => refusal.into(),
        Outcome::Unknown(code) => Answer::refusal(code, context.target.slots.retry_after_ms()),
        Outcome::Answered(answer) => move_request::whole_answer(answer),
    }
}

/// Answers a feed: it holds no slot and ends when its backend server or its caller ends it.
pub(crate) async fn feed(context: &RequestContext<'_>, body: CallerBody) -> Answer {
    let whole = body.whole().cloned().unwrap_or_default();
    let request = BackendRequest {
        method: &context.head.method,
        path: context.path,
        headers: &context.head.headers,
        body: whole_body(whole),
        left_ms: None,
    };
    match backend::send(context.target.backend.get(), request).await {
        Ok(response) => streamed(response, None),
        Err(failure) => {
            context.target.health.borrow_mut().record_outcome(false);
            let code = match failure {
                BackendFailure::NotHandedOver => Code::BackendUnreachable,
                BackendFailure::Lost => Code::OutcomeUnknown,
            };
            Answer::refusal(code, context.target.slots.retry_after_ms())
        }
    }
}

fn streamed(response: Response<Incoming>, slot: Option<SlotGuard>) -> Answer {
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
