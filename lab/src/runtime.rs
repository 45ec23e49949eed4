//! Runs a future to its end on a runtime of its own.

use std::future::Future;

use endivedyke::Result;

/// Runs a future to its end.
///
/// # Errors
///
/// Returns code 5001 where the machine gives no runtime, and the future's own errors.
pub(crate) fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    compio::runtime::Runtime::new()?.block_on(future)
}
