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
/// What the text of a value starts with that names no backend server to use; the reason follows.
const UNUSABLE_PREFIX: &str = "unusable,";
/// What the field starts with that tells the start of a backend server.
const STARTED_PREFIX: &str = "started=";

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

impl BackendState {
    const ALL: [Self; 2] = [Self::Ready, Self::Draining];

    /// Returns the word for this state in published texts.
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

/// Why a published entry names no backend server to use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnusableReason {
    /// Its bytes can't be read, or its fields are missing or of another type.
    Malformed,
    /// It is in a state that this version does not know.
    UnknownState,
}

impl UnusableReason {
    const ALL: [Self; 2] = [Self::Malformed, Self::UnknownState];

    /// Returns the word for this reason in published texts and log lines.
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

/// What a published value says of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendValue {
    /// It is published.
    Published(Backend),
    /// Something stands at its name which can't be used, as when another program wrote there.
    ///
    /// It says nothing about flows that are open at the backend server.
    Unusable(UnusableReason),
    /// It is no longer published.
    Gone,
}

impl BackendValue {
    /// Parses a published value.
    ///
    /// # Errors
    ///
    /// Returns code 2402 with the text at fault.
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
    /// When its process started, by its own clock in milliseconds of Unix time, where it tells that.
    ///
    /// A process that starts again under the id that it had holds nothing of before.
    pub started_unix_ms: Option<u64>,
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

/// The fields of a published text, none of which has been checked.
pub(crate) struct BackendFields<'a> {
    pub(crate) service: &'a str,
    pub(crate) address: &'a str,
    pub(crate) zone: &'a str,
    pub(crate) slots: &'a str,
    pub(crate) state: &'a str,
    /// Absent where the server is not cold.
    pub(crate) cold_ms: Option<&'a str>,
    /// Absent where the server does not tell it.
    pub(crate) started_unix_ms: Option<&'a str>,
}

impl<'a> BackendFields<'a> {
    /// Takes a text apart; `None` where it has too few or too many fields.
    pub(crate) fn parse(text: &'a str) -> Option<Self> {
        let fields: Vec<&str> = text.split(',').collect();
        let (&[service, address, zone, slots, state], rest) = fields.split_first_chunk()?;
        let (cold_ms, rest) = match rest {
            [cold_ms, rest @ ..] if !cold_ms.contains('=') => (Some(*cold_ms), rest),
            rest => (None, rest),
        };
        // A field with a name that is not known here was added by a newer version, and is passed over.
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

/// Returns the published text of a backend server that is still slow after its start; `text` is its text
/// without that.
pub fn cold_backend_text(text: &str, cold_ms: u32) -> String {
    format!("{text},{cold_ms}")
}

/// Returns the published text of a backend server that tells when its process started; `text` is its text
/// without that.
pub fn started_backend_text(text: &str, started_unix_ms: u64) -> String {
    format!("{text},{STARTED_PREFIX}{started_unix_ms}")
}

/// Tells whether one published text says of a backend server what was so before the other.
///
/// Who has announced to leave does not return within its lifetime, and a lifetime does not come back.
pub(crate) fn is_regression(from: &str, to: &str) -> bool {
    let (Ok(Some(from)), Ok(Some(to))) = (Backend::parse(from), Backend::parse(to)) else {
        return false;
    };
    if from.started_unix_ms != to.started_unix_ms {
        return to.started_unix_ms.is_some() && to.started_unix_ms < from.started_unix_ms;
    }
    from.state == BackendState::Draining && to.state == BackendState::Ready
}

/// Returns the published text of an entry that names no backend server to use.
pub fn unusable_text(reason: UnusableReason) -> String {
    format!("{UNUSABLE_PREFIX}{}", reason.as_str())
}
