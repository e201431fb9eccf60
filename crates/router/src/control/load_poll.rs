//! Polls load reports of the upstreams whose shards this router owns.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use http::{Request, StatusCode, header::HOST};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use span_fair::{LoadReport, ShardOwner};
use span_http::{Body, ClientStream, is_answer_status, read_json_body};
use span_types::{ShardId, UpstreamName};
use span_wire::{ByteCounts, CountingStream};
use tokio::net::TcpStream;

use super::{
    Counter,
    state::{ControlState, SharedState},
};

/// Interval between checks for due polls.
const POLL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit of one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Consecutive failed polls after which an upstream gets no slots.
const DOWN_AFTER_FAILURES: u32 = 2;
/// Largest load report that is accepted.
const MAX_REPORT_BYTES: usize = 4 * 1024;

/// Conditions that determine the poll interval of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct PollState {
    /// Number of upstreams that this router polls.
    pub polled_upstreams: usize,
    /// Number of consecutive failed polls.
    pub consecutive_failures: u32,
    /// Whether the last report showed queued requests.
    pub has_queue: bool,
    /// Whether load reports have lowered the upstream's concurrency limit.
    pub limit_reduced: bool,
    /// Whether requests are in flight on the shard.
    pub shard_in_use: bool,
}

impl PollState {
    /// Shortest poll interval, used while the upstream queues requests, its
    /// limit is lowered or it does not answer.
    const URGENT_INTERVAL_MS: u64 = 500;
    /// Lower bound of the urgent interval per polled upstream: at most 40
    /// polls per second and owner.
    const URGENT_INTERVAL_PER_UPSTREAM_MS: u64 = 25;
    /// Poll interval of an upstream in use that queues nothing. Its reports
    /// change nothing, and each poll costs about 200 bytes.
    const STEADY_INTERVAL_MS: u64 = 2_000;
    /// Lower bound of the steady interval per polled upstream: at most 4 polls
    /// per second and owner.
    const STEADY_INTERVAL_PER_UPSTREAM_MS: u64 = 250;
    /// Shortest poll interval of an upstream whose shard is not in use.
    const IDLE_INTERVAL_MS: u64 = 10_000;

    /// Interval between two polls, in milliseconds.
    pub fn interval_ms(&self) -> u64 {
        let polled_upstreams = self.polled_upstreams as u64;
        let steady_ms =
            Self::STEADY_INTERVAL_MS.max(Self::STEADY_INTERVAL_PER_UPSTREAM_MS * polled_upstreams);
        if self.consecutive_failures > 0 || self.has_queue || self.limit_reduced {
            Self::URGENT_INTERVAL_MS.max(Self::URGENT_INTERVAL_PER_UPSTREAM_MS * polled_upstreams)
        } else if self.shard_in_use {
            steady_ms
        } else {
            steady_ms.max(Self::IDLE_INTERVAL_MS)
        }
    }
}

/// Results of the polls of one upstream.
#[derive(Debug, Default)]
struct UpstreamPolls {
    consecutive_failures: u32,
    has_queue: bool,
    /// Whether a poll is running.
    in_progress: bool,
    /// Start of the last poll, in milliseconds.
    last_poll_ms: Option<u64>,
}

/// Poll results and connections of all polled upstreams.
#[derive(Debug, Default)]
pub(super) struct LoadPoller {
    upstreams: HashMap<UpstreamName, UpstreamPolls>,
    connections: HashMap<SocketAddr, SendRequest<Body>>,
    /// Bytes sent and received by all polls.
    pub poll_bytes: ByteCounts,
}

impl LoadPoller {
    /// Whether the last polls of the upstream failed.
    pub fn is_down(&self, upstream: &UpstreamName) -> bool {
        self.upstreams
            .get(upstream)
            .is_some_and(|polled| polled.consecutive_failures >= DOWN_AFTER_FAILURES)
    }

    /// Records the result of a poll. Returns whether the upstream went down or
    /// recovered.
    fn record_result(&mut self, upstream: &UpstreamName, poll: &PollResult) -> bool {
        let was_down = self.is_down(upstream);
        let polled = self.upstreams.entry(upstream.clone()).or_default();
        polled.in_progress = false;
        match poll {
            PollResult::Report(report) => {
                (polled.consecutive_failures, polled.has_queue) = (0, report.waiting > 0)
            }
            PollResult::NoReport => (polled.consecutive_failures, polled.has_queue) = (0, false),
            PollResult::Failed => polled.consecutive_failures += 1,
        }
        self.is_down(upstream) != was_down
    }

    /// Marks a poll as started if one is due; returns whether it is.
    fn start_if_due(&mut self, now_ms: u64, target: &PollTarget) -> bool {
        let polled = self.upstreams.entry(target.upstream.clone()).or_default();
        let state = PollState {
            consecutive_failures: polled.consecutive_failures,
            has_queue: polled.has_queue,
            ..target.state
        };
        let due = polled
            .last_poll_ms
            .is_none_or(|last_poll_ms| now_ms >= last_poll_ms + state.interval_ms());
        if polled.in_progress || !due {
            return false;
        }
        polled.in_progress = true;
        polled.last_poll_ms = Some(now_ms);
        true
    }

    /// Closes the connections to upstreams that this router no longer polls.
    fn close_unused_connections(&mut self, targets: &[PollTarget]) {
        let addresses: HashSet<_> = targets.iter().map(|target| target.address).collect();
        self.connections.retain(|address, _| addresses.contains(address));
    }
}

/// Result of one poll.
enum PollResult {
    Report(LoadReport),
    /// The upstream answers but does not report its load.
    NoReport,
    Failed,
}

/// One upstream to poll.
struct PollTarget {
    shard: ShardId,
    upstream: UpstreamName,
    address: SocketAddr,
    state: PollState,
}

impl ControlState {
    fn poll_targets(&self) -> Vec<PollTarget> {
        let owned = self.owned_shards.iter().flat_map(|(shard, owner)| {
            let rows = self.shards.get(shard).into_iter().flatten();
            rows.map(move |row| (shard, owner, &row.upstream))
        });
        let owned: Vec<(&ShardId, &ShardOwner, &UpstreamName)> = owned.collect();
        let shard_in_use: BTreeMap<_, _> = self
            .owned_shards
            .iter()
            .map(|(shard, owner)| (shard, owner.has_requests_in_flight()))
            .collect();
        let target = |(shard, owner, name): &(&ShardId, &ShardOwner, &UpstreamName)| {
            let upstream = self.config.document().upstreams.get(*name)?;
            let state = PollState {
                polled_upstreams: owned.len(),
                limit_reduced: owner.is_limit_reduced(name),
                shard_in_use: shard_in_use[shard],
                ..PollState::default()
            };
            Some(PollTarget {
                shard: (*shard).clone(),
                upstream: (*name).clone(),
                address: upstream.address,
                state,
            })
        };
        owned.iter().filter_map(target).collect()
    }

    fn record_poll(&mut self, shard: &ShardId, upstream: &UpstreamName, poll: &PollResult) {
        let now_ms = self.now_ms();
        let answered = !matches!(poll, PollResult::Failed);
        if !answered {
            self.counters.increment(Counter::LoadPollFailures);
        }
        if self.load.record_result(upstream, poll) {
            tracing::info!(%upstream, answered, "upstream changed reachability");
            self.configure_owner(shard);
        }
        if let (PollResult::Report(report), Some(owner)) = (poll, self.owned_shards.get_mut(shard))
        {
            owner.apply_load_report(now_ms, upstream, report);
        }
    }
}

/// Starts due polls until the thread ends.
pub(super) async fn run(shared: SharedState) {
    loop {
        let targets = shared.borrow().poll_targets();
        shared.borrow_mut().load.close_unused_connections(&targets);
        for target in targets {
            let mut control = shared.borrow_mut();
            let now_ms = control.now_ms();
            if control.load.start_if_due(now_ms, &target) {
                control.counters.increment(Counter::LoadPolls);
                tokio::task::spawn_local(poll_upstream(shared.clone(), target));
            }
        }
        tokio::time::sleep(POLL_CHECK_INTERVAL).await;
    }
}

async fn poll_upstream(shared: SharedState, target: PollTarget) {
    let poll = tokio::time::timeout(POLL_TIMEOUT, fetch(&shared, target.address)).await;
    let poll = poll.unwrap_or(PollResult::Failed);
    shared.borrow_mut().record_poll(&target.shard, &target.upstream, &poll);
}

/// Requests the load report over a pooled connection or a new one. The
/// connection is pooled again only after an answer, since a connection can stop
/// delivering bytes without closing.
async fn fetch(shared: &SharedState, address: SocketAddr) -> PollResult {
    let pooled = shared.borrow_mut().load.connections.remove(&address);
    let sender = match pooled.filter(|sender| !sender.is_closed()) {
        Some(sender) => Some(sender),
        None => connect(shared, address).await,
    };
    let Some(mut sender) = sender else {
        return PollResult::Failed;
    };
    let request = Request::get("/load").header(HOST, address.to_string());
    let Ok(request) = request.body(span_http::empty_body()) else {
        return PollResult::Failed;
    };
    let poll = match sender.send_request(request).await {
        Ok(answer) if answer.status() == StatusCode::OK => {
            let report = read_json_body(answer.into_body(), MAX_REPORT_BYTES).await;
            report.map_or(PollResult::NoReport, PollResult::Report)
        }
        Ok(answer) if is_answer_status(answer.status()) => PollResult::NoReport,
        Ok(_) | Err(_) => return PollResult::Failed,
    };
    if sender.ready().await.is_ok() {
        shared.borrow_mut().load.connections.insert(address, sender);
    }
    poll
}

async fn connect(shared: &SharedState, address: SocketAddr) -> Option<SendRequest<Body>> {
    let stream = TcpStream::connect(address).await.ok()?;
    // Fails only if the socket is already closed.
    let _ = stream.set_nodelay(true);
    let counted = CountingStream::new(stream, shared.borrow().load.poll_bytes.clone(), None);
    let stream = ClientStream::new(counted);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    Some(sender)
}
