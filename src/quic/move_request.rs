//! Runs a request at a peer of the service: offer, accept, run, each a fact of its own.

use std::net::Ipv4Addr;

use bytes::Bytes;
use http::HeaderMap;

use crate::code::Code;
use crate::decisions::peer_loads::LoadReport;
use crate::links::peer_client::OfferReply;
use crate::links::peer_request::{MAX_MOVED_BODY_BYTES, PeerAnswer, PeerRequest};
use crate::quic::answer::{Answer, AnswerBody};
use crate::quic::backend;
use crate::quic::local_run::WholeAnswer;
use crate::quic::request_context::RequestContext;

/// To how many peers a request is offered.
const MAX_OFFERS: usize = 2;
/// How busy a peer counts of which nothing is known: it is asked after all that are known.
const UNHEARD_BUSY: f64 = 1.0;

/// What came of the attempt.
pub(crate) enum Moved {
    /// A peer ran it.
    Answered(Answer),
    /// No peer ran it.
    NotRun,
    /// A peer may have run it.
    Unknown,
}

/// Offers the request to the least busy peers and runs it at the first that accepts.
pub(crate) async fn run_at_peer(context: &RequestContext<'_>, body: &Bytes) -> Moved {
    if body.len() > MAX_MOVED_BODY_BYTES {
        return Moved::NotRun;
    }
    for host in peers_to_ask(context) {
        match offer_and_run(context, host, body).await {
            Moved::NotRun => {}
            moved => return moved,
        }
    }
    Moved::NotRun
}

/// Returns the peers to which the request is offered: while slots are free here, one that lacks busy
/// slots by the table, else the least busy ones.
fn peers_to_ask(context: &RequestContext<'_>) -> Vec<Ipv4Addr> {
    let health = context.target.health.borrow();
    if context.target.slots.has_free() && !health.is_failing() {
        let store = context.agent.control.store.borrow();
        let table = store.table(context.target.service);
        let drawn = table.and_then(|table| context.target.draw_peer(table));
        return drawn.into_iter().collect();
    }
    least_busy(context)
}

/// Returns peers that reported a free slot, the least busy first; unheard ones come last.
fn least_busy(context: &RequestContext<'_>) -> Vec<Ipv4Addr> {
    let now_ms = context.agent.control.now_ms();
    let store = context.agent.control.store.borrow();
    let suspicion = context.agent.control.suspicion.borrow();
    let peer_loads = context.target.peer_loads.borrow();
    let Some(table) = store.table(context.target.service) else {
        return Vec::new();
    };
    let others = table
        .rows
        .iter()
        .filter(|row| row.host != context.target.host);
    let trusted = others.filter(|row| !suspicion.is_suspected(row.host, now_ms));
    let mut peers: Vec<(f64, Ipv4Addr)> = trusted
        .filter(|row| row.weight > 0)
        .filter_map(|row| match peer_loads.fresh_load(row.host, now_ms) {
            Some(known) if !has_free_slot(&known.report, row.slots) => None,
            Some(known) => Some((
                f64::from(known.report.busy_slots) / f64::from(row.slots),
                row.host,
            )),
            None => Some((UNHEARD_BUSY, row.host)),
        })
        .collect();
    peers.sort_by(|a, b| a.0.total_cmp(&b.0));
    peers.truncate(MAX_OFFERS);
    peers.into_iter().map(|(_, host)| host).collect()
}

fn has_free_slot(report: &LoadReport, slots: u32) -> bool {
    report.share_permille > 0 && u32::from(report.busy_slots) < slots
}

async fn offer_and_run(context: &RequestContext<'_>, host: Ipv4Addr, body: &Bytes) -> Moved {
    let peers = &context.agent.control.peers;
    let timeout_ms = context.left_ms().min(u64::from(u32::MAX)) as u32;
    let service = context.target.service;
    let offered = peers.offer(host, service, timeout_ms).await;
    let Ok(OfferReply::Accepted(ticket)) = offered else {
        return Moved::NotRun;
    };
    if context.left_ms() == 0 {
        // The slot is freed by its hold time where this message is lost.
        let _ = peers.cancel(host, &ticket).await;
        return Moved::NotRun;
    }
    let request = peer_request(context, body);
    match peers.run(host, &ticket, &request).await {
        Ok(answer) if answer.code.is_not_run() => Moved::NotRun,
        Ok(answer) => {
            context.agent.control.metrics.requests_moved.inc();
            Moved::Answered(peer_answer(answer))
        }
        Err(_) => Moved::Unknown,
    }
}

/// Returns the request as it travels to a peer.
pub(crate) fn peer_request(context: &RequestContext<'_>, body: &Bytes) -> PeerRequest {
    PeerRequest {
        service: context.target.service,
        method: context.head.method.to_string(),
        path: context.path.to_owned(),
        headers: backend::forwarded_headers(&context.head.headers),
        body: body.clone(),
        timeout_ms: context.left_ms().min(u64::from(u32::MAX)) as u32,
    }
}

/// Returns a peer's answer as ours.
pub(crate) fn peer_answer(answer: PeerAnswer) -> Answer {
    if answer.code != Code::Answered {
        return Answer::refusal(answer.code, answer.retry_after_ms);
    }
    whole_answer(WholeAnswer {
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
    })
}

/// Returns an answer that was read whole.
pub(crate) fn whole_answer(answer: WholeAnswer) -> Answer {
    let mut headers: HeaderMap = answer.headers;
    headers.remove(http::header::CONTENT_LENGTH);
    Answer {
        code: Code::Answered,
        status: answer.status,
        headers,
        body: AnswerBody::Whole(answer.body),
        retry_after_ms: 0,
        ticket: None,
        slot: None,
    }
}
