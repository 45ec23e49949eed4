//! The parsed form of a changed value, as the directory applies it.

use crate::config::backend_entry::BackendValue;
use crate::config::cold_starts::{COLD_STARTS_NAME, ColdStart, parse_cold_starts};
use crate::config::config_store::StoredValue;
use crate::config::deadlines::{DEADLINES_NAME, Deadline, parse_deadlines};
use crate::config::evacuation::Evacuation;
use crate::config::revision::Revision;
use crate::config::route_table::RouteTable;
use crate::config::service_id::ServiceId;
use crate::config::service_names::{SERVICES_NAME, parse_services};
use crate::opaque::values::backend_change::BackendChange;
use crate::opaque::{BACKEND_PREFIX, ROUTES_NAME};

/// A change of a published value, by its kind.
#[derive(Debug)]
pub(crate) enum ValueChange<'a> {
    Backend(BackendChange<'a>),
    Routes(RouteTable),
    Services(Vec<ServiceId>),
    ColdStarts(Vec<ColdStart>),
    Deadlines(Vec<Deadline>),
    Evacuation(Evacuation<'a>, Revision),
}

impl<'a> ValueChange<'a> {
    /// Parses a value in force; returns `None` for a kind that this version does not know.
    ///
    /// The store accepts only texts that parse, so parsing does not fail here.
    pub(crate) fn parse(value: &'a StoredValue) -> Option<Self> {
        let text = value.text.as_str();
        match value.name.as_str() {
            ROUTES_NAME => RouteTable::parse(text).ok().map(Self::Routes),
            SERVICES_NAME => Some(Self::Services(parse_services(text))),
            COLD_STARTS_NAME => parse_cold_starts(text).ok().map(Self::ColdStarts),
            DEADLINES_NAME => parse_deadlines(text).ok().map(Self::Deadlines),
            name => match name.strip_prefix(BACKEND_PREFIX) {
                Some(id) => backend_change(id, value),
                None => {
                    let evacuation = Evacuation::parse(name, text)?;
                    Some(Self::Evacuation(evacuation, value.revision))
                }
            },
        }
    }

    /// Returns whether this is a change of a backend server.
    pub(crate) fn is_backend(&self) -> bool {
        matches!(self, Self::Backend(_))
    }
}

fn backend_change<'a>(id: &'a str, value: &StoredValue) -> Option<ValueChange<'a>> {
    let backend = BackendValue::parse(&value.text).ok()?;
    Some(ValueChange::Backend(BackendChange {
        id,
        value: backend,
        revision: value.revision,
    }))
}
