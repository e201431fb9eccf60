//! HTTP plumbing over hyper shared by the programs: a bounded server, a pooled
//! client and body helpers.

mod body;
mod client;
mod server;
mod stall;

pub use body::{
    Body, BodyError, ReadError, collect_body, empty_body, full_body, json_response, read_json_body,
};
pub use client::{Client, ClientError, pooled_client, root_cause, unpooled_client};
pub use server::{Limits, Server, serve, serve_listener};
