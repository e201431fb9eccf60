//! TCP relay with delay and faults. It has one route for each relayed address;
//! routes and their faults are changed over HTTP while the relay runs.
//!
//! While a direction is cut, the relay holds its bytes and delivers them after
//! the cut ends, as TCP does by retransmission. A silenced connection stays open
//! and never delivers anything again.

mod api;
mod pipe;
mod route;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use span_http::{Limits, Server};

use route::Route;
pub use route::{Faults, RouteSettings};

/// A running relay. Its routes run until the Tokio runtime ends.
#[derive(Debug)]
pub struct Relay {
    server: Server,
    routes: Routes,
}

/// Routes by name.
#[derive(Clone, Debug, Default)]
struct Routes(Arc<Mutex<BTreeMap<String, Route>>>);

impl Routes {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Route>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn add(&self, settings: RouteSettings) -> io::Result<SocketAddr> {
        let name = settings.name.clone();
        let route = route::bind(settings).await?;
        let address = route.address();
        self.lock().insert(name, route);
        Ok(address)
    }
}

impl Relay {
    /// Returns the address of the HTTP control interface.
    pub fn control_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds a route and returns the address it listens on.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn add_route(&self, settings: RouteSettings) -> io::Result<SocketAddr> {
        self.routes.add(settings).await
    }

    /// Replaces the faults of a route; returns false if there is no such route.
    pub fn set_faults(&self, name: &str, faults: Faults) -> bool {
        let routes = self.routes.lock();
        let Some(route) = routes.get(name) else {
            return false;
        };
        route.set_faults(faults);
        true
    }

    /// Closes the control connections and stops the control interface.
    pub fn abort(self) {
        self.server.abort();
    }
}

/// Starts a relay without routes whose control interface listens on `control`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn bind(control: SocketAddr) -> io::Result<Relay> {
    let routes = Routes::default();
    let handler = {
        let routes = routes.clone();
        move |request, _peer| api::handle(routes.clone(), request)
    };
    let server = span_http::serve(control, Limits::default(), handler).await?;
    Ok(Relay { server, routes })
}
