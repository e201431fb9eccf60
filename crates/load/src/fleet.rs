//! Addresses of the routers and names of the services that callers use.

use std::{net::SocketAddr, sync::Arc};

/// Address of one router as callers reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterEndpoint {
    /// Instance name.
    pub name: Arc<str>,
    /// Address that callers connect to, which may be that of a relay.
    pub address: SocketAddr,
}

/// A fleet as callers see it.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Routers that callers know without asking for addresses.
    pub routers: Vec<RouterEndpoint>,
    /// Name of the model service.
    pub model_service: Arc<str>,
    /// Model name that selects the model service.
    pub model: String,
    /// Name of the plain service.
    pub plain_service: Arc<str>,
}
