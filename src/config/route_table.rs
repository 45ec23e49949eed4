//! The published routes: which services take the flows that callers open to an address.

use std::net::SocketAddrV4;

use crate::code::Code;
use crate::config::hash;
use crate::config::service_id::ServiceId;
use crate::error::{Error, Result};

/// The name of the published routes.
pub const ROUTES_NAME: &str = "routes";
/// The first line of the published routes.
pub const ROUTES_HEADER: &str = "address,service,weight,priority,repeatable";

/// The salt that keeps the choice of a service independent of the choice of its target.
const SPLIT_SALT: u64 = 0x7370_6c69;

/// A service's share of the new flows of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteShare {
    /// The service.
    pub service: ServiceId,
    /// The weight of this share, relative to the other shares of the route.
    pub weight: u32,
}

/// An address that callers may call, and the services that take its new flows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The address and port that callers call.
    pub address: SocketAddrV4,
    /// The shares, in order of their service ids.
    pub shares: Vec<RouteShare>,
    /// The priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Whether its requests may run more than once, so that callers may retry after any failure.
    pub repeatable: bool,
}

impl Route {
    /// Selects the service of a new flow by its hash, in proportion to the weights.
    ///
    /// Every process that holds the same routes selects the same one, so that all copies of an
    /// opener reach one service.
    pub fn select_service(&self, flow_hash: u64) -> Option<ServiceId> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut point = hash::pair_hash(flow_hash, SPLIT_SALT).checked_rem(total)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(share.service);
            }
            point -= weight;
        }
        None
    }

    /// Returns the share of the new flows that a service takes, from 0 to 1.
    pub fn share(&self, service: ServiceId) -> f64 {
        let weight = |share: &RouteShare| u64::from(share.weight);
        let own = self.shares.iter().filter(|share| share.service == service);
        let total: u64 = self.shares.iter().map(weight).sum();
        own.map(weight).sum::<u64>() as f64 / total.max(1) as f64
    }

    /// Returns whether any service takes new flows.
    pub fn takes_flows(&self) -> bool {
        self.shares.iter().any(|share| share.weight > 0)
    }

    /// Returns whether a service takes new flows of this route.
    fn is_served_by(&self, service: ServiceId) -> bool {
        let mut shares = self.shares.iter();
        shares.any(|share| share.service == service && share.weight > 0)
    }
}

/// All routes, sorted by address.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteTable {
    routes: Vec<Route>,
}

impl RouteTable {
    /// Parses the published routes.
    ///
    /// # Errors
    ///
    /// Returns code 2401 with the malformed line or the duplicate address.
    pub fn parse(text: &str) -> Result<RouteTable> {
        RouteTable::from_rows(&parse_route_rows(text)?)
    }

    /// Groups rows by address.
    ///
    /// # Errors
    ///
    /// Returns code 2401 if the rows of an address are not adjacent.
    pub(crate) fn from_rows(rows: &[RouteRow<'_>]) -> Result<RouteTable> {
        let mut routes: Vec<Route> = Vec::new();
        for row in rows {
            let share = RouteShare {
                service: ServiceId::from_name(row.service),
                weight: row.weight,
            };
            match routes.last_mut() {
                Some(route) if route.address == row.address => route.shares.push(share),
                _ => routes.push(Route {
                    address: row.address,
                    shares: vec![share],
                    priority: row.priority,
                    repeatable: row.repeatable,
                }),
            }
        }
        routes.sort_by_key(|route| route.address);
        if let Some(pair) = routes.windows(2).find(|w| w[0].address == w[1].address) {
            let message = format!("the rows of address {} are not adjacent", pair[0].address);
            return Err(Error::new(Code::RoutesSyntax, message));
        }
        for route in &mut routes {
            route.shares.sort_by_key(|share| share.service);
        }
        Ok(RouteTable { routes })
    }

    /// Returns the route to an address.
    pub fn get(&self, address: SocketAddrV4) -> Option<&Route> {
        let index = self
            .routes
            .binary_search_by_key(&address, |route| route.address);
        index.ok().map(|index| &self.routes[index])
    }

    /// Returns whether the service also takes new flows of a route that is less urgent than `route`.
    pub fn has_less_urgent_route(&self, route: &Route, service: ServiceId) -> bool {
        let is_less_urgent =
            |other: &Route| other.priority > route.priority && other.is_served_by(service);
        self.routes.iter().any(is_less_urgent)
    }

    /// Returns whether a request to `called` may probe a failing or stalled backend server of a
    /// service.
    ///
    /// It may if it can run more than once, or if no request to that service can.
    pub fn may_probe(&self, called: SocketAddrV4, service: ServiceId) -> bool {
        let is_repeatable = |route: &Route| route.repeatable && route.is_served_by(service);
        self.get(called).is_some_and(is_repeatable) || !self.routes.iter().any(is_repeatable)
    }

    /// Returns all routes in order of their addresses.
    pub fn all(&self) -> &[Route] {
        &self.routes
    }
}

fn syntax(index: usize, line: &str) -> Error {
    Error::new(Code::RoutesSyntax, format!("line {}: {line:?}", index + 1))
}

/// A row of the published routes: an address and one of its services.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RouteRow<'a> {
    pub(crate) address: SocketAddrV4,
    /// The service's name, of which a [`RouteTable`] keeps only the id.
    pub(crate) service: &'a str,
    weight: u32,
    priority: u8,
    repeatable: bool,
}

/// Parses the rows of the published routes.
///
/// # Errors
///
/// Returns code 2401 with the malformed line.
pub(crate) fn parse_route_rows(text: &str) -> Result<Vec<RouteRow<'_>>> {
    let mut lines = text.lines().enumerate();
    match lines.next() {
        Some((_, ROUTES_HEADER)) => {}
        _ => return Err(syntax(0, ROUTES_HEADER)),
    }
    let rows = lines.filter(|(_, line)| !line.trim().is_empty());
    rows.map(|(index, line)| parse_row(index, line)).collect()
}

fn parse_row(index: usize, line: &str) -> Result<RouteRow<'_>> {
    let fields: Vec<&str> = line.split(',').map(str::trim).collect();
    let &[address, service, weight, priority, repeatable] = fields.as_slice() else {
        return Err(syntax(index, line));
    };
    let repeatable = match repeatable {
        "yes" => true,
        "no" => false,
        _ => return Err(syntax(index, line)),
    };
    Ok(RouteRow {
        address: address.parse().map_err(|_| syntax(index, line))?,
        service,
        weight: weight.parse().map_err(|_| syntax(index, line))?,
        priority: priority.parse().map_err(|_| syntax(index, line))?,
        repeatable,
    })
}
