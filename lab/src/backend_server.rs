//! A stand-in for a backend server: slots, service time, feeds, claims, and ways to misbehave.
//!
//! It keeps a journal of what it ran, from which the lab counts doubled and lost claims and
//! requests beyond its slots.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpListener;
use endivedyke::{Result, TIMEOUT_HEADER, bytes_hash};
use futures_channel::mpsc;
use futures_util::SinkExt;
use http::{Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// What a backend server is told at its start.
#[derive(Debug, Clone)]
pub(crate) struct BackendOptions {
    pub(crate) address: SocketAddr,
    pub(crate) service: String,
    pub(crate) slots: u32,
    pub(crate) service_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Normal,
    FailFast,
    Shed,
    Slow,
    Cold,
}

struct Backend {
    options: BackendOptions,
    running: Cell<u32>,
    most_running: Cell<u32>,
    served: Cell<u64>,
    busy_ms: Cell<u64>,
    claims: RefCell<Vec<String>>,
    mode: Cell<Mode>,
    mode_since: Cell<Instant>,
    cancelled: Cell<u64>,
}

/// How often its usual time a request takes at a slow or a cold server.
const SLOWDOWN: u64 = 10;
/// How long a cold server takes to reach its usual speed, in milliseconds.
const WARM_UP_MS: u64 = 5_000;

/// Counts a request that holds a slot, and whether its client went before its end.
struct Running {
    backend: Rc<Backend>,
    finished: Cell<bool>,
}

impl Running {
    fn new(backend: &Rc<Backend>) -> Self {
        let running = backend.running.get() + 1;
        backend.running.set(running);
        backend
            .most_running
            .set(backend.most_running.get().max(running));
        Self {
            backend: backend.clone(),
            finished: Cell::new(false),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let backend = &self.backend;
        backend.running.set(backend.running.get() - 1);
        if !self.finished.get() {
            backend.cancelled.set(backend.cancelled.get() + 1);
        }
    }
}

/// Serves forever.
pub(crate) async fn run(options: BackendOptions) -> Result<()> {
    let listener = TcpListener::bind(options.address).await?;
    let backend = Rc::new(Backend {
        options,
        running: Cell::new(0),
        most_running: Cell::new(0),
        served: Cell::new(0),
        busy_ms: Cell::new(0),
        claims: RefCell::default(),
        mode: Cell::new(Mode::Normal),
        mode_since: Cell::new(Instant::now()),
        cancelled: Cell::new(0),
    });
    endivedyke::serve_http(listener, move |request| answer(backend.clone(), request)).await;
    Ok(())
}

fn whole(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(text.into()).boxed_unsync());
    *response.status_mut() = status;
    response
}

async fn answer(backend: Rc<Backend>, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let words: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (&head.method, words.as_slice()) {
        (&Method::GET, ["health"]) => whole(StatusCode::OK, "healthy\n"),
        (_, ["lab", order @ ..]) => backend.obey(order),
        (&Method::GET, ["feed", id, events, period_ms]) => {
            feed(&backend, id, parse(events), parse(period_ms))
        }
        (_, ["status" | "claim" | "upload", _]) => {
            work(&backend, &head.method, &words, left_ms(&head.headers), body).await
        }
        _ => whole(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

/// Returns the time that the request has left, by its header.
fn left_ms(headers: &http::HeaderMap) -> Option<u64> {
    headers.get(TIMEOUT_HEADER)?.to_str().ok()?.parse().ok()
}

fn parse(word: &str) -> u64 {
    word.parse().unwrap_or(0)
}

async fn work(
    backend: &Rc<Backend>,
    method: &Method,
    words: &[&str],
    left_ms: Option<u64>,
    body: Incoming,
) -> Response<Body> {
    match backend.mode.get() {
        Mode::FailFast => return whole(StatusCode::INTERNAL_SERVER_ERROR, "fails\n"),
        Mode::Shed => return shed(),
        Mode::Normal | Mode::Slow | Mode::Cold => {}
    }
    let service_ms = backend.service_ms();
    if left_ms.is_some_and(|left_ms| left_ms < service_ms) {
        return shed();
    }
    let running = Running::new(backend);
    let Ok(body) = body.collect().await else {
        return whole(StatusCode::BAD_REQUEST, "the body ended early\n");
    };
    let body = body.to_bytes();
    let id = words[1];
    if words[0] == "claim" && method == Method::POST {
        backend.claims.borrow_mut().push(id.to_owned());
    }
    let slow = if backend.mode.get() == Mode::Slow {
        10
    } else {
        1
    };
    let service_ms = backend.options.service_ms * slow;
    compio::time::sleep(Duration::from_millis(service_ms)).await;
    running.finished.set(true);
    backend.served.set(backend.served.get() + 1);
    backend.busy_ms.set(backend.busy_ms.get() + service_ms);
    let service = &backend.options.service;
    whole(
        StatusCode::OK,
        format!(
            "{service} {} {id} {} {:016x}\n",
            words[0],
            body.len(),
            bytes_hash(&body)
        ),
    )
}

fn shed() -> Response<Body> {
    let mut response = whole(StatusCode::SERVICE_UNAVAILABLE, "sheds load\n");
    response.headers_mut().insert("retry-after", 1.into());
    response
}

fn feed(backend: &Rc<Backend>, id: &str, events: u64, period_ms: u64) -> Response<Body> {
    let (mut sender, receiver) = mpsc::channel::<std::result::Result<Frame<Bytes>, Infallible>>(1);
    let start = format!("data: {} {id}", backend.options.service);
    compio::runtime::spawn(async move {
        for sequence in 0..events {
            compio::time::sleep(Duration::from_millis(period_ms)).await;
            let event = Bytes::from(format!("{start} {sequence}\n\n"));
            if sender.send(Ok(Frame::data(event))).await.is_err() {
                return;
            }
        }
    })
    .detach();
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(receiver)));
    let headers = response.headers_mut();
    headers.insert(
        "content-type",
        http::HeaderValue::from_static("text/event-stream"),
    );
    response
}

impl Backend {
    fn obey(&self, order: &[&str]) -> Response<Body> {
        let mode = match order {
            ["claims"] => return whole(StatusCode::OK, self.claims.borrow().join("\n")),
            ["counts"] => return whole(StatusCode::OK, self.counts()),
            ["mode", "normal"] => Mode::Normal,
            ["mode", "fail-fast"] => Mode::FailFast,
            ["mode", "shed"] => Mode::Shed,
            ["mode", "slow"] => Mode::Slow,
            ["mode", "cold"] => Mode::Cold,
            _ => return whole(StatusCode::NOT_FOUND, "no such order\n"),
        };
        self.mode.set(mode);
        self.mode_since.set(Instant::now());
        whole(StatusCode::OK, "done\n")
    }

    /// Returns how long a request takes now.
    fn service_ms(&self) -> u64 {
        let usual_ms = self.options.service_ms;
        match self.mode.get() {
            Mode::Slow => usual_ms * SLOWDOWN,
            Mode::Cold => {
                let since_ms = self.mode_since.get().elapsed().as_millis() as u64;
                let cold_ms = WARM_UP_MS.saturating_sub(since_ms);
                usual_ms + usual_ms * (SLOWDOWN - 1) * cold_ms / WARM_UP_MS
            }
            _ => usual_ms,
        }
    }

    fn counts(&self) -> String {
        let counts = serde_json::json!({
            "served": self.served.get(),
            "busy_ms": self.busy_ms.get(),
            "cancelled": self.cancelled.get(),
            "most_running": self.most_running.get(),
            "slots": self.options.slots,
        });
        counts.to_string()
    }
}
