//! Stand-ins for the users' platform: its store and routers, and callers and backend servers of
//! opaque flows.
//!
//! They follow the platform's documentation and share no code with the adapter in `platform/`.

mod backend;
mod callers;
mod flow_endpoint;
mod load;
mod packet;
mod proxy;
mod quickstart;
mod routers;
mod site;
mod soak;
mod store;

pub(crate) use crate::opaque::callers::OPENER_COPIES_MS;
pub(crate) use crate::opaque::load::{OpaqueLoadPlan, run as run_opaque_load};

pub use crate::opaque::callers::{CallPlan, CallTally};
pub use crate::opaque::proxy::{LinkFault, ProxyHandle};
pub use crate::opaque::quickstart::run_opaque_quickstart;
pub use crate::opaque::site::{OpaqueSite, OpaqueSiteBuilder};
pub use crate::opaque::soak::run_soak;
pub use crate::opaque::store::{StoreFault, StoreHandle, StoreSnapshot};
