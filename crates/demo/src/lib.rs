//! The whole request path in one process: routers, platform stand-in,
//! upstreams and sample traffic on loopback.

mod summary;
mod world;

pub use summary::print;
pub use world::{MODEL_SLOTS, World, start};
