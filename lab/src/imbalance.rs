//! The imbalance experiment: the imbalance of open flows under each policy, in a steady service and
//! after each kind of change.

use endivedyke::{Table, name_hash, place_opener};

use crate::service_model::{ModelLoad, Policy, ServiceModel};

const FLOWS_PER_TARGET: f64 = 2_000.0;
/// The warm-up time of the model, to which twice the lifetime of a flow is added.
const SETTLE_MS: u64 = 30_000;
/// The time after the change in which imbalance is measured.
const WINDOW_MS: u64 = 60_000;
const SAMPLED_OPENERS: u64 = 20_000;
const REOPEN_MS: u64 = 2_000;

/// One result of the experiment.
#[derive(Debug, Clone)]
pub struct ImbalanceRow {
    /// The number of targets of the service.
    pub targets: usize,
    /// The change before the measured window.
    pub case: &'static str,
    /// The mean lifetime of a flow, in seconds.
    pub lifetime_s: u64,
    /// The policy that chooses the target of an opener.
    pub policy: Policy,
    /// The mean imbalance in the window.
    pub mean: f64,
    /// The greatest imbalance in the window.
    pub worst: f64,
    /// The imbalance at the end of the window.
    pub end: f64,
    /// The share of open flows that the change would break if the hash alone, without a token, chose
    /// the target of each packet.
    pub moved_by_hash: f64,
    /// The lower bound of the imbalance at the end of the window if no open flow moves.
    pub lower_bound: f64,
}

/// A change of a service with the given number of targets.
type Change = fn(&mut ServiceModel, usize);

fn no_change(_model: &mut ServiceModel, _targets: usize) {}

fn raise_first_weight(model: &mut ServiceModel, targets: usize) {
    let mut weights = vec![100; targets];
    weights[0] = 150;
    model.set_weights(&weights);
}

fn add_target(model: &mut ServiceModel, targets: usize) {
    model.set_weights(&vec![100; targets + 1]);
}

fn kill_last_target(model: &mut ServiceModel, targets: usize) {
    model.kill(targets - 1);
    model.set_weights(&vec![100; targets - 1]);
}

fn reopen_all(model: &mut ServiceModel, _targets: usize) {
    model.reopen_all(REOPEN_MS);
}

const CASES: &[(&str, Change)] = &[
    ("steady", no_change),
    ("weight of one target from 100 to 150", raise_first_weight),
    ("one target more, cold", add_target),
    ("one target killed", kill_last_target),
    ("all flows lost and opened again in 2 s", reopen_all),
];

/// Returns the share of openers whose owner differs between two tables.
fn moved_share(before: &Table, after: &Table) -> f64 {
    let owner = |table, hash| {
        place_opener(table, hash, |_| true).map(|placement| placement.owner.target.clone())
    };
    let sample = (0..SAMPLED_OPENERS).map(|index| name_hash(&index.to_string()));
    let moved = sample
        .filter(|hash| owner(before, *hash) != owner(after, *hash))
        .count();
    moved as f64 / SAMPLED_OPENERS as f64
}

/// Runs each case with each policy for a service with this many targets.
pub fn run(targets: usize, lifetime_s: u64, exchange_ms: u64, seed: u64) -> Vec<ImbalanceRow> {
    let policies = [Policy::Hash, Policy::TwoChoices, Policy::Deflect];
    let cases = CASES
        .iter()
        .flat_map(|case| policies.map(|policy| (case, policy)));
    cases
        .map(|((case, change), policy)| {
            let load = ModelLoad {
                flows_per_target: FLOWS_PER_TARGET,
                lifetime_ms: lifetime_s as f64 * 1_000.0,
                exchange_ms,
            };
            let mut model = ServiceModel::new(policy, &vec![100; targets], load, seed);
            model.fill(FLOWS_PER_TARGET as u64 * targets as u64);
            model.run(SETTLE_MS + lifetime_s * 2_000);
            let before = model.table().clone();
            change(&mut model, targets);
            let moved_by_hash = moved_share(&before, model.table());
            let lower_bound = model.imbalance_lower_bound(WINDOW_MS);
            let imbalances = model.run(WINDOW_MS);
            ImbalanceRow {
                targets,
                case,
                lifetime_s,
                policy,
                mean: imbalances.iter().sum::<f64>() / imbalances.len() as f64,
                worst: imbalances.iter().copied().fold(0.0, f64::max),
                end: model.imbalance(),
                moved_by_hash,
                lower_bound,
            }
        })
        .collect()
}
