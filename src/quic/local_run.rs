//! Runs a request at this host's backend server and reads the whole answer.

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

/// The largest answer that is read whole, in bytes.
pub(crate) const MAX_WHOLE_ANSWER_BYTES: usize = 8 << 20;

/// A request that has a slot.
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

/// What became of the request.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The backend server never saw it, or said that it shed it.
    NotRun(Refusal),
    /// It was handed over, and nobody knows what became of it.
    Unknown(Code),
    /// It ran.
    Answered(WholeAnswer),
}

/// Runs the request; the deadline is checked right before it is handed over.
pub(crate) async fn run(request: LocalRequest, mut slot: SlotGuard, clock: Clock) -> Outcome {
    let target = request.target.clone();
    match hand_over(request, &mut slot, clock).await {
        Err(outcome) => outcome,
        Ok(response) => read_answer(&target, response).await,
    }
}

/// Hands the request over and returns the head of the answer.
pub(crate) async fn hand_over(
    request: LocalRequest,
    slot: &mut SlotGuard,
    clock: Clock,
) -> Result<Response<Incoming>, Outcome> {
    let target = &request.target;
    let left_ms = request.deadline_ms.saturating_sub(clock.now_ms());
    if left_ms == 0 {
        return Err(not_run(target, Code::Deadline));
    }
    slot.set_running();
    let sent = backend::send(
        target.backend.get(),
        BackendRequest {
            method: &request.method,
            path: &request.path,
            headers: &request.headers,
            body: request.body,
            left_ms: Some(left_ms),
        },
    );
    match sent.await {
        Ok(response) if backend::is_shed(&response) => Err(not_run(target, Code::BackendShed)),
        Ok(response) => {
            let succeeded = !response.status().is_server_error();
            target.health.borrow_mut().record_outcome(succeeded);
            Ok(response)
        }
        Err(BackendFailure::NotHandedOver) => {
            target.health.borrow_mut().record_outcome(false);
            Err(not_run(target, Code::BackendUnreachable))
        }
        Err(BackendFailure::Lost) => {
            target.health.borrow_mut().record_outcome(false);
            Err(Outcome::Unknown(Code::OutcomeUnknown))
        }
    }
}

fn not_run(target: &Target, code: Code) -> Outcome {
    Outcome::NotRun(Refusal {
        code,
        retry_after_ms: target.slots.retry_after_ms(),
    })
}

async fn read_answer(target: &Target, response: Response<Incoming>) -> Outcome {
    let (parts, body) = response.into_parts();
    match Limited::new(body, MAX_WHOLE_ANSWER_BYTES).collect().await {
        Ok(body) => Outcome::Answered(WholeAnswer {
            status: parts.status.as_u16(),
            headers: backend::forwarded_headers(&parts.headers),
            body: body.to_bytes(),
        }),
        Err(_) => {
            target.health.borrow_mut().record_outcome(false);
            Outcome::Unknown(Code::OutcomeUnknown)
        }
    }
}
