//! The chat completion request as far as the stand-in reads it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

const DEFAULT_OUTPUT_TOKENS: u64 = 16;
const MAX_OUTPUT_TOKENS: u64 = 100_000;
const BYTES_PER_TOKEN: usize = 4;

/// A chat completion request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model to use.
    pub model: String,
    /// Conversation so far.
    pub messages: Vec<Message>,
    /// Answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Value that the answer is signed with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub user: Option<String>,
    /// `output_tokens` sets the length of the answer, which callers of a real
    /// engine do not know.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub metadata: BTreeMap<String, String>,
}

/// One message of the conversation.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Message {
    /// Author of the message.
    pub role: String,
    /// Text of the message; other shapes are kept as they came.
    #[serde(default)]
    pub content: serde_json::Value,
}

impl ChatRequest {
    /// Tokens of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        let bytes: usize = self.messages.iter().map(|message| text_len(&message.content)).sum();
        (bytes / BYTES_PER_TOKEN) as u64 + 1
    }

    /// Tokens that the answer will have.
    pub fn output_tokens(&self) -> u64 {
        let wanted = self.metadata.get("output_tokens").and_then(|text| text.parse().ok());
        let limit = self.max_tokens.unwrap_or(MAX_OUTPUT_TOKENS).min(MAX_OUTPUT_TOKENS);
        wanted.unwrap_or(DEFAULT_OUTPUT_TOKENS).min(limit)
    }
}

fn text_len(content: &serde_json::Value) -> usize {
    match content {
        serde_json::Value::String(text) => text.len(),
        other => other.to_string().len(),
    }
}
