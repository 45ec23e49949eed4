//! The budget that limits how many log lines a process writes.

use endivedyke::{LogBudget, explain, format_dropped_count, parse_log};

#[test]
fn lines_over_the_budget_are_dropped_and_counted() {
    let mut budget = LogBudget::new(0);
    let written = (0..10_000).filter(|_| budget.try_take(false, 0)).count();
    assert!((300..=500).contains(&written), "{written}");
    assert_eq!(budget.take_dropped(999), 0, "reported once a second");
    assert_eq!(budget.take_dropped(1_000), 10_000 - written as u64);
    assert_eq!(budget.take_dropped(2_000), 0);
}

#[test]
fn warnings_use_the_reserve_and_the_budget_refills_over_time() {
    let mut budget = LogBudget::new(0);
    while budget.try_take(false, 0) {}
    assert!(budget.try_take(true, 0));
    let later = (0..10_000)
        .filter(|_| budget.try_take(false, 10_000))
        .count();
    assert!((300..=450).contains(&later), "{later}");
}

#[test]
fn the_count_of_dropped_lines_is_a_parsable_log_line() {
    let text = format_dropped_count(27, 1_700_000_000_123);
    let lines = parse_log("10.0.0.1", &text);
    assert_eq!(lines.len(), 1, "{text}");
    let (time_ms, event) = (lines[0].time_ms, lines[0].event);
    assert_eq!((time_ms, event), (1_700_000_000_123, "lines_dropped"));
    assert_eq!(lines[0].field("count"), Some("27"));
}

#[test]
fn an_explanation_mentions_dropped_lines() {
    let flow = "100.64.0.7:1027>198.18.0.1:443";
    let lost = format!(
        "time_ms=5200 level=WARN part=x event=request_lost request=r-1 flow={flow} reason=closed"
    );
    let text = format!("{}\n{lost}\n", format_dropped_count(27, 5_150));
    let explanation = explain(flow, &[("10.0.0.1".to_owned(), text)]).expect("an explanation");
    assert!(
        explanation.contains("lines are missing there"),
        "{explanation}"
    );
}
