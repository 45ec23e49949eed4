//! A loopback network that one site has to itself.

use std::net::{Ipv4Addr, TcpListener};

use endivedyke::{Code, Error, Result};

/// The port whose listener reserves a network; no program of a site uses it.
const RESERVATION_PORT: u16 = 8_199;
/// The last number of the address whose listener reserves a network.
const RESERVATION_HOST: u8 = 2;
/// How many networks are drawn before none is free.
const DRAWS: usize = 100;

/// A network of 127.0.0.0/8 that no other site of this machine uses for as long as this is kept.
///
/// A listener holds it: one that is probed and let go may be drawn by two sites before either binds.
#[derive(Debug)]
pub struct LoopbackNet {
    net: (u8, u8),
    _reservation: TcpListener,
}

impl LoopbackNet {
    /// Draws a network that is free, and reserves it.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where none of many is free.
    pub fn reserve_random() -> Result<Self> {
        let drawn = (0..DRAWS).find_map(|_| {
            let net = (rand::random_range(16..=250), rand::random_range(0..=250));
            Self::reserve(net).ok()
        });
        drawn.ok_or_else(|| Error::new(Code::Io, "no free loopback network"))
    }

    /// Reserves a network.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where a site has it.
    pub fn reserve(net: (u8, u8)) -> Result<Self> {
        let address = Ipv4Addr::new(127, net.0, net.1, RESERVATION_HOST);
        Ok(Self {
            net,
            _reservation: TcpListener::bind((address, RESERVATION_PORT))?,
        })
    }

    /// Returns an address of the network.
    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, last)
    }

    /// Returns the two numbers that name the network.
    pub fn octets(&self) -> (u8, u8) {
        self.net
    }
}
