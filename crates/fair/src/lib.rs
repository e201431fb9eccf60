//! Fair admission: who runs next, and on which upstream.

mod message;

pub use message::{
    Allocation, LoadReport, ShardReport, SlotRow, Standing, UpstreamSlots, WorkspaceRow,
};
