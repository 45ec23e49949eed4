//! The published entries of backend servers: their text format and its parser.

use std::net::SocketAddrV4;

use crate::code::Code;
use crate::config::service_id::ServiceId;
use crate::config::table;
use crate::error::{Error, Result};

/// The prefix of the name of a backend server's entry; the server's id follows.
pub const BACKEND_PREFIX: &str = "backend/";
/// The text of an entry whose backend server is no longer published.
pub const GONE_TEXT: &str = "gone";
/// The prefix of the text of an unusable entry; the reason follows.
const UNUSABLE_PREFIX: &str = "unusable,";
/// The prefix of the field that holds the start time of a backend server.
const STARTED_PREFIX: &str = "started=";

/// The upper bound of a published cold start, in milliseconds; longer ones are clamped to it.
///
/// It keeps a typing error from slowing a service down for days. The users' servers are cold for
/// two seconds.
const MAX_COLD_MS: u32 = 60_000;

/// Whether a published backend server takes new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
    /// The server takes new flows.
    Ready,
    /// The server will stop: it keeps its flows and takes no new ones.
    Draining,
}

impl BackendState {
    const ALL: [Self; 2] = [Self::Ready, Self::Draining];

    /// Returns the name of this state in published texts.
    fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
        }
    }

    fn from_word(word: &str) -> Option<Self> {
        let mut states = Self::ALL.into_iter();
        states.find(|state| state.as_str() == word)
    }
}

/// Why a published entry can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnusableReason {
    /// The entry can't be decoded, or a field is missing or has the wrong type.
    Malformed,
    /// The backend server is in a state that this version does not know.
    UnknownState,
}

impl UnusableReason {
    const ALL: [Self; 2] = [Self::Malformed, Self::UnknownState];

    /// Returns the name of this reason in published texts and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::UnknownState => "unknown-state",
        }
    }

    fn from_word(word: &str) -> Option<Self> {
        let mut reasons = Self::ALL.into_iter();
        reasons.find(|reason| reason.as_str() == word)
    }
}

/// The parsed entry of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendValue {
    /// The backend server is published.
    Published(Backend),
    /// The entry can't be used, for instance because another program overwrote it.
    ///
    /// It says nothing about flows that are open at the backend server.
    Unusable(UnusableReason),
    /// The backend server is no longer published.
    Gone,
}

impl BackendValue {
    /// Parses the text of an entry.
    ///
    /// # Errors
    ///
    /// Returns code 2402 with the malformed text.
    pub fn parse(text: &str) -> Result<BackendValue> {
        if let Some(word) = text.strip_prefix(UNUSABLE_PREFIX) {
            let reason = UnusableReason::from_word(word);
            let malformed = || Error::new(Code::BackendSyntax, format!("{text:?}"));
            return reason.map(BackendValue::Unusable).ok_or_else(malformed);
        }
        Ok(Backend::parse(text)?.into())
    }
}

impl From<Option<Backend>> for BackendValue {
    fn from(backend: Option<Backend>) -> Self {
        backend.map_or(Self::Gone, Self::Published)
    }
}

/// A published backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The address at which its agent reaches it.
    pub address: SocketAddrV4,
    /// The availability zone of its host.
    pub zone: String,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new flows.
    pub state: BackendState,
    /// The remaining duration of its cold start, in milliseconds.
    pub cold_ms: u32,
    /// When its process started, in milliseconds of Unix time by its own clock, if it publishes
    /// that.
    ///
    /// A process that restarts under the same id holds none of the flows that it had before.
    pub started_unix_ms: Option<u64>,
}

impl Backend {
    /// Parses the text of an entry; [`GONE_TEXT`] yields `None`.
    ///
    /// # Errors
    ///
    /// Returns code 2402 with the malformed text.
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
            started_unix_ms,
        } = BackendFields::parse(text).ok_or_else(malformed)?;
        let started_unix_ms = started_unix_ms.map(str::parse).transpose();
        let cold_ms: u32 = cold_ms.unwrap_or("0").parse().map_err(|_| malformed())?;
        let state = BackendState::from_word(state).ok_or_else(malformed)?;
        if !table::is_valid_name(zone) {
            return Err(malformed());
        }
        let slots = slots.parse().ok().filter(|slots| *slots > 0);
        Ok(Some(Backend {
            service: ServiceId::from_name(service),
            address: address.parse().map_err(|_| malformed())?,
            zone: zone.to_owned(),
            slots: slots.ok_or_else(malformed)?,
            state,
            cold_ms: cold_ms.min(MAX_COLD_MS),
            started_unix_ms: started_unix_ms.map_err(|_| malformed())?,
        }))
    }
}

/// The fields of an entry, before they are checked.
pub(crate) struct BackendFields<'a> {
    pub(crate) service: &'a str,
    pub(crate) address: &'a str,
    pub(crate) zone: &'a str,
    pub(crate) slots: &'a str,
    pub(crate) state: &'a str,
    /// `None` if the server is not cold.
    pub(crate) cold_ms: Option<&'a str>,
    /// `None` if the server does not publish its start time.
    pub(crate) started_unix_ms: Option<&'a str>,
}

impl<'a> BackendFields<'a> {
    /// Splits a text into its fields; `None` if one is missing, an extra one has no name, or the
    /// start time is given twice.
    pub(crate) fn parse(text: &'a str) -> Option<Self> {
        let fields: Vec<&str> = text.split(',').collect();
        let (&[service, address, zone, slots, state], rest) = fields.split_first_chunk()?;
        let (cold_ms, rest) = match rest {
            [cold_ms, rest @ ..] if !cold_ms.contains('=') => (Some(*cold_ms), rest),
            rest => (None, rest),
        };
        // Named fields that are unknown here come from a newer version and are ignored.
        if rest.iter().any(|field| !field.contains('=')) {
            return None;
        }
        let mut started = rest
            .iter()
            .filter_map(|field| field.strip_prefix(STARTED_PREFIX));
        let started_unix_ms = started.next();
        if started.next().is_some() {
            return None;
        }
        Some(Self {
            service,
            address,
            zone,
            slots,
            state,
            cold_ms,
            started_unix_ms,
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
    let state = state.as_str();
    format!("{service},{address},{zone},{slots},{state}")
}

/// Adds the remaining duration of the cold start to the published text of a backend server.
pub fn cold_backend_text(text: &str, cold_ms: u32) -> String {
    format!("{text},{cold_ms}")
}

/// Adds the start time of the process to the published text of a backend server.
pub fn started_backend_text(text: &str, started_unix_ms: u64) -> String {
    format!("{text},{STARTED_PREFIX}{started_unix_ms}")
}

/// Returns whether `to` describes an earlier state of the backend server than `from`.
///
/// A draining server does not become ready again before its process restarts, and a process does
/// not get an earlier start time.
pub(crate) fn is_regression(from: &str, to: &str) -> bool {
    let (Ok(Some(from)), Ok(Some(to))) = (Backend::parse(from), Backend::parse(to)) else {
        return false;
    };
    if from.started_unix_ms != to.started_unix_ms {
        return to.started_unix_ms.is_some() && to.started_unix_ms < from.started_unix_ms;
    }
    from.state == BackendState::Draining && to.state == BackendState::Ready
}

/// Returns the published text of an unusable entry.
pub fn unusable_text(reason: UnusableReason) -> String {
    format!("{UNUSABLE_PREFIX}{}", reason.as_str())
}
