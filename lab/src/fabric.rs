//! A stand-in for the fabric: sprays every datagram of a caller over the balancers at random.
//!
//! Each caller keeps an address of its own towards the balancers, as in a real fabric. Datagrams
//! can be dropped, doubled and delayed on the way in, which also reorders them.

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

/// What the fabric does to datagrams, in thousandths of them.
#[derive(Debug, Default)]
struct Faults {
    drop_permille: Cell<u32>,
    double_permille: Cell<u32>,
    delay_permille: Cell<u32>,
}

struct Fabric {
    balancers: RefCell<Vec<IpAddr>>,
    faults: Faults,
}

/// Serves the service addresses forever; `/balancers` and `/faults` on `admin` change its ways.
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
        let done = fabric.order(request.uri().path());
        let status = if done {
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
    /// Obeys `/balancers/IP,IP` and `/faults/DROP/DOUBLE/DELAY`.
    fn order(&self, path: &str) -> bool {
        let words: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match words.as_slice() {
            ["balancers", list] => {
                let list: std::result::Result<Vec<IpAddr>, _> =
                    list.split(',').map(str::parse).collect();
                list.map(|list| *self.balancers.borrow_mut() = list).is_ok()
            }
            ["faults", drop, double, delay] => {
                let set = |cell: &Cell<u32>, word: &str| word.parse().map(|n| cell.set(n)).is_ok();
                set(&self.faults.drop_permille, drop)
                    && set(&self.faults.double_permille, double)
                    && set(&self.faults.delay_permille, delay)
            }
            _ => false,
        }
    }

    fn happens(permille: &Cell<u32>) -> bool {
        permille.get() > 0 && rand::rng().random_range(0..1_000) < permille.get()
    }
}

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
                let Ok(socket) = caller_socket(service, caller, address).await else {
                    continue;
                };
                callers.insert(index, (caller, socket));
                index
            }
        };
        buffer = pass(fabric, &callers[index].1, address.port(), buffer).await;
    }
}

/// Opens the address that stands for a caller, and hands answers to it back.
async fn caller_socket(
    service: &Rc<UdpSocket>,
    caller: SocketAddr,
    address: SocketAddr,
) -> Result<Rc<UdpSocket>> {
    let socket = Rc::new(UdpSocket::bind((address.ip(), 0)).await?);
    let answers = socket.clone();
    let service = service.clone();
    compio::runtime::spawn(async move {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(result, received) = answers.recv_from(buffer).await;
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

async fn pass(fabric: &Fabric, socket: &Rc<UdpSocket>, port: u16, buffer: Vec<u8>) -> Vec<u8> {
    if Fabric::happens(&fabric.faults.drop_permille) {
        return buffer;
    }
    if Fabric::happens(&fabric.faults.double_permille) {
        send_later(fabric, socket, port, buffer.clone());
    }
    if Fabric::happens(&fabric.faults.delay_permille) {
        send_later(fabric, socket, port, buffer.clone());
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

fn send_later(fabric: &Fabric, socket: &Rc<UdpSocket>, port: u16, packet: Vec<u8>) {
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
