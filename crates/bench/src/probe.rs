//! Measures the latency that the routers add, with small calls that go through a
//! router and directly to an engine in turn.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use eyre::{Result, ensure};
use http::{Request, header::AUTHORIZATION};
use span_http::{Client, collect_body, full_body};
use span_load::latency::{Percentiles, percentiles};
use span_standin::engine::{ChatRequest, Message};
use span_types::REQUEST_ID_HEADER;
use tokio::time::Instant;

use crate::fleet::{PROBE_KEY, PROBE_MODEL};

const PROBE_INTERVAL: Duration = Duration::from_millis(50);
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Latencies of the probes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeLatencies {
    /// Calls through a router, without the relay.
    pub routed: Percentiles,
    /// Calls directly to the engine.
    pub direct: Percentiles,
    /// Number of failed calls through a router.
    pub failed: u64,
}

impl ProbeLatencies {
    /// Returns the latency that the routers add, in microseconds, as the difference of
    /// a percentile. It is negative if the noise exceeds it.
    pub fn added_us(&self, percentile: impl Fn(&Percentiles) -> u64) -> i64 {
        percentile(&self.routed) as i64 - percentile(&self.direct) as i64
    }
}

/// Sends probes to the routers in rotation until `end`.
pub async fn run_probes(
    routers: Vec<SocketAddr>,
    engine: SocketAddr,
    end: Instant,
) -> ProbeLatencies {
    let client = span_http::pooled_client(Duration::from_secs(1));
    let (mut routed, mut direct, mut failed) = (Vec::new(), Vec::new(), 0);
    let mut number = 0;
    while Instant::now() < end {
        let router = routers[number % routers.len()];
        number += 1;
        match measure_call(&client, router, number).await {
            Some(time_us) => routed.push(time_us),
            None => failed += 1,
        }
        direct.extend(measure_call(&client, engine, number).await);
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    ProbeLatencies { routed: percentiles(routed), direct: percentiles(direct), failed }
}

async fn measure_call(client: &Client, address: SocketAddr, number: usize) -> Option<u64> {
    let started = Instant::now();
    let result = tokio::time::timeout(PROBE_TIMEOUT, call(client, address, number)).await;
    result.ok()?.ok()?;
    u64::try_from(started.elapsed().as_micros()).ok()
}

async fn call(client: &Client, address: SocketAddr, number: usize) -> Result<()> {
    let body = ChatRequest {
        model: PROBE_MODEL.into(),
        messages: vec![Message { role: "user".into(), content: "probe".into() }],
        stream: true,
        max_tokens: None,
        user: None,
        metadata: BTreeMap::from([("output_tokens".into(), "1".into())]),
    };
    let request = Request::post(format!("http://{address}/v1/chat/completions"))
        .header(AUTHORIZATION, format!("Bearer {PROBE_KEY}"))
        .header(REQUEST_ID_HEADER, format!("direct-{number}"))
        .body(full_body(serde_json::to_vec(&body)?))?;
    let answer = client.request(request).await?;
    ensure!(answer.status().is_success(), "status {}", answer.status());
    collect_body(answer.into_body(), MAX_ANSWER_BYTES).await?;
    Ok(())
}
