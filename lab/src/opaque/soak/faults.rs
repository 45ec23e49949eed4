//! The faults that the soak injects into a site, and the repairs that end them.

use crate::opaque::proxy::LinkFault;
use crate::opaque::store::StoreFault;

/// A fault of the site. Reports print the variants by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    KillBalancer,
    StopBalancer,
    FreezeBalancer,
    KillAgent,
    StopAgent,
    FreezeAgent,
    CrashBackend,
    DrainBackend,
    LapseEntry,
    Store(StoreFault),
    TurnAway,
    ForgetHistory,
    HangUp,
    KillAll,
    Link(LinkFault),
    ResetLinks,
    SilenceLinks,
    CrashSilently,
    KillAllInSilence,
    RestartUnderId,
    OverwriteEntry,
    ForeignEntry,
    Evacuate,
    RestoreStore,
    SlowBackend,
    HangBackend,
    Rush,
}

/// The first seed that evacuates zones, including one at the end, when all other faults are over.
pub(super) const EVACUATION_SEED: u64 = 3_000;
/// The first seed that restores the store from older copies and checks at the end that all processes
/// have the newest configuration.
pub(super) const RESTORE_SEED: u64 = 4_000;
/// The first seed with deadlines that allow only one attempt, with rushes, and with backend servers
/// that are slow or hang.
pub(super) const ONE_ATTEMPT_SEED: u64 = 5_000;
/// First seeds and how many of [`FAULTS`] are drawn from each on, so that a recorded seed keeps drawing
/// the same faults when new ones are added.
const FAULT_COUNTS: [(u64, usize); 6] = [
    (ONE_ATTEMPT_SEED, 31),
    (RESTORE_SEED, 28),
    (EVACUATION_SEED, 27),
    (2_000, 26),
    (1_000, 23),
    (0, 22),
];
/// All faults, in the order in which they were added. New ones go to the end.
const FAULTS: [Fault; 31] = [
    Fault::KillBalancer,
    Fault::StopBalancer,
    Fault::FreezeBalancer,
    Fault::KillAgent,
    Fault::StopAgent,
    Fault::FreezeAgent,
    Fault::CrashBackend,
    Fault::DrainBackend,
    Fault::LapseEntry,
    Fault::Store(StoreFault::Silent),
    Fault::Store(StoreFault::Busy),
    Fault::Store(StoreFault::Garbled),
    Fault::TurnAway,
    Fault::ForgetHistory,
    Fault::HangUp,
    Fault::KillAll,
    Fault::Link(LinkFault::Delay(300)),
    Fault::Link(LinkFault::CutAnswers),
    Fault::Link(LinkFault::Cut),
    Fault::ResetLinks,
    Fault::SilenceLinks,
    Fault::CrashSilently,
    Fault::KillAllInSilence,
    Fault::RestartUnderId,
    Fault::OverwriteEntry,
    Fault::ForeignEntry,
    Fault::Evacuate,
    Fault::RestoreStore,
    Fault::SlowBackend,
    Fault::HangBackend,
    Fault::Rush,
];

/// Returns the faults from which a seed draws.
pub(super) fn faults_for_seed(seed: u64) -> &'static [Fault] {
    let mut counts = FAULT_COUNTS.iter();
    let count = counts.find(|(first_seed, _)| seed >= *first_seed);
    &FAULTS[..count.map_or(FAULTS.len(), |(_, count)| *count)]
}

/// An action that ends a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Repair {
    StartBalancer(usize),
    ThawBalancer(usize),
    StartAgent(usize),
    ThawAgent(usize),
    StartBackend { index: usize, old_id: String },
    StartBackendWithId { index: usize, id: String },
    EndDrain(usize),
    TakeZoneBack(&'static str),
    RewriteEntry(usize),
    RestoreStore,
    RewriteValues,
    RemoveDeadEntries,
    WorkMode(usize),
    EndRush,
    StoreFault,
    LinkFault,
    AcceptHosts,
}
