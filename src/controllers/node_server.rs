//! The server side of the control protocol.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

use compio::net::{TcpListener, TcpStream};
use futures_util::future::LocalBoxFuture;
use serde_json::Value;

use crate::code::Code;
use crate::config::config_store::AcceptOutcome;
use crate::config::sealed_id::SealedBytes;
use crate::config::service_id::ServiceId;
use crate::controllers::control_plane::ControlPlane;
use crate::controllers::relay;
use crate::decisions::peer_loads::LoadReport;
use crate::error::Result;
use crate::links::link;
use crate::links::link_auth::{self, LinkSide};
use crate::links::node_codec::{self, to_capnp};
use crate::links::peer_client::{OfferReply, ticket_bytes};
use crate::links::peer_request::{PeerAnswer, PeerRequest};
use crate::node_capnp::node;

/// The most inbound control links that are open at once.
const MAX_INBOUND_LINKS: usize = 1_024;

/// The size in bytes after which no further value is added to an answer, so that it is sent well
/// within the timeout of a call.
const MAX_FETCH_BYTES: usize = 256 << 10;

type Capnp<T = ()> = std::result::Result<T, capnp::Error>;

type ExchangeLoad = dyn Fn(ServiceId, &[LoadReport]) -> Vec<LoadReport>;
type Run = dyn Fn(SealedBytes, PeerRequest) -> LocalBoxFuture<'static, PeerAnswer>;

/// The handlers of calls that balancers and agents answer differently.
pub(crate) struct NodeHooks {
    pub(crate) exchange_load: Box<ExchangeLoad>,
    pub(crate) offer: Box<dyn Fn(ServiceId, u32) -> OfferReply>,
    pub(crate) run: Box<Run>,
    pub(crate) cancel: Box<dyn Fn(SealedBytes)>,
    pub(crate) state: Box<dyn Fn() -> Value>,
}

struct NodeServer {
    control: Rc<ControlPlane>,
    hooks: Rc<NodeHooks>,
}

/// Accepts control links forever.
pub(crate) async fn serve(listener: TcpListener, control: Rc<ControlPlane>, hooks: NodeHooks) {
    let hooks = Rc::new(hooks);
    let open_links = Rc::new(());
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            continue;
        };
        if Rc::strong_count(&open_links) > MAX_INBOUND_LINKS {
            control.metrics.links_refused.inc(Code::LinkClosed);
            continue;
        }
        let server = NodeServer {
            control: control.clone(),
            hooks: hooks.clone(),
        };
        let control = control.clone();
        let open_link = open_links.clone();
        compio::runtime::spawn(async move {
            serve_link(stream, peer, &control, server).await;
            drop(open_link);
        })
        .detach();
    }
}

async fn serve_link(
    mut stream: TcpStream,
    peer: SocketAddr,
    control: &Rc<ControlPlane>,
    server: NodeServer,
) {
    // An error is ignored, since calls work without the option, only slower.
    let _ = stream.set_nodelay(true);
    let cluster_key = &control.settings.cluster_key;
    if let Err(error) = link_auth::authenticate(&mut stream, cluster_key, LinkSide::Server).await {
        record_refused(control, peer, &error);
        return;
    }
    if let IpAddr::V4(host) = peer.ip() {
        control.record_inbound_link(host);
    }
    let client: node::Client = capnp_rpc::new_client(server);
    link::serve(stream, &control.metrics, client).await;
}

fn record_refused(control: &ControlPlane, peer: SocketAddr, error: &crate::error::Error) {
    control.metrics.links_refused.inc(error.code);
    if error.code == Code::LinkRefused {
        log::warn!("event=link_refused peer={peer} error={error}");
    }
}

impl node::Server for NodeServer {
    async fn compare(
        self: Rc<Self>,
        _params: node::CompareParams,
        mut results: node::CompareResults,
    ) -> Capnp {
        let digest = self.control.store.borrow().digest();
        node_codec::write_digest(results.get().init_theirs(), digest);
        Ok(())
    }

    async fn changes(
        self: Rc<Self>,
        params: node::ChangesParams,
        mut results: node::ChangesResults,
    ) -> Capnp {
        let floor = params.get()?.get_floor().into();
        let store = self.control.store.borrow();
        let changes = store.changes_since(floor);
        let entries = results.get().init_entries(changes.len() as u32);
        node_codec::write_entries(entries, changes.into_iter());
        Ok(())
    }

    async fn fetch(
        self: Rc<Self>,
        params: node::FetchParams,
        mut results: node::FetchResults,
    ) -> Capnp {
        let store = self.control.store.borrow();
        let mut updates = Vec::new();
        let (mut bytes, mut handled) = (0, 0);
        for entry in params.get()?.get_wanted()? {
            if bytes >= MAX_FETCH_BYTES {
                break;
            }
            let update = store.update_for(entry.get_name()?.to_str()?, entry.get_revision().into());
            bytes += update.as_ref().map_or(0, |update| update.delta.text.len());
            updates.extend(update);
            handled += 1;
        }
        let mut builder = results.get();
        builder.set_handled(handled);
        let mut values = builder.init_values(updates.len() as u32);
        for (index, update) in updates.iter().enumerate() {
            node_codec::write_value(values.reborrow().get(index as u32), update);
        }
        Ok(())
    }

    async fn tell(
        self: Rc<Self>,
        params: node::TellParams,
        mut results: node::TellResults,
    ) -> Capnp {
        let value = params.get()?.get_value()?;
        let update = node_codec::read_value(value).map_err(to_capnp)?;
        let result = self.control.accept_update(&update);
        if result == Ok(AcceptOutcome::Accepted) {
            relay::push_to_peers(&self.control, &update.name);
        }
        // The revision of a rejected value is returned too, so that the peer does not send the
        // whole value again.
        let store = self.control.store.borrow();
        let is_still_new = store.is_new_state(&update.name, update.stamp);
        let held = store.revision(&update.name);
        let known = if is_still_new {
            held
        } else {
            update.stamp.revision
        };
        results.get().set_revision(known.bits());
        Ok(())
    }

    async fn exchange_load(
        self: Rc<Self>,
        params: node::ExchangeLoadParams,
        mut results: node::ExchangeLoadResults,
    ) -> Capnp {
        let params = params.get()?;
        let service = ServiceId(params.get_service());
        let theirs = node_codec::read_reports(params.get_reports()?);
        let ours = (self.hooks.exchange_load)(service, &theirs);
        let list = results.get().init_reports(ours.len() as u32);
        node_codec::write_reports(list, &ours);
        Ok(())
    }

    async fn offer(
        self: Rc<Self>,
        params: node::OfferParams,
        mut results: node::OfferResults,
    ) -> Capnp {
        let params = params.get()?;
        let service = ServiceId(params.get_service());
        let mut builder = results.get();
        match (self.hooks.offer)(service, params.get_timeout_ms()) {
            OfferReply::Accepted(ticket) => builder.set_ticket(&ticket),
            OfferReply::Refused(refusal) => {
                builder.set_code(refusal.code.number());
                builder.set_retry_after_ms(refusal.retry_after_ms);
            }
        }
        Ok(())
    }

    async fn run(self: Rc<Self>, params: node::RunParams, mut results: node::RunResults) -> Capnp {
        let (ticket, request) = read_run(&params).map_err(to_capnp)?;
        let answer = (self.hooks.run)(ticket, request).await;
        let mut builder = results.get().init_answer();
        builder.set_code(answer.code.number());
        builder.set_status(answer.status);
        builder.set_body(&answer.body);
        builder.set_retry_after_ms(answer.retry_after_ms);
        let headers = builder.init_headers(answer.headers.len() as u32);
        node_codec::write_headers(headers, &answer.headers);
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: node::CancelParams,
        _results: node::CancelResults,
    ) -> Capnp {
        let ticket = ticket_bytes(params.get()?.get_ticket()?);
        if let Some(ticket) = ticket {
            (self.hooks.cancel)(ticket);
        }
        Ok(())
    }

    async fn state(
        self: Rc<Self>,
        _params: node::StateParams,
        mut results: node::StateResults,
    ) -> Capnp {
        results.get().set_json((self.hooks.state)().to_string());
        Ok(())
    }
}

fn read_run(params: &node::RunParams) -> Result<(SealedBytes, PeerRequest)> {
    let params = params.get().map_err(node_codec::from_capnp)?;
    let ticket = node_codec::read_data(params.get_ticket())?;
    let ticket = ticket_bytes(&ticket);
    let ticket = ticket.ok_or_else(|| {
        crate::error::Error::new(
            Code::BadRequest,
            "the ticket of a forwarded request has a wrong length",
        )
    })?;
    let request = params.get_request().map_err(node_codec::from_capnp)?;
    let headers = request.get_headers().map_err(node_codec::from_capnp)?;
    let request = PeerRequest {
        service: ServiceId(request.get_service()),
        method: node_codec::read_text(request.get_method())?,
        path: node_codec::read_text(request.get_path())?,
        headers: node_codec::read_headers(headers)?,
        body: node_codec::read_data(request.get_body())?,
        timeout_ms: request.get_timeout_ms(),
    };
    Ok((ticket, request))
}

/// Returns the hooks of a process that serves no flows.
pub(crate) fn hooks_without_flows(state: impl Fn() -> Value + 'static) -> NodeHooks {
    NodeHooks {
        exchange_load: Box::new(|_, _| Vec::new()),
        offer: Box::new(|_, _| {
            OfferReply::Refused(crate::decisions::slots::Refusal {
                code: Code::NoTarget,
                retry_after_ms: crate::decisions::slots::MIN_RETRY_AFTER_MS,
            })
        }),
        run: Box::new(|_, _| Box::pin(async { refused_answer(Code::NoTarget, 0) })),
        cancel: Box::new(|_| {}),
        state: Box::new(state),
    }
}

/// Returns the answer to a request that did not run or whose outcome is unknown; it has no body.
pub(crate) fn refused_answer(code: Code, retry_after_ms: u32) -> PeerAnswer {
    PeerAnswer {
        code,
        status: 0,
        headers: http::HeaderMap::new(),
        body: bytes::Bytes::new(),
        retry_after_ms,
    }
}

/// Binds the control port on the process's own host.
pub(crate) async fn bind(host: Ipv4Addr, control_port: u16) -> Result<TcpListener> {
    Ok(TcpListener::bind(link::control_address(host, control_port)).await?)
}
