//! Requests that may not be repeated: bound by their ticket to the incarnation that may run them.

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
use crate::quic::local_run::{self, LocalRequest, Outcome, WholeAnswer};
use crate::quic::move_request::{self, Moved};
use crate::quic::repeatable::{self, Place};
use crate::quic::request_context::{RequestContext, ticket_for};
use crate::quic::target::Target;

/// Answers a request with a ticket, here or at the incarnation that the ticket names.
pub(crate) async fn answer(
    context: &RequestContext<'_>,
    ticket: SealedBytes,
    body: CallerBody,
) -> Answer {
    match context.agent.open_ticket(context.target.service, &ticket) {
        None => Answer::refusal(Code::BadRequest, 0).with_ticket(ticket_for(context)),
        Some(id) if context.agent.is_own(&id) => run_here(context, id.nonce, body).await,
        Some(id) if id.host == context.target.host => Answer::refusal(Code::IncarnationGone, 0),
        Some(id) => run_there(context, &id, &ticket, body).await,
    }
}

async fn run_there(
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
    let request = move_request::peer_request(context, whole);
    match context
        .agent
        .control
        .peers
        .run(id.host, ticket, &request)
        .await
    {
        Ok(answer) => move_request::peer_answer(answer).with_ticket(ticket_for(context)),
        Err(_) => Answer::refusal(Code::IncarnationGone, 0),
    }
}

async fn run_here(context: &RequestContext<'_>, counter: u32, body: CallerBody) -> Answer {
    let begin = context
        .target
        .ledger
        .borrow_mut()
        .begin(counter, context.spec.digest);
    match begin {
        BeginOutcome::Run => begin_run(context, counter, body).await,
        BeginOutcome::Answered(kept) => kept_answer(kept),
        BeginOutcome::Reject(code) => stopped(context, code),
    }
}

fn stopped(context: &RequestContext<'_>, code: Code) -> Answer {
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

async fn begin_run(context: &RequestContext<'_>, counter: u32, body: CallerBody) -> Answer {
    let entry = LedgerEntry::new(context.target, counter);
    let whole = body.whole().cloned();
    let place = repeatable::place(context);
    if let Some(whole) = whole.as_ref().filter(|_| place != Place::Here) {
        match move_request::run_at_peer(context, whole).await {
            Moved::Answered(answer) => return entry.conclude_moved(answer),
            Moved::Unknown => return entry.lose(Code::OutcomeUnknown),
            Moved::NotRun => {}
        }
    }
    if place == Place::PeerOnly {
        return entry
            .refuse(repeatable::no_peer())
            .with_ticket(ticket_for(context));
    }
    let slot = match context.target.slots.acquire(context.deadline_ms).await {
        Ok(slot) => slot,
        Err(refusal) => return entry.refuse(refusal).with_ticket(ticket_for(context)),
    };
    let request = context.local_request(body);
    let answer = run_detached(context.agent, request, slot, entry);
    match compio::time::timeout(Duration::from_millis(context.left_ms()), answer).await {
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

/// Runs the request in a task of its own, so that the ledger learns the outcome even if the caller
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
        let outcome = local_run::run(request, slot, clock).await;
        // The caller may have gone; the ledger keeps the outcome for its next try.
        let _ = sender.send(entry.conclude(outcome));
    })
    .detach();
    receiver.await.ok()
}

/// A ledger entry that is running; a task that is dropped on the way leaves the outcome unknown.
pub(crate) struct LedgerEntry {
    target: Rc<Target>,
    counter: u32,
    concluded: bool,
}

impl LedgerEntry {
    pub(crate) fn new(target: &Rc<Target>, counter: u32) -> Self {
        Self {
            target: target.clone(),
            counter,
            concluded: false,
        }
    }

    pub(crate) fn refuse(mut self, refusal: Refusal) -> Answer {
        self.concluded = true;
        self.target.ledger.borrow_mut().record_refusal(self.counter);
        refusal.into()
    }

    pub(crate) fn lose(mut self, code: Code) -> Answer {
        self.concluded = true;
        self.target
            .ledger
            .borrow_mut()
            .record_unknown_outcome(self.counter, code);
        Answer::refusal(code, 0)
    }

    pub(crate) fn conclude(self, outcome: Outcome) -> Answer {
        match outcome {
            Outcome::NotRun(refusal) => self.refuse(refusal),
            Outcome::Unknown(code) => self.lose(code),
            Outcome::Answered(answer) => self.finish(answer),
        }
    }

    fn finish(mut self, answer: WholeAnswer) -> Answer {
        self.concluded = true;
        let kept = KeptAnswer {
            status: answer.status,
            content_type: content_type(&answer.headers),
            body: answer.body.clone(),
        };
        self.target
            .ledger
            .borrow_mut()
            .record_answer(self.counter, Some(kept));
        move_request::whole_answer(answer)
    }

    fn conclude_moved(self, answer: Answer) -> Answer {
        match (answer.code, &answer.body) {
            (Code::Answered, AnswerBody::Whole(body)) => {
                let whole = WholeAnswer {
                    status: answer.status,
                    headers: answer.headers.clone(),
                    body: body.clone(),
                };
                self.finish(whole)
            }
            (code, _) => self.lose(code),
        }
    }
}

impl Drop for LedgerEntry {
    fn drop(&mut self) {
        if !self.concluded {
            let mut ledger = self.target.ledger.borrow_mut();
            ledger.record_unknown_outcome(self.counter, Code::OutcomeUnknown);
        }
    }
}

fn content_type(headers: &http::HeaderMap) -> Option<String> {
    let value = headers.get(http::header::CONTENT_TYPE)?;
    value.to_str().ok().map(str::to_owned)
}

pub(crate) fn kept_answer(kept: KeptAnswer) -> Answer {
    let mut headers = http::HeaderMap::new();
    let content_type = kept.content_type.and_then(|value| value.parse().ok());
    if let Some(content_type) = content_type {
        headers.insert(http::header::CONTENT_TYPE, content_type);
    }
    move_request::whole_answer(WholeAnswer {
        status: kept.status,
        headers,
        body: kept.body,
    })
}
