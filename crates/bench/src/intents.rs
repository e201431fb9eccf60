//! Configuration changes through the intent API, with one intent process for each
//! router.

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
    json_client::JsonClient,
    ports::find_free_address,
    process::{self, Process},
};

const OPERATOR_KEY: &str = "key-operator";

/// Running intent processes.
#[derive(Debug)]
pub struct IntentProcesses {
    processes: Vec<(Process, JsonClient)>,
    next_process: AtomicUsize,
}

#[derive(Deserialize)]
struct PlanResponse {
    plan: PlanId,
}

#[derive(Deserialize)]
struct PlanId {
    id: String,
}

impl IntentProcesses {
    /// Starts the processes. Returns `None` if a process cannot be started; changes
    /// are then written through the object API.
    pub async fn start(fleet: &Fleet) -> Option<Self> {
        let mut processes = Vec::new();
        for router in &fleet.routers {
            match start_process(fleet, &router.name).await {
                Ok(started) => processes.push(started),
                Err(error) => {
                    tracing::warn!(
                        "an intent process cannot be started; changes are written through the object API: {error}"
                    );
                    return None;
                }
            }
        }
        Some(Self { processes, next_process: AtomicUsize::new(0) })
    }

    /// Plans and confirms a change to `document`. Consecutive changes go to the
    /// processes in rotation.
    ///
    /// # Errors
    ///
    /// Fails if the plan or its confirmation is rejected.
    pub async fn apply_change(&self, document: &Document) -> Result<()> {
        let process_number = self.next_process.fetch_add(1, Ordering::Relaxed);
        let plan = self.create_plan(process_number, document).await?;
        self.confirm_plan(process_number, &plan).await
    }

    /// Plans a change to `document` at process `process_number` (modulo the number of
    /// processes) and returns the plan's id.
    ///
    /// # Errors
    ///
    /// Fails if the plan is rejected.
    pub async fn create_plan(&self, process_number: usize, document: &Document) -> Result<String> {
        let text = export(document).map_err(Report::msg)?;
        let files = json!({ "files": [{ "name": "fleet.yaml", "text": text }] });
        let client = self.process(process_number);
        let response: PlanResponse =
            client.post_with_key(OPERATOR_KEY, "/v1/plans", &files).await?;
        Ok(response.plan.id)
    }

    /// Confirms a plan at process `process_number` (modulo the number of processes).
    ///
    /// # Errors
    ///
    /// Fails if the confirmation is rejected.
    pub async fn confirm_plan(&self, process_number: usize, plan: &str) -> Result<()> {
        let path = format!("/v1/plans/{plan}/confirm");
        let client = self.process(process_number);
        let _: serde_json::Value = client.post_with_key(OPERATOR_KEY, &path, &json!({})).await?;
        Ok(())
    }

    fn process(&self, process_number: usize) -> &JsonClient {
        &self.processes[process_number % self.processes.len()].1
    }
}

async fn start_process(fleet: &Fleet, router: &str) -> Result<(Process, JsonClient)> {
    let name = format!("intent-{router}");
    let settings = json!({
        "instance": router,
        "intent_address": find_free_address()?,
        "platform_address": fleet.platform.address,
        "bootstrap_operator": { "name": "bench", "key_sha256": KeyHash::of(OPERATOR_KEY) },
    });
    let path = fleet.folder.join(format!("{name}.yaml"));
    fs::write(&path, settings.to_string())?;
    let args = ["--settings".to_owned(), path.display().to_string()];
    let process = process::start("rosemaryspan-intent", &name, &fleet.folder, &args).await?;
    let json_client = fleet.json_client(process.address());
    Ok((process, json_client))
}
