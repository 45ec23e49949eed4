//! Which service takes a flow.

use endivedyke::opaque::{ROUTES_HEADER, RouteTable};
use endivedyke::{Code, ServiceId};

use crate::builder::flow;

fn routes(rows: &str) -> Result<RouteTable, Code> {
    let text = format!("{ROUTES_HEADER}\n{rows}");
    RouteTable::parse(&text).map_err(|error| error.code)
}

#[test]
fn new_flows_are_split_by_weight() {
    let table = routes("192.0.2.1:443,a,90\n192.0.2.1:443,b,10\n").expect("sound");
    let route = table
        .get("192.0.2.1:443".parse().expect("address"))
        .expect("route");
    let services = (1..10_000).map(|port| route.service(flow(port).hash()));
    let share = services
        .filter(|service| *service == Some(ServiceId::of("b")))
        .count();
    assert!((900..1_100).contains(&share), "{share}");
}

#[test]
fn a_route_without_weight_takes_nothing() {
    let table = routes("192.0.2.1:443,a,0\n").expect("sound");
    assert_eq!(table.all()[0].service(1), None);
    assert!(!table.all()[0].has(ServiceId::of("a")));
}

#[test]
fn malformed_routes_are_refused_with_their_code() {
    let cases = [
        "192.0.2.1,a,1",
        "192.0.2.1:443,a",
        "192.0.2.1:443,a,-1",
        "x:1,a,1",
        "192.0.2.1:443,a,1\n192.0.2.2:1,b,1\n192.0.2.1:443,b,1",
    ];
    for rows in cases {
        assert_eq!(routes(rows), Err(Code::RoutesSyntax), "{rows:?}");
    }
    assert!(RouteTable::parse("").is_err());
}
