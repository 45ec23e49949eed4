//! A proxy between the processes and the store, which harms the connections that pass through it.

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
/// How often a held connection looks whether it may go on.
const POLL: Duration = Duration::from_millis(10);

/// What the proxy does to connections, until it is told otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes arrive late, by so many milliseconds.
    Delay(u64),
    /// Requests arrive, and their answers don't.
    CutAnswers,
    /// Nothing passes in either direction.
    Cut,
}

#[derive(Debug, Default)]
struct Links {
    fault: Cell<Option<LinkFault>>,
    /// Connections with a lower number are silent for good, while new ones work.
    silent_below: Cell<u64>,
    next: Cell<u64>,
    /// Each connection lives as long as its end of this.
    open: RefCell<Vec<oneshot::Sender<()>>>,
}

/// A running proxy.
#[derive(Debug, Clone)]
pub struct ProxyHandle {
    links: Rc<Links>,
}

impl ProxyHandle {
    /// Starts a proxy at an address, in front of another one.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where the address is taken.
    pub async fn start(address: SocketAddr, to: SocketAddr) -> Result<Self> {
        let links: Rc<Links> = Rc::default();
        let listener = TcpListener::bind(address).await?;
        let accepting = links.clone();
        compio::runtime::spawn(async move {
            loop {
                if let Ok((stream, peer)) = listener.accept().await {
                    accepting.clone().accept(stream, peer.ip(), to);
                }
            }
        })
        .detach();
        Ok(Self { links })
    }

    /// Starts or ends a fault of all connections.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        self.links.fault.set(fault);
    }

    /// Breaks all open connections.
    pub fn break_connections(&self) {
        self.links.open.borrow_mut().clear();
    }

    /// Lets nothing pass any more on the connections that are open now; they stay open.
    pub fn silence_open_connections(&self) {
        self.links.silent_below.set(self.links.next.get());
    }
}

impl Links {
    fn accept(self: Rc<Self>, stream: TcpStream, peer: IpAddr, to: SocketAddr) {
        let number = self.next.replace(self.next.get() + 1);
        let (alive, ended) = oneshot::channel();
        let mut open = self.open.borrow_mut();
        open.retain(|link| !link.is_canceled());
        open.push(alive);
        drop(open);
        compio::runtime::spawn(async move {
            let Ok(inner) = connect_from(peer, to) else {
                return;
            };
            let requests = self.pump(number, stream.clone(), inner.clone(), false);
            let answers = self.pump(number, inner, stream, true);
            let both = select(Box::pin(requests), Box::pin(answers));
            // One end of a connection that closes ends both of its directions.
            select(Box::pin(both), ended).await;
        })
        .detach();
    }

    async fn pump(&self, number: u64, mut from: TcpStream, mut to: TcpStream, answers: bool) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(result, received) = from.read(buffer).await;
            if !matches!(result, Ok(1..)) {
                return;
            }
            self.hold(number, answers).await;
            let BufResult(result, sent) = to.write_all(received).await;
            if result.is_err() {
                return;
            }
            buffer = sent;
        }
    }

    /// Returns once bytes may go on.
    async fn hold(&self, number: u64, answers: bool) {
        if let Some(LinkFault::Delay(delay_ms)) = self.fault.get() {
            compio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        loop {
            let cut = match self.fault.get() {
                Some(LinkFault::Cut) => true,
                Some(LinkFault::CutAnswers) => answers,
                Some(LinkFault::Delay(_)) | None => false,
            };
            if !cut && number >= self.silent_below.get() {
                return;
            }
            compio::time::sleep(POLL).await;
        }
    }
}

/// Connects from a process's own address, by which the store tells hosts apart.
fn connect_from(from: IpAddr, to: SocketAddr) -> Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    socket.bind(&SocketAddr::new(from, 0).into())?;
    // The other end is on this machine, so that this does not wait.
    socket.connect(&to.into())?;
    socket.set_nonblocking(true)?;
    Ok(TcpStream::from_std(socket.into())?)
}
