//! Runs a request at a peer of the service: the request is offered, and once a peer has accepted
//! the offer, it is sent there with the ticket of the offer.

use std::net::Ipv4Addr;

use bytes::Bytes;
use http::HeaderMap;

use crate::code::Code;
use crate::decisions::peer_loads::LoadReport;
use crate::links::peer_client::OfferReply;
use crate::links::peer_request::{MAX_MOVED_BODY_BYTES, PeerAnswer, PeerRequest};
use crate::quic::answer::{Answer, AnswerBody};
use crate::quic::backend;
use crate::quic::local_request::WholeAnswer;
use crate::quic::request_context::RequestContext;

/// The largest number of peers to which a request is offered.
const MAX_OFFERS: usize = 2;
/// The busy fraction that is assumed for a peer without a fresh report, so that the request is
/// offered to it only after all peers with a fresh report.
const UNKNOWN_BUSY_FRACTION: f64 = 1.0;

/// The outcome of an attempt to run a request at a peer.
pub(crate) enum PeerRunOutcome {
    /// A peer ran the request.
    Answered(Answer),
    /// No peer ran the request.
    NotRun,
    /// A peer may have run the request.
    Unknown,
}

/// Offers the request to the least busy peers and runs it at the first that accepts.
pub(crate) async fn run_at_peer(context: &RequestContext<'_>, body: &Bytes) -> PeerRunOutcome {
    if body.len() > MAX_MOVED_BODY_BYTES {
        return PeerRunOutcome::NotRun;
    }
    for host in peers_to_offer(context) {
        match offer_and_run(context, host, body).await {
            PeerRunOutcome::NotRun => {}
            outcome => return outcome,
        }
    }
    PeerRunOutcome::NotRun
}

/// Returns the peers to which the request is offered.
///
/// While this target has free slots and is healthy, this is one random peer with fewer busy slots
/// than its weight calls for; otherwise the least busy peers.
fn peers_to_offer(context: &RequestContext<'_>) -> Vec<Ipv4Addr> {
    let health = context.target.health.borrow();
    if context.target.slots.has_free_slot() && !health.is_failing() {
        let store = context.agent.control.store.borrow();
        let table = store.table(context.target.service);
        let peer = table.and_then(|table| context.target.pick_peer(table));
        return peer.into_iter().collect();
    }
    least_busy_peers(context)
}

/// Returns the peers that reported a free slot, the least busy first, and then those without a
/// fresh report.
fn least_busy_peers(context: &RequestContext<'_>) -> Vec<Ipv4Addr> {
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
    let unsuspected = others.filter(|row| !suspicion.is_suspected(row.host, now_ms));
    let mut peers: Vec<(f64, Ipv4Addr)> = unsuspected
        .filter(|row| row.weight > 0)
        .filter_map(|row| match peer_loads.fresh_load(row.host, now_ms) {
            Some(load) if !has_free_slot(&load.report, row.slots) => None,
            Some(load) => Some((
                f64::from(load.report.busy_slots) / f64::from(row.slots),
                row.host,
            )),
            None => Some((UNKNOWN_BUSY_FRACTION, row.host)),
        })
        .collect();
    peers.sort_by(|a, b| a.0.total_cmp(&b.0));
    peers.truncate(MAX_OFFERS);
    peers.into_iter().map(|(_, host)| host).collect()
}

fn has_free_slot(report: &LoadReport, slots: u32) -> bool {
    report.share_permille > 0 && u32::from(report.busy_slots) < slots
}

async fn offer_and_run(
    context: &RequestContext<'_>,
    host: Ipv4Addr,
    body: &Bytes,
) -> PeerRunOutcome {
    let peers = &context.agent.control.peers;
    let timeout_ms = context.remaining_ms().min(u64::from(u32::MAX)) as u32;
    let service = context.target.service;
    let reply = peers.offer(host, service, timeout_ms).await;
    let Ok(OfferReply::Accepted(ticket)) = reply else {
        return PeerRunOutcome::NotRun;
    };
    if context.remaining_ms() == 0 {
        // If this message is lost, the slot is freed when its reservation expires.
        let _ = peers.cancel(host, &ticket).await;
        return PeerRunOutcome::NotRun;
    }
    let request = peer_request(context, body);
    match peers.run(host, &ticket, &request).await {
        Ok(answer) if answer.code.is_not_run() => PeerRunOutcome::NotRun,
        Ok(answer) => {
            context.agent.control.metrics.requests_moved.inc();
            PeerRunOutcome::Answered(peer_answer(answer))
        }
        Err(_) => PeerRunOutcome::Unknown,
    }
}

/// Returns the request in the form that is sent to a peer.
pub(crate) fn peer_request(context: &RequestContext<'_>, body: &Bytes) -> PeerRequest {
    PeerRequest {
        service: context.target.service,
        method: context.head.method.to_string(),
        path: context.path.to_owned(),
        headers: backend::forwarded_headers(&context.head.headers),
        body: body.clone(),
        timeout_ms: context.remaining_ms().min(u64::from(u32::MAX)) as u32,
    }
}

/// Converts a peer's answer to the answer for the caller.
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

/// Converts an answer that was read whole to the answer for the caller.
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
