//! Demo of the complete request path in one process: routers, stand-ins for the
//! platform and the upstreams, and sample traffic on loopback.

mod demo_fleet;
mod summary;

pub use demo_fleet::{DemoFleet, MODEL_SLOTS, start};
pub use summary::print_summary;
