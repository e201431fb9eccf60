//! Load reports of the upstreams whose shards this router owns.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use http::{Request, StatusCode};
use span_fair::LoadReport;
use span_http::{Client, read_json};
use span_types::{ShardId, UpstreamName};

use super::{
    Counter,
    core::{Core, Shared},
};

/// Shortest time between polls of one upstream.
const INTERVAL_MS: u64 = 500;
/// Addition per upstream polled here, so that a large shard costs no more.
const PER_UPSTREAM_MS: u64 = 25;
/// Time for one poll.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Failed polls in a row after which an upstream gets no slots.
const FAILURES: u32 = 2;
/// Largest load report.
const MAX_BYTES: usize = 4 * 1024;

/// What is known of the upstreams' load reports.
#[derive(Debug, Default)]
pub(super) struct LoadState {
    failures: HashMap<UpstreamName, u32>,
    polling: HashSet<UpstreamName>,
}

impl LoadState {
    /// The upstream did not answer the last polls.
    pub fn is_down(&self, upstream: &UpstreamName) -> bool {
        self.failures.get(upstream).is_some_and(|failures| *failures >= FAILURES)
    }

    /// Takes the result of a poll. Returns whether the upstream went down or
    /// came back.
    fn polled(&mut self, upstream: &UpstreamName, answered: bool) -> bool {
        let before = self.is_down(upstream);
        if answered {
            self.failures.remove(upstream);
        } else {
            *self.failures.entry(upstream.clone()).or_default() += 1;
        }
        self.is_down(upstream) != before
    }
}

/// Why a poll brought no report.
enum Poll {
    Report(LoadReport),
    /// The upstream answers but does not report its load.
    NoReport,
    Failed,
}

impl Core {
    fn owned_upstreams(&self) -> Vec<(ShardId, UpstreamName, SocketAddr)> {
        let document = self.config.document();
        let mut owned = Vec::new();
        for shard in self.owners.keys() {
            for row in self.shards.get(shard).into_iter().flatten() {
                if let Some(upstream) = document.upstreams.get(&row.upstream) {
                    owned.push((shard.clone(), row.upstream.clone(), upstream.address));
                }
            }
        }
        owned
    }

    fn take_poll(&mut self, shard: &ShardId, upstream: &UpstreamName, poll: &Poll) {
        let now_ms = self.now_ms();
        self.load.polling.remove(upstream);
        let answered = !matches!(poll, Poll::Failed);
        if !answered {
            self.counters.increment(Counter::LoadPollFailures);
        }
        if self.load.polled(upstream, answered) {
            tracing::info!(%upstream, answered, "upstream changed reachability");
            self.configure_owner(shard);
        }
        if let (Poll::Report(report), Some(owner)) = (poll, self.owners.get_mut(shard)) {
            owner.load(now_ms, upstream, report);
        }
    }
}

/// Polls until the thread ends.
pub(super) async fn run(shared: Shared) {
    let client = span_http::client(TIMEOUT);
    loop {
        let owned = shared.borrow().owned_upstreams();
        let interval_ms = INTERVAL_MS.max(PER_UPSTREAM_MS * owned.len() as u64);
        for (shard, upstream, address) in owned {
            let mut core = shared.borrow_mut();
            if core.load.polling.insert(upstream.clone()) {
                core.counters.increment(Counter::LoadPolls);
                let poll = poll_one(shared.clone(), client.clone(), shard, upstream, address);
                tokio::task::spawn_local(poll);
            }
        }
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

async fn poll_one(
    shared: Shared,
    client: Client,
    shard: ShardId,
    upstream: UpstreamName,
    address: SocketAddr,
) {
    let poll = tokio::time::timeout(TIMEOUT, fetch(&client, address)).await;
    let poll = poll.unwrap_or(Poll::Failed);
    shared.borrow_mut().take_poll(&shard, &upstream, &poll);
}

async fn fetch(client: &Client, address: SocketAddr) -> Poll {
    let request = Request::get(format!("http://{address}/load")).body(span_http::empty());
    let Ok(request) = request else {
        return Poll::Failed;
    };
    match client.request(request).await {
        Ok(answer) if answer.status() == StatusCode::OK => {
            let report = read_json(answer.into_body(), MAX_BYTES).await;
            report.map_or(Poll::NoReport, Poll::Report)
        }
        Ok(_) => Poll::NoReport,
        Err(_) => Poll::Failed,
    }
}
