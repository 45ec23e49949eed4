//! How often processes without a configuration read a platform that answers nobody.

use endivedyke::opaque::StartupBackoff;

const SEEDS: usize = 3;
/// How often a process looks whether a read is due, in milliseconds.
const LOOK_MS: usize = 10;
/// How often seeds answer, in milliseconds.
const ANSWER_MS: u64 = 200;

/// Starts this many processes while the platform is silent, and returns how many reads each of them made until then.
fn reads(count: usize, silent_ms: u64, seeds_answer: bool) -> Vec<(StartupBackoff, u32)> {
    let start = |index| (StartupBackoff::new(index < SEEDS, 0), 0);
    let mut processes: Vec<(StartupBackoff, u32)> = (0..count).map(start).collect();
    for now_ms in (0..silent_ms).step_by(LOOK_MS) {
        for (reads, made) in &mut processes {
            if seeds_answer && now_ms % ANSWER_MS == 0 {
                reads.record_seed_answer(now_ms);
            }
            if reads.is_due(now_ms) {
                reads.record_failure(now_ms);
                *made += 1;
            }
        }
    }
    processes
}

#[test]
fn after_the_first_read_only_the_seeds_go_on_at_any_size() {
    for count in [30, 300, 1_000, 6_000] {
        let processes = reads(count, 3_000, true);
        let repeats: u32 = processes.iter().map(|(_, made)| made - 1).sum();
        assert!(
            (20..=33).contains(&repeats),
            "{repeats} of {count} processes"
        );
    }
}

#[test]
fn the_others_try_for_themselves_now_and_then() {
    let processes = reads(300, 60_000, true);
    let others = processes.iter().skip(SEEDS);
    for (_, made) in others {
        assert!((4..=6).contains(made), "{made} reads in a minute");
    }
}

#[test]
fn all_read_at_once_when_somebody_holds_a_configuration() {
    for (mut reads, _) in reads(300, 3_000, true) {
        reads.record_peer_configuration();
        assert!(reads.is_due(3_200));
    }
}

#[test]
fn without_an_answer_of_a_seed_each_process_goes_on_ever_less_often() {
    for (_, made) in reads(30, 10_000, false).iter().skip(SEEDS) {
        assert!((5..=9).contains(made), "{made} reads in ten seconds");
    }
}
