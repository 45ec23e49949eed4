//! The handlers for calls of peers: an offer reserves a slot, and a request with the ticket of the
//! offer runs in it.

use std::rc::Rc;

use http::Method;

use crate::code::Code;
use crate::config::sealed_id::SealedBytes;
use crate::config::service_id::ServiceId;
use crate::controllers::node_server::{NodeHooks, refused_answer};
use crate::decisions::ledger::BeginOutcome;
use crate::decisions::slot_queue::SlotGuard;
use crate::decisions::slots::{MIN_RETRY_AFTER_MS, Refusal};
use crate::links::peer_client::OfferReply;
use crate::links::peer_request::{PeerAnswer, PeerRequest};
use crate::quic::agent::Agent;
use crate::quic::answer::{Answer, AnswerBody};
use crate::quic::at_most_once::{self, LedgerEntry};
use crate::quic::caller_body::whole_body;
use crate::quic::load_exchange;
use crate::quic::local_request::{self, LocalRequest};
use crate::quic::request_spec;
use crate::quic::reservation::Reservation;
use crate::quic::target::Target;

/// The time for which a slot is reserved for an accepted offer, in milliseconds.
const OFFER_HOLD_MS: u64 = 1_000;

/// Returns the handlers of an agent for calls on control links.
pub(crate) fn hooks(agent: &Rc<Agent>) -> NodeHooks {
    let (load_agent, offer_agent) = (agent.clone(), agent.clone());
    let (run_agent, cancel_agent, state_agent) = (agent.clone(), agent.clone(), agent.clone());
    NodeHooks {
        exchange_load: Box::new(move |service, received_reports| {
            load_exchange::answer(&load_agent, service, received_reports)
        }),
        offer: Box::new(move |service, timeout_ms| offer(&offer_agent, service, timeout_ms)),
        run: Box::new(move |ticket, request| {
            let agent = run_agent.clone();
            Box::pin(async move { run(&agent, ticket, request).await })
        }),
        cancel: Box::new(move |ticket| cancel(&cancel_agent, &ticket)),
        state: Box::new(move || state_agent.state()),
    }
}

fn offer(agent: &Agent, service: ServiceId, timeout_ms: u32) -> OfferReply {
    let Some(target) = agent.target(service) else {
        return refuse(Code::NoTarget, MIN_RETRY_AFTER_MS);
    };
    if target.share_permille() == 0 {
        return refuse(Code::Draining, MIN_RETRY_AFTER_MS);
    }
    let now_ms = agent.control.now_ms();
    let Some(slot) = target.slots.try_acquire(now_ms + u64::from(timeout_ms)) else {
        return refuse(Code::Overloaded, target.slots.retry_after_ms());
    };
    let Some(ticket) = agent.issue_ticket(&target) else {
        return refuse(Code::NoTarget, MIN_RETRY_AFTER_MS);
    };
    target.reservations.borrow_mut().push(Reservation {
        ticket,
        slot,
        expires_ms: now_ms + OFFER_HOLD_MS,
    });
    OfferReply::Accepted(ticket)
}

fn refuse(code: Code, retry_after_ms: u32) -> OfferReply {
    OfferReply::Refused(Refusal {
        code,
        retry_after_ms,
    })
}

fn take_reservation(target: &Target, ticket: &SealedBytes) -> Option<SlotGuard> {
    let mut reservations = target.reservations.borrow_mut();
    let index = reservations
        .iter()
        .position(|reservation| reservation.ticket == *ticket)?;
    Some(reservations.swap_remove(index).slot)
}

async fn run(agent: &Rc<Agent>, ticket: SealedBytes, request: PeerRequest) -> PeerAnswer {
    let Some(target) = agent.target(request.service) else {
        return refused_answer(Code::IncarnationGone, 0);
    };
    let Some(id) = agent.open_ticket(request.service, &ticket) else {
        return refused_answer(Code::BadRequest, 0);
    };
    if !agent.is_issued_here(&id) {
        return refused_answer(Code::IncarnationGone, 0);
    }
    let digest = request_spec::digest(&request.method, &request.path, &request.headers);
    let begin = target.ledger.borrow_mut().begin(id.nonce, digest);
    let answer = match begin {
        BeginOutcome::Run => run_new(agent, &target, id.nonce, &ticket, request).await,
        BeginOutcome::Reject(code) => Answer::refusal(code, target.slots.retry_after_ms()),
        BeginOutcome::Answered(kept) => at_most_once::kept_answer(kept),
    };
    into_peer_answer(answer)
}

/// Runs a request that the ledger has just recorded as begun, in its reserved slot if that is still
/// held.
async fn run_new(
    agent: &Agent,
    target: &Rc<Target>,
    counter: u32,
    ticket: &SealedBytes,
    request: PeerRequest,
) -> Answer {
    let entry = LedgerEntry::new(target, counter);
    let deadline_ms = agent.control.now_ms() + u64::from(request.timeout_ms);
    let slot = match take_reservation(target, ticket) {
        Some(slot) => Ok(slot),
        None => target.slots.acquire(deadline_ms).await,
    };
    let slot = match slot {
        Ok(slot) => slot,
        Err(refusal) => return entry.conclude_refused(refusal),
    };
    let Ok(method) = Method::from_bytes(request.method.as_bytes()) else {
        return entry.conclude_refused(Refusal {
            code: Code::BadRequest,
            retry_after_ms: 0,
        });
    };
    let local = LocalRequest {
        target: target.clone(),
        method,
        path: request.path,
        headers: request.headers,
        body: whole_body(request.body),
        deadline_ms,
    };
    let outcome = local_request::run(local, slot, agent.control.clock).await;
    entry.conclude(outcome)
}

fn cancel(agent: &Agent, ticket: &SealedBytes) {
    for target in agent.targets.borrow().iter() {
        drop(take_reservation(target, ticket));
    }
}

fn into_peer_answer(answer: Answer) -> PeerAnswer {
    let body = match answer.body {
        AnswerBody::Whole(body) => body,
        AnswerBody::Stream(_) => bytes::Bytes::new(),
    };
    PeerAnswer {
        code: answer.code,
        status: answer.status,
        headers: answer.headers,
        body,
        retry_after_ms: answer.retry_after_ms,
    }
}
