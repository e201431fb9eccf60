//! The router process for small instances without a disk: one thread handles
//! callers' requests, membership and configuration.
//!
//! All persistent data is in the platform's store. The modules [`admission`],
//! [`caller_time`], [`cold`], [`config`], [`connection_table`], [`directory`], [`drain`],
//! [`evacuation`], [`lane`], [`load_summary`], [`memory_budget`], [`overload`],
//! [`placement`], [`prompt_crashes`], [`refusals`], [`registry`], [`retry_budget`], [`role`],
//! [`service_admission`], [`shares`], [`sse`], [`store_source`], [`stream_origin`],
//! [`upstream_limit`], [`upstream_load`], [`upstream_process`], [`upstream_speed`] and
//! [`version_shares`] make decisions without I/O, with the current time as an argument.
//! The other modules connect them to the network.

pub mod admission;
pub mod caller_time;
pub mod charged_buffer;
pub mod clock;
pub mod cold;
mod cold_exchange;
pub mod config;
pub mod connection_table;
mod connections;
mod crash_exchange;
pub mod directory;
pub mod drain;
pub mod evacuation;
mod evacuation_sync;
mod forward;
pub mod http_client;
pub mod lane;
mod listen;
pub mod load_summary;
pub mod log;
pub mod memory_budget;
pub mod metrics;
pub mod node;
pub mod origin_confirmation;
mod origin_exchange;
pub mod origin_inquiry;
pub mod origin_log;
mod origin_search;
mod outbox;
pub mod overload;
pub mod peers;
pub mod placement;
mod pool;
pub mod prompt_crashes;
pub mod recent_values;
mod record_sync;
pub mod refusals;
pub mod registry;
pub mod retry_budget;
pub mod role;
mod run;
pub mod service_admission;
pub mod settings;
pub mod shares;
pub mod socket;
pub mod sse;
mod state;
pub mod store;
pub mod store_source;
mod store_sync;
pub mod stream_history;
pub mod stream_origin;
mod stream_process;
pub mod stream_records;
pub mod upstream_limit;
pub mod upstream_load;
pub mod upstream_process;
pub mod upstream_speed;
pub mod version_shares;
pub mod wire_format;

pub use run::{ReadSettings, StartError, run};
