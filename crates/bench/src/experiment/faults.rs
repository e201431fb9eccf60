//! Faults from the seed under load.

use std::time::Duration;

use eyre::Result;
use serde_json::json;
use tokio::time::Instant;

use super::{Disturbance, fields};
use crate::{
    args::Args,
    fleet::Fleet,
    schedule::{Episode, schedule},
};

const MS_PER_S: u64 = 1000;

pub(super) async fn disturb(fleet: &mut Fleet, args: &Args) -> Result<Disturbance> {
    let upstreams: Vec<String> = fleet.upstreams.iter().map(|up| up.name.clone()).collect();
    let episodes = schedule(args.seed, args.seconds * MS_PER_S, fleet.routers.len(), &upstreams);
    let started = Instant::now();
    let mut log = Vec::new();
    for episode in &episodes {
        tokio::time::sleep_until(started + Duration::from_millis(episode.from_ms)).await;
        fleet.begin(&episode.faults).await?;
        tokio::time::sleep_until(started + Duration::from_millis(episode.to_ms)).await;
        fleet.end(&episode.faults).await?;
        log.push(format!("{}-{} ms: {}", episode.from_ms, episode.to_ms, names(episode)));
    }
    Ok(Disturbance { fields: fields(json!({ "faults": log }))?, drained: None })
}

fn names(episode: &Episode) -> String {
    let names: Vec<String> = episode.faults.iter().map(|fault| format!("{fault:?}")).collect();
    names.join(" + ")
}
