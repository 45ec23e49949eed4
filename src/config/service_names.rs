//! The services that operators named, as published.

use crate::config::service_id::ServiceId;

/// The name of the published services.
pub const SERVICES_NAME: &str = "services";

/// Returns the published text of services: a name a line.
pub fn services_text<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let mut names: Vec<&str> = names.filter(|name| !name.contains('\n')).collect();
    names.sort_unstable();
    names.dedup();
    names.join("\n")
}

/// Returns the services of a published text.
pub fn parse_services(text: &str) -> Vec<ServiceId> {
    text.lines().map(ServiceId::from_name).collect()
}
