//! Runs futures from synchronous code.

use std::future::Future;

use endivedyke::Result;

/// Runs a future to completion on a new runtime.
///
/// # Errors
///
/// Returns code 5001 if the runtime can't be created, and the errors of the future.
pub(crate) fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    compio::runtime::Runtime::new()?.block_on(future)
}
