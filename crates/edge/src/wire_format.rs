//! Names and encodings that the users' platform uses on the wire.

use std::{fmt, rc::Rc, sync::Arc};

use http::{HeaderMap, HeaderName};
use serde::{Deserialize, Serialize};
use span_types::FailureDomain;
use xxhash_rust::xxh3::xxh3_64;

use crate::{config::Config, placement::PromptPrefix, upstream_load::LoadReport};

/// Names of the platform's headers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of a request, set by the caller and echoed by upstreams.
    pub request_id: HeaderName,
    /// Time for which the sender will still wait, in milliseconds.
    pub remaining_time: HeaderName,
    /// Key of a workspace, set by the caller.
    pub key: HeaderName,
    /// Workspace that the key belongs to, set by the router.
    pub workspace: HeaderName,
    /// Name of the upstream that a request is sent to. Another process at the same
    /// address rejects the request.
    pub expected_upstream: HeaderName,
    /// Marks the answer of an upstream that did not run the request.
    pub not_run: HeaderName,
    /// Signature that proves that an upstream made the answer.
    pub signature: HeaderName,
    /// Load report of an upstream.
    pub load_report: HeaderName,
    /// Requests per second that an upstream takes from all routers together, for as long
    /// as its answers name the limit.
    pub request_limit: HeaderName,
    /// Time for which an upstream is still cold, in milliseconds.
    pub cold_remaining: HeaderName,
    /// With the value `1`, marks every answer of an upstream that is leaving.
    pub leaving: HeaderName,
    /// Id of the last event that the caller of a stream has.
    pub last_event_id: HeaderName,
    /// Id of the request that brought a stream's first event, set by a caller that takes
    /// up the stream.
    pub resumed_request_id: HeaderName,
    /// Address of an engine from which another one copies the cached prompt prefix.
    pub copy_from: HeaderName,
    /// Headers that only this system may set; removed from callers' requests.
    pub reserved: Vec<HeaderName>,
}

/// Work that a request needs, as its headers state it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkEstimate {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Largest number of tokens that may be generated.
    pub max_output_tokens: u64,
    /// Tokens that the caller expects to be generated, if stated. Often far off.
    pub expected_output_tokens: Option<u64>,
    /// Beginning of the prompt that other requests share, if any.
    pub prompt_prefix: Option<PromptPrefix>,
}

impl WorkEstimate {
    /// Prompt tokens beyond the shared prefix.
    pub fn unshared_tokens(&self) -> u64 {
        let shared_tokens = self.prompt_prefix.map_or(0, |prefix| prefix.tokens);
        self.prompt_tokens.saturating_sub(shared_tokens)
    }
}

/// Identifies a segment of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SegmentId(pub u64);

impl SegmentId {
    /// Reads the id of a segment, normally a hexadecimal number. Any other text is
    /// hashed.
    pub fn parse(text: &str) -> Self {
        u64::from_str_radix(text, 16).map_or_else(|_| Self(xxh3_64(text.as_bytes())), Self)
    }
}

impl fmt::Display for SegmentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Lists segments for logs.
pub fn list_segments(segments: &[SegmentId]) -> String {
    let names: Vec<String> = segments.iter().map(SegmentId::to_string).collect();
    names.join(",")
}

type DecodeConfig = Rc<dyn Fn(&[u8]) -> Result<Config, String>>;
type DecodeWork = Rc<dyn Fn(&HeaderMap) -> WorkEstimate>;
type DecodeSegments = Rc<dyn Fn(&HeaderMap) -> Rc<[SegmentId]>>;
type DecodeLoadReport = Rc<dyn Fn(&[u8]) -> Option<LoadReport>>;
type DecodeRequestLimit = Rc<dyn Fn(&[u8]) -> Option<f64>>;
type DecodeCallerDomain = Rc<dyn Fn(&str) -> Option<FailureDomain>>;
type EncodeAddresses = Rc<dyn Fn(&[Arc<str>], u64) -> String>;

/// Header names, paths and encodings of the platform.
#[derive(Clone)]
pub struct WireFormat {
    /// Header names.
    pub headers: HeaderNames,
    /// Path of readiness checks.
    pub readiness_path: &'static str,
    /// Path of the directory.
    pub directory_path: &'static str,
    /// Decodes a configuration document. The error says what is wrong with it.
    pub decode_config: DecodeConfig,
    /// Decodes the work estimate from the headers of a request.
    pub decode_work: DecodeWork,
    /// Decodes the segments of a prompt that others may share from the headers of a
    /// request.
    pub decode_shared_segments: DecodeSegments,
    /// Decodes the load report from a header of an upstream; none if invalid.
    pub decode_load_report: DecodeLoadReport,
    /// Decodes the limit in requests per second from a header of an upstream; none if
    /// invalid.
    pub decode_request_limit: DecodeRequestLimit,
    /// Decodes the caller's failure domain from the query of a request to the
    /// directory.
    pub decode_caller_domain: DecodeCallerDomain,
    /// Encodes an answer of the directory from the addresses and their lifetime in
    /// milliseconds.
    pub encode_addresses: EncodeAddresses,
}

impl fmt::Debug for WireFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WireFormat").field("headers", &self.headers).finish_non_exhaustive()
    }
}
