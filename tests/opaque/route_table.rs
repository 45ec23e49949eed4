//! The published routes: how new flows are split among services, and what an edit of routes
//! changes.

use endivedyke::opaque::{ROUTES_HEADER, RouteTable, route_changes};
use endivedyke::{Code, ServiceId};

use crate::builder::flow;

fn routes(rows: &str) -> Result<RouteTable, Code> {
    let text = format!("{ROUTES_HEADER}\n{rows}");
    RouteTable::parse(&text).map_err(|error| error.code)
}

#[test]
fn new_flows_are_split_by_weight() {
    let table = routes("192.0.2.1:443,a,90,2,yes\n192.0.2.1:443,b,10,2,yes\n").expect("valid");
    let route = table
        .get("192.0.2.1:443".parse().expect("address"))
        .expect("route");
    let services = (1..10_000).map(|port| route.select_service(flow(port).hash()));
    let share = services
        .filter(|service| *service == Some(ServiceId::from_name("b")))
        .count();
    assert!((900..1_100).contains(&share), "{share}");
}

#[test]
fn a_route_without_weight_takes_no_flows() {
    let table = routes("192.0.2.1:443,a,0,2,yes\n").expect("valid");
    assert_eq!(table.all()[0].select_service(1), None);
}

#[test]
fn malformed_routes_are_rejected_with_their_code() {
    let cases = [
        "192.0.2.1,a,1,2,yes",
        "192.0.2.1:443,a,1,2",
        "192.0.2.1:443,a,-1,2,yes",
        "192.0.2.1:443,a,1,-2,yes",
        "192.0.2.1:443,a,1,2,maybe",
        "x:1,a,1,2,yes",
        "192.0.2.1:443,a,1,2,yes\n192.0.2.2:1,b,1,2,yes\n192.0.2.1:443,b,1,2,yes",
    ];
    for rows in cases {
        assert_eq!(routes(rows), Err(Code::RoutesSyntax), "{rows:?}");
    }
    assert!(RouteTable::parse("").is_err());
}

#[test]
fn a_route_is_urgent_if_its_service_also_takes_a_less_urgent_route() {
    let rows = "192.0.2.1:443,a,1,1,yes\n192.0.2.2:443,a,1,2,yes\n192.0.2.3:443,b,1,1,yes\n192.0.2.4:443,c,1,2,yes\n";
    let table = routes(rows).expect("valid");
    let urgent: Vec<bool> = table
        .all()
        .iter()
        .map(|route| table.has_less_urgent_route(route, route.shares[0].service))
        .collect();
    assert_eq!(urgent, [true, false, false, false]);
}

#[test]
fn requests_that_may_not_run_twice_probe_only_if_the_service_has_no_others() {
    let rows = "192.0.2.1:443,a,1,1,no\n192.0.2.2:443,a,1,2,yes\n192.0.2.3:443,b,1,1,no\n";
    let table = routes(rows).expect("valid");
    let may_probe = table.all().iter().map(|route| {
        let service = route.shares[0].service;
        table.may_probe(route.address, service)
    });
    assert_eq!(may_probe.collect::<Vec<_>>(), [false, true, true]);
}

/// A service, its share before and after, and a part of the text of the change's effect.
type ExpectedChange = (&'static str, f64, f64, &'static str);

#[test]
fn a_diff_lists_every_changed_share_with_its_effect() {
    const ONE: &str = "192.0.2.1:443,old,1,1,yes\n";
    let cases: &[(&str, &str, &[ExpectedChange])] = &[
        (ONE, ONE, &[]),
        (ONE, "", &[("old", 1.0, 0.0, "open flows are reset")]),
        ("", ONE, &[("old", 0.0, 1.0, "served from now on")]),
        (
            ONE,
            "192.0.2.1:443,old,3,1,yes\n192.0.2.1:443,new,1,1,yes\n",
            &[
                ("new", 0.0, 0.25, "new ones follow the new share"),
                ("old", 1.0, 0.75, "new ones follow the new share"),
            ],
        ),
        (
            ONE,
            "192.0.2.1:443,new,1,1,yes\n",
            &[
                ("new", 0.0, 1.0, "new ones follow the new share"),
                ("old", 1.0, 0.0, "takes no new flow; open flows stay"),
            ],
        ),
        (
            ONE,
            "192.0.2.1:443,old,0,1,yes\n",
            &[("old", 1.0, 0.0, "nobody takes new flows")],
        ),
        (ONE, "192.0.2.1:443,old,5,1,yes\n", &[]),
        (
            ONE,
            "192.0.2.1:443,old,1,0,yes\n",
            &[("old", 1.0, 1.0, "more urgent")],
        ),
        (
            ONE,
            "192.0.2.1:443,old,1,2,yes\n",
            &[("old", 1.0, 1.0, "less urgent")],
        ),
        (
            ONE,
            "192.0.2.1:443,old,1,1,no\n",
            &[("old", 1.0, 1.0, "may not run twice")],
        ),
    ];
    for (old, new, expected) in cases {
        let text = |rows: &str| format!("{ROUTES_HEADER}\n{rows}");
        let changes = route_changes(&text(old), &text(new)).expect("valid");
        assert_eq!(
            changes.len(),
            expected.len(),
            "{old:?} to {new:?}: {changes:?}"
        );
        for (change, (service, before, after, effect)) in changes.iter().zip(*expected) {
            assert_eq!(change.service, *service, "{new:?}");
            assert_eq!(change.share, (*before, *after), "{new:?}");
            assert!(change.effect.contains(effect), "{new:?}: {}", change.effect);
        }
    }
}
