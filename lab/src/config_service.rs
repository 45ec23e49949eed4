//! A stand-in for the platform's configuration service; it is read and watched as
//! docs/PLATFORM.md says, and written only through `/admin`.

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
const WATCH_POLL: Duration = Duration::from_millis(10);

#[derive(Debug, Clone, Default)]
struct Published {
    values: Vec<(String, u64, String)>,
    highest: u64,
    /// How often the service has come back from an older copy.
    era: u64,
}

/// How the service answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Normal,
    Silent,
    Stale,
    RolledBack,
}

struct Service {
    published: Published,
    history: Vec<Published>,
    shown_when_stale: Published,
    mode: Mode,
    calls: u64,
}

type Shared = Rc<RefCell<Service>>;
type Answer = Response<Full<Bytes>>;

/// Serves at `address` forever.
pub(crate) async fn run(address: SocketAddr) -> Result<()> {
    let service = Rc::new(RefCell::new(Service {
        published: Published::default(),
        history: Vec::new(),
        shown_when_stale: Published::default(),
        mode: Mode::Normal,
        calls: 0,
    }));
    let listener = TcpListener::bind(address).await?;
    endivedyke::serve_http(listener, move |request| answer(service.clone(), request)).await;
    Ok(())
}

async fn answer(service: Shared, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    if let Some(path) = path.strip_prefix("/admin/") {
        let body = body.collect().await.map(|body| body.to_bytes());
        return admin(&service, path, &body.unwrap_or_default());
    }
    service.borrow_mut().calls += 1;
    while service.borrow().mode == Mode::Silent {
        compio::time::sleep(WATCH_POLL).await;
    }
    if let Some(name) = path.strip_prefix("/values/") {
        return read(&service.borrow(), name);
    }
    if path == "/changes" {
        let query = head.uri.query().unwrap_or("");
        return watch(&service, number(query, "since"), number(query, "wait_ms")).await;
    }
    text_response(StatusCode::NOT_FOUND, "no such path\n")
}

fn number(query: &str, name: &str) -> u64 {
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
    fn shown(&self) -> &Published {
        match self.mode {
            Mode::Normal | Mode::Silent => &self.published,
            Mode::Stale => &self.shown_when_stale,
            Mode::RolledBack => self.history.last().unwrap_or(&self.published),
        }
    }

    /// Comes back from a copy of before the last changes, and says so.
    fn restore(&mut self, changes: usize) {
        let at = self.history.len().saturating_sub(changes);
        let Some(copy) = self.history.get(at).cloned() else {
            return;
        };
        self.history.truncate(at);
        let era = self.published.era + 1;
        self.published = Published { era, ..copy };
    }

    fn put(&mut self, name: &str, value: &str) -> u64 {
        self.history.push(self.published.clone());
        self.published.highest += 1;
        let revision = self.published.highest;
        self.published.values.retain(|(known, _, _)| known != name);
        let value = (name.to_owned(), revision, value.to_owned());
        self.published.values.push(value);
        revision
    }
}

fn with_revision(mut response: Answer, revision: u64, era: u64) -> Answer {
    response.headers_mut().insert("revision", revision.into());
    response.headers_mut().insert("era", era.into());
    response
}

fn read(service: &Service, name: &str) -> Answer {
    let shown = service.shown();
    let mut values = shown.values.iter();
    let found = values.find(|(known, _, _)| known == name);
    match found {
        Some((_, revision, value)) => with_revision(
            text_response(StatusCode::OK, value.clone()),
            *revision,
            shown.era,
        ),
        None => text_response(StatusCode::NOT_FOUND, "no such value\n"),
    }
}

async fn watch(service: &Shared, since: u64, wait_ms: u64) -> Answer {
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let shown = service.borrow().shown().clone();
        let newer = shown
            .values
            .iter()
            .filter(|(_, revision, _)| *revision > since);
        let lines: String = newer
            .map(|(name, revision, _)| format!("{name} {revision}\n"))
            .collect();
        let silent = service.borrow().mode == Mode::Silent;
        if !silent && (!lines.is_empty() || Instant::now() >= until) {
            return with_revision(
                text_response(StatusCode::OK, lines),
                shown.highest,
                shown.era,
            );
        }
        compio::time::sleep(WATCH_POLL).await;
    }
}

fn admin(service: &Shared, path: &str, body: &[u8]) -> Answer {
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
        "mode/normal" => Mode::Normal,
        "mode/silent" => Mode::Silent,
        "mode/stale" => Mode::Stale,
        "mode/rolled-back" => Mode::RolledBack,
        _ => return text_response(StatusCode::NOT_FOUND, "no such order\n"),
    };
    service.shown_when_stale = service.published.clone();
    service.mode = mode;
    text_response(StatusCode::OK, "done\n")
}
