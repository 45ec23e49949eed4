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
    /// The entry of a running backend server lapses during an outage of the store.
    LapseEntry,
    Store(StoreFault),
    /// The store rejects the calls of two agents.
    TurnAway,
    ForgetHistory,
    /// An agent gets the signal to reload its settings.
    HangUp,
    KillAll,
    Link(LinkFault),
    ResetLinks,
    /// Open connections to the store stay open and pass no more data.
    SilenceLinks,
    /// A backend server crashes, and connections to it stay open.
    CrashSilently,
    /// All processes are killed while the store does not answer.
    KillAllInSilence,
    /// A backend server crashes and starts again under the same id.
    RestartUnderId,
    /// Another program overwrites the entry of a backend server.
    OverwriteEntry,
    /// Another program writes an entry with the address of a backend server.
    ForeignEntry,
    Evacuate,
    /// The store is restored from an older copy.
    RestoreStore,
    SlowBackend,
    HangBackend,
    /// The number of callers grows for a short time.
    Rush,
}

/// The first seed that evacuates zones, including one at the end, when all other faults are over.
pub(super) const EVACUATION_SEED: u64 = 3_000;
/// The first seed that restores the store from older copies and checks at the end that all
/// processes have the newest configuration.
pub(super) const RESTORE_SEED: u64 = 4_000;
/// The first seed with deadlines that allow only one attempt, with rushes, and with backend servers
/// that are slow or hang.
pub(super) const ONE_ATTEMPT_SEED: u64 = 5_000;
/// First seeds and how many of [`FAULTS`] are drawn from each on, so that a recorded seed keeps
/// drawing the same faults when new ones are added.
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
    StartBackend {
        index: usize,
        old_id: String,
    },
    StartBackendWithId {
        index: usize,
        id: String,
    },
    /// Ends a drained backend server and starts a new one on its host.
    EndDrain(usize),
    TakeZoneBack(&'static str),
    /// Writes the correct entry of a backend server.
    RewriteEntry(usize),
    RestoreStore,
    /// Rewrites what a restore of the store lost, with a new version of the configuration.
    RewriteValues,
    /// Removes the entries of ended backend servers that a restore brought back.
    RemoveDeadEntries,
    ResumeNormalWork(usize),
    EndRush,
    ClearStoreFault,
    ClearLinkFault,
    AcceptHosts,
}
