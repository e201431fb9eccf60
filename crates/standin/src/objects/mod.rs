//! Stand-in for the platform: an instance list and an object API with versions,
//! conditional writes and watches.

mod api;
mod faults;
mod store;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use span_http::{Limits, Server};
use tokio::sync::Notify;

pub use faults::Faults;
pub use store::{Counters, Instance, Object, Precondition, PutError, Store};

/// A running platform stand-in.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    store: Mutex<Store>,
    faults: Mutex<Faults>,
    store_changed: Notify,
}

impl State {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> Faults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Platform {
    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.state.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
        self.state.store_changed.notify_waiters();
    }

    /// Changes the stored data without the HTTP interface, as an operator of the
    /// platform could, and wakes the watches.
    pub fn edit<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        let result = change(&mut self.state.store());
        self.state.store_changed.notify_waiters();
        result
    }

    /// Closes all connections and stops without waiting for requests.
    pub fn abort(self) {
        self.server.abort();
    }
}

/// Starts a platform that listens on `address`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn bind(address: SocketAddr) -> io::Result<Platform> {
    let state = Arc::new(State::default());
    let handler = {
        let state = Arc::clone(&state);
        move |request, _peer| api::handle(Arc::clone(&state), request)
    };
    let server = span_http::serve(address, Limits::default(), handler).await?;
    Ok(Platform { server, state })
}
