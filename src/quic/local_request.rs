//! Runs requests at this host's backend server.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, Method, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::code::Code;
use crate::decisions::slot_queue::SlotGuard;
use crate::decisions::slots::Refusal;
use crate::process::clock::Clock;
use crate::quic::backend::{self, BackendFailure, BackendRequest, RequestBody};
use crate::quic::target::Target;

/// The size of the largest answer that is read whole, in bytes.
pub(crate) const MAX_WHOLE_ANSWER_BYTES: usize = 8 << 20;

/// A request to run at this host's backend server once it holds a slot.
pub(crate) struct LocalRequest {
    pub(crate) target: Rc<Target>,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: RequestBody,
    pub(crate) deadline_ms: u64,
}

/// An answer that has been read whole.
#[derive(Debug, Clone)]
pub(crate) struct WholeAnswer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The outcome of a request.
#[derive(Debug)]
pub(crate) enum RunOutcome {
    /// The request was not sent to the backend server, or the server shed it.
    NotRun(Refusal),
    /// The request was sent, but no complete answer was received.
    Unknown(Code),
    /// The request ran and was answered.
    Answered(WholeAnswer),
}

/// Runs the request and reads its whole answer. The deadline is checked right before the request is
/// sent.
pub(crate) async fn run(request: LocalRequest, mut slot: SlotGuard, clock: Clock) -> RunOutcome {
    let target = request.target.clone();
    match send_to_backend(request, &mut slot, clock).await {
        Err(outcome) => outcome,
        Ok(response) => read_answer(&target, response).await,
    }
}

/// Sends the request to the backend server and returns the head of the answer.
pub(crate) async fn send_to_backend(
    request: LocalRequest,
    slot: &mut SlotGuard,
    clock: Clock,
) -> Result<Response<Incoming>, RunOutcome> {
    let target = &request.target;
    let remaining_ms = request.deadline_ms.saturating_sub(clock.now_ms());
    if remaining_ms == 0 {
        return Err(not_run(target, Code::Deadline));
    }
    slot.set_running();
    let response = backend::send(
        target.backend.get(),
        BackendRequest {
            method: &request.method,
            path: &request.path,
            headers: &request.headers,
            body: request.body,
            remaining_ms: Some(remaining_ms),
        },
    );
    match response.await {
        Ok(response) if backend::is_shed(&response) => Err(not_run(target, Code::BackendShed)),
        Ok(response) => {
            let succeeded = !response.status().is_server_error();
            target.health.borrow_mut().record_outcome(succeeded);
            Ok(response)
        }
        Err(BackendFailure::NotSent) => {
            target.health.borrow_mut().record_outcome(false);
            Err(not_run(target, Code::BackendUnreachable))
        }
        Err(BackendFailure::Lost) => {
            target.health.borrow_mut().record_outcome(false);
            Err(RunOutcome::Unknown(Code::OutcomeUnknown))
        }
    }
}

fn not_run(target: &Target, code: Code) -> RunOutcome {
    RunOutcome::NotRun(Refusal {
        code,
        retry_after_ms: target.slots.retry_after_ms(),
    })
}

async fn read_answer(target: &Target, response: Response<Incoming>) -> RunOutcome {
    let (parts, body) = response.into_parts();
    match Limited::new(body, MAX_WHOLE_ANSWER_BYTES).collect().await {
        Ok(body) => RunOutcome::Answered(WholeAnswer {
            status: parts.status.as_u16(),
            headers: backend::forwarded_headers(&parts.headers),
            body: body.to_bytes(),
        }),
        Err(_) => {
            target.health.borrow_mut().record_outcome(false);
            RunOutcome::Unknown(Code::OutcomeUnknown)
        }
    }
}
