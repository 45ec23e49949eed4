//! Converts between the messages of the control protocol and the library's own types.

use std::net::Ipv4Addr;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::code::Code;
use crate::config::config_store::{Digest, ValueUpdate};
use crate::config::delta::Delta;
use crate::config::version_stamp::VersionStamp;
use crate::decisions::peer_loads::LoadReport;
use crate::error::{Error, Result};
use crate::node_capnp::{digest, entry, header, load_report, value};

/// The most load reports that are read from a message.
const MAX_REPORTS: u32 = 4_096;

pub(crate) fn write_digest(mut builder: digest::Builder<'_>, digest: Digest) {
    builder.set_highest(digest.highest.bits());
    builder.set_hash(digest.hash);
}

pub(crate) fn read_digest(reader: digest::Reader<'_>) -> Digest {
    Digest {
        highest: reader.get_highest().into(),
        hash: reader.get_hash(),
    }
}

/// Writes names and version stamps of values.
pub(crate) fn write_entries<'a>(
    mut builder: capnp::struct_list::Builder<'_, entry::Owned>,
    entries: impl Iterator<Item = (&'a str, VersionStamp)>,
) {
    for (index, (name, stamp)) in entries.enumerate() {
        let mut entry = builder.reborrow().get(index as u32);
        entry.set_name(name);
        entry.set_revision(stamp.revision.bits());
        entry.set_version(stamp.version);
    }
}

pub(crate) fn read_entry(reader: entry::Reader<'_>) -> Result<(String, VersionStamp)> {
    let stamp = read_stamp(reader.get_revision(), reader.get_version());
    Ok((read_text(reader.get_name())?, stamp))
}

/// Creates a stamp from its two fields in a message.
fn read_stamp(revision_bits: u64, version: u64) -> VersionStamp {
    VersionStamp {
        revision: revision_bits.into(),
        version,
    }
}

pub(crate) fn write_value(mut builder: value::Builder<'_>, update: &ValueUpdate) {
    builder.set_name(&update.name);
    builder.set_revision(update.stamp.revision.bits());
    builder.set_version(update.stamp.version);
    builder.set_base(update.base.bits());
    builder.set_kept_lines(update.delta.kept_lines);
    builder.set_removed_lines(update.delta.removed_lines);
    builder.set_text(&update.delta.text);
    builder.set_digest(update.delta.digest);
}

pub(crate) fn read_value(reader: value::Reader<'_>) -> Result<ValueUpdate> {
    Ok(ValueUpdate {
        name: read_text(reader.get_name())?,
        stamp: read_stamp(reader.get_revision(), reader.get_version()),
        base: reader.get_base().into(),
        delta: Delta {
            kept_lines: reader.get_kept_lines(),
            removed_lines: reader.get_removed_lines(),
            text: read_text(reader.get_text())?,
            digest: reader.get_digest(),
        },
    })
}

pub(crate) fn write_reports(
    mut builder: capnp::struct_list::Builder<'_, load_report::Owned>,
    reports: &[LoadReport],
) {
    for (index, report) in reports.iter().enumerate() {
        let mut entry = builder.reborrow().get(index as u32);
        entry.set_host(report.host.into());
        entry.set_incarnation(report.incarnation);
        entry.set_sequence(report.sequence);
        entry.set_open_flows(report.open_flows);
        entry.set_busy_slots(report.busy_slots);
        entry.set_age_cs(report.age_cs);
        entry.set_share_permille(report.share_permille);
        entry.set_busy_centislots(report.busy_centislots);
    }
}

pub(crate) fn read_reports(
    reader: capnp::struct_list::Reader<'_, load_report::Owned>,
) -> Vec<LoadReport> {
    let count = reader.len().min(MAX_REPORTS);
    let report = |index| {
        let entry = reader.get(index);
        LoadReport {
            host: Ipv4Addr::from(entry.get_host()),
            incarnation: entry.get_incarnation(),
            sequence: entry.get_sequence(),
            open_flows: entry.get_open_flows(),
            busy_slots: entry.get_busy_slots(),
            age_cs: entry.get_age_cs(),
            share_permille: entry.get_share_permille(),
            busy_centislots: entry.get_busy_centislots(),
        }
    };
    (0..count).map(report).collect()
}

pub(crate) fn write_headers(
    mut builder: capnp::struct_list::Builder<'_, header::Owned>,
    headers: &HeaderMap,
) {
    for (index, (name, value)) in headers.iter().enumerate() {
        let mut entry = builder.reborrow().get(index as u32);
        entry.set_name(name.as_str());
        entry.set_value(value.as_bytes());
    }
}

pub(crate) fn read_headers(
    reader: capnp::struct_list::Reader<'_, header::Owned>,
) -> Result<HeaderMap> {
    let mut headers = HeaderMap::new();
    for entry in reader {
        let name = HeaderName::from_bytes(read_text(entry.get_name())?.as_bytes());
        let value = HeaderValue::from_bytes(entry.get_value().map_err(from_capnp)?);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    Ok(headers)
}

pub(crate) fn read_text(reader: capnp::Result<capnp::text::Reader<'_>>) -> Result<String> {
    let text = reader.map_err(from_capnp)?;
    let text = text.to_str();
    text.map(str::to_owned)
        .map_err(|error| Error::new(Code::LinkClosed, error.to_string()))
}

pub(crate) fn read_data(reader: capnp::Result<&[u8]>) -> Result<Bytes> {
    reader.map(Bytes::copy_from_slice).map_err(from_capnp)
}

pub(crate) fn from_capnp(error: capnp::Error) -> Error {
    Error::new(Code::LinkClosed, error.to_string())
}

pub(crate) fn to_capnp(error: Error) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}
