//! How many retries an agent may add to its load.

/// What each request adds to the budget, in retries.
const DEPOSIT: f64 = 0.1;
/// The most retries that may be saved up.
const MAX_BALANCE: f64 = 10.0;

/// A budget of retries that grows with the requests, so that retries never multiply an overload.
#[derive(Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    /// Makes a budget with a few retries, for the first failures after a start.
    pub fn new() -> Self {
        Self { balance: 1.0 }
    }

    /// Counts a request that was tried for the first time.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT).min(MAX_BALANCE);
    }

    /// Takes one retry, or says that there is none.
    pub fn try_withdraw(&mut self) -> bool {
        let granted = self.balance >= 1.0;
        if granted {
            self.balance -= 1.0;
        }
        granted
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
