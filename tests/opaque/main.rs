//! The decisions about opaque flows, without input or output.

mod backend_life;
mod builder;
mod cold_starts;
mod deadlines;
mod declines;
mod directory;
mod evacuation;
mod flow_search;
mod forwarder;
mod freshness;
mod greetings;
mod keeper;
mod lifetimes;
mod lookup;
mod message;
mod message_bounds;
mod model;
mod news;
mod openers;
mod policies;
mod queue_model;
mod queue_plan;
mod restored_platform;
mod reused_addresses;
mod route_table;
mod unusable_entries;
