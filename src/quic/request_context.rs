//! The context of a request, which every step of its processing uses.

use std::rc::Rc;

use http::request::Parts;

use crate::config::sealed_id::SealedBytes;
use crate::quic::agent::Agent;
use crate::quic::caller_body::CallerBody;
use crate::quic::local_request::LocalRequest;
use crate::quic::request_spec::RequestSpec;
use crate::quic::target::Target;

/// A request with its agent, target and deadline.
pub(crate) struct RequestContext<'a> {
    pub(crate) agent: &'a Rc<Agent>,
    pub(crate) target: &'a Rc<Target>,
    pub(crate) head: &'a Parts,
    pub(crate) path: &'a str,
    pub(crate) spec: &'a RequestSpec,
    pub(crate) deadline_ms: u64,
}

impl RequestContext<'_> {
    /// Returns the time until the deadline, in milliseconds.
    pub(crate) fn remaining_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(self.agent.control.now_ms())
    }

    /// Returns the request for this host's backend server.
    pub(crate) fn local_request(&self, body: CallerBody) -> LocalRequest {
        LocalRequest {
            target: self.target.clone(),
            method: self.head.method.clone(),
            path: self.path.to_owned(),
            headers: self.head.headers.clone(),
            body: body.into_request_body(),
            deadline_ms: self.deadline_ms,
        }
    }
}

/// Returns a new ticket if the request may not be repeated.
pub(crate) fn ticket_for(context: &RequestContext<'_>) -> Option<SealedBytes> {
    if context.spec.is_repeatable {
        return None;
    }
    context.agent.issue_ticket(context.target)
}
