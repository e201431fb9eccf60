//! Faults derived from the seed, under load.

use std::time::Duration;

use eyre::Result;
use serde_json::json;
use tokio::time::Instant;

use super::{DisturbanceResult, fields};
use crate::{
    args::Args,
    fleet::Fleet,
    schedule::{FaultEpisode, fault_schedule},
};

const MS_PER_S: u64 = 1000;

pub(super) async fn run_disturbance(fleet: &mut Fleet, args: &Args) -> Result<DisturbanceResult> {
    let upstreams: Vec<String> = fleet.upstreams.iter().map(|up| up.name.clone()).collect();
    let episodes =
        fault_schedule(args.seed, args.seconds * MS_PER_S, fleet.routers.len(), &upstreams);
    let started = Instant::now();
    let mut descriptions = Vec::new();
    for episode in &episodes {
        tokio::time::sleep_until(started + Duration::from_millis(episode.from_ms)).await;
        fleet.begin_faults(&episode.faults).await?;
        tokio::time::sleep_until(started + Duration::from_millis(episode.to_ms)).await;
        fleet.end_faults(&episode.faults).await?;
        descriptions.push(format!(
            "{}-{} ms: {}",
            episode.from_ms,
            episode.to_ms,
            describe_faults(episode)
        ));
    }
    Ok(DisturbanceResult {
        fields: fields(json!({ "faults": descriptions }))?,
        leaving_events: None,
    })
}

fn describe_faults(episode: &FaultEpisode) -> String {
    let descriptions: Vec<String> =
        episode.faults.iter().map(|fault| format!("{fault:?}")).collect();
    descriptions.join(" + ")
}
