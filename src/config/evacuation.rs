//! Availability zones that operators took out of service, as published.

use crate::config::backend_entry::GONE_TEXT;

/// What the name of a published evacuation starts with; the availability zone follows.
pub const EVACUATED_PREFIX: &str = "evacuated/";
/// The text of an evacuation that is in force.
///
/// Any text but that of a value which is gone counts, so that what a newer version may add to it empties
/// the zone here too.
pub const EVACUATED_TEXT: &str = "yes";

/// What a published value says of an availability zone.
#[derive(Debug)]
pub(crate) struct Evacuation<'a> {
    /// The availability zone.
    pub(crate) zone: &'a str,
    /// Whether its evacuation is in force.
    pub(crate) is_in_force: bool,
}

impl<'a> Evacuation<'a> {
    /// Reads a published value; `None` where its name is that of another kind of value.
    pub(crate) fn parse(name: &'a str, text: &str) -> Option<Self> {
        let zone = name.strip_prefix(EVACUATED_PREFIX)?;
        Some(Self {
            zone,
            is_in_force: text != GONE_TEXT,
        })
    }
}

/// Returns the name of the value that evacuates an availability zone.
pub fn evacuation_name(zone: &str) -> String {
    format!("{EVACUATED_PREFIX}{zone}")
}
