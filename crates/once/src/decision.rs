//! What to do after an attempt at an upstream failed.

use span_types::Outcome;

/// How much of a request may have reached the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// No connection was made; no byte was sent.
    NotSent,
    /// A byte may have been sent.
    MaybeSent,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// How much of the request may have reached the upstream.
    pub delivery: Delivery,
    /// An earlier attempt may have reached another upstream.
    pub maybe_sent_before: bool,
    /// The request may run more than once.
    pub idempotent: bool,
    /// A byte of the answer was passed on.
    pub response_started: bool,
    /// The request can be sent again from its first byte.
    pub replayable: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send it to another upstream if the budget allows; end with the outcome
    /// otherwise.
    Retry(Outcome),
    /// End the request with this outcome.
    End(Outcome),
}

/// Decides what follows a failed attempt.
pub fn decide_retry(attempt: FailedAttempt) -> RetryDecision {
    let sent = attempt.maybe_sent_before || attempt.delivery == Delivery::MaybeSent;
    let outcome = if sent { Outcome::Unknown } else { Outcome::NotRun };
    let safe = !attempt.response_started && attempt.replayable && (attempt.idempotent || !sent);
    if safe { RetryDecision::Retry(outcome) } else { RetryDecision::End(outcome) }
}
