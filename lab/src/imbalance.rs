//! The experiment on imbalance: both deployments, steady and through each change, each policy.

use endivedyke::{Table, name_hash, place_opener};

use crate::service_model::{ModelLoad, Policy, ServiceModel};

const FLOWS_PER_TARGET: f64 = 2_000.0;
const SETTLE_MS: u64 = 30_000;
const WINDOW_MS: u64 = 60_000;
const SAMPLED_OPENERS: u64 = 20_000;
const REOPEN_MS: u64 = 2_000;

/// One line of the experiment.
#[derive(Debug, Clone)]
pub struct ImbalanceRow {
    /// The service, by its number of targets.
    pub targets: usize,
    /// What happens.
    pub case: &'static str,
    /// The mean time that a flow stays open, in seconds.
    pub lifetime_s: u64,
    /// The policy.
    pub policy: Policy,
    /// The mean imbalance of the window.
    pub mean: f64,
    /// The greatest imbalance of the window.
    pub worst: f64,
    /// The imbalance at its end.
    pub end: f64,
    /// Which part of the open flows an owner by plain hash, without a token, would lose.
    pub moved_by_hash: f64,
    /// The least imbalance that new flows alone could have reached at its end.
    pub lower_bound: f64,
}

/// What is done to the service before the window.
type Change = fn(&mut ServiceModel, usize);

fn nothing(_model: &mut ServiceModel, _targets: usize) {}

fn raise_first(model: &mut ServiceModel, targets: usize) {
    let mut weights = vec![100; targets];
    weights[0] = 150;
    model.set_weights(&weights);
}

fn add_target(model: &mut ServiceModel, targets: usize) {
    model.set_weights(&vec![100; targets + 1]);
}

fn kill_last(model: &mut ServiceModel, targets: usize) {
    model.kill(targets - 1);
    model.set_weights(&vec![100; targets - 1]);
}

fn reopen_all(model: &mut ServiceModel, _targets: usize) {
    model.reopen_all(REOPEN_MS);
}

const CASES: &[(&str, Change)] = &[
    ("steady", nothing),
    ("weight of one target from 100 to 150", raise_first),
    ("one target more, cold", add_target),
    ("one target killed", kill_last),
    ("all flows lost and opened again in 2 s", reopen_all),
];

/// Returns the part of openers whose owner differs between two tables.
fn moved(before: &Table, after: &Table) -> f64 {
    let owner = |table, hash| place_opener(table, hash, |_| true).map(|c| c.owner.target.clone());
    let sample = (0..SAMPLED_OPENERS).map(|index| name_hash(&index.to_string()));
    let moved = sample
        .filter(|hash| owner(before, *hash) != owner(after, *hash))
        .count();
    moved as f64 / SAMPLED_OPENERS as f64
}

/// Runs every case for a service with this many targets.
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
            let moved_by_hash = moved(&before, model.table());
            let lower_bound = model.imbalance_lower_bound(WINDOW_MS);
            let seen = model.run(WINDOW_MS);
            ImbalanceRow {
                targets,
                case,
                lifetime_s,
                policy,
                mean: seen.iter().sum::<f64>() / seen.len() as f64,
                worst: seen.iter().copied().fold(0.0, f64::max),
                end: model.imbalance(),
                moved_by_hash,
                lower_bound,
            }
        })
        .collect()
}
