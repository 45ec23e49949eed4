//! Which service takes the flows that callers open to an address.

use std::net::SocketAddrV4;

use crate::code::Code;
use crate::config::hash;
use crate::config::service_id::ServiceId;
use crate::error::{Error, Result};

/// The name of the published routes.
pub const ROUTES_NAME: &str = "routes";
/// The first line of the published routes.
pub const ROUTES_HEADER: &str = "address,service,weight,priority,repeatable";

/// A salt that keeps the choice of a service independent of the choice of its target.
const SPLIT_SALT: u64 = 0x7370_6c69;

/// One service that takes a part of a route's new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteShare {
    /// The service.
    pub service: ServiceId,
    /// Its part, relative to the other shares of the route.
    pub weight: u32,
}

/// An address that callers may call, and who takes its new flows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The address and port that callers call.
    pub address: SocketAddrV4,
    /// The services, in order of their ids.
    pub shares: Vec<RouteShare>,
    /// How urgent its requests are; 0 is served first.
    pub priority: u8,
    /// Whether its requests may run more than once, so that callers send them again after any failure.
    pub repeatable: bool,
}

impl Route {
    /// Draws the service of a new flow, in proportion to the weights.
    ///
    /// Every process that holds the same table draws the same one, so that the copies of an opener
    /// reach one service.
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

    /// Returns the part of the new flows that a service takes, from 0 to 1.
    pub fn share(&self, service: ServiceId) -> f64 {
        let weight = |share: &RouteShare| u64::from(share.weight);
        let own = self.shares.iter().filter(|share| share.service == service);
        let total: u64 = self.shares.iter().map(weight).sum();
        own.map(weight).sum::<u64>() as f64 / total.max(1) as f64
    }

    /// Tells whether any service takes new flows.
    pub fn takes_flows(&self) -> bool {
        self.shares.iter().any(|share| share.weight > 0)
    }

    /// Tells whether a service takes a part of this route.
    fn has(&self, service: ServiceId) -> bool {
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
    /// Returns code 2401 with the line at fault.
    pub fn parse(text: &str) -> Result<RouteTable> {
        RouteTable::from_rows(&parse_route_rows(text)?)
    }

    /// Gathers rows by their addresses.
    ///
    /// # Errors
    ///
    /// Returns code 2401 where the rows of an address do not stand together.
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
            let message = format!("address {} stands twice", pair[0].address);
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

    /// Tells whether another route to a service has requests that are less urgent than those of `route`.
    pub fn is_urgent(&self, route: &Route, service: ServiceId) -> bool {
        let less_urgent = |other: &Route| other.priority > route.priority && other.has(service);
        self.routes.iter().any(less_urgent)
    }

    /// Tells whether a request to `called` may be risked to see whether a backend server of a service works
    /// again: if it may run twice, or if no request to that service may.
    pub fn may_probe(&self, called: SocketAddrV4, service: ServiceId) -> bool {
        let repeatable = |route: &Route| route.repeatable && route.has(service);
        self.get(called).is_some_and(repeatable) || !self.routes.iter().any(repeatable)
    }

    /// Returns all routes in order of their addresses.
    pub fn all(&self) -> &[Route] {
        &self.routes
    }
}

fn syntax(index: usize, line: &str) -> Error {
    Error::new(Code::RoutesSyntax, format!("line {}: {line:?}", index + 1))
}

/// One row of the published routes: an address with one of its services.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RouteRow<'a> {
    pub(crate) address: SocketAddrV4,
    /// The service's name; a [`RouteTable`] keeps its id only.
    pub(crate) service: &'a str,
    weight: u32,
    priority: u8,
    repeatable: bool,
}

/// Parses the published routes row by row.
///
/// # Errors
///
/// Returns code 2401 with the line at fault.
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
