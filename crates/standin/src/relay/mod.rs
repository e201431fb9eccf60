//! TCP relay with delay and faults: a route per relayed address, changed over
//! HTTP while it runs.
//!
//! A direction that is cut keeps its bytes and passes them on once the cut
//! heals, as TCP does by retransmission. A silenced connection stays open and
//! passes nothing on, ever.

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

/// A running relay; its routes run until the runtime ends.
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
    /// Address of the HTTP control interface.
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

    /// Replaces the faults of a route; false if there is no such route.
    pub fn set_faults(&self, name: &str, faults: Faults) -> bool {
        let routes = self.routes.lock();
        let Some(route) = routes.get(name) else {
            return false;
        };
        route.set_faults(faults);
        true
    }

    /// Drops the control connections and stops the control interface.
    pub fn abort(self) {
        self.server.abort();
    }
}

/// Binds the control interface of a relay to `control`.
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
