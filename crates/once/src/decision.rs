//! Whether to retry after a failed attempt at an upstream.

use span_types::Outcome;

/// Upstreams in a row that may have got a request without answering it, after which the
/// request rather than the upstreams is taken for the reason.
pub const MAX_UNANSWERED_ATTEMPTS: u32 = 3;

/// How much of a request may have reached the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// No byte was sent, because no connection was established.
    NotSent,
    /// At least one byte may have been sent.
    MaybeSent,
}

/// A failed attempt at an upstream, and what is known about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// How much of the request may have reached this upstream.
    pub delivery: Delivery,
    /// An earlier attempt may have reached another upstream.
    pub maybe_sent_before: bool,
    /// Upstreams, this one included, that may have got the request and have not
    /// answered it.
    pub unanswered_attempts: u32,
    /// The request may run more than once.
    pub idempotent: bool,
    /// The client has received a byte of the response.
    pub response_started: bool,
    /// The body is still available, so that the request can be sent again.
    pub replayable: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry on another upstream if the retry budget allows it. Otherwise end
    /// the request with this outcome.
    Retry(Outcome),
    /// End the request with this outcome.
    End(Outcome),
}

/// Decides whether a request may be retried after a failed attempt.
pub fn decide_retry(attempt: FailedAttempt) -> RetryDecision {
    let maybe_sent = attempt.maybe_sent_before || attempt.delivery == Delivery::MaybeSent;
    let outcome = if maybe_sent { Outcome::Unknown } else { Outcome::NotRun };
    let is_safe =
        !attempt.response_started && attempt.replayable && (attempt.idempotent || !maybe_sent);
    // A request that crashes upstreams must not take all of them.
    let is_suspect = attempt.unanswered_attempts >= MAX_UNANSWERED_ATTEMPTS;
    if is_safe && !is_suspect { RetryDecision::Retry(outcome) } else { RetryDecision::End(outcome) }
}
