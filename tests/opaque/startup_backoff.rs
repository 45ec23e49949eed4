//! The backoff with which processes without a configuration read an unreachable platform.

use endivedyke::opaque::StartupBackoff;

const SEEDS: usize = 3;
/// The interval at which a process checks whether a read is due, in milliseconds.
const CHECK_INTERVAL_MS: usize = 10;
/// The interval between answers of a seed, in milliseconds.
const ANSWER_INTERVAL_MS: u64 = 200;

/// Starts `count` processes during an outage of the platform, and returns each with its number of
/// reads in it.
fn run_outage(count: usize, outage_ms: u64, has_seed_answers: bool) -> Vec<(StartupBackoff, u32)> {
    let start = |index| (StartupBackoff::new(index < SEEDS, 0), 0);
    let mut processes: Vec<(StartupBackoff, u32)> = (0..count).map(start).collect();
    for now_ms in (0..outage_ms).step_by(CHECK_INTERVAL_MS) {
        for (backoff, reads) in &mut processes {
            if has_seed_answers && now_ms % ANSWER_INTERVAL_MS == 0 {
                backoff.record_seed_answer(now_ms);
            }
            if backoff.is_due(now_ms) {
                backoff.record_failure(now_ms);
                *reads += 1;
            }
        }
    }
    processes
}

#[test]
fn only_seeds_retry_often_at_any_site_size() {
    for count in [30, 300, 1_000, 6_000] {
        let processes = run_outage(count, 3_000, true);
        let retries: u32 = processes.iter().map(|(_, reads)| reads - 1).sum();
        assert!(
            (20..=33).contains(&retries),
            "{retries} of {count} processes"
        );
    }
}

#[test]
fn processes_that_are_no_seeds_still_retry_a_few_times_a_minute() {
    let processes = run_outage(300, 60_000, true);
    let others = processes.iter().skip(SEEDS);
    for (_, reads) in others {
        assert!((4..=6).contains(reads), "{reads} reads in a minute");
    }
}

#[test]
fn a_read_is_due_at_once_when_a_peer_holds_a_configuration() {
    for (mut backoff, _) in run_outage(300, 3_000, true) {
        backoff.record_peer_configuration();
        assert!(backoff.is_due(3_200));
    }
}

#[test]
fn without_answers_of_seeds_each_process_retries_with_backoff() {
    for (_, reads) in run_outage(30, 10_000, false).iter().skip(SEEDS) {
        assert!((5..=9).contains(reads), "{reads} reads in ten seconds");
    }
}
