//! A TCP proxy that injects faults into the connections that pass through it.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use endivedyke::Result;
use futures_channel::oneshot;
use futures_util::future::select;
use socket2::{Domain, Protocol, Socket, Type};

const BUFFER_BYTES: usize = 16 << 10;
/// The interval at which a blocked connection checks whether it may continue.
const POLL: Duration = Duration::from_millis(10);

/// A fault that the proxy injects into all connections until it is cleared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Data is delayed by this many milliseconds.
    Delay(u64),
    /// Requests pass, and answers do not.
    CutAnswers,
    /// No data passes in either direction.
    Cut,
}

#[derive(Debug, Default)]
struct ProxyState {
    fault: Cell<Option<LinkFault>>,
    /// Connections with a lower number pass no more data, while new ones work.
    silent_below: Cell<u64>,
    next_number: Cell<u64>,
    /// One sender for each open connection. Dropping it closes the connection.
    open: RefCell<Vec<oneshot::Sender<()>>>,
}

/// A handle to a running proxy.
#[derive(Debug, Clone)]
pub struct ProxyHandle {
    state: Rc<ProxyState>,
}

impl ProxyHandle {
    /// Starts a proxy that listens at `address` and forwards connections to `to`.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if the address is already in use.
    pub async fn start(address: SocketAddr, to: SocketAddr) -> Result<Self> {
        let state: Rc<ProxyState> = Rc::default();
        let listener = TcpListener::bind(address).await?;
        let accepting = state.clone();
        compio::runtime::spawn(async move {
            loop {
                if let Ok((stream, peer)) = listener.accept().await {
                    accepting.clone().accept(stream, peer.ip(), to);
                }
            }
        })
        .detach();
        Ok(Self { state })
    }

    /// Sets or clears the fault of all connections.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        self.state.fault.set(fault);
    }

    /// Closes all open connections.
    pub fn break_connections(&self) {
        self.state.open.borrow_mut().clear();
    }

    /// Stops all data on the connections that are open now, without closing them.
    pub fn silence_open_connections(&self) {
        self.state.silent_below.set(self.state.next_number.get());
    }
}

impl ProxyState {
    fn accept(self: Rc<Self>, stream: TcpStream, peer: IpAddr, to: SocketAddr) {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let (alive, ended) = oneshot::channel();
        let mut open = self.open.borrow_mut();
        open.retain(|link| !link.is_canceled());
        open.push(alive);
        drop(open);
        compio::runtime::spawn(async move {
            let Ok(inner) = connect_from(peer, to) else {
                return;
            };
            let requests = self.forward(number, stream.clone(), inner.clone(), false);
            let answers = self.forward(number, inner, stream, true);
            let both = select(Box::pin(requests), Box::pin(answers));
            // If one direction ends, the other one is closed too.
            select(Box::pin(both), ended).await;
        })
        .detach();
    }

    async fn forward(&self, number: u64, mut from: TcpStream, mut to: TcpStream, is_answers: bool) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(result, received) = from.read(buffer).await;
            if !matches!(result, Ok(1..)) {
                return;
            }
            self.wait_until_allowed(number, is_answers).await;
            let BufResult(result, sent) = to.write_all(received).await;
            if result.is_err() {
                return;
            }
            buffer = sent;
        }
    }

    /// Waits until received data may be forwarded.
    async fn wait_until_allowed(&self, number: u64, is_answers: bool) {
        if let Some(LinkFault::Delay(delay_ms)) = self.fault.get() {
            compio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        loop {
            let is_cut = match self.fault.get() {
                Some(LinkFault::Cut) => true,
                Some(LinkFault::CutAnswers) => is_answers,
                Some(LinkFault::Delay(_)) | None => false,
            };
            if !is_cut && number >= self.silent_below.get() {
                return;
            }
            compio::time::sleep(POLL).await;
        }
    }
}

/// Connects from the address of a process, by which the store distinguishes hosts.
fn connect_from(from: IpAddr, to: SocketAddr) -> Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    socket.bind(&SocketAddr::new(from, 0).into())?;
    // The other end is on this machine, so a blocking connect returns at once.
    socket.connect(&to.into())?;
    socket.set_nonblocking(true)?;
    Ok(TcpStream::from_std(socket.into())?)
}
