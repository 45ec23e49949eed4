//! A caller: speaks HTTP/3 as docs/CALLERS.md asks, and tells what it saw.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use compio::quic::h3::OpenStreams;
use compio::quic::h3::client::{RequestStream, SendRequest};
use compio::quic::{
    ClientBuilder, ClientConfig, Connection, ConnectionError, Endpoint, IdleTimeout,
    TransportConfig, VarInt, h3,
};
use compio::runtime::JoinHandle;
use endivedyke::{CODE_HEADER, Code, Error, Result, TICKET_HEADER, TIMEOUT_HEADER};
use http::{Method, Request};

const KEEP_ALIVE: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT_MS: u32 = 10_000;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(8);
const REQUEST_TIMEOUT_MS: u64 = 8_000;
const H3_NO_ERROR: u64 = 0x100;

type Stream = RequestStream<h3::BidiStream<Bytes>, Bytes>;

/// What came back for one try of a request.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The number of the result code, or 0.
    pub code: u16,
    /// After how long to come back, in milliseconds.
    pub retry_after_ms: u64,
    /// The ticket for the next try.
    pub ticket: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// Returns the result code, if it is a known one.
    pub fn result_code(&self) -> Option<Code> {
        Code::from_number(self.code)
    }
}

struct Flow {
    sender: SendRequest<OpenStreams, Bytes>,
    quic: Connection,
    _driver: JoinHandle<()>,
}

/// A caller of one service with at most one flow at a time.
pub struct Caller {
    service: SocketAddr,
    endpoint: Endpoint,
    flow: Option<Flow>,
    flows_opened: u64,
    flows_broken: u64,
}

impl Caller {
    /// Makes a caller with an address of its own.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where no socket can be had.
    pub async fn new(service: SocketAddr) -> Result<Caller> {
        let mut endpoint = Endpoint::client((Ipv4Addr::LOCALHOST, 0)).await?;
        endpoint.default_client_config = Some(client_config());
        Ok(Caller {
            service,
            endpoint,
            flow: None,
            flows_opened: 0,
            flows_broken: 0,
        })
    }

    /// Returns how many flows were opened and how many of them were lost while in use.
    pub fn flow_counts(&self) -> (u64, u64) {
        (self.flows_opened, self.flows_broken)
    }

    /// Opens the flow, if none is open.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where the service refuses it or does not answer.
    pub async fn connect(&mut self) -> Result<()> {
        if let Some(flow) = &self.flow {
            if flow.quic.close_reason().is_none() {
                return Ok(());
            }
            self.drop_flow();
        }
        let connecting = self.endpoint.connect(self.service, "localhost", None);
        let connecting = connecting.map_err(failed)?;
        let quic = compio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let quic = quic
            .map_err(|_| failed("no handshake in time"))?
            .map_err(failed)?;
        let (mut driver, sender) = h3::client::new(quic.clone()).await.map_err(failed)?;
        let driver = compio::runtime::spawn(async move {
            driver.wait_idle().await;
        });
        self.flows_opened += 1;
        self.flow = Some(Flow {
            sender,
            quic,
            _driver: driver,
        });
        Ok(())
    }

    /// Gives the flow up, so that the next request opens another, and counts it if it was broken.
    pub fn drop_flow(&mut self) {
        let Some(flow) = self.flow.take() else {
            return;
        };
        if flow
            .quic
            .close_reason()
            .is_some_and(|reason| is_broken(&reason))
        {
            self.flows_broken += 1;
        }
    }

    /// Sends a request once and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where the flow is lost before the answer is whole.
    pub async fn call(
        &mut self,
        method: &Method,
        path: &str,
        ticket: Option<&str>,
        body: &Bytes,
    ) -> Result<Reply> {
        self.connect().await?;
        let result = self.exchange(method, path, ticket, body).await;
        if result.is_err() {
            self.drop_flow();
        }
        result
    }

    async fn exchange(
        &mut self,
        method: &Method,
        path: &str,
        ticket: Option<&str>,
        body: &Bytes,
    ) -> Result<Reply> {
        let request = Request::builder()
            .method(method)
            .uri(format!("https://localhost{path}"))
            .header(TIMEOUT_HEADER, REQUEST_TIMEOUT_MS)
            .header("content-length", body.len());
        let request = match ticket {
            Some(ticket) => request.header(TICKET_HEADER, ticket),
            None => request,
        };
        let mut stream = self.send(request.body(()).map_err(failed)?).await?;
        if !body.is_empty() {
            // An answer can come before the body is taken; then the answer counts.
            let _ = stream.send_data(body.clone()).await;
        }
        let _ = stream.finish().await;
        read_reply(&mut stream).await
    }

    async fn send(&mut self, request: Request<()>) -> Result<Stream> {
        let flow = self.flow.as_mut().ok_or_else(|| failed("no flow"))?;
        flow.sender.send_request(request).await.map_err(failed)
    }

    /// Reads a feed of `events` events and hands each piece of it to `seen`.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where the feed breaks off.
    pub async fn read_feed(&mut self, path: &str, mut seen: impl FnMut(&[u8])) -> Result<()> {
        self.connect().await?;
        let request = Request::get(format!("https://localhost{path}"))
            .header("accept", "text/event-stream")
            .body(())
            .map_err(failed)?;
        let mut stream = self.send(request).await?;
        stream.finish().await.map_err(failed)?;
        let head = stream.recv_response().await.map_err(failed)?;
        if !head.status().is_success() {
            return Err(failed(head.status()));
        }
        while let Some(mut piece) = stream.recv_data().await.map_err(failed)? {
            seen(&piece.copy_to_bytes(piece.remaining()));
        }
        Ok(())
    }
}

async fn read_reply(stream: &mut Stream) -> Result<Reply> {
    let head = stream.recv_response().await.map_err(failed)?;
    let mut body = BytesMut::new();
    while let Some(mut piece) = stream.recv_data().await.map_err(failed)? {
        body.extend_from_slice(&piece.copy_to_bytes(piece.remaining()));
    }
    let header = |name: &str| head.headers().get(name)?.to_str().ok();
    let number = |name: &str| header(name).and_then(|value| value.parse::<u64>().ok());
    Ok(Reply {
        status: head.status().as_u16(),
        code: number(CODE_HEADER).unwrap_or(0) as u16,
        retry_after_ms: number("retry-after").unwrap_or(0) * 1_000,
        ticket: header(TICKET_HEADER).map(str::to_owned),
        body: body.freeze(),
    })
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::new(Code::Io, error.to_string())
}

/// Tells whether a flow ended otherwise than by a close that its agent or caller meant.
fn is_broken(reason: &ConnectionError) -> bool {
    match reason {
        ConnectionError::LocallyClosed => false,
        ConnectionError::ApplicationClosed(close) => u64::from(close.error_code) != H3_NO_ERROR,
        _ => true,
    }
}

/// Trusts any certificate, since the lab makes its own.
fn client_config() -> ClientConfig {
    let builder = ClientBuilder::new_with_no_server_verification();
    let mut config = builder.with_alpn_protocols(&["h3"]).build();
    let mut transport = TransportConfig::default();
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
    config.transport_config(Arc::new(transport));
    config
}
