//! A stand-in for the fabric, which sprays each datagram of a caller to a random balancer.
//!
//! Each caller has its own address towards the balancers, as in a real fabric. Datagrams to the
//! balancers can be dropped, duplicated and delayed; delays also reorder them.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::net::{TcpListener, UdpSocket};
use endivedyke::Result;
use http::StatusCode;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::http_text::text_response;

const BUFFER_BYTES: usize = 2_048;
const MAX_DELAY_MS: u64 = 30;

/// The probability of each fault, in thousandths of the datagrams.
#[derive(Debug, Default)]
struct Faults {
    drop_permille: Cell<u32>,
    duplicate_permille: Cell<u32>,
    delay_permille: Cell<u32>,
}

struct Fabric {
    balancers: RefCell<Vec<IpAddr>>,
    faults: Faults,
}

/// Serves the service addresses forever. The commands `/balancers` and `/faults` at the address
/// `admin` set the balancers and the faults.
pub(crate) async fn run(
    services: &[SocketAddr],
    balancers: Vec<IpAddr>,
    admin: SocketAddr,
) -> Result<()> {
    let fabric = Rc::new(Fabric {
        balancers: RefCell::new(balancers),
        faults: Faults::default(),
    });
    for service in services {
        let socket = Rc::new(endivedyke::bind_udp(*service)?);
        let fabric = fabric.clone();
        compio::runtime::spawn(async move { spray(&fabric, &socket).await }).detach();
    }
    let listener = TcpListener::bind(admin).await?;
    endivedyke::serve_http(listener, move |request| {
        let is_valid = fabric.run_command(request.uri().path());
        let status = if is_valid {
            StatusCode::OK
        } else {
            StatusCode::BAD_REQUEST
        };
        std::future::ready(text_response(status, "\n"))
    })
    .await;
    Ok(())
}

impl Fabric {
    /// Runs `/balancers/IP,IP` or `/faults/DROP/DUPLICATE/DELAY`, and returns whether the command is
    /// valid. The faults are in thousandths.
    fn run_command(&self, path: &str) -> bool {
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match segments.as_slice() {
            ["balancers", list] => {
                let list: std::result::Result<Vec<IpAddr>, _> =
                    list.split(',').map(str::parse).collect();
                list.map(|list| *self.balancers.borrow_mut() = list).is_ok()
            }
            ["faults", drop, duplicate, delay] => {
                let set = |cell: &Cell<u32>, text: &str| text.parse().map(|n| cell.set(n)).is_ok();
                set(&self.faults.drop_permille, drop)
                    && set(&self.faults.duplicate_permille, duplicate)
                    && set(&self.faults.delay_permille, delay)
            }
            _ => false,
        }
    }

    /// Draws whether a fault occurs.
    fn occurs(permille: &Cell<u32>) -> bool {
        permille.get() > 0 && rand::rng().random_range(0..1_000) < permille.get()
    }
}

/// Forwards datagrams from callers of a service to random balancers, forever.
async fn spray(fabric: &Rc<Fabric>, service: &Rc<UdpSocket>) {
    let mut callers: Vec<(SocketAddr, Rc<UdpSocket>)> = Vec::new();
    let Ok(address) = service.local_addr() else {
        return;
    };
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        buffer.clear();
        let BufResult(result, received) = service.recv_from(buffer).await;
        buffer = received;
        let Ok((_, caller)) = result else {
            continue;
        };
        let index = match callers.binary_search_by_key(&caller, |(known, _)| *known) {
            Ok(index) => index,
            Err(index) => {
                let Ok(socket) = open_caller_socket(service, caller, address).await else {
                    continue;
                };
                callers.insert(index, (caller, socket));
                index
            }
        };
        buffer = forward(fabric, &callers[index].1, address.port(), buffer).await;
    }
}

/// Opens the socket that represents a caller towards the balancers, and forwards replies to the
/// caller.
async fn open_caller_socket(
    service: &Rc<UdpSocket>,
    caller: SocketAddr,
    address: SocketAddr,
) -> Result<Rc<UdpSocket>> {
    let socket = Rc::new(UdpSocket::bind((address.ip(), 0)).await?);
    let replies = socket.clone();
    let service = service.clone();
    compio::runtime::spawn(async move {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(result, received) = replies.recv_from(buffer).await;
            buffer = received;
            if result.is_ok() {
                let BufResult(_, sent) = service.send_to(buffer, caller).await;
                buffer = sent;
            }
        }
    })
    .detach();
    Ok(socket)
}

/// Forwards a datagram to a random balancer, subject to the faults, and returns the buffer.
async fn forward(fabric: &Fabric, socket: &Rc<UdpSocket>, port: u16, buffer: Vec<u8>) -> Vec<u8> {
    if Fabric::occurs(&fabric.faults.drop_permille) {
        return buffer;
    }
    if Fabric::occurs(&fabric.faults.duplicate_permille) {
        send_delayed(fabric, socket, port, buffer.clone());
    }
    if Fabric::occurs(&fabric.faults.delay_permille) {
        send_delayed(fabric, socket, port, buffer.clone());
        return buffer;
    }
    match random_balancer(fabric, port) {
        Some(balancer) => {
            let BufResult(_, buffer) = socket.send_to(buffer, balancer).await;
            buffer
        }
        None => buffer,
    }
}

fn send_delayed(fabric: &Fabric, socket: &Rc<UdpSocket>, port: u16, packet: Vec<u8>) {
    let delay = Duration::from_millis(rand::rng().random_range(0..=MAX_DELAY_MS));
    let Some(balancer) = random_balancer(fabric, port) else {
        return;
    };
    let socket = socket.clone();
    compio::runtime::spawn(async move {
        compio::time::sleep(delay).await;
        let _ = socket.send_to(packet, balancer).await;
    })
    .detach();
}

fn random_balancer(fabric: &Fabric, port: u16) -> Option<SocketAddr> {
    let balancers = fabric.balancers.borrow();
    let ip = balancers.choose(&mut rand::rng())?;
    Some(SocketAddr::new(*ip, port))
}
