//! Accepts the flows of a target, serves their requests over HTTP/3, and sends GOAWAY when the
//! target drains.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::quic::h3::server::{Connection, RequestResolver};
use compio::quic::{Connecting, Incoming, h3};
use compio::runtime::JoinHandle;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt, select};

use crate::code::Code;
use crate::config::hash;
use crate::decisions::admission::Decision;
use crate::quic::agent::Agent;
use crate::quic::drain_signal::DrainStarted;
use crate::quic::request;
use crate::quic::target::Target;

/// The time for which a flow without requests stays open after a GOAWAY, so that a request which
/// the caller sent before it received the GOAWAY is still answered.
const GOAWAY_LINGER: Duration = Duration::from_secs(1);

type QuicConnection = compio::quic::Connection;
type FlowConnection = Connection<QuicConnection, Bytes>;

/// Counts a flow as open until it is dropped.
struct OpenFlowGuard {
    agent: Rc<Agent>,
    target: Rc<Target>,
}

impl OpenFlowGuard {
    fn new(agent: &Rc<Agent>, target: &Rc<Target>) -> Self {
        target.admission.borrow_mut().flow_opened();
        agent.control.metrics.flows_open.inc();
        agent.control.metrics.flows_accepted.inc();
        Self {
            agent: agent.clone(),
            target: target.clone(),
        }
    }
}

impl Drop for OpenFlowGuard {
    fn drop(&mut self) {
        self.target.admission.borrow_mut().flow_closed();
        self.agent.control.metrics.flows_open.dec();
    }
}

/// Accepts the flows of a target forever.
pub(crate) async fn accept_flows(agent: Rc<Agent>, target: Rc<Target>) {
    while let Some(incoming) = target.endpoint.wait_incoming().await {
        if let Some(code) = refusal_code(&agent, &target, &incoming) {
            agent.control.metrics.flows_refused.inc(code);
            incoming.refuse();
            continue;
        }
        let open_flow = OpenFlowGuard::new(&agent, &target);
        let Ok(connecting) = incoming.accept() else {
            continue;
        };
        compio::runtime::spawn(serve_flow(open_flow, connecting)).detach();
    }
}

/// Returns the code with which a flow is refused, or `None` if it is accepted.
///
/// A flow that the decision on its opener did not refuse is still refused if the row has no
/// connection left, since other flows may have been accepted since that decision, or if the row is
/// gone.
fn refusal_code(agent: &Agent, target: &Target, incoming: &Incoming) -> Option<Code> {
    let admission = target.admission.borrow();
    let opener_hash = hash::bytes_hash(&incoming.orig_dst_cid());
    let now_ms = agent.control.now_ms();
    if let Some(Decision::Refuse(code)) = admission.remembered_decision(opener_hash, now_ms) {
        return Some(code);
    }
    let store = agent.control.store.borrow();
    let table = store.table(target.service);
    match table.and_then(|table| table.row_on(target.host)) {
        Some(row) if admission.open_flows() < row.connections => None,
        Some(_) => Some(Code::NoTarget),
        None => Some(Code::Draining),
    }
}

async fn serve_flow(open_flow: OpenFlowGuard, connecting: Connecting) {
    let drain = open_flow.target.drain_signal.started();
    let Ok(connection) = connecting.await else {
        return;
    };
    let built = h3::server::builder().build::<_, Bytes>(connection).await;
    let Ok(mut flow) = built else {
        return;
    };
    serve_requests(&open_flow, &mut flow, drain).await;
}

/// Serves requests until the caller closes the flow, or until the last request has ended during a
/// drain.
///
/// If the flow fails, the tasks of its requests are dropped. This cancels repeatable requests at
/// the backend server.
async fn serve_requests(open_flow: &OpenFlowGuard, flow: &mut FlowConnection, drain: DrainStarted) {
    let mut running = FuturesUnordered::new();
    let mut drain = drain.fuse();
    let mut is_draining = false;
    let mut has_lingered = false;
    loop {
        if is_draining && has_lingered && running.is_empty() {
            return;
        }
        let linger = linger(is_draining && running.is_empty()).fuse();
        futures_util::pin_mut!(linger);
        select! {
            accepted = flow.accept().fuse() => match accepted {
                Ok(Some(resolver)) => running.push(start_request(open_flow, resolver)),
                Ok(None) => break,
                Err(_) => return,
            },
            _ = drain => {
                is_draining = true;
                if flow.shutdown(0).await.is_err() {
                    return;
                }
            }
            _ = running.select_next_some() => has_lingered = false,
            () = linger => has_lingered = true,
        }
    }
    while running.next().await.is_some() {}
}

/// Waits for [`GOAWAY_LINGER`], or forever unless the flow is idle.
async fn linger(is_idle: bool) {
    if is_idle {
        compio::time::sleep(GOAWAY_LINGER).await;
    } else {
        std::future::pending::<()>().await;
    }
}

fn start_request(
    open_flow: &OpenFlowGuard,
    resolver: RequestResolver<QuicConnection, Bytes>,
) -> JoinHandle<()> {
    let agent = open_flow.agent.clone();
    let target = open_flow.target.clone();
    compio::runtime::spawn(async move {
        if let Ok((head, stream)) = resolver.resolve_request().await {
            request::serve(&agent, &target, head, stream).await;
        }
    })
}
