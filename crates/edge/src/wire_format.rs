//! What the users' platform calls things on the wire, as plain data.

use std::{fmt, rc::Rc, sync::Arc};

use http::{HeaderMap, HeaderName};

use crate::{config::Config, placement::PromptPrefix, upstream_load::LoadReport};

/// Names of headers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of a request, chosen by the caller and echoed by upstreams.
    pub request_id: HeaderName,
    /// Time that the sender will wait, in milliseconds.
    pub time_left: HeaderName,
    /// Key of a workspace.
    pub key: HeaderName,
    /// Workspace that the key belongs to.
    pub workspace: HeaderName,
    /// Upstream that a request is meant for.
    pub expected_upstream: HeaderName,
    /// Marks the answer of an upstream that did not run the request.
    pub not_run: HeaderName,
    /// Proves that an answer was made by an upstream.
    pub signature: HeaderName,
    /// Load of an upstream.
    pub load: HeaderName,
    /// Id of the last event that the reader of a stream has.
    pub last_event: HeaderName,
    /// Address of an engine from which another one copies prompt parts that it
    /// would have to read.
    pub copy_from: HeaderName,
    /// HeaderNames that only this system may set.
    pub reserved: Vec<HeaderName>,
}

/// What a request says of the work that it needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkEstimate {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Most tokens that will be generated.
    pub max_output_tokens: u64,
    /// Tokens that the caller expects to be generated. Often far off.
    pub expected_output_tokens: Option<u64>,
    /// Part of the prompt that other requests share.
    pub prompt_prefix: Option<PromptPrefix>,
}

impl WorkEstimate {
    /// Prompt tokens that no other request shares.
    pub fn own_tokens(&self) -> u64 {
        let shared_tokens = self.prompt_prefix.map_or(0, |prefix| prefix.tokens);
        self.prompt_tokens.saturating_sub(shared_tokens)
    }
}

type DecodeConfig = Rc<dyn Fn(&[u8]) -> Result<Config, String>>;
type DecodeWork = Rc<dyn Fn(&HeaderMap) -> WorkEstimate>;
type DecodeLoadReport = Rc<dyn Fn(&[u8]) -> Option<LoadReport>>;
type EncodeAddresses = Rc<dyn Fn(&[Arc<str>], u64) -> String>;

/// How the platform's pages spell what the product says.
#[derive(Clone)]
pub struct WireFormat {
    /// Header names.
    pub headers: HeaderNames,
    /// Path of readiness checks.
    pub ready_path: &'static str,
    /// Path of questions where to connect.
    pub directory_path: &'static str,
    /// Reads a configuration document.
    pub decode_config: DecodeConfig,
    /// Reads what a request says of its work.
    pub decode_work: DecodeWork,
    /// Reads the load that an upstream states.
    pub decode_load_report: DecodeLoadReport,
    /// Writes an answer of the directory: addresses and their lifetime in
    /// milliseconds.
    pub encode_addresses: EncodeAddresses,
}

impl fmt::Debug for WireFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WireFormat").field("headers", &self.headers).finish_non_exhaustive()
    }
}
