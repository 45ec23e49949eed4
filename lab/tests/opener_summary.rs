//! The summary of openers from the log lines of balancers and agents.

use endivedyke::parse_log;
use endivedyke_lab::{
    LogDefaults, OpenerEnd, OpenerSummary, count_dropped_lines, openers_csv, openers_table,
};

const FLOW: &str = "100.64.0.7:1027>198.18.0.1:443";
const OTHER_FLOW: &str = "100.64.0.8:1030>198.18.0.1:443";
const DEFAULTS: LogDefaults<'static> = LogDefaults {
    slots: 2,
    zones: &["z-2"],
};

/// Returns the text of lines in the format of a log collector, with a time and the host name before
/// each line.
fn collected(lines: &[(u64, &str, &str)]) -> String {
    let line = |(time_ms, host, text): &(u64, &str, &str)| {
        format!("12.345 {host} time_ms={time_ms} level=INFO part=x {text}\n")
    };
    lines.iter().map(line).collect()
}

/// Passes the summary of lines to `inspect` and returns its result. `{}` in a line stands for
/// [`FLOW`].
fn with_summary<T>(
    lines: &[(u64, &str, &str)],
    inspect: impl FnOnce(&OpenerSummary<'_>) -> T,
) -> T {
    let text = collected(lines).replace("{}", FLOW);
    let parsed = parse_log("log", &text);
    inspect(&OpenerSummary::from_lines(&parsed, &DEFAULTS))
}

/// Returns the end, the reason, the time until it was taken and whether a slot was free, of the
/// opener of [`FLOW`].
fn end_of(lines: &[(u64, &str, &str)]) -> (OpenerEnd, String, Option<u64>, Option<bool>) {
    with_summary(lines, |summary| {
        let opener = summary.openers.iter().find(|opener| opener.flow == FLOW);
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
fn openers_end_at_once_or_offered_on_or_waited() {
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
fn offers_that_only_the_balancer_logs_are_counted() {
    let offered = "event=opener_offered flow={} host=10.0.0.2 offers=3";
    let taken = "event=opener_taken flow={} copy=0 hops=0 busy=0";
    let lines = [(1_000, "b-1", offered), (1_004, "a-2", taken)];
    let (end, offers) = with_summary(&lines, |summary| {
        let opener = &summary.openers[0];
        (opener.end, opener.offers)
    });
    assert_eq!((end, offers), (OpenerEnd::OfferedOn, 3));
    assert_eq!(end_of(&lines).2, Some(4));
}

#[test]
fn a_later_copy_counts_as_waited_without_a_line_of_the_first_copy() {
    let taken = "event=opener_taken flow={} copy=2 hops=0 busy=0";
    let waited = end_of(&[(1_000, "a-1", taken)]);
    assert_eq!((waited.0, waited.2), (OpenerEnd::Waited, Some(600)));
}

#[test]
fn openers_not_taken_end_dropped_or_refused_or_unfinished() {
    let crowded = "event=opener_not_taken flow={} reason=Crowded copy=0 hops=3 busy=4";
    let dropped = "event=opener_dropped flow={} copy=0 hops=3";
    let unanswered = end_of(&[(1_000, "a-1", crowded), (1_000, "a-1", dropped)]);
    assert_eq!(
        (unanswered.0, unanswered.1.as_str()),
        (OpenerEnd::Dropped, "Crowded")
    );
    assert_eq!(unanswered.2, None);

    let reset = "event=flow_reset flow={} code=4013";
    let refused = end_of(&[(1_000, "a-1", crowded), (1_000, "a-1", reset)]);
    assert_eq!(
        (refused.0, refused.1.as_str()),
        (OpenerEnd::Refused, "Crowded")
    );

    let too_late = "event=opener_refused flow={} reason=TooLate waited_ms=300 code=4013";
    let refused = end_of(&[(1_000, "a-1", too_late)]);
    assert_eq!(
        (refused.0, refused.1.as_str()),
        (OpenerEnd::Refused, "TooLate")
    );

    let unfinished = end_of(&[(1_000, "a-1", crowded)]);
    assert_eq!(unfinished.0, OpenerEnd::Unfinished);
}

#[test]
fn the_reset_of_an_open_flow_does_not_count_as_a_refused_opener() {
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
    assert_eq!(with_summary(&reset, |summary| summary.openers.len()), 0);
}

/// Returns whether a slot was free when agent `a-1` declined an opener at 1,500 ms, by the lines of
/// another agent that serves the same service.
fn slot_was_free_after(other_host: &str, lines: &[(u64, &str)]) -> Option<bool> {
    let taken = format!("event=opener_taken flow={OTHER_FLOW} copy=0 hops=0 busy=0");
    let mut all = vec![(500, other_host, taken.as_str())];
    all.extend(lines.iter().map(|(at, line)| (*at, other_host, *line)));
    let crowded = "event=opener_not_taken flow={} reason=Crowded copy=0 hops=3 busy=4";
    all.push((1_500, "a-1", crowded));
    all.push((1_500, "a-1", "event=opener_dropped flow={} copy=0 hops=3"));
    end_of(&all).3
}

#[test]
fn a_slot_was_free_if_another_agent_of_the_service_had_one() {
    let taken = |busy| format!("event=opener_taken flow={OTHER_FLOW} copy=0 hops=0 busy={busy}");
    // The opener that is taken occupies the second of two slots.
    assert_eq!(
        slot_was_free_after("a-2", &[(1_400, &taken(1))]),
        Some(false)
    );
    assert_eq!(
        slot_was_free_after("a-2", &[(1_400, &taken(0))]),
        Some(true)
    );
    let with_slots = format!("{} slots=4", taken(1));
    assert_eq!(
        slot_was_free_after("a-2", &[(1_400, &with_slots)]),
        Some(true)
    );
    // Lines after the opener was declined are ignored.
    let lines = [(1_400, &*taken(1)), (1_600, &*taken(0))];
    assert_eq!(slot_was_free_after("a-2", &lines), Some(false));
}

#[test]
fn an_agent_that_takes_no_openers_has_no_free_slot() {
    for line in [
        "event=leaving grace_ms=200",
        "event=backend_silent flow=x waited_ms=50",
        "event=opener_not_taken flow=x reason=Evacuated copy=0 hops=0 busy=0",
    ] {
        assert_eq!(slot_was_free_after("a-2", &[(1_400, line)]), Some(false));
    }
}

#[test]
fn expired_loads_and_loads_of_other_services_are_ignored() {
    let taken = format!("event=opener_taken flow={OTHER_FLOW} copy=0 hops=0 busy=0");
    let crowded = "event=opener_not_taken flow={} reason=Silent copy=0 hops=3 busy=4";
    let dropped = "event=opener_dropped flow={} copy=0 hops=3";
    let expired = [
        (1_000, "a-2", taken.as_str()),
        (9_000, "a-1", crowded),
        (9_000, "a-1", dropped),
    ];
    assert_eq!(end_of(&expired).3, None);
    let other_service = taken.replace("198.18.0.1:443", "198.18.0.1:8443");
    let other_service = [
        (8_900, "a-2", other_service.as_str()),
        (9_000, "a-1", crowded),
        (9_000, "a-1", dropped),
    ];
    assert_eq!(end_of(&other_service).3, None);
}

#[test]
fn addresses_of_one_agent_belong_to_one_service() {
    let first = "event=opener_taken flow={} copy=0 hops=0 busy=0";
    let second = first.replace("{}", "100.64.0.9:1>198.18.0.1:444");
    let lines = [(1_000, "a-1", first), (1_010, "a-1", &*second)];
    let services = with_summary(&lines, |summary| {
        let services = summary.openers.iter().map(|opener| opener.service);
        services.map(str::to_owned).collect::<Vec<_>>()
    });
    assert_eq!(services, ["198.18.0.1:443", "198.18.0.1:443"]);
}

#[test]
fn the_table_has_totals_services_zones_and_reasons() {
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
    let (table, csv) = with_summary(&lines, |summary| {
        (openers_table(summary), openers_csv(summary))
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
fn a_refusal_without_a_route_is_not_due_to_a_lack_of_slots() {
    let taken = format!("event=opener_taken flow={OTHER_FLOW} copy=0 hops=0 busy=0");
    let reset = "event=flow_reset flow={} code=4010 opens=true";
    let lines = [(1_000, "a-2", taken.as_str()), (1_010, "b-1", reset)];
    let refused = end_of(&lines);
    assert_eq!(
        (refused.0, refused.1.as_str(), refused.3),
        (OpenerEnd::Refused, "4010", None)
    );
}

#[test]
fn dropped_lines_are_counted() {
    let text = "1.2 a-1 event=lines_dropped count=7\n\
        1.2 a-1 time_ms=5 level=INFO part=x event=opener_taken flow=f copy=0\n\
        1.3 a-2 event=lines_dropped count=5\n";
    assert_eq!(count_dropped_lines(text), 12);
}
