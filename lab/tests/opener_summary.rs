//! The account of openers, from log lines as balancers and agents write them.

use endivedyke::parse_log;
use endivedyke_lab::{
    LogDefaults, OpenerEnd, OpenerSummary, count_dropped_lines, openers_csv, openers_table,
};

const FLOW: &str = "100.64.0.7:1027>198.18.0.1:443";
const OTHER: &str = "100.64.0.8:1030>198.18.0.1:443";
const UNTOLD: LogDefaults<'static> = LogDefaults {
    slots: 2,
    zones: &["z-2"],
};

/// Writes lines as a collector does: the time and the name of the host before each.
fn collected(lines: &[(u64, &str, &str)]) -> String {
    let line = |(time_ms, host, text): &(u64, &str, &str)| {
        format!("12.345 {host} time_ms={time_ms} level=INFO part=x {text}\n")
    };
    lines.iter().map(line).collect()
}

/// Returns the account of lines of openers, `{}` in which stands for the flow.
fn account_of<T>(lines: &[(u64, &str, &str)], look: impl FnOnce(&OpenerSummary<'_>) -> T) -> T {
    let text = collected(lines).replace("{}", FLOW);
    let parsed = parse_log("log", &text);
    look(&OpenerSummary::from_lines(&parsed, &UNTOLD))
}

fn end_of(lines: &[(u64, &str, &str)]) -> (OpenerEnd, String, Option<u64>, Option<bool>) {
    account_of(lines, |account| {
        let opener = account.openers.iter().find(|opener| opener.flow == FLOW);
        let opener = opener.expect("an opener");
        (
            opener.end,
            opener.reason.to_owned(),
            opener.took_ms,
            opener.slot_was_free,
        )
    })
}

#[test]
fn an_opener_is_taken_at_once_or_after_offers_or_after_a_wait() {
    let taken = "event=opener_taken flow={} copy=0 hops=0 busy=0";
    let at_once = end_of(&[(1_000, "a-1", taken)]);
    assert_eq!(at_once, (OpenerEnd::AtOnce, String::new(), Some(0), None));

    let crowded = "event=opener_not_taken flow={} reason=Crowded copy=0 hops=0 busy=4";
    let taken_there = "event=opener_taken flow={} copy=0 hops=1 busy=1";
    let offered = end_of(&[(1_000, "a-1", crowded), (1_007, "a-2", taken_there)]);
    assert_eq!(offered.0, OpenerEnd::OfferedOn);
    assert_eq!((offered.1.as_str(), offered.2), ("Crowded", Some(7)));

    let dropped = "event=opener_dropped flow={} copy=0 hops=3";
    let copy = "event=opener_taken flow={} copy=1 hops=0 busy=1";
    let waited = end_of(&[
        (1_000, "a-1", crowded),
        (1_003, "a-2", dropped),
        (1_204, "a-1", copy),
    ]);
    assert_eq!(waited.0, OpenerEnd::Waited);
    assert_eq!(waited.2, Some(204));

    let queued = "event=opener_queued flow={} behind=0 wait_ms=9 due_ms=250 busy=2 slots=2";
    let dequeued = "event=opener_dequeued flow={} waited_ms=12 busy=1 slots=2";
    let taken_late = "event=opener_taken flow={} copy=0 hops=0 busy=1";
    let waited = end_of(&[
        (1_000, "a-1", queued),
        (1_012, "a-1", dequeued),
        (1_012, "a-1", taken_late),
    ]);
    assert_eq!((waited.0, waited.1.as_str()), (OpenerEnd::Waited, "Queued"));
    assert_eq!(waited.2, Some(12));
}

#[test]
fn a_balancer_tells_offers_that_no_agent_tells() {
    let offered = "event=opener_offered flow={} host=10.0.0.2 offers=3";
    let taken = "event=opener_taken flow={} copy=0 hops=0 busy=0";
    let lines = [(1_000, "b-1", offered), (1_004, "a-2", taken)];
    let (end, offers) = account_of(&lines, |account| {
        let opener = &account.openers[0];
        (opener.end, opener.offers)
    });
    assert_eq!((end, offers), (OpenerEnd::OfferedOn, 3));
    assert_eq!(end_of(&lines).2, Some(4));
}

#[test]
fn a_copy_has_waited_though_no_line_shows_the_first() {
    let copy = "event=opener_taken flow={} copy=2 hops=0 busy=0";
    let late = end_of(&[(1_000, "a-1", copy)]);
    assert_eq!((late.0, late.2), (OpenerEnd::Waited, Some(600)));
}

#[test]
fn an_opener_is_dropped_in_silence_or_refused_or_neither_is_told() {
    let crowded = "event=opener_not_taken flow={} reason=Crowded copy=0 hops=3 busy=4";
    let dropped = "event=opener_dropped flow={} copy=0 hops=3";
    let silent = end_of(&[(1_000, "a-1", crowded), (1_000, "a-1", dropped)]);
    assert_eq!(
        (silent.0, silent.1.as_str()),
        (OpenerEnd::Dropped, "Crowded")
    );
    assert_eq!(silent.2, None);

    let reset = "event=flow_reset flow={} code=4013";
    let refused = end_of(&[(1_000, "a-1", crowded), (1_000, "a-1", reset)]);
    assert_eq!(
        (refused.0, refused.1.as_str()),
        (OpenerEnd::Refused, "Crowded")
    );

    let told = "event=opener_refused flow={} reason=TooLate waited_ms=300 code=4013";
    let refused = end_of(&[(1_000, "a-1", told)]);
    assert_eq!(
        (refused.0, refused.1.as_str()),
        (OpenerEnd::Refused, "TooLate")
    );

    let unfinished = end_of(&[(1_000, "a-1", crowded)]);
    assert_eq!(unfinished.0, OpenerEnd::Unfinished);
}

#[test]
fn the_reset_of_an_open_flow_is_no_refusal_of_an_opener() {
    let lines = [
        (
            1_000,
            "a-1",
            "event=opener_taken flow={} copy=0 hops=0 busy=0",
        ),
        (2_000, "a-1", "event=flow_reset flow={} code=4012"),
        (
            2_000,
            "b-1",
            "event=flow_reset flow={} code=4010 opens=false",
        ),
    ];
    assert_eq!(end_of(&lines).0, OpenerEnd::AtOnce);
    let reset = [(2_000, "b-1", "event=flow_reset flow={} code=4011")];
    assert_eq!(account_of(&reset, |account| account.openers.len()), 0);
}

/// Returns whether a refusal at 1,500 ms was needless, after what another agent wrote about its load.
fn needless_after(other_host: &str, lines: &[(u64, &str)]) -> Option<bool> {
    let taken = format!("event=opener_taken flow={OTHER} copy=0 hops=0 busy=0");
    let mut all = vec![(500, other_host, taken.as_str())];
    all.extend(lines.iter().map(|(at, line)| (*at, other_host, *line)));
    let crowded = "event=opener_not_taken flow={} reason=Crowded copy=0 hops=3 busy=4";
    all.push((1_500, "a-1", crowded));
    all.push((1_500, "a-1", "event=opener_dropped flow={} copy=0 hops=3"));
    end_of(&all).3
}

#[test]
fn a_refusal_is_needless_where_another_agent_of_the_service_had_a_slot_free() {
    let took = |busy| format!("event=opener_taken flow={OTHER} copy=0 hops=0 busy={busy}");
    // What it took occupies the second slot of two.
    assert_eq!(needless_after("a-2", &[(1_400, &took(1))]), Some(false));
    assert_eq!(needless_after("a-2", &[(1_400, &took(0))]), Some(true));
    let told = format!("{} slots=4", took(1));
    assert_eq!(needless_after("a-2", &[(1_400, &told)]), Some(true));
    // What comes after the refusal says nothing about it.
    let lines = [(1_400, &*took(1)), (1_600, &*took(0))];
    assert_eq!(needless_after("a-2", &lines), Some(false));
}

#[test]
fn an_agent_that_takes_none_has_no_slot_free() {
    for line in [
        "event=leaving grace_ms=200",
        "event=backend_silent flow=x waited_ms=50",
        "event=opener_not_taken flow=x reason=Evacuated copy=0 hops=0 busy=0",
    ] {
        assert_eq!(needless_after("a-2", &[(1_400, line)]), Some(false));
    }
}

#[test]
fn what_was_told_long_ago_or_of_another_service_says_nothing() {
    let taken = format!("event=opener_taken flow={OTHER} copy=0 hops=0 busy=0");
    let crowded = "event=opener_not_taken flow={} reason=Silent copy=0 hops=3 busy=4";
    let dropped = "event=opener_dropped flow={} copy=0 hops=3";
    let old = [
        (1_000, "a-2", taken.as_str()),
        (9_000, "a-1", crowded),
        (9_000, "a-1", dropped),
    ];
    assert_eq!(end_of(&old).3, None);
    let foreign = taken.replace("198.18.0.1:443", "198.18.0.1:8443");
    let foreign = [
        (8_900, "a-2", foreign.as_str()),
        (9_000, "a-1", crowded),
        (9_000, "a-1", dropped),
    ];
    assert_eq!(end_of(&foreign).3, None);
}

#[test]
fn addresses_that_one_agent_serves_are_one_service() {
    let first = "event=opener_taken flow={} copy=0 hops=0 busy=0";
    let second = first.replace("{}", "100.64.0.9:1>198.18.0.1:444");
    let lines = [(1_000, "a-1", first), (1_010, "a-1", &*second)];
    let services = account_of(&lines, |account| {
        let services = account.openers.iter().map(|opener| opener.service);
        services.map(str::to_owned).collect::<Vec<_>>()
    });
    assert_eq!(services, ["198.18.0.1:443", "198.18.0.1:443"]);
}

#[test]
fn the_table_tells_totals_services_zones_and_reasons() {
    let lines = [
        (900, "a-1", "event=start host=a-1 zone=z-1"),
        (
            1_000,
            "a-1",
            "event=opener_taken flow=c:1>s:1 copy=0 hops=0 busy=0 colour=red",
        ),
        (
            1_001,
            "a-1",
            "event=opener_not_taken flow=c:2>s:1 reason=Crowded copy=0 hops=0 busy=4",
        ),
        (
            1_009,
            "a-z-2",
            "event=opener_taken flow=c:2>s:1 copy=0 hops=1 busy=0",
        ),
        (
            1_010,
            "a-1",
            "event=opener_not_taken flow=c:3>s:1 reason=Crowded copy=0 hops=3 busy=4",
        ),
        (
            1_010,
            "a-1",
            "event=opener_dropped flow=c:3>s:1 copy=0 hops=3",
        ),
    ];
    let (table, csv) = account_of(&lines, |account| {
        (openers_table(account), openers_csv(account))
    });
    let row = |start: &str| {
        let found = table.lines().find(|line| line.starts_with(start));
        found
            .unwrap_or_else(|| panic!("{start}: {table}"))
            .to_owned()
    };
    assert_eq!(
        row("| all"),
        "| all | 3 | 1 | 1 | 0 | 1 | 0 | 0 | 1 of 1 | 0 | 8 | 8 |"
    );
    assert_eq!(
        row("| service s:1"),
        row("| all").replace("all", "service s:1")
    );
    assert!(row("| zone z-1").starts_with("| zone z-1 | 2 |"), "{table}");
    assert_eq!(
        row("| dropped | Crowded"),
        "| dropped | Crowded | 1 | 1 of 1 |"
    );
    assert!(
        table.contains("1 copies of openers were dropped"),
        "{table}"
    );
    let rows: Vec<&str> = csv.lines().collect();
    assert_eq!(rows.len(), 4, "{csv}");
    assert_eq!(rows[2], "c:2>s:1,s:1,z-2,offered on,Crowded,1001,8,2,false");
}

#[test]
fn a_refusal_for_want_of_a_route_is_not_for_want_of_room() {
    let taken = format!("event=opener_taken flow={OTHER} copy=0 hops=0 busy=0");
    let reset = "event=flow_reset flow={} code=4010 opens=true";
    let lines = [(1_000, "a-2", taken.as_str()), (1_010, "b-1", reset)];
    let refused = end_of(&lines);
    assert_eq!(
        (refused.0, refused.1.as_str(), refused.3),
        (OpenerEnd::Refused, "4010", None)
    );
}

#[test]
fn lines_that_were_not_written_are_counted() {
    let text = "1.2 a-1 event=lines_dropped count=7\n\
        1.2 a-1 time_ms=5 level=INFO part=x event=opener_taken flow=f copy=0\n\
        1.3 a-2 event=lines_dropped count=5\n";
    assert_eq!(count_dropped_lines(text), 12);
}
