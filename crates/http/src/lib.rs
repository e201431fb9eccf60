//! HTTP building blocks on top of hyper that the programs share: a server with
//! limits, clients, body helpers, and what tells whether a body is complete.

mod backlog;
mod body;
mod checked_events;
mod client;
mod client_stream;
mod drained_stream;
mod event_boundary;
mod framing;
mod orderly_close;
mod pause;
mod server;
mod write_timeout;

pub use backlog::Backlog;
pub use body::{
    Body, BodyError, ReadError, collect_body, collect_body_if, empty_body, full_body,
    json_response, read_json_body,
};
pub use checked_events::CheckedEvents;
pub use client::{Client, ClientError, pooled_client, root_cause, unpooled_client};
pub use client_stream::{ClientStream, ResponseBody, UnsentRequest, is_answer_status};
pub use event_boundary::{BrokenStream, EventBoundary, states_event_stream};
pub use framing::Framing;
pub use orderly_close::{AnswerEnd, OrderlyCloseStream};
pub use pause::requested_pause_ms;
pub use server::{Limits, Server, serve, serve_listener};
