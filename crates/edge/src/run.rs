//! Starts and ends the process.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use span_member::Router;
use span_types::{Incarnation, Member};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::{JoinHandle, spawn_local, yield_now},
    time::{Instant, sleep},
};
use tracing::{info, warn};

use crate::{
    clock, connection_table::Activity, drain::DrainPlan, evacuation_sync, listen, log::Log,
    metrics::Counter, node::Node, overload, peers::Peers, prompt_crashes, record_sync,
    settings::Settings, socket, store::Store, store_sync, wire_format::WireFormat,
};

/// Interval of the periodic tasks, in milliseconds. Waiting requests are
/// dispatched when a request ends; the periodic task dispatches those for which a
/// slot becomes free in another way, such as at the end of a backoff.
const TICK_MS: u64 = overload::TICK_INTERVAL_MS;
/// Time for which idle connections stay open after the last one was accepted, in milliseconds.
/// Their requests may be in transit.
const LAST_REQUESTS_MS: u64 = 200;
/// Time after the start in which capacity is divided at each tick and not only
/// at each heartbeat, in milliseconds. A process that replaces another one gets
/// full traffic at once and has no load data yet.
const WARM_UP_MS: u64 = 5_000;
/// Shortest suspension of the instance that is logged, in milliseconds.
const MIN_LOGGED_SUSPENSION_MS: u64 = 500;

/// Why the process could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Bind {
        /// Address that cannot be bound.
        address: SocketAddr,
        /// What the address is for.
        purpose: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The signal handlers cannot be installed.
    #[error("cannot handle signals: {0}")]
    Signals(io::Error),
}

/// Reads the settings again. The error says what is wrong with them.
pub type ReadSettings = Box<dyn Fn() -> Result<Settings, String>>;

/// Interval at which the settings are read again without SIGHUP, in
/// milliseconds. The platform may change them without a signal.
const SETTINGS_READ_INTERVAL_MS: u64 = 5_000;

/// Runs the process until it has left after SIGTERM or SIGINT. Must be called on a
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
    // First: until then, a signal ends the process at once.
    let handle = |kind| signal(kind).map_err(StartError::Signals);
    let mut terminate = handle(SignalKind::terminate())?;
    let mut interrupt = handle(SignalKind::interrupt())?;
    let mut hangup = handle(SignalKind::hangup())?;
    let addresses = settings.addresses;
    let backlog = socket::backlog(settings.resources.processor_millicores);
    let bind = |address, purpose| {
        let listener = listen::bind(address, backlog);
        listener.map_err(|source| StartError::Bind { address, purpose, source })
    };
    let incarnation = clock::unix_us();
    let own_router = Router {
        member: Member {
            instance: settings.instance.clone(),
            incarnation: Incarnation(incarnation),
        },
        http_address: addresses.callers,
        peer_address: addresses.peers,
        failure_domain: settings.failure_domain.clone(),
        processor_millicores: settings.resources.processor_millicores,
    };
    info!(
        instance = settings.instance.as_str(),
        incarnation,
        is_first_start = settings.is_first_start,
        "router process starting"
    );
    let node = Node::new(settings, wire_format, own_router, incarnation);
    let (stop, stopped) = watch::channel(false);
    let callers = bind(addresses.callers, "callers")?;
    let accepting = spawn_local(listen::serve_callers(node.clone(), callers, stopped));
    let listener = bind(addresses.readiness, "readiness checks")?;
    let readiness = listen::READINESS;
    spawn_local(listen::serve_internal(
        node.clone(),
        listener,
        readiness,
        listen::answer_readiness,
    ));
    let listener = bind(addresses.directory, "the directory")?;
    let directory = listen::DIRECTORY;
    spawn_local(listen::serve_internal(
        node.clone(),
        listener,
        directory,
        listen::answer_directory,
    ));
    let listener = bind(addresses.peers, "peers")?;
    spawn_local(listen::serve_internal(node.clone(), listener, listen::PEERS, listen::answer_peer));
    let listener = bind(addresses.metrics, "metrics")?;
    let metrics = listen::METRICS;
    spawn_local(listen::serve_internal(node.clone(), listener, metrics, listen::answer_metrics));
    let peers = Peers::bind(node.clone()).await.map_err(|source| StartError::Bind {
        address: addresses.heartbeats,
        purpose: "heartbeats",
        source,
    })?;
    spawn_local(peers.clone().send_heartbeats());
    spawn_local(peers.clone().receive_datagrams());
    spawn_local(peers.clone().exchange_summaries());
    spawn_local(peers.clone().send_outbox());
    spawn_local(store_sync::watch_config(node.clone(), store.clone()));
    spawn_local(store_sync::watch_upstreams(node.clone(), store.clone()));
    spawn_local(evacuation_sync::watch_evacuations(node.clone(), store.clone()));
    spawn_local(store_sync::read_wanted_entries(node.clone(), store.clone()));
    spawn_local(store_sync::sync_routers(node.clone(), store.clone()));
    spawn_local(record_sync::read_on_demand(node.clone(), store.clone()));
    spawn_local(record_sync::write_records(node.clone(), store));
    spawn_local(run_periodic_tasks(node.clone(), log));
    spawn_local(measure_overload(node.clone()));
    let mut known = Settings::clone(&node.settings());
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&node, &read_settings, &mut known, true),
            () = sleep(Duration::from_millis(SETTINGS_READ_INTERVAL_MS)) => {
                reload(&node, &read_settings, &mut known, false);
            }
        }
    }
    leave(&node, &peers, &stop, &accepting).await;
    Ok(())
}

/// Reads the settings again and applies what can change without a restart. `known` are those
/// that were read last; `is_signalled` says whether SIGHUP was the reason.
fn reload(node: &Node, read_settings: &ReadSettings, known: &mut Settings, is_signalled: bool) {
    match read_settings() {
        Ok(settings) if settings == *known => {
            if is_signalled {
                info!("settings read again; the router's own have not changed");
            }
        }
        Ok(settings) => {
            *known = settings.clone();
            let fields = node.apply_settings(settings).join(", ");
            if fields.is_empty() {
                info!(told = is_signalled, "settings have changed and are in force");
            } else {
                warn!(
                    told = is_signalled,
                    fields, "settings have changed; these fields need a restart"
                );
            }
        }
        Err(error) => warn!(error, "cannot read the settings; the old ones stay in force"),
    }
}

/// Measures whether the process is overloaded until it ends.
async fn measure_overload(node: Rc<Node>) {
    loop {
        sleep(Duration::from_millis(TICK_MS)).await;
        node.overload.borrow_mut().record_tick(node.now_ms());
        while node.overload.borrow().needs_round() {
            let begin = Instant::now();
            yield_now().await;
            let round_us = begin.elapsed().as_micros() as u64;
            node.overload.borrow_mut().record_round(node.now_ms(), round_us);
        }
    }
}

/// Runs the periodic tasks until the process ends.
async fn run_periodic_tasks(node: Rc<Node>, log: Log) {
    // The difference of the clocks grows only while the instance is suspended.
    let mut last_clock_offset_ms = clock::boot_ms().saturating_sub(node.now_ms());
    let (mut prompt_tick_ms, mut prompt_ticks) = (node.now_ms(), 0);
    let mut awaits_evacuations = node.settings().fleet_limits.evacuation_ms.is_some();
    loop {
        sleep(Duration::from_millis(TICK_MS)).await;
        let now_ms = node.now_ms();
        node.record_tick(now_ms);
        let clock_offset_ms = clock::boot_ms().saturating_sub(now_ms);
        if clock_offset_ms > last_clock_offset_ms + MIN_LOGGED_SUSPENSION_MS {
            warn!(
                suspended_ms = clock_offset_ms - last_clock_offset_ms,
                "the instance was suspended"
            );
        }
        last_clock_offset_ms = clock_offset_ms;
        if now_ms >= prompt_tick_ms {
            prompt_tick_ms = now_ms + prompt_crashes::TICK_INTERVAL_MS;
            prompt_ticks += 1;
            node.tick_prompt_crashes(prompt_ticks);
        }
        node.connections.tick(now_ms, listen::head_timeout_ms(&node));
        for upstream in node.pool.expire(now_ms) {
            node.connection_broke(&upstream);
        }
        let changes = node.state().registry.expire(now_ms);
        node.apply_upstream_changes(&changes);
        awaits_evacuations = node.tick_evacuations(awaits_evacuations);
        node.state().metrics.set(Counter::LogLinesDropped, log.dropped());
        if now_ms < WARM_UP_MS {
            node.divide_capacity();
        }
        node.tick_cold_upstreams();
        node.dispatch_all();
    }
}

/// Announces that this router is leaving, and ends once all callers have their answers, but
/// not beyond the grace period. `accepting` accepts callers until `stop` is true.
async fn leave(
    node: &Rc<Node>,
    peers: &Peers,
    stop: &watch::Sender<bool>,
    accepting: &JoinHandle<()>,
) {
    let grace_ms = node.settings().fleet_limits.shutdown_grace_ms;
    let plan = DrainPlan::new(node.earliest_signal_ms(), grace_ms);
    node.leave(plan);
    peers.send_heartbeat_to_all();
    node.hand_over_stream_origins();
    log_open_work(node, plan, "told to stop; waiting for open requests to end");
    let mut accepted_ms = None;
    loop {
        sleep(Duration::from_millis(TICK_MS)).await;
        let now_ms = node.now_ms();
        if now_ms >= plan.accept_until_ms && !stop.send_replace(true) {
            log_open_work(node, plan, "no further connections are accepted");
        }
        if accepting.is_finished() {
            let accepted_ms = *accepted_ms.get_or_insert(now_ms);
            if now_ms >= accepted_ms + LAST_REQUESTS_MS && !node.connections.ends_idle() {
                listen::end_idle_callers(node);
            }
            // Each connection is closed after its last answer.
            let is_open = node.caller_connections.get() > 0 || node.open_requests.get() > 0;
            if !is_open && node.connections.ends_idle() {
                break;
            }
        }
        if now_ms >= plan.answer_by_ms && !node.answers_are_due() {
            log_open_work(node, plan, "open requests are answered with an error");
            node.answer_open_requests();
        }
        if now_ms >= plan.end_ms {
            break;
        }
    }
    if node.open_requests.get() > 0 {
        // Their callers will take up the streams that end here.
        node.hand_over_stream_origins();
        sleep(Duration::from_millis(TICK_MS)).await;
    }
    node.has_ended.set(true);
    log_open_work(node, plan, "router process exiting");
}

/// Logs what is open at a step of a planned stop.
fn log_open_work(node: &Node, plan: DrainPlan, step: &'static str) {
    let activities = listen::count_caller_activities(node);
    let count = |activity| activities.get(&activity).copied().unwrap_or(0);
    info!(
        leaving_ms = node.now_ms().saturating_sub(plan.begin_ms),
        open_requests = node.open_requests.get(),
        idle = count(Activity::Idle),
        reading_head = count(Activity::ReadingHead),
        reading_body = count(Activity::ReadingBody),
        answer_unread = count(Activity::AnswerUnread),
        working = count(Activity::Working),
        tick_delay_ms = node.overload.borrow().tick_delay_ms(),
        "{step}"
    );
}
