//! `endivedyke explain`: the cause of a failed request or flow, found in log lines by its id.

use endivedyke::{Code, explain, parse_log};

const FLOW: &str = "100.64.0.7:1027>198.18.0.1:443";

/// Builds the log files of several processes.
#[derive(Default)]
struct Logs {
    files: Vec<(String, String)>,
}

impl Logs {
    /// Adds the log file of a process with these lines, each a time and its text.
    fn process(mut self, host: &str, lines: &[(u64, &str)]) -> Self {
        let mut text = format!("time_ms=1 level=INFO part=daemon event=start host={host}\n");
        for (time_ms, line) in lines {
            text += &format!("time_ms={time_ms} level=INFO part=x {line}\n");
        }
        self.files.push((format!("{host}.log"), text));
        self
    }
}

#[test]
fn the_explanation_of_a_flow_begins_with_the_cause() {
    let taken = format!("event=opener_taken flow={FLOW} copy=0");
    let lost = format!("event=request_lost request=r-1 flow={FLOW} reason=backend_ended");
    let closed = format!("event=request_lost request=r-1 flow={FLOW} waited_ms=3 reason=closed");
    let left = format!("event=request_lost request=r-1 flow={FLOW} reason=caller_left");
    let before = format!("event=request_lost request=r-1 flow={FLOW} reason=flow_from_before");
    let gone = format!("event=flow_reset flow={FLOW} code=4011");
    let no_room = format!("event=flow_reset flow={FLOW} code=4013");
    let evacuated = format!("event=flow_reset flow={FLOW} code=4015 opens=true");
    let zone = format!("event=opener_not_taken flow={FLOW} reason=Evacuated copy=0");
    let cold = format!("event=opener_not_taken flow={FLOW} reason=ColdRate copy=0");
    let overdue = format!("event=request_overdue request=r-1 flow={FLOW} waited_ms=1200");
    let given_up = format!("event=lookup_given_up flow={FLOW} unanswered=0 settled=false");
    let refused = format!("event=request_answered request=r-1 flow={FLOW} status=503 took_ms=4");
    let cases = [
        (&lost, "process ended while the request was there"),
        (&closed, "closed the flow without an answer"),
        (&left, "its caller ended the flow"),
        (&before, "nothing before the request"),
        (&gone, "every agent said"),
        (&no_room, "nobody took its opener"),
        (&evacuated, "evacuated zones could have taken"),
        (&zone, "its availability zone is evacuated"),
        (&cold, "had as many as it bears"),
        (&overdue, "took over a second"),
        (&given_up, "could not yet know"),
        (&refused, "an error of its own"),
        (&taken, "nothing went wrong"),
    ];
    for (line, cause) in cases {
        let logs = Logs::default().process("10.0.0.1", &[(5_000, &taken), (5_300, line)]);
        let text = explain(FLOW, &logs.files).expect("an explanation");
        let first = text.lines().next().expect("a line");
        assert!(first.contains(cause), "{line}: {first}");
        assert!(first.contains("10.0.0.1"), "{first}");
    }
}

#[test]
fn a_request_is_traced_across_processes_without_lines_of_others() {
    let logs = Logs::default()
        .process(
            "10.0.0.1",
            &[
                (
                    5_000,
                    &format!("event=opener_not_taken flow={FLOW} reason=Crowded"),
                ),
                (5_100, "event=opener_taken flow=100.64.0.9:1>198.18.0.1:443"),
            ],
        )
        .process(
            "10.0.0.2",
            &[
                (
                    4_000,
                    "event=platform_fails error=E5002 the service does not answer",
                ),
                (5_001, &format!("event=opener_taken flow={FLOW} hops=1")),
                (
                    5_400,
                    &format!("event=request_lost request=r-1 flow={FLOW} reason=closed"),
                ),
                (
                    5_500,
                    &format!("event=request_lost request=r-2 flow={FLOW} reason=closed"),
                ),
                (9_000, "event=platform_fails error=later"),
            ],
        )
        .process(
            "10.0.0.3",
            &[(5_200, "event=platform_fails error=elsewhere")],
        );
    let text = explain("r-1", &logs.files).expect("an explanation");
    for part in [
        "Crowded",
        "hops=1",
        "r-1",
        "lost touch with the platform (10.0.0.2)",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
    for part in ["100.64.0.9", "r-2", "later", "elsewhere"] {
        assert!(!text.contains(part), "{part}: {text}");
    }
}

#[test]
fn an_opener_before_the_first_configuration_is_explained() {
    let logs = Logs::default().process(
        "10.0.0.1",
        &[
            (4_000, "event=start host=10.0.0.1"),
            (4_100, &format!("event=opener_waits flow={FLOW} copy=0")),
            (4_400, "event=waiting_for_configuration retry_ms=200"),
        ],
    );
    let text = explain(FLOW, &logs.files).expect("an explanation");
    for part in [
        "its balancer had no configuration",
        "the platform gave it none (10.0.0.1)",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
}

#[test]
fn an_unusable_entry_and_a_declined_opener_are_explained() {
    let unusable = r#"event=entry_unusable id="i-1" revision=9 code=2403 reason=malformed"#;
    let declined = format!("event=opener_declined flow={FLOW} load_permille=400 mean_permille=200");
    let logs = Logs::default().process("10.0.0.1", &[(4_900, unusable), (5_000, &declined)]);
    let text = explain(FLOW, &logs.files).expect("an explanation");
    for part in ["more to do than others", "named no backend server to use"] {
        assert!(text.contains(part), "{part}: {text}");
    }
}

#[test]
fn an_id_that_no_line_names_is_an_error() {
    let logs = Logs::default().process("10.0.0.1", &[(1, "event=ready revision=3")]);
    let error = explain("r-9", &logs.files).expect_err("no line");
    assert_eq!(error.code, Code::LogSilent);
}

#[test]
fn process_names_before_lines_and_spaces_in_values_are_parsed() {
    let text = " 35.8 edge-a-1 time_ms=7 level=WARN part=x event=platform_fails read=Whole error=E5002 no answer in 4 ms\nnoise\n";
    let lines = parse_log("file", text);
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0].process, "edge-a-1");
    assert_eq!(lines[0].field("error"), Some("E5002 no answer in 4 ms"));
}
