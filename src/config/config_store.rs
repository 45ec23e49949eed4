//! The published values that a process holds; a value never goes back to an older state.

use crate::code::Code;
use crate::config::backend_entry::{self, BACKEND_PREFIX, BackendValue, GONE_TEXT};
use crate::config::cold_starts::{self, COLD_STARTS_NAME};
use crate::config::deadlines::{self, DEADLINES_NAME};
use crate::config::delta::Delta;
use crate::config::hash;
use crate::config::hosts::HostList;
use crate::config::keys::{ClusterKey, KeyRing};
use crate::config::revision::Revision;
use crate::config::route_table::{ROUTES_NAME, RouteTable};
use crate::config::service_id::ServiceId;
use crate::config::table::Table;
use crate::config::version_stamp::VersionStamp;
use crate::error::{Error, Result};

/// The largest value that the platform holds, in bytes.
pub(crate) const MAX_VALUE_BYTES: usize = 1 << 20;
/// The name of the host list among the published values.
pub const HOSTS_NAME: &str = "hosts";
/// The name of the key epochs among the published values.
pub const KEYS_NAME: &str = "keys";
/// The prefix of the name of a service's table; the service's name follows.
pub const TABLE_PREFIX: &str = "table/";

/// A value in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// The value's name.
    pub name: String,
    /// The revision in force; 0 before the first one is accepted.
    pub revision: Revision,
    /// The version that the value's writer assigned to it, or 0.
    pub version: u64,
    /// The text in force.
    pub text: String,
    /// The previous revision, which most peers still hold and from which a delta can be made.
    pub previous_revision: Revision,
    previous_text: String,
    rejected: Option<Rejection>,
}

/// The newest rejected revision of a value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// The rejected revision.
    pub revision: Revision,
    /// Why it was rejected.
    pub error: Error,
}

/// A new state of a value, as it is sent to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValueUpdate {
    /// The value's name.
    pub name: String,
    /// The version stamp of the new state.
    pub stamp: VersionStamp,
    /// The revision to which the delta applies; 0 for a delta to the empty text.
    pub base: Revision,
    /// The change of the text.
    pub delta: Delta,
}

/// A summary of all revisions of a process, by which two peers detect that they differ.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Digest {
    /// The highest revision in force.
    pub highest: Revision,
    /// A hash of all names and revisions.
    pub hash: u64,
}

/// The result of offering a valid value to a [`ConfigStore`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// The value is in force now.
    Accepted,
    /// Nothing changed: the state in force is the same or newer, or this one was rejected before.
    Stale,
}

/// All published values and their parsed forms.
///
/// Whether a text is accepted depends on that text alone, so that all hosts decide alike in
/// whatever order values arrive.
#[derive(Debug)]
pub struct ConfigStore {
    cluster_key: ClusterKey,
    values: Vec<StoredValue>,
    tables: Vec<(ServiceId, Table)>,
    hosts: HostList,
    key_ring: KeyRing,
    digest: Digest,
    /// The latest settled era. In later eras the platform may still show states from before it was
    /// restored.
    settled_era: u64,
}

enum ParsedValue {
    Table(Table),
    Hosts(HostList),
    Keys(KeyRing),
    Other,
}

impl ConfigStore {
    /// Creates an empty store.
    pub fn new(cluster_key: &ClusterKey) -> Self {
        Self {
            cluster_key: cluster_key.clone(),
            values: Vec::new(),
            tables: Vec::new(),
            hosts: HostList::default(),
            key_ring: KeyRing::initial(cluster_key),
            digest: Digest::default(),
            settled_era: 0,
        }
    }

    /// Puts a value into force if its state is newer than the one in force and its text is valid.
    ///
    /// # Errors
    ///
    /// Returns the first error of the text; the value in force stays.
    pub fn accept(
        &mut self,
        name: &str,
        stamp: impl Into<VersionStamp>,
        text: &str,
    ) -> Result<AcceptOutcome> {
        let stamp = stamp.into();
        let index = self.index_or_insert(name);
        if !self.values[index].is_new_state(stamp) {
            return Ok(AcceptOutcome::Stale);
        }
        let is_settled = self.is_era_settled(stamp.revision.era());
        if !is_settled && self.values[index].is_entry_regression(stamp, text) {
            return Ok(AcceptOutcome::Stale);
        }
        match self.parse(name, text) {
            Ok(parsed) => {
                self.put(index, stamp, text);
                self.apply(parsed);
                Ok(AcceptOutcome::Accepted)
            }
            Err(error) => {
                self.values[index].rejected = Some(Rejection {
                    revision: stamp.revision,
                    error: error.clone(),
                });
                Err(error)
            }
        }
    }

    /// Applies an update that a peer sent, as [`ConfigStore::accept`] does.
    ///
    /// # Errors
    ///
    /// Returns code 2302 if the delta does not apply to the text held here, else as
    /// [`ConfigStore::accept`].
    pub fn accept_update(&mut self, update: &ValueUpdate) -> Result<AcceptOutcome> {
        let held = self.get(&update.name);
        if held.is_some_and(|value| !value.is_new_state(update.stamp)) {
            return Ok(AcceptOutcome::Stale);
        }
        let held_revision = held.map_or(Revision::ZERO, |value| value.revision);
        let text = match update.base {
            Revision::ZERO => update.delta.apply("")?,
            base if base == held_revision => {
                update.delta.apply(held.map_or("", |value| &value.text))?
            }
            _ => return Err(Error::new(Code::DeltaMismatch, update.name.clone())),
        };
        self.accept(&update.name, update.stamp, &text)
    }

    /// Returns the update from the revision that a peer holds to the one in force.
    ///
    /// It is a delta if the peer holds the revision before, else the whole text.
    pub fn update_for(&self, name: &str, peer_revision: Revision) -> Option<ValueUpdate> {
        let value = self
            .get(name)
            .filter(|value| value.revision > Revision::ZERO)?;
        let is_delta = peer_revision > Revision::ZERO && peer_revision == value.previous_revision;
        let old = if is_delta {
            value.previous_text.as_str()
        } else {
            ""
        };
        Some(ValueUpdate {
            name: value.name.clone(),
            stamp: value.stamp(),
            base: if is_delta {
                peer_revision
            } else {
                Revision::ZERO
            },
            delta: Delta::between(old, &value.text),
        })
    }

    /// Returns the names and version stamps of the values with a revision above `floor`.
    pub fn changes_since(&self, floor: Revision) -> Vec<(&str, VersionStamp)> {
        let newer = self.values.iter().filter(|value| value.revision > floor);
        newer
            .map(|value| (value.name.as_str(), value.stamp()))
            .collect()
    }

    /// Returns whether a state is newer than the one in force and was not rejected before.
    pub fn is_new_state(&self, name: &str, stamp: impl Into<VersionStamp>) -> bool {
        let stamp = stamp.into();
        self.get(name).is_none_or(|value| value.is_new_state(stamp))
    }

    /// Returns the revision in force of a value, or 0.
    pub fn revision(&self, name: &str) -> Revision {
        self.get(name)
            .map_or(Revision::ZERO, |value| value.revision)
    }

    /// Returns all values in order of their names.
    pub fn values(&self) -> &[StoredValue] {
        &self.values
    }

    /// Returns the value called `name`.
    pub fn get(&self, name: &str) -> Option<&StoredValue> {
        let index = self
            .values
            .binary_search_by(|value| value.name.as_str().cmp(name));
        index.ok().map(|index| &self.values[index])
    }

    /// Returns the table of a service.
    pub fn table(&self, service: ServiceId) -> Option<&Table> {
        let index = self.tables.binary_search_by_key(&service, |(id, _)| *id);
        index.ok().map(|index| &self.tables[index].1)
    }

    /// Returns all tables in order of their service ids.
    pub fn tables(&self) -> impl Iterator<Item = &Table> {
        self.tables.iter().map(|(_, table)| table)
    }

    /// Returns the host list.
    pub fn hosts(&self) -> &HostList {
        &self.hosts
    }

    /// Sets the host list, where it is derived from published backend servers instead of being
    /// published itself.
    pub(crate) fn set_hosts(&mut self, hosts: HostList) {
        self.hosts = hosts;
    }

    /// Returns the keys that seal and open routing tokens and tickets.
    pub fn key_ring(&self) -> &KeyRing {
        &self.key_ring
    }

    /// Returns the digest of all revisions in force.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns whether an era has settled: all values that the platform shows in it were written, or
    /// kept, since it began.
    pub fn is_era_settled(&self, era: u64) -> bool {
        era <= self.settled_era
    }

    /// Records that an era has settled.
    pub fn mark_era_settled(&mut self, era: u64) {
        self.settled_era = self.settled_era.max(era);
    }

    fn parse(&self, name: &str, text: &str) -> Result<ParsedValue> {
        if text.len() > MAX_VALUE_BYTES {
            return Err(Error::new(Code::ValueTooLarge, name));
        }
        if let Some(service) = name.strip_prefix(TABLE_PREFIX) {
            let table = Table::parse(text)?;
            if table.service != service {
                let message = format!("value {name} holds service {}", table.service);
                return Err(Error::new(Code::TableMixed, message));
            }
            return Ok(ParsedValue::Table(table));
        }
        if name.starts_with(BACKEND_PREFIX) {
            BackendValue::parse(text)?;
            return Ok(ParsedValue::Other);
        }
        match name {
            ROUTES_NAME => {
                RouteTable::parse(text)?;
                Ok(ParsedValue::Other)
            }
            COLD_STARTS_NAME => {
                cold_starts::parse_cold_starts(text)?;
                Ok(ParsedValue::Other)
            }
            DEADLINES_NAME => {
                deadlines::parse_deadlines(text)?;
                Ok(ParsedValue::Other)
            }
            HOSTS_NAME => Ok(ParsedValue::Hosts(HostList::parse(text)?)),
            KEYS_NAME => Ok(ParsedValue::Keys(KeyRing::parse(&self.cluster_key, text)?)),
            _ => Ok(ParsedValue::Other),
        }
    }

    fn index_or_insert(&mut self, name: &str) -> usize {
        let found = self
            .values
            .binary_search_by(|value| value.name.as_str().cmp(name));
        found.unwrap_or_else(|index| {
            self.values.insert(index, StoredValue::empty(name));
            index
        })
    }

    fn put(&mut self, index: usize, stamp: VersionStamp, text: &str) {
        let VersionStamp { revision, version } = stamp;
        let value = &mut self.values[index];
        let name_hash = hash::name_hash(&value.name);
        if value.revision > Revision::ZERO {
            self.digest.hash ^= hash::pair_hash(name_hash, value.revision.bits());
        }
        self.digest.hash ^= hash::pair_hash(name_hash, revision.bits());
        self.digest.highest = self.digest.highest.max(revision);
        value.previous_revision = std::mem::replace(&mut value.revision, revision);
        value.version = version;
        value.previous_text = std::mem::replace(&mut value.text, text.to_owned());
        let rejected = value.rejected.take();
        value.rejected = rejected.filter(|rejection| rejection.revision > revision);
    }

    fn apply(&mut self, parsed: ParsedValue) {
        match parsed {
            ParsedValue::Table(table) => self.put_table(table),
            ParsedValue::Hosts(hosts) => self.hosts = hosts,
            ParsedValue::Keys(ring) => self.key_ring = ring,
            ParsedValue::Other => {}
        }
    }

    fn put_table(&mut self, table: Table) {
        let id = table.service_id();
        match self.tables.binary_search_by_key(&id, |(id, _)| *id) {
            Ok(index) => self.tables[index].1 = table,
            Err(index) => self.tables.insert(index, (id, table)),
        }
    }
}

impl StoredValue {
    fn empty(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            revision: Revision::ZERO,
            version: 0,
            text: String::new(),
            previous_revision: Revision::ZERO,
            previous_text: String::new(),
            rejected: None,
        }
    }

    /// Returns whether a backend server's entry of a later era shows an earlier state than the one
    /// held here.
    ///
    /// A platform restored from an older copy shows such entries; accepting one would send new flows
    /// to a server that drains.
    fn is_entry_regression(&self, stamp: VersionStamp, text: &str) -> bool {
        let last = if self.text == GONE_TEXT {
            &self.previous_text
        } else {
            &self.text
        };
        let is_entry = self.name.starts_with(BACKEND_PREFIX);
        let is_across_eras = stamp.revision.era() > self.revision.era();
        is_entry && is_across_eras && backend_entry::is_regression(last, text)
    }

    /// Returns the version stamp of the state in force.
    pub fn stamp(&self) -> VersionStamp {
        VersionStamp {
            revision: self.revision,
            version: self.version,
        }
    }

    /// Returns the newest rejected revision, if it is newer than the one in force.
    pub fn rejected(&self) -> Option<&Rejection> {
        self.rejected.as_ref()
    }

    /// Returns whether a state is newer than the one in force and was not rejected before.
    ///
    /// A state older than a rejected one may still be new: if the rejected revision arrived first,
    /// the other hosts have the valid one before it in force.
    fn is_new_state(&self, stamp: VersionStamp) -> bool {
        let rejected = self.rejected.as_ref().map(|rejection| rejection.revision);
        stamp.supersedes(self.stamp()) && rejected != Some(stamp.revision)
    }
}
