//! A stand-in for the platform's store, with pages, watches and faults.

use std::cell::RefCell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use compio::net::TcpListener;
use endivedyke::Result;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};

use crate::http_text::text_response;

/// The header of all answers with the era: how many times the store was restored from an older
/// copy.
const ERA_HEADER: &str = "store-era";
/// The interval at which waiting calls check for changes.
const WATCH_POLL: Duration = Duration::from_millis(10);
/// The maximum number of items in a page; smaller than the platform's, so that tests read several
/// pages.
const PAGE_ITEMS: usize = 8;
/// The size of the values after which a page ends, in bytes, as on the platform.
const PAGE_BYTES: usize = 1_000_000;

/// A fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// It does not answer.
    Silent,
    /// It answers that it is busy.
    Busy,
    /// It answers that there are too many calls.
    TooMany,
    /// It answers with malformed JSON.
    Garbled,
}

#[derive(Debug, Clone)]
struct Item {
    key: String,
    value: Option<String>,
    revision: u64,
}

#[derive(Debug, Default)]
struct Store {
    items: Vec<Item>,
    events: Vec<Item>,
    revision: u64,
    /// Changes up to this revision are no longer in `events`.
    forgotten_revision: u64,
    fault: Option<StoreFault>,
    /// Hosts whose calls get status 503.
    rejected_hosts: Vec<Ipv4Addr>,
    /// The items and the revision that stale reads return, if they are frozen.
    stale: Option<(Vec<Item>, u64)>,
    calls: u64,
    /// The number of restores from an older copy.
    era: u64,
}

/// The items of a store at one time, from which it can be restored.
#[derive(Debug, Clone)]
pub struct StoreSnapshot {
    items: Vec<Item>,
    revision: u64,
}

/// A handle to a running store, with which tests act as operators.
#[derive(Debug, Clone)]
pub struct StoreHandle {
    store: Rc<RefCell<Store>>,
}

type Answer = Response<Full<Bytes>>;

impl StoreHandle {
    /// Starts the store at an address.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if the address is already in use.
    pub async fn start(address: SocketAddr) -> Result<Self> {
        let handle = Self {
            store: Rc::default(),
        };
        let listener = TcpListener::bind(address).await?;
        let served = handle.clone();
        let serving = async move {
            loop {
                let Ok((stream, peer)) = listener.accept().await else {
                    continue;
                };
                let served = served.clone();
                let answer = move |request| served.clone().answer(peer.ip(), request);
                compio::runtime::spawn(endivedyke::serve_http_connection(stream, answer)).detach();
            }
        };
        compio::runtime::spawn(serving).detach();
        Ok(handle)
    }

    /// Writes a value.
    pub fn put(&self, key: &str, value: &Value) {
        self.change(key, Some(value.to_string()));
    }

    /// Removes a value.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let mut store = self.store.borrow_mut();
        store.revision += 1;
        let item = Item {
            key: key.to_owned(),
            value: value.map(|value| BASE64_STANDARD.encode(value)),
            revision: store.revision,
        };
        store.items.retain(|other| other.key != key);
        if item.value.is_some() {
            let at = store.items.partition_point(|other| other.key < item.key);
            store.items.insert(at, item.clone());
        }
        store.events.push(item);
    }

    /// Sets or clears a fault for all hosts.
    pub fn set_fault(&self, fault: Option<StoreFault>) {
        self.store.borrow_mut().fault = fault;
    }

    /// Rejects the calls of these hosts, and of no others.
    pub fn reject_hosts(&self, hosts: &[Ipv4Addr]) {
        self.store.borrow_mut().rejected_hosts = hosts.to_vec();
    }

    /// Forgets the history of changes; waiting watches are answered with status 410.
    pub fn forget_history(&self) {
        let mut store = self.store.borrow_mut();
        store.forgotten_revision = store.revision;
        store.events.clear();
    }

    /// Returns a snapshot of the items.
    pub fn snapshot(&self) -> StoreSnapshot {
        let store = self.store.borrow();
        StoreSnapshot {
            items: store.items.clone(),
            revision: store.revision,
        }
    }

    /// Restores the store from a snapshot. Later writes are lost, and their revisions are used again.
    pub fn restore(&self, snapshot: &StoreSnapshot) {
        let mut store = self.store.borrow_mut();
        store.items = snapshot.items.clone();
        store.revision = snapshot.revision;
        store
            .events
            .retain(|item| item.revision <= snapshot.revision);
        store.forgotten_revision = store.forgotten_revision.min(snapshot.revision);
        store.stale = None;
        store.era += 1;
    }

    /// Returns the keys of all items whose key starts with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let store = self.store.borrow();
        let keys = store.items.iter().map(|item| item.key.clone());
        keys.filter(|key| key.starts_with(prefix)).collect()
    }

    /// Freezes the state that stale reads return, or lets them return the newest one again.
    pub fn freeze_stale_reads(&self, frozen: bool) {
        let mut store = self.store.borrow_mut();
        store.stale = frozen.then(|| (store.items.clone(), store.revision));
    }

    /// Returns the number of calls received.
    pub fn call_count(&self) -> u64 {
        self.store.borrow().calls
    }

    async fn answer(self, from: IpAddr, request: Request<Incoming>) -> Answer {
        let mut answer = self.clone().answer_without_era(from, request).await;
        let era = HeaderValue::from(self.store.borrow().era);
        answer.headers_mut().insert(ERA_HEADER, era);
        answer
    }

    async fn answer_without_era(self, from: IpAddr, request: Request<Incoming>) -> Answer {
        self.store.borrow_mut().calls += 1;
        let query = request.uri().query().unwrap_or("").to_owned();
        loop {
            let (fault, is_rejected) = {
                let store = self.store.borrow();
                let is_rejected = store
                    .rejected_hosts
                    .iter()
                    .any(|host| from == IpAddr::V4(*host));
                (store.fault, is_rejected)
            };
            match fault {
                _ if is_rejected => return text_response(StatusCode::SERVICE_UNAVAILABLE, "{}"),
                None => break,
                Some(StoreFault::Silent) => compio::time::sleep(WATCH_POLL).await,
                Some(StoreFault::Busy) => {
                    return text_response(StatusCode::SERVICE_UNAVAILABLE, "{}");
                }
                Some(StoreFault::TooMany) => {
                    return text_response(StatusCode::TOO_MANY_REQUESTS, "{}");
                }
                Some(StoreFault::Garbled) => return text_response(StatusCode::OK, "{\"items\":7"),
            }
        }
        match request.uri().path() {
            "/api/kv-range" => self.range(&query),
            "/api/kv-watch" => self.watch(&query).await,
            _ => text_response(StatusCode::NOT_FOUND, "{}"),
        }
    }

    fn range(&self, query: &str) -> Answer {
        let store = self.store.borrow();
        let stale = query_parameter(query, "staleOk") == "1";
        let (items, revision) = match &store.stale {
            Some((items, revision)) if stale => (items, *revision),
            _ => (&store.items, store.revision),
        };
        let (prefix, after) = (
            query_parameter(query, "prefix"),
            query_parameter(query, "after"),
        );
        let found: Vec<&Item> = items
            .iter()
            .filter(|item| item.key.starts_with(&prefix) && item.key > after)
            .collect();
        let mut bytes = 0;
        let page: Vec<Value> = found
            .iter()
            .take(PAGE_ITEMS)
            .take_while(|item| {
                let fits = bytes < PAGE_BYTES;
                bytes += item.value.as_ref().map_or(0, String::len);
                fits
            })
            .map(|item| item_json(item))
            .collect();
        let has_more = page.len() < found.len();
        let body = json!({"items": page, "hasMore": has_more, "storeRevision": revision});
        text_response(StatusCode::OK, body.to_string())
    }

    async fn watch(&self, query: &str) -> Answer {
        let after: u64 = query_parameter(query, "after").parse().unwrap_or(0);
        let wait_ms: u64 = query_parameter(query, "waitMs").parse().unwrap_or(0);
        let prefix = query_parameter(query, "prefix");
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let store = self.store.borrow();
                if after < store.forgotten_revision || after > store.revision {
                    return text_response(StatusCode::GONE, "{}");
                }
                let newer = store.events.iter();
                let newer =
                    newer.filter(|item| item.revision > after && item.key.starts_with(&prefix));
                let events: Vec<Value> = newer.map(item_json).collect();
                if store.fault.is_none() && (!events.is_empty() || Instant::now() >= until) {
                    let body = json!({"events": events, "storeRevision": store.revision});
                    return text_response(StatusCode::OK, body.to_string());
                }
            }
            compio::time::sleep(WATCH_POLL).await;
        }
    }
}

fn query_parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    let value = found.next().map_or("", |(_, value)| value);
    percent_decode_str(value).decode_utf8_lossy().into_owned()
}

fn item_json(item: &Item) -> Value {
    match &item.value {
        Some(value) => json!({
            "key": item.key, "value": value, "revision": item.revision, "createdRev": item.revision,
            "lease": 0,
        }),
        None => json!({"key": item.key, "revision": item.revision, "removed": true}),
    }
}
