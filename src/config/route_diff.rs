//! Compares two versions of the published routes: how shares change, and what happens to new and
//! open flows.

use std::net::SocketAddrV4;

use crate::config::route_table::{Route, RouteTable, parse_route_rows};
use crate::config::service_id::ServiceId;
use crate::error::Result;

/// The change of one service's share of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteChange {
    /// The address that callers call.
    pub address: SocketAddrV4,
    /// The name of the service.
    pub service: String,
    /// Its share of the address's new flows before and after, from 0 to 1.
    pub share: (f64, f64),
    /// What the change does to flows and requests.
    pub effect: &'static str,
}

/// Compares two versions of the published routes; returns the changes in order of address and
/// service name.
///
/// # Errors
///
/// Returns code 2401 with the malformed line or the duplicate address.
pub fn route_changes(old: &str, new: &str) -> Result<Vec<RouteChange>> {
    let old = parse_route_rows(old)?;
    let before = RouteTable::from_rows(&old)?;
    let new = parse_route_rows(new)?;
    let after = RouteTable::from_rows(&new)?;
    let rows = old.iter().chain(&new);
    let mut shares: Vec<_> = rows.map(|row| (row.address, row.service)).collect();
    shares.sort_unstable();
    shares.dedup();
    let changes = shares.into_iter().filter_map(|(address, service)| {
        let routes = (before.get(address), after.get(address));
        route_change(address, service, routes)
    });
    Ok(changes.collect())
}

fn route_change(
    address: SocketAddrV4,
    service: &str,
    (before, after): (Option<&Route>, Option<&Route>),
) -> Option<RouteChange> {
    let id = ServiceId::from_name(service);
    let share = |route: Option<&Route>| route.map_or(0.0, |route| route.share(id));
    let share = (share(before), share(after));
    let effect = effect(before, after, share)?;
    Some(RouteChange {
        address,
        service: service.to_owned(),
        share,
        effect,
    })
}

fn effect(
    before: Option<&Route>,
    after: Option<&Route>,
    (old_share, new_share): (f64, f64),
) -> Option<&'static str> {
    let (Some(before), Some(after)) = (before, after) else {
        return Some(match after {
            None => "callers are refused at once, and open flows are reset",
            Some(_) => "callers are served from now on",
        });
    };
    if !after.takes_flows() {
        return Some("nobody takes new flows: new callers get no answer; open flows stay");
    }
    if new_share <= 0.0 && old_share > 0.0 {
        return Some("takes no new flow; open flows stay");
    }
    if (new_share - old_share).abs() > f64::EPSILON {
        return Some("open flows stay; new ones follow the new share");
    }
    if after.priority < before.priority {
        return Some("becomes more urgent: gets room before less urgent addresses");
    }
    if after.priority > before.priority {
        return Some("becomes less urgent: leaves room to more urgent addresses");
    }
    if before.repeatable && !after.repeatable {
        return Some("may not run twice from now on: no longer used to probe failing servers");
    }
    if !before.repeatable && after.repeatable {
        return Some("may run twice from now on: sometimes used to probe failing servers");
    }
    None
}
