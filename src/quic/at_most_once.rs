//! Requests that may not be repeated. A ticket binds such a request to one incarnation of an agent,
//! whose ledger ensures that it runs at most once.

use std::rc::Rc;
use std::time::Duration;

use futures_channel::oneshot;

use crate::code::Code;
use crate::config::sealed_id::{SealedBytes, SealedId};
use crate::decisions::ledger::{BeginOutcome, KeptAnswer};
use crate::decisions::slot_queue::SlotGuard;
use crate::decisions::slots::Refusal;
use crate::links::peer_request::MAX_MOVED_BODY_BYTES;
use crate::quic::agent::Agent;
use crate::quic::answer::{Answer, AnswerBody};
use crate::quic::caller_body::CallerBody;
use crate::quic::local_request::{self, LocalRequest, RunOutcome, WholeAnswer};
use crate::quic::moved_request::{self, PeerRunOutcome};
use crate::quic::repeatable::{self, RunLocation};
use crate::quic::request_context::{RequestContext, ticket_for};
use crate::quic::target::Target;

/// Answers a request with a ticket, locally or at the incarnation that issued the ticket.
pub(crate) async fn answer(
    context: &RequestContext<'_>,
    ticket: SealedBytes,
    body: CallerBody,
) -> Answer {
    match context.agent.open_ticket(context.target.service, &ticket) {
        None => Answer::refusal(Code::BadRequest, 0).with_ticket(ticket_for(context)),
        Some(id) if context.agent.is_issued_here(&id) => run_locally(context, id.nonce, body).await,
        Some(id) if id.host == context.target.host => Answer::refusal(Code::IncarnationGone, 0),
        Some(id) => run_at_issuer(context, &id, &ticket, body).await,
    }
}

/// Forwards a request to the incarnation that issued its ticket.
async fn run_at_issuer(
    context: &RequestContext<'_>,
    id: &SealedId,
    ticket: &SealedBytes,
    body: CallerBody,
) -> Answer {
    let whole = body
        .whole()
        .filter(|body| body.len() <= MAX_MOVED_BODY_BYTES);
    let Some(whole) = whole else {
        return Answer::refusal(Code::OutcomeUnknown, 0);
    };
    let request = moved_request::peer_request(context, whole);
    match context
        .agent
        .control
        .peers
        .run(id.host, ticket, &request)
        .await
    {
        Ok(answer) => moved_request::peer_answer(answer).with_ticket(ticket_for(context)),
        Err(_) => Answer::refusal(Code::IncarnationGone, 0),
    }
}

/// Runs a request whose ticket this incarnation issued, unless the ledger holds an entry of an
/// earlier attempt or rejects the ticket.
async fn run_locally(context: &RequestContext<'_>, counter: u32, body: CallerBody) -> Answer {
    let begin = context
        .target
        .ledger
        .borrow_mut()
        .begin(counter, context.spec.digest);
    match begin {
        BeginOutcome::Run => run_new(context, counter, body).await,
        BeginOutcome::Answered(kept) => kept_answer(kept),
        BeginOutcome::Reject(code) => rejected_answer(context, code),
    }
}

fn rejected_answer(context: &RequestContext<'_>, code: Code) -> Answer {
    let retry_after_ms = match code {
        Code::InProgress => context.target.slots.retry_after_ms(),
        _ => 0,
    };
    let ticket = if code.is_not_run() {
        ticket_for(context)
    } else {
        None
    };
    Answer::refusal(code, retry_after_ms).with_ticket(ticket)
}

/// Runs a request that the ledger has just recorded as begun, at a peer or locally.
async fn run_new(context: &RequestContext<'_>, counter: u32, body: CallerBody) -> Answer {
    let entry = LedgerEntry::new(context.target, counter);
    let whole = body.whole().cloned();
    let location = repeatable::choose_location(context);
    if let Some(whole) = whole.as_ref().filter(|_| location != RunLocation::Local) {
        match moved_request::run_at_peer(context, whole).await {
            PeerRunOutcome::Answered(answer) => return entry.conclude_peer_answer(answer),
            PeerRunOutcome::Unknown => return entry.conclude_unknown(Code::OutcomeUnknown),
            PeerRunOutcome::NotRun => {}
        }
    }
    if location == RunLocation::PeerOnly {
        return entry
            .conclude_refused(repeatable::no_peer_refusal())
            .with_ticket(ticket_for(context));
    }
    let slot = match context.target.slots.acquire(context.deadline_ms).await {
        Ok(slot) => slot,
        Err(refusal) => {
            return entry
                .conclude_refused(refusal)
                .with_ticket(ticket_for(context));
        }
    };
    let request = context.local_request(body);
    let answer = run_detached(context.agent, request, slot, entry);
    match compio::time::timeout(Duration::from_millis(context.remaining_ms()), answer).await {
        Ok(Some(answer)) => {
            let ticket = if answer.code.is_not_run() {
                ticket_for(context)
            } else {
                None
            };
            answer.with_ticket(ticket)
        }
        Ok(None) => Answer::refusal(Code::OutcomeUnknown, 0),
        Err(_) => Answer::refusal(Code::DeadlinePassed, 0),
    }
}

/// Runs the request in a separate task, so that the ledger records the outcome even if the caller
/// leaves or its deadline passes.
async fn run_detached(
    agent: &Agent,
    request: LocalRequest,
    slot: SlotGuard,
    entry: LedgerEntry,
) -> Option<Answer> {
    let (sender, receiver) = oneshot::channel();
    let clock = agent.control.clock;
    compio::runtime::spawn(async move {
        let outcome = local_request::run(request, slot, clock).await;
        // If the caller has left, the ledger keeps the outcome for its next attempt.
        let _ = sender.send(entry.conclude(outcome));
    })
    .detach();
    receiver.await.ok()
}

/// The ledger entry of a running request. If it is dropped before the request has concluded, the
/// outcome is recorded as unknown.
pub(crate) struct LedgerEntry {
    target: Rc<Target>,
    counter: u32,
    is_concluded: bool,
}

impl LedgerEntry {
    pub(crate) fn new(target: &Rc<Target>, counter: u32) -> Self {
        Self {
            target: target.clone(),
            counter,
            is_concluded: false,
        }
    }

    pub(crate) fn conclude_refused(mut self, refusal: Refusal) -> Answer {
        self.is_concluded = true;
        self.target.ledger.borrow_mut().record_refusal(self.counter);
        refusal.into()
    }

    pub(crate) fn conclude_unknown(mut self, code: Code) -> Answer {
        self.is_concluded = true;
        self.target
            .ledger
            .borrow_mut()
            .record_unknown_outcome(self.counter, code);
        Answer::refusal(code, 0)
    }

    /// Records the outcome in the ledger and returns the answer to the caller.
    pub(crate) fn conclude(self, outcome: RunOutcome) -> Answer {
        match outcome {
            RunOutcome::NotRun(refusal) => self.conclude_refused(refusal),
            RunOutcome::Unknown(code) => self.conclude_unknown(code),
            RunOutcome::Answered(answer) => self.conclude_answered(answer),
        }
    }

    fn conclude_answered(mut self, answer: WholeAnswer) -> Answer {
        self.is_concluded = true;
        let kept = KeptAnswer {
            status: answer.status,
            content_type: content_type(&answer.headers),
            body: answer.body.clone(),
        };
        self.target
            .ledger
            .borrow_mut()
            .record_answer(self.counter, Some(kept));
        moved_request::whole_answer(answer)
    }

    fn conclude_peer_answer(self, answer: Answer) -> Answer {
        match (answer.code, &answer.body) {
            (Code::Answered, AnswerBody::Whole(body)) => {
                let whole = WholeAnswer {
                    status: answer.status,
                    headers: answer.headers.clone(),
                    body: body.clone(),
                };
                self.conclude_answered(whole)
            }
            (code, _) => self.conclude_unknown(code),
        }
    }
}

impl Drop for LedgerEntry {
    fn drop(&mut self) {
        if !self.is_concluded {
            let mut ledger = self.target.ledger.borrow_mut();
            ledger.record_unknown_outcome(self.counter, Code::OutcomeUnknown);
        }
    }
}

fn content_type(headers: &http::HeaderMap) -> Option<String> {
    let value = headers.get(http::header::CONTENT_TYPE)?;
    value.to_str().ok().map(str::to_owned)
}

/// Returns the answer that the ledger kept of an earlier attempt.
pub(crate) fn kept_answer(kept: KeptAnswer) -> Answer {
    let mut headers = http::HeaderMap::new();
    let content_type = kept.content_type.and_then(|value| value.parse().ok());
    if let Some(content_type) = content_type {
        headers.insert(http::header::CONTENT_TYPE, content_type);
    }
    moved_request::whole_answer(WholeAnswer {
        status: kept.status,
        headers,
        body: kept.body,
    })
}
