//! The limit on the retries that an agent adds to its load.

/// The fraction of a retry that each request adds to the budget.
const DEPOSIT: f64 = 0.1;
/// The most retries that the budget can hold.
const MAX_BALANCE: f64 = 10.0;

/// A budget of retries that grows with the number of requests, so that retries can't multiply an
/// overload.
#[derive(Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget of one retry, for a first failure right after the start.
    pub fn new() -> Self {
        Self { balance: 1.0 }
    }

    /// Adds the deposit for a request that is sent for the first time.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget; returns whether there was one.
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
