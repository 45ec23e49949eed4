//! The published names of the services that operators configured.

use crate::config::service_id::ServiceId;

/// The name of the value that lists the services.
pub const SERVICES_NAME: &str = "services";

/// Returns the published text of the services, one name per line.
pub fn services_text<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let mut names: Vec<&str> = names.filter(|name| !name.contains('\n')).collect();
    names.sort_unstable();
    names.dedup();
    names.join("\n")
}

/// Parses the published services.
pub fn parse_services(text: &str) -> Vec<ServiceId> {
    text.lines().map(ServiceId::from_name).collect()
}
