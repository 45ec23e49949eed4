//! The published values that a process holds, whose revisions only rise.

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
/// What the name of a service's table starts with.
pub const TABLE_PREFIX: &str = "table/";

/// A value that is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// Its name.
    pub name: String,
    /// Its revision; 0 before the first accepted one.
    pub revision: Revision,
    /// The version that its writer gave it, or 0.
    pub version: u64,
    /// Its text.
    pub text: String,
    /// The revision before, from which most peers can be brought up by a delta.
    pub previous_revision: Revision,
    previous_text: String,
    rejected: Option<Rejection>,
}

/// The newest revision of a value that was rejected whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// The revision that is not in force.
    pub revision: Revision,
    /// Why.
    pub error: Error,
}

/// A value on its way to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValueUpdate {
    /// The value's name.
    pub name: String,
    /// Which state it brings.
    pub stamp: VersionStamp,
    /// The revision against which the delta was made; 0 where it makes the whole text of nothing.
    pub base: Revision,
    /// The change.
    pub delta: Delta,
}

/// The revisions of a process in short, by which two peers find out that they differ.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Digest {
    /// The highest revision in force.
    pub highest: Revision,
    /// A hash over all names and revisions.
    pub hash: u64,
}

/// What became of an offered value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// It is in force now.
    Accepted,
    /// An equal or newer state is in force; nothing changed.
    Stale,
}

/// All published values with their parsed forms.
///
/// Whether a text is accepted depends on that text alone, so that all hosts come to the same
/// verdict in whatever order values arrive.
#[derive(Debug)]
pub struct ConfigStore {
    cluster: ClusterKey,
    values: Vec<StoredValue>,
    tables: Vec<(ServiceId, Table)>,
    hosts: HostList,
    key_ring: KeyRing,
    digest: Digest,
    /// The latest era that has settled: of later ones the platform may still show states from before it came back.
    settled_era: u64,
}

enum Parsed {
    Table(Table),
    Hosts(HostList),
    Keys(KeyRing),
    Other,
}

impl ConfigStore {
    /// Makes an empty store.
    pub fn new(cluster: &ClusterKey) -> Self {
        Self {
            cluster: cluster.clone(),
            values: Vec::new(),
            tables: Vec::new(),
            hosts: HostList::default(),
            key_ring: KeyRing::initial(cluster),
            digest: Digest::default(),
            settled_era: 0,
        }
    }

    /// Takes a value if its state is after the one in force and its text is sound.
    ///
    /// # Errors
    ///
    /// Returns the code of the first fault of the text; the value in force stays.
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

    /// Takes a value that a peer sent as a change.
    ///
    /// # Errors
    ///
    /// Returns code 2302 where the change does not fit, else as [`ConfigStore::accept`].
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

    /// Returns the update that brings a peer that holds revision `have` to the one in force.
    pub fn update_for(&self, name: &str, have: Revision) -> Option<ValueUpdate> {
        let value = self
            .get(name)
            .filter(|value| value.revision > Revision::ZERO)?;
        let known = have > Revision::ZERO && have == value.previous_revision;
        let old = if known {
            value.previous_text.as_str()
        } else {
            ""
        };
        Some(ValueUpdate {
            name: value.name.clone(),
            stamp: value.stamp(),
            base: if known { have } else { Revision::ZERO },
            delta: Delta::between(old, &value.text),
        })
    }

    /// Returns the names of values in force above `floor`, and their states.
    pub fn changes_since(&self, floor: Revision) -> Vec<(&str, VersionStamp)> {
        let newer = self.values.iter().filter(|value| value.revision > floor);
        newer
            .map(|value| (value.name.as_str(), value.stamp()))
            .collect()
    }

    /// Tells whether a state would be news: neither in force, nor older, nor rejected before.
    pub fn is_new_state(&self, name: &str, stamp: impl Into<VersionStamp>) -> bool {
        let stamp = stamp.into();
        self.get(name).is_none_or(|value| value.is_new_state(stamp))
    }

    /// Returns the revision of a value in force, or 0.
    pub fn revision(&self, name: &str) -> Revision {
        self.get(name)
            .map_or(Revision::ZERO, |value| value.revision)
    }

    /// Returns all values in order of their names.
    pub fn values(&self) -> &[StoredValue] {
        &self.values
    }

    /// Returns the value with this name.
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

    /// Sets the host list where hosts are learnt one by one, as from published backend servers.
    pub(crate) fn set_hosts(&mut self, hosts: HostList) {
        self.hosts = hosts;
    }

    /// Returns the keys that seal and open tokens.
    pub fn key_ring(&self) -> &KeyRing {
        &self.key_ring
    }

    /// Returns the revisions in short.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Tells whether what the platform shows in an era was written, or left as it is, since that era began.
    pub fn is_era_settled(&self, era: u64) -> bool {
        era <= self.settled_era
    }

    /// Notes that an era has settled.
    pub fn mark_era_settled(&mut self, era: u64) {
        self.settled_era = self.settled_era.max(era);
    }

    fn parse(&self, name: &str, text: &str) -> Result<Parsed> {
        if text.len() > MAX_VALUE_BYTES {
            return Err(Error::new(Code::ValueTooLarge, name));
        }
        if let Some(service) = name.strip_prefix(TABLE_PREFIX) {
            let table = Table::parse(text)?;
            if table.service != service {
                let message = format!("value {name} holds service {}", table.service);
                return Err(Error::new(Code::TableMixed, message));
            }
            return Ok(Parsed::Table(table));
        }
        if name.starts_with(BACKEND_PREFIX) {
            BackendValue::parse(text)?;
            return Ok(Parsed::Other);
        }
        match name {
            ROUTES_NAME => {
                RouteTable::parse(text)?;
                Ok(Parsed::Other)
            }
            COLD_STARTS_NAME => {
                cold_starts::parse_cold_starts(text)?;
                Ok(Parsed::Other)
            }
            DEADLINES_NAME => {
                deadlines::parse_deadlines(text)?;
                Ok(Parsed::Other)
            }
            HOSTS_NAME => Ok(Parsed::Hosts(HostList::parse(text)?)),
            KEYS_NAME => Ok(Parsed::Keys(KeyRing::parse(&self.cluster, text)?)),
            _ => Ok(Parsed::Other),
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

    fn apply(&mut self, parsed: Parsed) {
        match parsed {
            Parsed::Table(table) => self.put_table(table),
            Parsed::Hosts(hosts) => self.hosts = hosts,
            Parsed::Keys(ring) => self.key_ring = ring,
            Parsed::Other => {}
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

    /// Tells whether a text is that of an entry from before the platform came back, of which newer things are known.
    ///
    /// A backend server that has announced to leave would get new flows again by it.
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

    /// Returns where the state in force stands.
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

    /// Tells whether a state is after the one in force and was not rejected already.
    ///
    /// One below a rejected revision is news all the same: where the rejected one came first, the
    /// sound one before it is what the other hosts have in force.
    fn is_new_state(&self, stamp: VersionStamp) -> bool {
        let rejected = self.rejected.as_ref().map(|rejection| rejection.revision);
        stamp.supersedes(self.stamp()) && rejected != Some(stamp.revision)
    }
}
