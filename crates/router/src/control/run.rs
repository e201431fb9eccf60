//! Main loop of the control thread.

use std::{cell::RefCell, rc::Rc, time::Duration};

use tokio::{
    net::TcpListener,
    sync::mpsc,
    time::{Instant, MissedTickBehavior},
};

use super::{
    beat, claim,
    command::Command,
    core::{Core, Shared},
    exchange, follow, load, peers,
};

/// Time between checks for late requests and due reports.
const TICK: Duration = Duration::from_millis(25);
/// Time between housekeeping.
const SLOW_TICK: Duration = Duration::from_secs(1);
/// Commands handled before due reports are looked for again.
const BATCH: usize = 256;

/// Runs the control thread; returns when it is told to stop.
pub(super) async fn run(
    core: Core,
    listener: std::net::TcpListener,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    let shared: Shared = Rc::new(RefCell::new(core));
    match TcpListener::from_std(listener) {
        Ok(listener) => {
            tokio::task::spawn_local(peers::accept(shared.clone(), listener));
        }
        Err(error) => tracing::error!(%error, "other routers cannot connect"),
    }
    follow::start(&shared);
    tokio::task::spawn_local(beat::run(shared.clone()));
    tokio::task::spawn_local(load::run(shared.clone()));
    tokio::task::spawn_local(housekeeping(shared.clone()));
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut batch = Vec::with_capacity(BATCH);
    loop {
        tokio::select! {
            count = commands.recv_many(&mut batch, BATCH) => {
                if count == 0 || !handle_all(&shared, &mut batch) {
                    return;
                }
            }
            _ = tick.tick() => shared.borrow_mut().pump_all(),
        }
        exchange::round(&shared);
    }
}

/// Handles commands in order. Returns false if the thread is to end.
fn handle_all(shared: &Shared, batch: &mut Vec<Command>) -> bool {
    for command in batch.drain(..) {
        if matches!(command, Command::Stop) {
            return false;
        }
        handle(shared, command);
    }
    true
}

async fn housekeeping(shared: Shared) {
    let mut turn = 0;
    let mut tick = tokio::time::interval_at(Instant::now() + SLOW_TICK, SLOW_TICK);
    loop {
        tick.tick().await;
        turn += 1;
        exchange::merge_round(&shared, turn);
        let mut core = shared.borrow_mut();
        let now_ms = core.now_ms();
        let total = core.bytes.total();
        core.fit_budget();
        core.pacer.sample(now_ms, total);
        core.pace_owners();
        core.count_bytes();
        core.counters.flush();
        core.services.values_mut().for_each(|state| state.sweep());
        // Probes become due with time alone.
        core.refix();
    }
}

fn handle(shared: &Shared, command: Command) {
    let mut core = shared.borrow_mut();
    match command {
        Command::Admit { request, reply } => core.admit(request, reply),
        Command::Finish { service, ticket, cost, end } => {
            core.finish(&service, ticket, cost, end);
        }
        Command::Configure(document) => {
            if core.config.replace_unversioned(document) {
                core.follow_config();
            }
        }
        Command::Addresses { workspace, reply } => {
            let _ = reply.send(core.addresses(&workspace));
        }
        Command::QueryMintedState { id, reply } => {
            let shared = shared.clone();
            tokio::task::spawn_local(async move {
                let _ = reply.send(claim::ask(shared, id).await);
            });
        }
        Command::StartLeaving => {
            core.view.leave();
            core.has_news = true;
            core.follow_view();
            tokio::task::spawn_local(follow::mark_leaving(shared.clone()));
        }
        Command::Stop => {}
        Command::Status(reply) => {
            let _ = reply.send(core.status());
        }
        Command::Metrics(reply) => {
            let _ = reply.send(core.metrics());
        }
    }
}
