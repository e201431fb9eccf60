//! HTTP header names, in lower case.

/// Id of the request, on every answer and error.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Outcome of the request, as an answer header or trailer.
pub const OUTCOME_HEADER: &str = "x-span-outcome";
/// Key chosen by the caller, or minted for it, under which a request runs at
/// most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// The caller's own statement whether the request may be repeated: `true` or
/// `false`.
pub const IDEMPOTENT_HEADER: &str = "x-span-idempotent";
/// Cost that the caller expects, in cost units. Only a hint.
pub const COST_HINT_HEADER: &str = "x-span-cost-hint";
/// Number of chunks that the reader of a resumed stream already has.
pub const RESUME_OFFSET_HEADER: &str = "x-resume-offset";
/// Hash of the prompt prefix, 16 hexadecimal digits.
pub const PROMPT_PREFIX_HASH_HEADER: &str = "x-span-prefix";
