//! Stand-in for a model engine with continuous batching over a fixed number of
//! slots. It admits requests in order of arrival, and its streams can be resumed.

mod api;
mod faults;
mod generation;
mod load;
mod orders;
mod request;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU32},
};

use span_http::{Limits, Server};
use tokio::sync::Semaphore;

use crate::Ledger;

pub use faults::Faults;
pub use orders::{ExecutedOrder, Order, Orders, StaleFencingNumber};
pub use request::{ChatRequest, Message};

/// Capacity, speed and faults of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Largest number of concurrent requests.
    pub slots: u32,
    /// Time per generated token, in microseconds.
    pub token_us: u64,
    /// Time per prompt token, in microseconds.
    pub prefill_us: u64,
    /// Smallest age of the state that load reports contain, in milliseconds.
    pub load_lag_ms: u64,
    /// Time after which a generation without a reader is cancelled, in milliseconds.
    /// A finished generation can be resumed for the same time.
    pub linger_ms: u64,
    /// Faults injected into answers.
    pub faults: Faults,
    /// Orders with a stale fencing number are rejected.
    pub checks_fencing: bool,
    /// Orders are executed but answered with status 503.
    pub lose_order_answers: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 8,
            token_us: 5_000,
            prefill_us: 50,
            load_lag_ms: 200,
            linger_ms: 5_000,
            faults: Faults::default(),
            checks_fencing: false,
            lose_order_answers: false,
        }
    }
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    ledger: Ledger,
    orders: Arc<Orders>,
}

impl Engine {
    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the ledger of executed requests.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the orders that the engine executed.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Closes all connections and stops without waiting for requests.
    pub fn abort(self) {
        self.server.abort();
    }
}

#[derive(Debug)]
struct State {
    settings: Settings,
    slots: Arc<Semaphore>,
    ledger: Ledger,
    generations: generation::Generations,
    load: load::LoadHistory,
    faulty_answers_left: AtomicU32,
    orders: Arc<Orders>,
}

/// Starts an engine that listens on `address`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn bind(address: SocketAddr, settings: Settings) -> io::Result<Engine> {
    let ledger = Ledger::default();
    let orders = Arc::new(Orders::new(settings.checks_fencing));
    let state = Arc::new(State {
        slots: Arc::new(Semaphore::new(settings.slots as usize)),
        ledger: ledger.clone(),
        orders: Arc::clone(&orders),
        generations: generation::Generations::default(),
        load: load::LoadHistory::default(),
        faulty_answers_left: AtomicU32::new(settings.faults.answers),
        settings,
    });
    tokio::spawn(load::record_samples(Arc::downgrade(&state)));
    let handler = move |request, _peer| api::handle(Arc::clone(&state), request);
    let server = span_http::serve(address, Limits::default(), handler).await?;
    Ok(Engine { server, ledger, orders })
}
