//! What an agent does for its peers: holds a slot for an offer, runs what comes with its ticket.

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
use crate::quic::caller_body::whole_body;
use crate::quic::load_exchange;
use crate::quic::local_run::{self, LocalRequest};
use crate::quic::request_spec;
use crate::quic::reservation::Reservation;
use crate::quic::run_once::{self, LedgerEntry};
use crate::quic::target::Target;

/// How long a slot is held for an accepted offer, in milliseconds.
const OFFER_HOLD_MS: u64 = 1_000;

/// Returns what an agent answers on control links.
pub(crate) fn hooks(agent: &Rc<Agent>) -> NodeHooks {
    let (loads, offers) = (agent.clone(), agent.clone());
    let (runs, cancels, states) = (agent.clone(), agent.clone(), agent.clone());
    NodeHooks {
        exchange_load: Box::new(move |service, theirs| {
            load_exchange::answer(&loads, service, theirs)
        }),
        offer: Box::new(move |service, timeout_ms| offer(&offers, service, timeout_ms)),
        run: Box::new(move |ticket, request| {
            let agent = runs.clone();
            Box::pin(async move { run(&agent, ticket, request).await })
        }),
        cancel: Box::new(move |ticket| cancel(&cancels, &ticket)),
        state: Box::new(move || states.state()),
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
    let held = reservations
        .iter()
        .position(|held| held.ticket == *ticket)?;
    Some(reservations.swap_remove(held).slot)
}

async fn run(agent: &Rc<Agent>, ticket: SealedBytes, request: PeerRequest) -> PeerAnswer {
    let Some(target) = agent.target(request.service) else {
        return refused_answer(Code::IncarnationGone, 0);
    };
    let Some(id) = agent.open_ticket(request.service, &ticket) else {
        return refused_answer(Code::BadRequest, 0);
    };
    if !agent.is_own(&id) {
        return refused_answer(Code::IncarnationGone, 0);
    }
    let digest = request_spec::digest(&request.method, &request.path, &request.headers);
    let begin = target.ledger.borrow_mut().begin(id.nonce, digest);
    let answer = match begin {
        BeginOutcome::Run => run_begun(agent, &target, id.nonce, &ticket, request).await,
        BeginOutcome::Reject(code) => Answer::refusal(code, target.slots.retry_after_ms()),
        BeginOutcome::Answered(kept) => run_once::kept_answer(kept),
    };
    into_peer_answer(answer)
}

async fn run_begun(
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
        Err(refusal) => return entry.refuse(refusal),
    };
    let Ok(method) = Method::from_bytes(request.method.as_bytes()) else {
        return entry.refuse(Refusal {
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
    let outcome = local_run::run(local, slot, agent.control.clock).await;
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
