//! The fields of a chat completion request that the stand-in reads.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

const DEFAULT_OUTPUT_TOKENS: u64 = 16;
const MAX_OUTPUT_TOKENS: u64 = 100_000;
const BYTES_PER_TOKEN: usize = 4;

/// A chat completion request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// Conversation so far.
    pub messages: Vec<Message>,
    /// Whether the answer is sent as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Largest number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Value that the text of the answer is derived from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub user: Option<String>,
    /// The entry `output_tokens` sets the length of the answer. Callers of a real
    /// engine cannot set it.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub metadata: BTreeMap<String, String>,
}

/// One message of the conversation.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Message {
    /// Role of the author, such as `user`.
    pub role: String,
    /// Text of the message; any other JSON value is kept unchanged.
    #[serde(default)]
    pub content: serde_json::Value,
}

impl ChatRequest {
    /// Returns the number of prompt tokens, estimated from the length of the messages.
    pub fn prompt_tokens(&self) -> u64 {
        let bytes: usize =
            self.messages.iter().map(|message| content_bytes(&message.content)).sum();
        (bytes / BYTES_PER_TOKEN) as u64 + 1
    }

    /// Returns the number of tokens that the answer will have.
    pub fn output_tokens(&self) -> u64 {
        let requested = self.metadata.get("output_tokens").and_then(|text| text.parse().ok());
        let limit = self.max_tokens.unwrap_or(MAX_OUTPUT_TOKENS).min(MAX_OUTPUT_TOKENS);
        requested.unwrap_or(DEFAULT_OUTPUT_TOKENS).min(limit)
    }
}

fn content_bytes(content: &serde_json::Value) -> usize {
    match content {
        serde_json::Value::String(text) => text.len(),
        other => other.to_string().len(),
    }
}
