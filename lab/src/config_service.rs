//! A stand-in for the platform's configuration service. It is read and watched as docs/PLATFORM.md
//! specifies, and written through `/admin` only.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpListener;
use endivedyke::Result;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::http_text::text_response;

const MAX_VALUE_BYTES: usize = 1 << 20;
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The published values at one moment.
#[derive(Debug, Clone, Default)]
struct Snapshot {
    /// The name, revision and text of each value.
    values: Vec<(String, u64, String)>,
    highest_revision: u64,
    /// The number of times that the service was restored from an older copy.
    era: u64,
}

/// How the service responds to reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResponseMode {
    Normal,
    /// Does not respond until the mode changes.
    Silent,
    /// Responds with the values of the moment at which the mode was set.
    Stale,
    /// Responds with the values before the last change.
    RolledBack,
}

struct Service {
    published: Snapshot,
    history: Vec<Snapshot>,
    stale_snapshot: Snapshot,
    mode: ResponseMode,
    calls: u64,
}

type SharedService = Rc<RefCell<Service>>;
type TextResponse = Response<Full<Bytes>>;

/// Serves requests at `address` forever.
pub(crate) async fn run(address: SocketAddr) -> Result<()> {
    let service = Rc::new(RefCell::new(Service {
        published: Snapshot::default(),
        history: Vec::new(),
        stale_snapshot: Snapshot::default(),
        mode: ResponseMode::Normal,
        calls: 0,
    }));
    let listener = TcpListener::bind(address).await?;
    endivedyke::serve_http(listener, move |request| handle(service.clone(), request)).await;
    Ok(())
}

async fn handle(service: SharedService, request: Request<Incoming>) -> TextResponse {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    if let Some(path) = path.strip_prefix("/admin/") {
        let body = body.collect().await.map(|body| body.to_bytes());
        return handle_admin(&service, path, &body.unwrap_or_default());
    }
    service.borrow_mut().calls += 1;
    while service.borrow().mode == ResponseMode::Silent {
        compio::time::sleep(WATCH_POLL_INTERVAL).await;
    }
    if let Some(name) = path.strip_prefix("/values/") {
        return read_value(&service.borrow(), name);
    }
    if path == "/changes" {
        let query = head.uri.query().unwrap_or("");
        return watch_changes(
            &service,
            query_number(query, "since"),
            query_number(query, "wait_ms"),
        )
        .await;
    }
    text_response(StatusCode::NOT_FOUND, "no such path\n")
}

/// Returns the number in a query parameter, or 0 if there is none.
fn query_number(query: &str, name: &str) -> u64 {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value);
    found
        .next_back()
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

impl Service {
    /// Returns the values that the service shows in its current mode.
    fn visible(&self) -> &Snapshot {
        match self.mode {
            ResponseMode::Normal | ResponseMode::Silent => &self.published,
            ResponseMode::Stale => &self.stale_snapshot,
            ResponseMode::RolledBack => self.history.last().unwrap_or(&self.published),
        }
    }

    /// Restores the values from before the last `changes` changes, and increments the era.
    fn restore(&mut self, changes: usize) {
        let index = self.history.len().saturating_sub(changes);
        let Some(copy) = self.history.get(index).cloned() else {
            return;
        };
        self.history.truncate(index);
        let era = self.published.era + 1;
        self.published = Snapshot { era, ..copy };
    }

    /// Publishes a value and returns its revision.
    fn put(&mut self, name: &str, value: &str) -> u64 {
        self.history.push(self.published.clone());
        self.published.highest_revision += 1;
        let revision = self.published.highest_revision;
        self.published.values.retain(|(known, _, _)| known != name);
        let value = (name.to_owned(), revision, value.to_owned());
        self.published.values.push(value);
        revision
    }
}

fn with_revision(mut response: TextResponse, revision: u64, era: u64) -> TextResponse {
    response.headers_mut().insert("revision", revision.into());
    response.headers_mut().insert("era", era.into());
    response
}

fn read_value(service: &Service, name: &str) -> TextResponse {
    let visible = service.visible();
    let mut values = visible.values.iter();
    let found = values.find(|(known, _, _)| known == name);
    match found {
        Some((_, revision, value)) => with_revision(
            text_response(StatusCode::OK, value.clone()),
            *revision,
            visible.era,
        ),
        None => text_response(StatusCode::NOT_FOUND, "no such value\n"),
    }
}

/// Returns the names and revisions of the values newer than `since`, and waits for up to `wait_ms`
/// if there are none.
async fn watch_changes(service: &SharedService, since: u64, wait_ms: u64) -> TextResponse {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let visible = service.borrow().visible().clone();
        let newer = visible
            .values
            .iter()
            .filter(|(_, revision, _)| *revision > since);
        let lines: String = newer
            .map(|(name, revision, _)| format!("{name} {revision}\n"))
            .collect();
        let is_silent = service.borrow().mode == ResponseMode::Silent;
        if !is_silent && (!lines.is_empty() || Instant::now() >= deadline) {
            return with_revision(
                text_response(StatusCode::OK, lines),
                visible.highest_revision,
                visible.era,
            );
        }
        compio::time::sleep(WATCH_POLL_INTERVAL).await;
    }
}

fn handle_admin(service: &SharedService, path: &str, body: &[u8]) -> TextResponse {
    let mut service = service.borrow_mut();
    if path == "calls" {
        return text_response(StatusCode::OK, service.calls.to_string());
    }
    if let Some(name) = path.strip_prefix("values/") {
        if body.len() > MAX_VALUE_BYTES {
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, "larger than a megabyte\n");
        }
        let revision = service.put(name, &String::from_utf8_lossy(body));
        return text_response(StatusCode::OK, revision.to_string());
    }
    if path == "restore" {
        let changes = String::from_utf8_lossy(body).parse().unwrap_or(0);
        service.restore(changes);
        return text_response(StatusCode::OK, "done\n");
    }
    let mode = match path {
        "mode/normal" => ResponseMode::Normal,
        "mode/silent" => ResponseMode::Silent,
        "mode/stale" => ResponseMode::Stale,
        "mode/rolled-back" => ResponseMode::RolledBack,
        _ => return text_response(StatusCode::NOT_FOUND, "unknown command\n"),
    };
    service.stale_snapshot = service.published.clone();
    service.mode = mode;
    text_response(StatusCode::OK, "done\n")
}
