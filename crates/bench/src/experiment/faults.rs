//! Faults from the seed under load.

use std::time::Duration;

use eyre::Result;
use http::Method;
use rustix::process::Signal;
use serde_json::json;
use span_standin::{objects, relay};
use tokio::time::Instant;

use super::{Disturbance, fields};
use crate::{
    args::Args,
    fleet::Fleet,
    schedule::{Episode, Fault, schedule},
};

const MS_PER_S: u64 = 1000;

pub(super) async fn disturb(fleet: &mut Fleet, args: &Args) -> Result<Disturbance> {
    let upstreams: Vec<String> = fleet.upstreams.iter().map(|up| up.name.clone()).collect();
    let episodes = schedule(args.seed, args.seconds * MS_PER_S, fleet.routers.len(), &upstreams);
    let started = Instant::now();
    let mut log = Vec::new();
    for episode in &episodes {
        tokio::time::sleep_until(started + Duration::from_millis(episode.from_ms)).await;
        begin(fleet, episode).await?;
        tokio::time::sleep_until(started + Duration::from_millis(episode.to_ms)).await;
        end(fleet, episode).await?;
        log.push(format!("{}-{} ms: {}", episode.from_ms, episode.to_ms, names(episode)));
    }
    Ok(Disturbance { fields: fields(json!({ "faults": log }))?, drained: None })
}

fn names(episode: &Episode) -> String {
    let names: Vec<String> = episode.faults.iter().map(|fault| format!("{fault:?}")).collect();
    names.join(" + ")
}

async fn begin(fleet: &mut Fleet, episode: &Episode) -> Result<()> {
    for fault in &episode.faults {
        match fault {
            Fault::Kill(router) => {
                if let Some(mut process) = fleet.routers[*router].process.take() {
                    process.kill().await?;
                }
            }
            Fault::Freeze(router) => signal(fleet, *router, Signal::STOP)?,
            Fault::Route { name, faults } => fleet.relay_faults(name, *faults).await?,
            Fault::Platform(faults) => fleet.platform.tell(Method::POST, "/faults", faults).await?,
        }
    }
    Ok(())
}

async fn end(fleet: &mut Fleet, episode: &Episode) -> Result<()> {
    for fault in &episode.faults {
        match fault {
            Fault::Kill(router) => fleet.start_router(*router).await?,
            Fault::Freeze(router) => signal(fleet, *router, Signal::CONT)?,
            Fault::Route { name, .. } => {
                fleet.relay_faults(name, relay::Faults::default()).await?;
            }
            Fault::Platform(_) => {
                let none = objects::Faults::default();
                fleet.platform.tell(Method::POST, "/faults", &none).await?;
            }
        }
    }
    Ok(())
}

fn signal(fleet: &Fleet, router: usize, signal: Signal) -> Result<()> {
    if let Some(process) = &fleet.routers[router].process {
        process.signal(signal)?;
    }
    Ok(())
}
