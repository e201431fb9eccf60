//! Load reports of the upstreams whose shards this router owns.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use http::{Request, StatusCode, header::HOST};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use span_fair::{LoadReport, ShardOwner};
use span_http::{Body, read_json};
use span_types::{ShardId, UpstreamName};
use span_wire::{ByteCounts, Counted};
use tokio::net::TcpStream;

use super::{
    Counter,
    core::{Core, Shared},
};

/// Time between checks for polls that are due.
const TICK: Duration = Duration::from_millis(100);
/// Time for one poll.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Failed polls in a row after which an upstream gets no slots.
const FAILURES: u32 = 2;
/// Largest load report.
const MAX_BYTES: usize = 4 * 1024;

/// What decides how long to wait before the next poll of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct PollState {
    /// Upstreams that this router polls.
    pub polled: usize,
    /// Polls that failed in a row.
    pub failures: u32,
    /// The last report told of queued requests.
    pub queued: bool,
    /// Reports have lowered the limit of the upstream.
    pub reduced: bool,
    /// Requests are in flight on the shard.
    pub in_use: bool,
}

impl PollState {
    /// Shortest time between polls, while a limit is being learned or an
    /// upstream does not answer.
    const URGENT_MS: u64 = 500;
    /// Addition to it per upstream polled.
    const URGENT_PER_UPSTREAM_MS: u64 = 25;
    /// Time between polls of an upstream in use that queues nothing. A poll
    /// carries about 200 bytes, and its report changes nothing.
    const STEADY_MS: u64 = 2_000;
    /// Same per upstream polled: at most 4 polls per second and owner.
    const STEADY_PER_UPSTREAM_MS: u64 = 250;
    /// Time between polls of an upstream whose shard is not in use.
    const IDLE_MS: u64 = 10_000;

    /// Time from one poll to the next, in milliseconds.
    pub fn interval_ms(&self) -> u64 {
        let polled = self.polled as u64;
        let steady_ms = Self::STEADY_MS.max(Self::STEADY_PER_UPSTREAM_MS * polled);
        if self.failures > 0 || self.queued || self.reduced {
            Self::URGENT_MS.max(Self::URGENT_PER_UPSTREAM_MS * polled)
        } else if self.in_use {
            steady_ms
        } else {
            steady_ms.max(Self::IDLE_MS)
        }
    }
}

/// What is known of one upstream.
#[derive(Debug, Default)]
struct Polled {
    failures: u32,
    queued: bool,
    /// A poll is under way.
    polling: bool,
    /// Time of the last poll, in milliseconds.
    last_ms: Option<u64>,
}

/// What is known of the upstreams' load reports.
#[derive(Debug, Default)]
pub(super) struct LoadState {
    upstreams: HashMap<UpstreamName, Polled>,
    connections: HashMap<SocketAddr, SendRequest<Body>>,
    /// Bytes of all polls.
    pub bytes: ByteCounts,
}

impl LoadState {
    /// The upstream did not answer the last polls.
    pub fn is_down(&self, upstream: &UpstreamName) -> bool {
        self.upstreams.get(upstream).is_some_and(|polled| polled.failures >= FAILURES)
    }

    /// Takes the result of a poll. Returns whether the upstream went down or
    /// came back.
    fn polled(&mut self, upstream: &UpstreamName, poll: &Poll) -> bool {
        let before = self.is_down(upstream);
        let polled = self.upstreams.entry(upstream.clone()).or_default();
        polled.polling = false;
        match poll {
            Poll::Report(report) => (polled.failures, polled.queued) = (0, report.waiting > 0),
            Poll::NoReport => (polled.failures, polled.queued) = (0, false),
            Poll::Failed => polled.failures += 1,
        }
        self.is_down(upstream) != before
    }

    /// Starts a poll if one is due.
    fn starts(&mut self, now_ms: u64, target: &Target) -> bool {
        let polled = self.upstreams.entry(target.upstream.clone()).or_default();
        let state = PollState { failures: polled.failures, queued: polled.queued, ..target.state };
        let due = polled.last_ms.is_none_or(|last_ms| now_ms >= last_ms + state.interval_ms());
        if polled.polling || !due {
            return false;
        }
        polled.polling = true;
        polled.last_ms = Some(now_ms);
        true
    }

    /// Closes the connections to upstreams that are not polled here any more.
    fn keep_connections(&mut self, targets: &[Target]) {
        let addresses: HashSet<_> = targets.iter().map(|target| target.address).collect();
        self.connections.retain(|address, _| addresses.contains(address));
    }
}

/// Why a poll brought no report.
enum Poll {
    Report(LoadReport),
    /// The upstream answers but does not report its load.
    NoReport,
    Failed,
}

/// One upstream that this router polls.
struct Target {
    shard: ShardId,
    upstream: UpstreamName,
    address: SocketAddr,
    state: PollState,
}

impl Core {
    fn poll_targets(&self) -> Vec<Target> {
        let owned = self.owners.iter().flat_map(|(shard, owner)| {
            let rows = self.shards.get(shard).into_iter().flatten();
            rows.map(move |row| (shard, owner, &row.upstream))
        });
        let owned: Vec<(&ShardId, &ShardOwner, &UpstreamName)> = owned.collect();
        let in_use: BTreeMap<_, _> = self
            .owners
            .iter()
            .map(|(shard, owner)| (shard, owner.has_requests_in_flight()))
            .collect();
        let target = |(shard, owner, name): &(&ShardId, &ShardOwner, &UpstreamName)| {
            let upstream = self.config.document().upstreams.get(*name)?;
            let state = PollState {
                polled: owned.len(),
                reduced: owner.is_limit_reduced(name),
                in_use: in_use[shard],
                ..PollState::default()
            };
            Some(Target {
                shard: (*shard).clone(),
                upstream: (*name).clone(),
                address: upstream.address,
                state,
            })
        };
        owned.iter().filter_map(target).collect()
    }

    fn take_poll(&mut self, shard: &ShardId, upstream: &UpstreamName, poll: &Poll) {
        let now_ms = self.now_ms();
        let answered = !matches!(poll, Poll::Failed);
        if !answered {
            self.counters.increment(Counter::LoadPollFailures);
        }
        if self.load.polled(upstream, poll) {
            tracing::info!(%upstream, answered, "upstream changed reachability");
            self.configure_owner(shard);
        }
        if let (Poll::Report(report), Some(owner)) = (poll, self.owners.get_mut(shard)) {
            owner.apply_load_report(now_ms, upstream, report);
        }
    }
}

/// Polls until the thread ends.
pub(super) async fn run(shared: Shared) {
    loop {
        let targets = shared.borrow().poll_targets();
        shared.borrow_mut().load.keep_connections(&targets);
        for target in targets {
            let mut core = shared.borrow_mut();
            let now_ms = core.now_ms();
            if core.load.starts(now_ms, &target) {
                core.counters.increment(Counter::LoadPolls);
                tokio::task::spawn_local(poll_one(shared.clone(), target));
            }
        }
        tokio::time::sleep(TICK).await;
    }
}

async fn poll_one(shared: Shared, target: Target) {
    let poll = tokio::time::timeout(TIMEOUT, fetch(&shared, target.address)).await;
    let poll = poll.unwrap_or(Poll::Failed);
    shared.borrow_mut().take_poll(&target.shard, &target.upstream, &poll);
}

/// Reads the load over the kept connection or a new one. The connection is kept
/// after an answer only, since connections can go silent.
async fn fetch(shared: &Shared, address: SocketAddr) -> Poll {
    let kept = shared.borrow_mut().load.connections.remove(&address);
    let sender = match kept.filter(|sender| !sender.is_closed()) {
        Some(sender) => Some(sender),
        None => connect(shared, address).await,
    };
    let Some(mut sender) = sender else {
        return Poll::Failed;
    };
    let request = Request::get("/load").header(HOST, address.to_string());
    let Ok(request) = request.body(span_http::empty()) else {
        return Poll::Failed;
    };
    let poll = match sender.send_request(request).await {
        Ok(answer) if answer.status() == StatusCode::OK => {
            let report = read_json(answer.into_body(), MAX_BYTES).await;
            report.map_or(Poll::NoReport, Poll::Report)
        }
        Ok(_) => Poll::NoReport,
        Err(_) => return Poll::Failed,
    };
    if sender.ready().await.is_ok() {
        shared.borrow_mut().load.connections.insert(address, sender);
    }
    poll
}

async fn connect(shared: &Shared, address: SocketAddr) -> Option<SendRequest<Body>> {
    let stream = TcpStream::connect(address).await.ok()?;
    // Only fails on a socket that is already closed.
    let _ = stream.set_nodelay(true);
    let counted = Counted::new(stream, shared.borrow().load.bytes.clone(), None);
    let (sender, connection) = handshake(TokioIo::new(counted)).await.ok()?;
    tokio::task::spawn_local(connection);
    Some(sender)
}
