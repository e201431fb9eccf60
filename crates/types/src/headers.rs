//! Names of HTTP headers, in lower case.

/// Id of the request. Every answer has it, errors included.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Outcome of the request, as a header or trailer of the answer.
pub const OUTCOME_HEADER: &str = "x-span-outcome";
/// Key under which a request runs at most once. The caller chooses it, or a
/// router mints it.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Whether the request may be retried, as stated by the caller: `true` or
/// `false`.
pub const IDEMPOTENT_HEADER: &str = "x-span-idempotent";
/// Cost that the caller expects, in cost units. Not binding.
pub const COST_HINT_HEADER: &str = "x-span-cost-hint";
/// Number of chunks of a resumed stream that the caller already has. The engine repeats it
/// in the answer, which then begins with the chunk after these.
pub const RESUME_OFFSET_HEADER: &str = "x-resume-offset";
/// Hash of the prompt prefix, as 16 hexadecimal digits.
pub const PROMPT_PREFIX_HASH_HEADER: &str = "x-span-prefix";
