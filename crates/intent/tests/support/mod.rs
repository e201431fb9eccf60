//! A platform stand-in and several intent processes.
#![allow(dead_code, clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use http::{Method, Request, StatusCode};
use serde_json::{Value, json};
use span_config::KeyHash;
use span_http::{Client, full_body, read_json_body};
use span_intent::{BootstrapOperator, Handle, Settings};
use span_standin::objects::{self, Platform};

pub const ROOT_KEY: &str = "root-key";

pub fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub fn settings(instance: &str, platform: SocketAddr) -> Settings {
    Settings {
        instance: instance.into(),
        intent_address: loopback(),
        platform_address: platform,
        bootstrap_operator: Some(BootstrapOperator {
            name: "root".to_owned(),
            key_sha256: KeyHash::of(ROOT_KEY),
        }),
        platform_timeout_ms: 300,
        status_timeout_ms: 300,
        order_timeout_ms: 300,
        weight_loads_per_minute: 6,
    }
}

pub struct Fleet {
    pub platform: Platform,
    pub intents: Vec<Option<Handle>>,
    client: Client,
}

impl Fleet {
    pub async fn start(intents: usize) -> Self {
        let platform = objects::bind(loopback()).await.unwrap();
        let mut handles = Vec::new();
        for n in 0..intents {
            let settings = settings(&format!("intent-{n}"), platform.address());
            handles.push(Some(span_intent::spawn(settings).await.unwrap()));
        }
        let client = span_http::pooled_client(Duration::from_secs(1));
        Self { platform, intents: handles, client }
    }

    pub fn stop(&mut self, n: usize) {
        self.intents[n].take().unwrap().abort();
    }

    pub async fn call(
        &self,
        n: usize,
        method: Method,
        path: &str,
        key: &str,
        body: Vec<u8>,
    ) -> (StatusCode, Value) {
        let address = self.intents[n].as_ref().unwrap().address();
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {key}"))
            .body(full_body(body))
            .unwrap();
        let answer = self.client.request(request).await.unwrap();
        let status = answer.status();
        (status, read_json_body(answer.into_body(), 8 << 20).await.unwrap())
    }

    pub async fn get(&self, n: usize, path: &str) -> (StatusCode, Value) {
        self.call(n, Method::GET, path, ROOT_KEY, Vec::new()).await
    }

    pub async fn post(&self, n: usize, path: &str, body: &Value) -> (StatusCode, Value) {
        self.call(n, Method::POST, path, ROOT_KEY, serde_json::to_vec(body).unwrap()).await
    }

    pub async fn plan(&self, n: usize, yaml: &str) -> (StatusCode, Value) {
        let body = json!({ "files": [{ "name": "fleet.yaml", "text": yaml }] });
        self.post(n, "/v1/plans", &body).await
    }

    /// Plans and returns the id.
    pub async fn planned(&self, n: usize, yaml: &str) -> String {
        let (status, answer) = self.plan(n, yaml).await;
        assert_eq!(status, 200, "{answer}");
        answer["plan"]["id"].as_str().unwrap().to_owned()
    }

    pub async fn confirm(&self, n: usize, id: &str) -> (StatusCode, Value) {
        self.post(n, &format!("/v1/plans/{id}/confirm"), &Value::Null).await
    }

    /// Plans and confirms.
    pub async fn accept(&self, yaml: &str) -> u64 {
        let id = self.planned(0, yaml).await;
        let (status, answer) = self.confirm(0, &id).await;
        assert_eq!(status, 200, "{answer}");
        answer["revision"].as_u64().unwrap()
    }

    /// Value of the accepted document, and how often it was written.
    pub fn stored(&self) -> Value {
        let value = self.platform.edit(|store| store.get("config/current").unwrap().value.clone());
        serde_json::from_slice(&value).unwrap()
    }
}

pub fn workspace(name: &str, share: u32) -> String {
    format!("workspaces:\n  - {{name: {name}, share: {share}}}\n")
}
