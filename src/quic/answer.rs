//! The final answer to a caller's request.

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use hyper::body::Incoming;

use crate::code::Code;
use crate::config::sealed_id::SealedBytes;
use crate::decisions::slot_queue::SlotGuard;
use crate::decisions::slots::Refusal;
use crate::quic::request_spec::{CODE_HEADER, TICKET_HEADER};

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// The complete body.
    Whole(Bytes),
    /// A body that the backend server is still sending.
    Stream(Incoming),
}

/// A final answer: the outcome of the request, and when to retry if it did not run.
pub(crate) struct Answer {
    pub(crate) code: Code,
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: AnswerBody,
    pub(crate) retry_after_ms: u32,
    pub(crate) ticket: Option<SealedBytes>,
    /// The slot, which is held until the last byte of the answer is sent.
    pub(crate) slot: Option<SlotGuard>,
}

impl Answer {
    /// Creates the answer to a request that did not run or whose outcome is unknown.
    pub(crate) fn refusal(code: Code, retry_after_ms: u32) -> Self {
        let text = format!("{} {} ({})\n", code.number(), code.meaning(), code.remedy());
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        Self {
            code,
            status: http_status(code).as_u16(),
            headers,
            body: AnswerBody::Whole(text.into()),
            retry_after_ms,
            ticket: None,
            slot: None,
        }
    }

    /// Adds a ticket for the caller's next attempt.
    pub(crate) fn with_ticket(mut self, ticket: Option<SealedBytes>) -> Self {
        self.ticket = ticket;
        self
    }

    /// Returns the response head that is sent to the caller.
    pub(crate) fn head(&self) -> Response<()> {
        let mut response = Response::new(());
        let status = StatusCode::from_u16(self.status);
        *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        *headers = self.headers.clone();
        headers.insert(CODE_HEADER, self.code.number().into());
        if let AnswerBody::Whole(body) = &self.body {
            headers.insert(CONTENT_LENGTH, body.len().into());
        }
        if self.retry_after_ms > 0 {
            // The header holds whole seconds; rounding up never shortens the wait.
            headers.insert(RETRY_AFTER, self.retry_after_ms.div_ceil(1_000).into());
        }
        if let Some(ticket) = &self.ticket {
            let ticket = HeaderValue::from_str(&hex::encode(ticket));
            headers.extend(ticket.map(|ticket| (ticket_header(), ticket)));
        }
        response
    }
}

impl From<Refusal> for Answer {
    fn from(refusal: Refusal) -> Self {
        Self::refusal(refusal.code, refusal.retry_after_ms)
    }
}

fn ticket_header() -> http::HeaderName {
    http::HeaderName::from_static(TICKET_HEADER)
}

/// Returns the HTTP status of a result code.
fn http_status(code: Code) -> StatusCode {
    match code {
        Code::TicketNeeded => StatusCode::PRECONDITION_REQUIRED,
        Code::TicketSpent | Code::InProgress => StatusCode::CONFLICT,
        Code::TicketMismatch => StatusCode::UNPROCESSABLE_ENTITY,
        Code::AnswerNotKept => StatusCode::GONE,
        Code::BadRequest => StatusCode::BAD_REQUEST,
        Code::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        code if code.is_not_run() => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_GATEWAY,
    }
}
