//! Starts and ends the process.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use span_member::Router;
use span_types::{Incarnation, Member};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::spawn_local,
    time::sleep,
};
use tracing::{info, warn};

use crate::{
    clock, follow, listen, log::Log, metrics::Counter, node::Node, overload, peers::Peers,
    settings::Settings, socket, store::Store, wire_format::WireFormat,
};

/// Interval of housekeeping, in milliseconds. Requests that wait start when a
/// place becomes free; this finds the places that become free with time.
const TICK_MS: u64 = overload::INTERVAL_MS;
/// Time after the signal to end during which new callers are still accepted,
/// in milliseconds: callers keep an address for up to three lifetimes.
const ACCEPT_MS: u64 = 6_000;
/// Time before the end of the grace time at which the process ends whatever
/// is still open, in milliseconds.
const END_MARGIN_MS: u64 = 150;
/// Time for which nothing may be open before the process ends, in
/// milliseconds; the last answers are on their way.
const QUIET_MS: u64 = 200;
/// Time after the start in which shares and lanes are computed at each tick
/// and not only with each heartbeat, in milliseconds: a process that replaces
/// another one meets full traffic and knows nothing of it.
const LEARNING_MS: u64 = 5_000;
/// Suspension of the instance that is worth a log line, in milliseconds.
const SUSPENDED_MS: u64 = 500;

/// The process could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Bind {
        /// Address.
        address: SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// Cause.
        source: io::Error,
    },
    /// Signals cannot be handled.
    #[error("cannot handle signals: {0}")]
    Signals(io::Error),
}

/// Reads the settings again; the error says what is wrong with them.
pub type ReadSettings = Box<dyn Fn() -> Result<Settings, String>>;

/// Interval at which the settings are read again without a signal, in
/// milliseconds; the platform may change them silently.
const SETTINGS_INTERVAL_MS: u64 = 5_000;

/// Runs the process until it is told to end. Has to be called on a
/// [`tokio::task::LocalSet`].
///
/// # Errors
///
/// The process could not start.
pub async fn run(
    settings: Settings,
    wire_format: WireFormat,
    store: Store,
    read_settings: ReadSettings,
    log: Log,
) -> Result<(), StartError> {
    let addresses = settings.addresses;
    let backlog = socket::backlog(settings.resources.processor_millicores);
    let bind = |address, purpose| {
        let listener = listen::bind(address, backlog);
        listener.map_err(|source| StartError::Bind { address, purpose, source })
    };
    let incarnation = clock::unix_us();
    let me = Router {
        member: Member {
            instance: settings.instance.clone(),
            incarnation: Incarnation(incarnation),
        },
        http_address: addresses.callers,
        peer_address: addresses.peers,
        failure_domain: settings.failure_domain.clone(),
        processor_millicores: settings.resources.processor_millicores,
    };
    info!(instance = settings.instance.as_str(), incarnation, "process starts");
    let node = Node::new(settings, wire_format, me, incarnation);
    let (stop, stopped) = watch::channel(false);
    let callers = bind(addresses.callers, "callers")?;
    spawn_local(listen::callers(node.clone(), callers, stopped));
    let listener = bind(addresses.readiness, "readiness checks")?;
    spawn_local(listen::answers(node.clone(), listener, listen::ready));
    let listener = bind(addresses.directory, "the directory")?;
    spawn_local(listen::answers(node.clone(), listener, listen::directory));
    let listener = bind(addresses.peers, "peers")?;
    spawn_local(listen::answers(node.clone(), listener, listen::peer));
    let listener = bind(addresses.metrics, "metrics")?;
    spawn_local(listen::answers(node.clone(), listener, listen::metrics));
    let peers = Peers::bind(node.clone()).await.map_err(|source| StartError::Bind {
        address: addresses.heartbeats,
        purpose: "heartbeats",
        source,
    })?;
    spawn_local(peers.clone().send_all());
    spawn_local(peers.clone().receive_all());
    spawn_local(peers.clone().state_all());
    spawn_local(follow::config(node.clone(), store.clone()));
    spawn_local(follow::upstreams(node.clone(), store.clone()));
    spawn_local(follow::routers(node.clone(), store));
    spawn_local(keep_house(node.clone(), log));
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signals)?;
    let mut hang_up = signal(SignalKind::hangup()).map_err(StartError::Signals)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hang_up.recv() => reload(&node, &read_settings, true),
            () = sleep(Duration::from_millis(SETTINGS_INTERVAL_MS)) => {
                reload(&node, &read_settings, false);
            }
        }
    }
    leave(&node, &peers, &stop).await;
    Ok(())
}

/// Reads the settings again and follows what can change while the process
/// runs.
fn reload(node: &Node, read_settings: &ReadSettings, told: bool) {
    match read_settings() {
        Ok(settings) if settings == *node.settings() => {
            if told {
                info!("settings read again; nothing has changed");
            }
        }
        Ok(settings) => {
            let needs_restart = node.reload(settings);
            info!(told, needs_restart, "settings have changed");
        }
        Err(error) => warn!(error, "the settings cannot be read; the old ones stay in force"),
    }
}

async fn keep_house(node: Rc<Node>, log: Log) {
    let mut suspended_ms = clock::boot_ms().saturating_sub(node.now_ms());
    loop {
        sleep(Duration::from_millis(TICK_MS)).await;
        let now_ms = node.now_ms();
        node.overload.borrow_mut().ran(now_ms);
        let away_ms = clock::boot_ms().saturating_sub(now_ms);
        if away_ms > suspended_ms + SUSPENDED_MS {
            warn!(suspended_ms = away_ms - suspended_ms, "the instance was suspended");
        }
        suspended_ms = away_ms;
        node.pool.expire(now_ms);
        let changes = node.state().registry.expire(now_ms);
        node.apply_changes(&changes);
        node.state().metrics.set(Counter::LogLinesDropped, log.dropped());
        if now_ms < LEARNING_MS {
            node.divide();
        }
        node.pump_all();
    }
}

/// Finishes what is open and returns before the grace time is over.
async fn leave(node: &Rc<Node>, peers: &Peers, stop: &watch::Sender<bool>) {
    let since_ms = node.now_ms();
    node.leave();
    peers.tell_all();
    info!(open_requests = node.open_requests.get(), "process leaves");
    let end_ms =
        since_ms + node.settings().fleet_limits.shutdown_grace_ms.saturating_sub(END_MARGIN_MS);
    let accept_ms = ACCEPT_MS.min(node.settings().fleet_limits.shutdown_grace_ms * 3 / 4);
    let mut quiet_since_ms = None;
    loop {
        sleep(Duration::from_millis(TICK_MS)).await;
        let now_ms = node.now_ms();
        let accepting = now_ms < since_ms + accept_ms;
        if !accepting {
            stop.send_replace(true);
        }
        let quiet = !accepting && node.open_requests.get() == 0;
        quiet_since_ms = quiet.then(|| quiet_since_ms.unwrap_or(now_ms));
        let done = quiet_since_ms.is_some_and(|quiet_ms| now_ms >= quiet_ms + QUIET_MS);
        if done || now_ms >= end_ms {
            break;
        }
    }
    info!(open_requests = node.open_requests.get(), "process ends");
}
