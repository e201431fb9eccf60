//! The configuration document: what operators declare and routers follow.

mod document;

pub use document::{Document, KeyHash, Operator, Service, Upstream, Workspace};
