//! A loopback network that is reserved for one site.

use std::net::{Ipv4Addr, TcpListener};

use endivedyke::{Code, Error, Result};

/// The port of the listener that reserves a network; no program of a site uses it.
const RESERVATION_PORT: u16 = 8_199;
/// The last octet of the address of the listener that reserves a network.
const RESERVATION_LAST_OCTET: u8 = 2;
/// The maximum number of networks that are tried.
const MAX_ATTEMPTS: usize = 100;

/// A /24 network of 127.0.0.0/8 that is reserved against other sites on this machine until it is
/// dropped.
///
/// A listener holds the reservation for the whole time. If it were closed after a check, two sites
/// could choose the same network before either binds its ports.
#[derive(Debug)]
pub struct LoopbackNet {
    octets: (u8, u8),
    _reservation: TcpListener,
}

impl LoopbackNet {
    /// Reserves a random network that is free.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if none of 100 random networks is free.
    pub fn reserve_random() -> Result<Self> {
        let reserved = (0..MAX_ATTEMPTS).find_map(|_| {
            let octets = (rand::random_range(16..=250), rand::random_range(0..=250));
            Self::reserve(octets).ok()
        });
        reserved.ok_or_else(|| {
            Error::new(
                Code::Io,
                format!("none of {MAX_ATTEMPTS} random loopback networks is free"),
            )
        })
    }

    /// Reserves the network with these second and third octets.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if another site has reserved it.
    pub fn reserve(octets: (u8, u8)) -> Result<Self> {
        let address = Ipv4Addr::new(127, octets.0, octets.1, RESERVATION_LAST_OCTET);
        Ok(Self {
            octets,
            _reservation: TcpListener::bind((address, RESERVATION_PORT))?,
        })
    }

    /// Returns the address of the network with this last octet.
    pub fn ip(&self, last_octet: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octets.0, self.octets.1, last_octet)
    }

    /// Returns the second and third octets of the network.
    pub fn octets(&self) -> (u8, u8) {
        self.octets
    }
}
