//! Flows of one target: accepted, served as HTTP/3, told to move when the target leaves.

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

/// How long a flow without requests stays after it was told to move, so that a request which
/// crosses the message on the way is still answered.
const GOAWAY_LINGER: Duration = Duration::from_secs(1);

type QuicConnection = compio::quic::Connection;
type FlowConnection = Connection<QuicConnection, Bytes>;

/// Counts a flow for as long as it is open.
struct OpenFlow {
    agent: Rc<Agent>,
    target: Rc<Target>,
}

impl OpenFlow {
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

impl Drop for OpenFlow {
    fn drop(&mut self) {
        self.target.admission.borrow_mut().flow_closed();
        self.agent.control.metrics.flows_open.dec();
    }
}

/// Accepts the flows of a target forever.
pub(crate) async fn accept_flows(agent: Rc<Agent>, target: Rc<Target>) {
    while let Some(incoming) = target.endpoint.wait_incoming().await {
        if let Some(code) = refusal(&agent, &target, &incoming) {
            agent.control.metrics.flows_refused.inc(code);
            incoming.refuse();
            continue;
        }
        let open = OpenFlow::new(&agent, &target);
        let Ok(connecting) = incoming.accept() else {
            continue;
        };
        compio::runtime::spawn(serve_flow(open, connecting)).detach();
    }
}

/// Checks the decision about the opener and, since others were accepted since, the hard limit.
fn refusal(agent: &Agent, target: &Target, incoming: &Incoming) -> Option<Code> {
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

async fn serve_flow(open: OpenFlow, connecting: Connecting) {
    let drain = open.target.drain.started();
    let Ok(connection) = connecting.await else {
        return;
    };
    let built = h3::server::builder().build::<_, Bytes>(connection).await;
    let Ok(mut flow) = built else {
        return;
    };
    serve_requests(&open, &mut flow, drain).await;
}

/// Serves requests until the caller closes, or until the last one has ended after a drain began.
///
/// The tasks of repeatable requests end with the flow, which cancels them at the backend server.
async fn serve_requests(open: &OpenFlow, flow: &mut FlowConnection, drain: DrainStarted) {
    let mut running = FuturesUnordered::new();
    let mut drain = drain.fuse();
    let mut draining = false;
    let mut lingered = false;
    loop {
        if draining && lingered && running.is_empty() {
            return;
        }
        let linger = linger(draining && running.is_empty()).fuse();
        futures_util::pin_mut!(linger);
        select! {
            accepted = flow.accept().fuse() => match accepted {
                Ok(Some(resolver)) => running.push(start_request(open, resolver)),
                Ok(None) => break,
                Err(_) => return,
            },
            _ = drain => {
                draining = true;
                if flow.shutdown(0).await.is_err() {
                    return;
                }
            }
            _ = running.select_next_some() => lingered = false,
            () = linger => lingered = true,
        }
    }
    while running.next().await.is_some() {}
}

async fn linger(idle: bool) {
    if idle {
        compio::time::sleep(GOAWAY_LINGER).await;
    } else {
        std::future::pending::<()>().await;
    }
}

fn start_request(
    open: &OpenFlow,
    resolver: RequestResolver<QuicConnection, Bytes>,
) -> JoinHandle<()> {
    let agent = open.agent.clone();
    let target = open.target.clone();
    compio::runtime::spawn(async move {
        if let Ok((head, stream)) = resolver.resolve_request().await {
            request::serve(&agent, &target, head, stream).await;
        }
    })
}
