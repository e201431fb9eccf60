//! Where callers find the routers and services.

use std::{net::SocketAddr, sync::Arc};

/// One router as callers reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Instance name.
    pub name: Arc<str>,
    /// Address that callers connect to; a relay may stand in between.
    pub address: SocketAddr,
}

/// A fleet as callers see it.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Given list of routers.
    pub entries: Vec<Entry>,
    /// Name of the model service.
    pub model_service: Arc<str>,
    /// Model that selects it.
    pub model: String,
    /// Name of the plain service.
    pub plain_service: Arc<str>,
}
