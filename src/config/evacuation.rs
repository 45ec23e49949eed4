//! Availability zones that operators took out of service, as published.

/// What the name of a published evacuation starts with; the availability zone follows.
pub const EVACUATED_PREFIX: &str = "evacuated/";
/// The text of an evacuation that is in force.
///
/// Any text but that of a value which is gone counts, so that what a newer version may add to it empties
/// the zone here too.
pub const EVACUATED_TEXT: &str = "yes";

/// Returns the name of the value that evacuates an availability zone.
pub fn evacuation_name(zone: &str) -> String {
    format!("{EVACUATED_PREFIX}{zone}")
}
