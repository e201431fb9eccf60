//! HTTP plumbing over hyper shared by the programs: a bounded server, a pooled
//! client and body helpers.

mod body;
mod client;
mod server;
mod stall;

pub use body::{Body, BodyError, ReadError, collect, empty, full, json, read_json};
pub use client::{Client, ClientError, cause, client, fresh_client};
pub use server::{Limits, Server, bind, bind_with};
