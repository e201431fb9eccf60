//! Stand-in for a model engine: continuous batching over a fixed number of
//! slots, admission in arrival order, streams that can be resumed.

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
pub use orders::{Order, OrderRow, Orders, StaleFencing};
pub use request::{ChatRequest, Message};

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Requests executed at the same time.
    pub slots: u32,
    /// Time per generated token, in microseconds.
    pub token_us: u64,
    /// Time per prompt token, in microseconds.
    pub prefill_us: u64,
    /// Age of the state that load reports tell, in milliseconds.
    pub load_lag_ms: u64,
    /// Time that a generation goes on without a reader, in milliseconds.
    pub linger_ms: u64,
    /// Faults of answers.
    pub faults: Faults,
    /// Orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Orders are carried out, then their answer is withheld and the call ends
    /// with status 503.
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
    /// Address the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What the engine executed.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Orders the engine carried out.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Drops all connections and stops.
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
    faulty_left: AtomicU32,
    orders: Arc<Orders>,
}

/// Binds an engine to `address`.
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
        faulty_left: AtomicU32::new(settings.faults.answers),
        settings,
    });
    tokio::spawn(load::sample(Arc::downgrade(&state)));
    let handler = move |request, _peer| api::handle(Arc::clone(&state), request);
    let server = span_http::serve(address, Limits::default(), handler).await?;
    Ok(Engine { server, ledger, orders })
}
