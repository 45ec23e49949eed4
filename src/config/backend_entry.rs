//! What a backend server publishes of itself.

use std::net::SocketAddrV4;

use crate::code::Code;
use crate::config::service_id::ServiceId;
use crate::config::table;
use crate::error::{Error, Result};

/// What the name of a published backend server starts with; its id follows.
pub const BACKEND_PREFIX: &str = "backend/";
/// The text of a value whose backend server is no longer published.
pub const GONE_TEXT: &str = "gone";

/// The longest cold start that is believed, in milliseconds: a slip of the pen must not slow a service for
/// days. The users' servers are cold for two seconds.
const MAX_COLD_MS: u32 = 60_000;

/// Whether a published backend server takes new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
    /// It takes new flows.
    Ready,
    /// It will leave: it keeps its flows and takes no new one.
    Draining,
}

/// A published backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where its agent reaches it.
    pub address: SocketAddrV4,
    /// The availability zone of its host.
    pub zone: String,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it takes new flows.
    pub state: BackendState,
    /// For how long it is still slow after its start, in milliseconds.
    pub cold_ms: u32,
}

impl Backend {
    /// Parses a published value; [`GONE_TEXT`] yields `None`.
    ///
    /// # Errors
    ///
    /// Returns code 2402 with the text at fault.
    pub fn parse(text: &str) -> Result<Option<Backend>> {
        if text == GONE_TEXT {
            return Ok(None);
        }
        let malformed = || Error::new(Code::BackendSyntax, format!("{text:?}"));
        let BackendFields {
            service,
            address,
            zone,
            slots,
            state,
            cold_ms,
        } = BackendFields::of(text).ok_or_else(malformed)?;
        let cold_ms: u32 = cold_ms.unwrap_or("0").parse().map_err(|_| malformed())?;
        let state = match state {
            "ready" => BackendState::Ready,
            "draining" => BackendState::Draining,
            _ => return Err(malformed()),
        };
        if !table::is_name(zone) {
            return Err(malformed());
        }
        let slots = slots.parse().ok().filter(|slots| *slots > 0);
        Ok(Some(Backend {
            service: ServiceId::of(service),
            address: address.parse().map_err(|_| malformed())?,
            zone: zone.to_owned(),
            slots: slots.ok_or_else(malformed)?,
            state,
            cold_ms: cold_ms.min(MAX_COLD_MS),
        }))
    }
}

/// The fields of a published text, none of which has been checked.
pub(crate) struct BackendFields<'a> {
    pub(crate) service: &'a str,
    pub(crate) address: &'a str,
    pub(crate) zone: &'a str,
    pub(crate) slots: &'a str,
    pub(crate) state: &'a str,
    /// Absent where the server is not cold.
    pub(crate) cold_ms: Option<&'a str>,
}

impl<'a> BackendFields<'a> {
    /// Takes a text apart; `None` where it has too few or too many fields.
    pub(crate) fn of(text: &'a str) -> Option<Self> {
        let fields: Vec<&str> = text.split(',').collect();
        let (&[service, address, zone, slots, state], rest) = fields.split_first_chunk()?;
        let cold_ms = match rest {
            [] => None,
            [cold_ms] => Some(*cold_ms),
            _ => return None,
        };
        Some(Self {
            service,
            address,
            zone,
            slots,
            state,
            cold_ms,
        })
    }
}

/// Returns the published text of a backend server.
pub fn backend_text(
    service: &str,
    address: &str,
    zone: &str,
    slots: u64,
    state: BackendState,
) -> String {
    let state = match state {
        BackendState::Ready => "ready",
        BackendState::Draining => "draining",
    };
    format!("{service},{address},{zone},{slots},{state}")
}

/// Returns the published text of a backend server that is still slow after its start; `text` is its text
/// without that.
pub fn cold_backend_text(text: &str, cold_ms: u32) -> String {
    format!("{text},{cold_ms}")
}
