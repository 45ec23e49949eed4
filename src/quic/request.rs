//! The path of a caller's request through the filters to the place where it runs, and its final
//! answer.

use std::rc::Rc;

use bytes::Bytes;
use compio::quic::h3::BidiStream;
use compio::quic::h3::quic::BidiStream as QuicStream;
use compio::quic::h3::server::RequestStream;
use http::request::Parts;
use http_body_util::BodyExt;

use crate::code::Code;
use crate::quic::agent::Agent;
use crate::quic::answer::{Answer, AnswerBody};
use crate::quic::caller_body::{BodyStream, CallerBody};
use crate::quic::request_context::{RequestContext, ticket_for};
use crate::quic::request_spec::RequestSpec;
use crate::quic::target::Target;
use crate::quic::{at_most_once, repeatable};

type AnswerStream = RequestStream<<BidiStream<Bytes> as QuicStream<Bytes>>::SendStream, Bytes>;

/// A check that lets a request pass or returns its final answer.
type Filter = fn(&RequestContext<'_>) -> Option<Answer>;

/// The checks in order, all made before a request may wait for a slot.
const FILTERS: &[Filter] = &[refuse_expired, require_ticket];

/// Serves one request and sends its final answer.
pub(crate) async fn serve(
    agent: &Rc<Agent>,
    target: &Rc<Target>,
    head: http::Request<()>,
    stream: RequestStream<BidiStream<Bytes>, Bytes>,
) {
    let (sender, receiver) = stream.split();
    let (head, ()) = head.into_parts();
    let answer = answer(agent, target, &head, receiver).await;
    agent.control.metrics.requests.inc(answer.code);
    // If the caller has left, dropping the answer cancels a body that is still streamed.
    let _ = send(sender, answer).await;
}

async fn answer(
    agent: &Rc<Agent>,
    target: &Rc<Target>,
    head: &Parts,
    receiver: BodyStream,
) -> Answer {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let spec = match RequestSpec::parse(&head.method, path, &head.headers) {
        Ok(spec) => spec,
        Err(error) => return bad_request(&error.message),
    };
    let context = RequestContext {
        agent,
        target,
        head,
        path,
        spec: &spec,
        deadline_ms: agent.control.now_ms() + spec.timeout_ms,
    };
    if let Some(answer) = FILTERS.iter().find_map(|filter| filter(&context)) {
        return answer;
    }
    let Ok(body) = CallerBody::read(receiver).await else {
        return bad_request("the body ended early");
    };
    match spec.ticket {
        Some(ticket) if !spec.is_repeatable => at_most_once::answer(&context, ticket, body).await,
        _ if spec.is_feed => repeatable::answer_feed(&context, body).await,
        _ => repeatable::answer(&context, body).await,
    }
}

fn bad_request(what: &str) -> Answer {
    let mut answer = Answer::refusal(Code::BadRequest, 0);
    answer.body = AnswerBody::Whole(format!("{what}\n").into());
    answer
}

fn refuse_expired(context: &RequestContext<'_>) -> Option<Answer> {
    let has_expired = context.spec.timeout_ms == 0;
    has_expired.then(|| {
        Answer::refusal(Code::Deadline, context.target.slots.retry_after_ms())
            .with_ticket(ticket_for(context))
    })
}

fn require_ticket(context: &RequestContext<'_>) -> Option<Answer> {
    let is_missing = !context.spec.is_repeatable && context.spec.ticket.is_none();
    is_missing.then(|| Answer::refusal(Code::TicketNeeded, 0).with_ticket(ticket_for(context)))
}

async fn send(mut stream: AnswerStream, answer: Answer) -> Option<()> {
    stream.send_response(answer.head()).await.ok()?;
    let _slot = answer.slot;
    match answer.body {
        AnswerBody::Whole(body) => stream.send_data(body).await.ok()?,
        AnswerBody::Stream(mut body) => {
            while let Some(frame) = body.frame().await {
                let Ok(frame) = frame else {
                    // The stream is reset, so that a truncated answer does not look complete.
                    stream.stop_stream(compio::quic::h3::error::Code::H3_INTERNAL_ERROR);
                    return None;
                };
                if let Ok(data) = frame.into_data() {
                    stream.send_data(data).await.ok()?;
                }
            }
        }
    }
    stream.finish().await.ok()
}
