//! A request that must not be repeated runs at most once, and its recorded outcome is final. A test
//! with random events counts all runs.

use bytes::Bytes;
use endivedyke::{BeginOutcome, Code, KeptAnswer, Ledger, MAX_KEPT_ANSWER_BYTES, MAX_KEPT_BYTES};
use proptest::prelude::*;

fn answer(bytes: usize) -> KeptAnswer {
    KeptAnswer {
        status: 200,
        content_type: None,
        body: Bytes::from(vec![1; bytes]),
    }
}

#[test]
fn every_recorded_outcome_is_final() {
    type RecordOutcome = fn(&mut Ledger, u32);
    let cases: &[(RecordOutcome, BeginOutcome)] = &[
        (|_, _| {}, BeginOutcome::Reject(Code::InProgress)),
        (
            |ledger, ticket| ledger.record_refusal(ticket),
            BeginOutcome::Reject(Code::TicketSpent),
        ),
        (
            |ledger, ticket| ledger.record_unknown_outcome(ticket, Code::OutcomeUnknown),
            BeginOutcome::Reject(Code::OutcomeUnknown),
        ),
        (
            |ledger, ticket| ledger.record_answer(ticket, Some(answer(3))),
            BeginOutcome::Answered(answer(3)),
        ),
        (
            |ledger, ticket| ledger.record_answer(ticket, Some(answer(MAX_KEPT_ANSWER_BYTES + 1))),
            BeginOutcome::Reject(Code::AnswerNotKept),
        ),
        (
            |ledger, ticket| ledger.record_answer(ticket, None),
            BeginOutcome::Reject(Code::AnswerNotKept),
        ),
    ];
    for (record_outcome, expected) in cases {
        let mut ledger = Ledger::new(10);
        let ticket = ledger.issue_ticket().expect("a ticket");
        assert_eq!(ledger.begin(ticket, 9), BeginOutcome::Run);
        record_outcome(&mut ledger, ticket);
        assert_eq!(ledger.begin(ticket, 9), *expected);
        assert_eq!(
            ledger.begin(ticket, 8),
            BeginOutcome::Reject(Code::TicketMismatch)
        );
    }
}

#[test]
fn tickets_that_were_never_issued_do_not_run() {
    let mut ledger = Ledger::new(10);
    assert_eq!(ledger.begin(0, 1), BeginOutcome::Reject(Code::BadRequest));
}

#[test]
fn tickets_below_the_window_never_run() {
    let mut ledger = Ledger::new(2);
    let tickets: Vec<u32> = (0..5)
        .map(|_| ledger.issue_ticket().expect("a ticket"))
        .collect();
    for ticket in &tickets[1..] {
        assert_eq!(ledger.begin(*ticket, 1), BeginOutcome::Run);
        ledger.record_answer(*ticket, None);
    }
    assert_eq!(ledger.len(), 2);
    assert_eq!(
        ledger.begin(tickets[0], 1),
        BeginOutcome::Reject(Code::TicketExpired)
    );
    assert_eq!(
        ledger.begin(tickets[1], 1),
        BeginOutcome::Reject(Code::TicketExpired)
    );
}

#[test]
fn kept_answers_are_bounded_and_hold_no_connection_buffers() {
    let buffer = Bytes::from(vec![1; 8_192]);
    let mut ledger = Ledger::new(100_000);
    for _ in 0..5_000 {
        let ticket = ledger.issue_ticket().expect("a ticket");
        assert_eq!(ledger.begin(ticket, 1), BeginOutcome::Run);
        let kept = KeptAnswer {
            body: buffer.slice(..MAX_KEPT_ANSWER_BYTES),
            ..answer(0)
        };
        ledger.record_answer(ticket, Some(kept));
    }
    assert!(
        buffer.is_unique(),
        "a kept answer is copied out of the connection's buffer"
    );
    assert!(ledger.kept_bytes() <= MAX_KEPT_BYTES);
    assert_eq!(
        ledger.len(),
        5_000,
        "tickets stay recorded when their answers are dropped"
    );
    assert_eq!(
        ledger.begin(0, 1),
        BeginOutcome::Reject(Code::AnswerNotKept)
    );
    assert!(matches!(ledger.begin(4_999, 1), BeginOutcome::Answered(_)));
}

proptest! {
    /// No ticket runs twice, in any order of first attempts, repeats, outcomes and evictions.
    #[test]
    fn no_ticket_runs_twice(
        capacity in 1usize..8,
        events in proptest::collection::vec((0u8..5, 0u32..24), 1..200),
    ) {
        let mut ledger = Ledger::new(capacity);
        let mut runs = [0u32; 24];
        let mut running: Vec<u32> = Vec::new();
        for _ in 0..24 {
            ledger.issue_ticket();
        }
        for (event, ticket) in events {
            match event {
                0 | 1 => {
                    if ledger.begin(ticket, 7) == BeginOutcome::Run {
                        runs[ticket as usize] += 1;
                        running.push(ticket);
                    }
                }
                _ => {
                    if running.is_empty() {
                        continue;
                    }
                    let ended = running.swap_remove(ticket as usize % running.len());
                    match event {
                        2 => ledger.record_refusal(ended),
                        3 => ledger.record_unknown_outcome(ended, Code::OutcomeUnknown),
                        _ => ledger.record_answer(ended, Some(answer(4))),
                    }
                }
            }
            prop_assert!(runs.iter().all(|count| *count <= 1), "{:?}", runs);
            prop_assert!(ledger.len() <= capacity + running.len() + 1);
        }
    }
}
