//! Configuration changes through the intent API, one process beside each router.

use std::{
    fs,
    sync::atomic::{AtomicUsize, Ordering},
};

use eyre::{Report, Result};
use serde::Deserialize;
use serde_json::json;
use span_config::{Document, KeyHash, export};

use crate::{
    fleet::Fleet,
    ports::free_address,
    process::{self, Process},
    rest::Rest,
};

const OPERATOR_KEY: &str = "key-operator";

/// Running intent processes.
#[derive(Debug)]
pub struct Intents {
    processes: Vec<(Process, Rest)>,
    next: AtomicUsize,
}

#[derive(Deserialize)]
struct Planned {
    plan: PlannedId,
}

#[derive(Deserialize)]
struct PlannedId {
    id: String,
}

impl Intents {
    /// Starts the processes; `None` if the program is not there or does not
    /// serve, in which case changes go through the object API.
    pub async fn start(fleet: &Fleet) -> Option<Self> {
        let mut processes = Vec::new();
        for seat in &fleet.routers {
            match start_one(fleet, &seat.name).await {
                Ok(started) => processes.push(started),
                Err(error) => {
                    tracing::warn!("the intent API is not used: {error}");
                    return None;
                }
            }
        }
        Some(Self { processes, next: AtomicUsize::new(0) })
    }

    /// Plans and confirms a change to `document`, at one process after the
    /// other.
    ///
    /// # Errors
    ///
    /// Fails if the plan or its confirmation is refused.
    pub async fn change(&self, document: &Document) -> Result<()> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let plan = self.plan(number, document).await?;
        self.confirm(number, &plan).await
    }

    /// Plans a change to `document` at process `number` and returns its id.
    ///
    /// # Errors
    ///
    /// Fails if the plan is refused.
    pub async fn plan(&self, number: usize, document: &Document) -> Result<String> {
        let text = export(document).map_err(Report::msg)?;
        let files = json!({ "files": [{ "name": "fleet.yaml", "text": text }] });
        let intent = self.process(number);
        let planned: Planned = intent.post_as(OPERATOR_KEY, "/v1/plans", &files).await?;
        Ok(planned.plan.id)
    }

    /// Confirms a plan at process `number`.
    ///
    /// # Errors
    ///
    /// Fails if the confirmation is refused.
    pub async fn confirm(&self, number: usize, plan: &str) -> Result<()> {
        let path = format!("/v1/plans/{plan}/confirm");
        let intent = self.process(number);
        let _: serde_json::Value = intent.post_as(OPERATOR_KEY, &path, &json!({})).await?;
        Ok(())
    }

    fn process(&self, number: usize) -> &Rest {
        &self.processes[number % self.processes.len()].1
    }
}

async fn start_one(fleet: &Fleet, router: &str) -> Result<(Process, Rest)> {
    let name = format!("intent-{router}");
    let settings = json!({
        "instance": router,
        "intent_address": free_address()?,
        "platform_address": fleet.platform.address,
        "bootstrap_operator": { "name": "bench", "key_sha256": KeyHash::of(OPERATOR_KEY) },
    });
    let path = fleet.folder.join(format!("{name}.yaml"));
    fs::write(&path, settings.to_string())?;
    let args = ["--settings".to_owned(), path.display().to_string()];
    let process = process::start("rosemaryspan-intent", &name, &fleet.folder, &args).await?;
    let rest = fleet.rest(process.address());
    Ok((process, rest))
}
