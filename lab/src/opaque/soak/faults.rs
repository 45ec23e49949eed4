//! What the soak does to a site, and what ends it.

use crate::opaque::proxy::LinkFault;
use crate::opaque::store::StoreFault;

/// What is done to the site.
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

/// From which seed zones are evacuated, also at the end, when no process has an excuse.
pub(super) const EVACUATION_SEED: u64 = 3_000;
/// From which seed the store comes back from older copies, and the newest configuration is looked for at the end.
pub(super) const RESTORE_SEED: u64 = 4_000;
/// From which seed callers have time for one attempt only and rush, and backend servers are slow or hang.
pub(super) const ONE_ATTEMPT_SEED: u64 = 5_000;
/// From which seed how many of the faults are drawn, so that a kept seed goes on playing what it played.
const DRAWN_FAULTS: [(u64, usize); 6] = [
    (ONE_ATTEMPT_SEED, 31),
    (RESTORE_SEED, 28),
    (EVACUATION_SEED, 27),
    (2_000, 26),
    (1_000, 23),
    (0, 22),
];
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

/// Returns the faults that a seed draws from.
pub(super) fn faults_of(seed: u64) -> &'static [Fault] {
    let mut drawn = DRAWN_FAULTS.iter();
    let count = drawn.find(|(first_seed, _)| seed >= *first_seed);
    &FAULTS[..count.map_or(FAULTS.len(), |(_, count)| *count)]
}

/// What ends a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Heal {
    StartBalancer(usize),
    ThawBalancer(usize),
    StartAgent(usize),
    ThawAgent(usize),
    StartBackend { index: usize, old_id: String },
    StartUnderId { index: usize, id: String },
    EndDrain(usize),
    TakeBack(&'static str),
    Register(usize),
    RestoreStore,
    WriteAgain,
    ExpireDeadEntries,
    Pace(usize),
    Rush,
    Store,
    Link,
    Serve,
}
