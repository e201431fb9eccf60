//! Main loop of the control thread.

use std::{cell::RefCell, rc::Rc, time::Duration};

use tokio::{
    net::TcpListener,
    sync::mpsc,
    time::{Instant, MissedTickBehavior},
};

use super::{
    command::Command,
    exchange, heartbeat, load_poll, minted_query, peers, platform_sync,
    state::{ControlState, SharedState},
};

/// Time between checks for late requests and due reports.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(25);
/// Time between housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// Commands handled before due reports are looked for again.
const MAX_COMMANDS_PER_BATCH: usize = 256;

/// Runs the control thread; returns when it is told to stop.
pub(super) async fn run(
    control: ControlState,
    listener: std::net::TcpListener,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    let shared: SharedState = Rc::new(RefCell::new(control));
    match TcpListener::from_std(listener) {
        Ok(listener) => {
            tokio::task::spawn_local(peers::accept(shared.clone(), listener));
        }
        Err(error) => tracing::error!(%error, "other routers cannot connect"),
    }
    platform_sync::start(&shared);
    tokio::task::spawn_local(heartbeat::run(shared.clone()));
    tokio::task::spawn_local(load_poll::run(shared.clone()));
    tokio::task::spawn_local(housekeeping(shared.clone()));
    let mut tick = tokio::time::interval(DISPATCH_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut batch = Vec::with_capacity(MAX_COMMANDS_PER_BATCH);
    loop {
        tokio::select! {
            count = commands.recv_many(&mut batch, MAX_COMMANDS_PER_BATCH) => {
                if count == 0 || !handle_batch(&shared, &mut batch) {
                    return;
                }
            }
            _ = tick.tick() => shared.borrow_mut().dispatch_all(),
        }
        exchange::send_due(&shared);
    }
}

/// Handles commands in order. Returns false if the thread is to end.
fn handle_batch(shared: &SharedState, batch: &mut Vec<Command>) -> bool {
    for command in batch.drain(..) {
        if matches!(command, Command::Stop) {
            return false;
        }
        handle(shared, command);
    }
    true
}

async fn housekeeping(shared: SharedState) {
    let mut turn = 0;
    let mut tick =
        tokio::time::interval_at(Instant::now() + HOUSEKEEPING_INTERVAL, HOUSEKEEPING_INTERVAL);
    loop {
        tick.tick().await;
        turn += 1;
        exchange::merge_counters(&shared, turn);
        let mut control = shared.borrow_mut();
        let now_ms = control.now_ms();
        let total = control.peer_bytes.total();
        control.update_budget();
        control.pacer.sample(now_ms, total);
        control.update_report_periods();
        control.count_bytes();
        control.counters.flush();
        control.services.values_mut().for_each(|state| state.remove_abandoned());
        // Probes become due with time alone.
        control.update_fixed_slots();
    }
}

fn handle(shared: &SharedState, command: Command) {
    let mut control = shared.borrow_mut();
    match command {
        Command::Admit { request, reply } => control.admit(request, reply),
        Command::Finish { service, ticket, cost, result } => {
            control.finish(&service, ticket, cost, result);
        }
        Command::Configure(document) => {
            if control.config.replace_unversioned(document) {
                control.apply_new_config();
            }
        }
        Command::Addresses { workspace, reply } => {
            let _ = reply.send(control.addresses(&workspace));
        }
        Command::QueryMintedState { id, reply } => {
            let shared = shared.clone();
            tokio::task::spawn_local(async move {
                let _ = reply.send(minted_query::query(shared, id).await);
            });
        }
        Command::StartLeaving => {
            control.view.leave();
            control.has_urgent_update = true;
            control.update_membership();
            tokio::task::spawn_local(platform_sync::mark_leaving(shared.clone()));
        }
        Command::Stop => {}
        Command::Status(reply) => {
            let _ = reply.send(control.status());
        }
        Command::Metrics(reply) => {
            let _ = reply.send(control.metrics());
        }
    }
}
