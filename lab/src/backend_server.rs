//! A stand-in for a backend server, with a service time, feeds, claims and failure modes.
//!
//! It records the claims that it executes and the greatest number of concurrent requests, so that
//! the lab can count duplicate and lost claims and check that the slots are not exceeded.

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

/// The options of a backend server.
#[derive(Debug, Clone)]
pub(crate) struct BackendOptions {
    pub(crate) address: SocketAddr,
    pub(crate) service: String,
    pub(crate) slots: u32,
    pub(crate) service_ms: u64,
}

/// How the server handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerMode {
    Normal,
    /// Responds with status 500 at once.
    FailFast,
    /// Responds with status 503 at once.
    Shed,
    Slow,
    /// Slow at first, and back to the usual speed after [`WARM_UP_MS`].
    Cold,
}

struct Backend {
    options: BackendOptions,
    running: Cell<u32>,
    most_running: Cell<u32>,
    served: Cell<u64>,
    busy_ms: Cell<u64>,
    claims: RefCell<Vec<String>>,
    mode: Cell<ServerMode>,
    mode_set_at: Cell<Instant>,
    cancelled: Cell<u64>,
}

/// The factor of the service time at a slow server, and at a cold server at first.
const SLOWDOWN: u64 = 10;
/// The time in which a cold server reaches its usual speed, in milliseconds.
const WARM_UP_MS: u64 = 5_000;

/// A running request, which holds a slot until it is dropped. If it is dropped before it is
/// finished, it counts as cancelled by its client.
struct RunningRequest {
    backend: Rc<Backend>,
    is_finished: Cell<bool>,
}

impl RunningRequest {
    fn new(backend: &Rc<Backend>) -> Self {
        let running = backend.running.get() + 1;
        backend.running.set(running);
        backend
            .most_running
            .set(backend.most_running.get().max(running));
        Self {
            backend: backend.clone(),
            is_finished: Cell::new(false),
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let backend = &self.backend;
        backend.running.set(backend.running.get() - 1);
        if !self.is_finished.get() {
            backend.cancelled.set(backend.cancelled.get() + 1);
        }
    }
}

/// Serves requests forever.
pub(crate) async fn run(options: BackendOptions) -> Result<()> {
    let listener = TcpListener::bind(options.address).await?;
    let backend = Rc::new(Backend {
        options,
        running: Cell::new(0),
        most_running: Cell::new(0),
        served: Cell::new(0),
        busy_ms: Cell::new(0),
        claims: RefCell::default(),
        mode: Cell::new(ServerMode::Normal),
        mode_set_at: Cell::new(Instant::now()),
        cancelled: Cell::new(0),
    });
    endivedyke::serve_http(listener, move |request| handle(backend.clone(), request)).await;
    Ok(())
}

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(text.into()).boxed_unsync());
    *response.status_mut() = status;
    response
}

async fn handle(backend: Rc<Backend>, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (&head.method, segments.as_slice()) {
        (&Method::GET, ["health"]) => text_response(StatusCode::OK, "healthy\n"),
        (_, ["lab", command @ ..]) => backend.run_command(command),
        (&Method::GET, ["feed", id, events, period_ms]) => feed_response(
            &backend,
            id,
            parse_or_zero(events),
            parse_or_zero(period_ms),
        ),
        (_, ["status" | "claim" | "upload", _]) => {
            serve_request(
                &backend,
                &head.method,
                &segments,
                remaining_ms(&head.headers),
                body,
            )
            .await
        }
        _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

/// Returns the remaining time of a request, from its timeout header.
fn remaining_ms(headers: &http::HeaderMap) -> Option<u64> {
    headers.get(TIMEOUT_HEADER)?.to_str().ok()?.parse().ok()
}

fn parse_or_zero(text: &str) -> u64 {
    text.parse().unwrap_or(0)
}

async fn serve_request(
    backend: &Rc<Backend>,
    method: &Method,
    segments: &[&str],
    remaining_ms: Option<u64>,
    body: Incoming,
) -> Response<Body> {
    match backend.mode.get() {
        ServerMode::FailFast => return text_response(StatusCode::INTERNAL_SERVER_ERROR, "fails\n"),
        ServerMode::Shed => return shed_response(),
        ServerMode::Normal | ServerMode::Slow | ServerMode::Cold => {}
    }
    let service_ms = backend.service_ms();
    if remaining_ms.is_some_and(|remaining_ms| remaining_ms < service_ms) {
        return shed_response();
    }
    let running = RunningRequest::new(backend);
    let Ok(body) = body.collect().await else {
        return text_response(StatusCode::BAD_REQUEST, "the body ended early\n");
    };
    let body = body.to_bytes();
    let id = segments[1];
    if segments[0] == "claim" && method == Method::POST {
        backend.claims.borrow_mut().push(id.to_owned());
    }
    let slowdown = if backend.mode.get() == ServerMode::Slow {
        10
    } else {
        1
    };
    let service_ms = backend.options.service_ms * slowdown;
    compio::time::sleep(Duration::from_millis(service_ms)).await;
    running.is_finished.set(true);
    backend.served.set(backend.served.get() + 1);
    backend.busy_ms.set(backend.busy_ms.get() + service_ms);
    let service = &backend.options.service;
    text_response(
        StatusCode::OK,
        format!(
            "{service} {} {id} {} {:016x}\n",
            segments[0],
            body.len(),
            bytes_hash(&body)
        ),
    )
}

fn shed_response() -> Response<Body> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "sheds load\n");
    response.headers_mut().insert("retry-after", 1.into());
    response
}

fn feed_response(backend: &Rc<Backend>, id: &str, events: u64, period_ms: u64) -> Response<Body> {
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
    /// Runs a command of the lab, given as the segments of its path.
    fn run_command(&self, command: &[&str]) -> Response<Body> {
        let mode = match command {
            ["claims"] => return text_response(StatusCode::OK, self.claims.borrow().join("\n")),
            ["counts"] => return text_response(StatusCode::OK, self.counts()),
            ["mode", "normal"] => ServerMode::Normal,
            ["mode", "fail-fast"] => ServerMode::FailFast,
            ["mode", "shed"] => ServerMode::Shed,
            ["mode", "slow"] => ServerMode::Slow,
            ["mode", "cold"] => ServerMode::Cold,
            _ => return text_response(StatusCode::NOT_FOUND, "unknown command\n"),
        };
        self.mode.set(mode);
        self.mode_set_at.set(Instant::now());
        text_response(StatusCode::OK, "done\n")
    }

    /// Returns the service time of a request in the current mode.
    fn service_ms(&self) -> u64 {
        let usual_ms = self.options.service_ms;
        match self.mode.get() {
            ServerMode::Slow => usual_ms * SLOWDOWN,
            ServerMode::Cold => {
                let since_ms = self.mode_set_at.get().elapsed().as_millis() as u64;
                let cold_ms = WARM_UP_MS.saturating_sub(since_ms);
                usual_ms + usual_ms * (SLOWDOWN - 1) * cold_ms / WARM_UP_MS
            }
            _ => usual_ms,
        }
    }

    /// Returns the server's counts as JSON.
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
