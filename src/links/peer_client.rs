//! A client for calls to other processes, over cached control links.

use std::cell::RefCell;
use std::future::Future;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use crate::code::Code;
use crate::config::config_store::{Digest, ValueUpdate};
use crate::config::keys::ClusterKey;
use crate::config::revision::Revision;
use crate::config::sealed_id::{SEALED_ID_BYTES, SealedBytes};
use crate::config::service_id::ServiceId;
use crate::config::version_stamp::VersionStamp;
use crate::decisions::peer_loads::LoadReport;
use crate::decisions::slots::Refusal;
use crate::error::{Error, Result};
use crate::links::link::{self, Link};
use crate::links::node_codec;
use crate::links::peer_request::{PeerAnswer, PeerRequest};
use crate::node_capnp::node;
use crate::process::metrics::Metrics;

/// The timeout of a call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// The longest state dump accepted from a process, in bytes.
const MAX_STATE_BYTES: usize = 4 << 20;

/// A peer's reply to an offer of a request.
#[derive(Debug)]
pub(crate) enum OfferReply {
    /// The peer reserved a slot for the request under this ticket.
    Accepted(SealedBytes),
    /// The peer reserved no slot; the refusal has the reason and the time after which to retry.
    Refused(Refusal),
}

/// Calls other processes over links that are opened on first use, cached, and closed when a call
/// fails.
pub(crate) struct PeerClient {
    own_host: Ipv4Addr,
    cluster_key: ClusterKey,
    control_port: u16,
    metrics: Rc<Metrics>,
    links: RefCell<Vec<(Ipv4Addr, Rc<Link>)>>,
}

impl PeerClient {
    /// Creates a client without open links.
    ///
    /// It connects from `own_host`; the operators' client, which runs on any host, passes 0.0.0.0.
    pub(crate) fn new(
        own_host: Ipv4Addr,
        cluster_key: &ClusterKey,
        control_port: u16,
        metrics: &Rc<Metrics>,
    ) -> Self {
        Self {
            own_host,
            cluster_key: cluster_key.clone(),
            control_port,
            metrics: metrics.clone(),
            links: RefCell::default(),
        }
    }

    /// Closes all links, for instance after a pause in which the peers may have closed them.
    pub(crate) fn drop_links(&self) {
        self.links.borrow_mut().clear();
    }

    /// Closes the links to hosts for which `keep` returns false.
    pub(crate) fn retain_links(&self, keep: impl Fn(Ipv4Addr) -> bool) {
        self.links.borrow_mut().retain(|(host, _)| keep(*host));
    }

    /// Returns the hosts to which a link is open.
    pub(crate) fn linked_hosts(&self) -> Vec<Ipv4Addr> {
        self.links.borrow().iter().map(|(host, _)| *host).collect()
    }

    /// Exchanges digests with a peer; returns the peer's.
    pub(crate) async fn compare(&self, host: Ipv4Addr, mine: Digest) -> Result<Digest> {
        self.call(host, CALL_TIMEOUT_MS, |client| async move {
            let mut request = client.compare_request();
            node_codec::write_digest(request.get().init_mine(), mine);
            let response = request.send().promise.await?;
            Ok(node_codec::read_digest(response.get()?.get_theirs()?))
        })
        .await
    }

    /// Returns the names and version stamps of the peer's values with a revision above `floor`.
    pub(crate) async fn changes(
        &self,
        host: Ipv4Addr,
        floor: Revision,
    ) -> Result<Vec<(String, VersionStamp)>> {
        self.call(host, CALL_TIMEOUT_MS, |client| async move {
            let mut request = client.changes_request();
            request.get().set_floor(floor.bits());
            let response = request.send().promise.await?;
            let mut changes = Vec::new();
            for entry in response.get()?.get_entries()? {
                changes.push(node_codec::read_entry(entry).map_err(node_codec::to_capnp)?);
            }
            Ok(changes)
        })
        .await
    }

    /// Fetches values; `wanted` gives the name and the revision held here of each.
    ///
    /// Also returns how many of the wanted values the answer covers, from the first on. Its size is
    /// limited, so the rest has to be fetched by further calls.
    pub(crate) async fn fetch(
        &self,
        host: Ipv4Addr,
        wanted: &[(String, Revision)],
    ) -> Result<(Vec<ValueUpdate>, usize)> {
        let wanted = wanted.to_vec();
        self.call(host, CALL_TIMEOUT_MS, |client| async move {
            let mut request = client.fetch_request();
            let entries = request.get().init_wanted(wanted.len() as u32);
            let wanted = wanted.iter();
            let wanted = wanted.map(|(name, held)| (&**name, VersionStamp::from(*held)));
            node_codec::write_entries(entries, wanted);
            let response = request.send().promise.await?;
            let answer = response.get()?;
            let values = answer.get_values()?.iter();
            let updates: Result<Vec<_>> = values.map(node_codec::read_value).collect();
            let updates = updates.map_err(node_codec::to_capnp)?;
            Ok((updates, answer.get_handled() as usize))
        })
        .await
    }

    /// Pushes a value to a peer; returns the revision that the peer holds afterwards.
    pub(crate) async fn push(&self, host: Ipv4Addr, update: &ValueUpdate) -> Result<Revision> {
        self.call(host, CALL_TIMEOUT_MS, |client| async move {
            let mut request = client.tell_request();
            node_codec::write_value(request.get().init_value(), update);
            let response = request.send().promise.await?;
            Ok(response.get()?.get_revision().into())
        })
        .await
    }

    /// Sends load reports of a service's agents; returns those that the peer knows.
    pub(crate) async fn exchange_load(
        &self,
        host: Ipv4Addr,
        service: ServiceId,
        reports: &[LoadReport],
    ) -> Result<Vec<LoadReport>> {
        self.call(host, CALL_TIMEOUT_MS, |client| async move {
            let mut request = client.exchange_load_request();
            request.get().set_service(service.0);
            let list = request.get().init_reports(reports.len() as u32);
            node_codec::write_reports(list, reports);
            let response = request.send().promise.await?;
            Ok(node_codec::read_reports(response.get()?.get_reports()?))
        })
        .await
    }

    /// Offers a request of a service to a peer, which reserves a slot or refuses.
    pub(crate) async fn offer(
        &self,
        host: Ipv4Addr,
        service: ServiceId,
        timeout_ms: u32,
    ) -> Result<OfferReply> {
        self.call(host, CALL_TIMEOUT_MS, |client| async move {
            let mut request = client.offer_request();
            request.get().set_service(service.0);
            request.get().set_timeout_ms(timeout_ms);
            let response = request.send().promise.await?;
            let reply = response.get()?;
            let ticket: Option<SealedBytes> = reply.get_ticket()?.try_into().ok();
            Ok(match ticket {
                Some(ticket) => OfferReply::Accepted(ticket),
                None => OfferReply::Refused(Refusal {
                    code: Code::from_number(reply.get_code()).unwrap_or(Code::NoTarget),
                    retry_after_ms: reply.get_retry_after_ms(),
                }),
            })
        })
        .await
    }

    /// Runs a request on a peer, under a ticket that the peer issued.
    pub(crate) async fn run(
        &self,
        host: Ipv4Addr,
        ticket: &SealedBytes,
        peer_request: &PeerRequest,
    ) -> Result<PeerAnswer> {
        let timeout_ms = u64::from(peer_request.timeout_ms) + CALL_TIMEOUT_MS;
        self.call(host, timeout_ms, |client| async move {
            let mut request = client.run_request();
            request.get().set_ticket(ticket);
            let mut builder = request.get().init_request();
            builder.set_service(peer_request.service.0);
            builder.set_method(&peer_request.method);
            builder.set_path(&peer_request.path);
            builder.set_body(&peer_request.body);
            builder.set_timeout_ms(peer_request.timeout_ms);
            let headers = builder.init_headers(peer_request.headers.len() as u32);
            node_codec::write_headers(headers, &peer_request.headers);
            let response = request.send().promise.await?;
            read_answer(response.get()?.get_answer()?).map_err(node_codec::to_capnp)
        })
        .await
    }

    /// Releases the slot that a peer reserved under a ticket, since the caller no longer waits.
    pub(crate) async fn cancel(&self, host: Ipv4Addr, ticket: &SealedBytes) -> Result<()> {
        self.call(host, CALL_TIMEOUT_MS, |client| async move {
            let mut request = client.cancel_request();
            request.get().set_ticket(ticket);
            request.send().promise.await?;
            Ok(())
        })
        .await
    }

    /// Returns the state dump of a process as JSON.
    pub(crate) async fn state(&self, host: Ipv4Addr) -> Result<String> {
        self.call(host, CALL_TIMEOUT_MS, |client| async move {
            let response = client.state_request().send().promise.await?;
            let json = response.get()?.get_json()?;
            if json.len() > MAX_STATE_BYTES {
                return Err(capnp::Error::failed(format!(
                    "the state dump is larger than {MAX_STATE_BYTES} bytes"
                )));
            }
            Ok(json.to_string()?)
        })
        .await
    }

    /// Makes one call over the link to a host, and closes the link if the call fails.
    async fn call<T, F>(
        &self,
        host: Ipv4Addr,
        timeout_ms: u64,
        exchange: impl FnOnce(node::Client) -> F,
    ) -> Result<T>
    where
        F: Future<Output = Result<T, capnp::Error>>,
    {
        self.metrics.control_calls.inc();
        let link = self.link(host).await?;
        let timeout = Duration::from_millis(timeout_ms);
        let result = compio::time::timeout(timeout, exchange(link.client.clone())).await;
        let result = match result {
            Ok(result) => result.map_err(node_codec::from_capnp),
            Err(_) => Err(Error::new(
                Code::LinkClosed,
                format!("{host}: no answer within {timeout_ms} ms"),
            )),
        };
        if result.is_err() {
            self.drop_link(host, &link);
        }
        result
    }

    /// Returns the cached link to a host, or opens one.
    async fn link(&self, host: Ipv4Addr) -> Result<Rc<Link>> {
        if let Some(link) = self.cached(host) {
            return Ok(link);
        }
        let address = link::control_address(host, self.control_port);
        let link = Link::connect(self.own_host, address, &self.cluster_key, &self.metrics).await;
        let link = Rc::new(link.inspect_err(|error| self.metrics.links_refused.inc(error.code))?);
        // Another call may have opened a link in the meantime.
        if let Some(link) = self.cached(host) {
            return Ok(link);
        }
        let mut links = self.links.borrow_mut();
        let index = links.partition_point(|(known, _)| *known < host);
        links.insert(index, (host, link.clone()));
        Ok(link)
    }

    fn cached(&self, host: Ipv4Addr) -> Option<Rc<Link>> {
        let links = self.links.borrow();
        let index = links.binary_search_by_key(&host, |(host, _)| *host);
        index.ok().map(|index| links[index].1.clone())
    }

    fn drop_link(&self, host: Ipv4Addr, failed: &Rc<Link>) {
        let mut links = self.links.borrow_mut();
        links.retain(|(known, link)| *known != host || !Rc::ptr_eq(link, failed));
    }
}

fn read_answer(reader: crate::node_capnp::answer::Reader<'_>) -> Result<PeerAnswer> {
    let headers = reader.get_headers().map_err(node_codec::from_capnp)?;
    Ok(PeerAnswer {
        code: Code::from_number(reader.get_code()).unwrap_or(Code::OutcomeUnknown),
        status: reader.get_status(),
        headers: node_codec::read_headers(headers)?,
        body: node_codec::read_data(reader.get_body())?,
        retry_after_ms: reader.get_retry_after_ms(),
    })
}

/// Reads a ticket from a message; `None` if its length is wrong.
pub(crate) fn ticket_bytes(bytes: &[u8]) -> Option<SealedBytes> {
    (bytes.len() == SEALED_ID_BYTES).then(|| bytes.try_into().ok())?
}
