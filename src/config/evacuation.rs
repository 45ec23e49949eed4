//! The published evacuations: availability zones that operators took out of service.

use crate::config::backend_entry::GONE_TEXT;

/// The prefix of the name of an evacuation; the availability zone follows.
pub const EVACUATED_PREFIX: &str = "evacuated/";
/// The text of an evacuation that is in force.
///
/// Every text but [`GONE_TEXT`] evacuates the zone, so that a newer version can add to the text and
/// this one still evacuates.
pub const EVACUATED_TEXT: &str = "yes";

/// The evacuation of an availability zone, as published.
#[derive(Debug)]
pub(crate) struct Evacuation<'a> {
    /// The availability zone.
    pub(crate) zone: &'a str,
    /// Whether the evacuation is in force.
    pub(crate) is_in_force: bool,
}

impl<'a> Evacuation<'a> {
    /// Parses a published value; `None` if its name is not that of an evacuation.
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
