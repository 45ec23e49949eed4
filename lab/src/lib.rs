//! Lab.
