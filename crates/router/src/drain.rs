//! Until when a router that was told to stop takes connections, starts requests and waits
//! for answers.

use std::time::Duration;

use tokio::time::Instant;

use crate::settings::Timeouts;

/// Time for which a leaving router accepts connections after the address
/// lifetime.
/// Peers may still hand out its address for a moment, and requests may be in
/// transit. Without it, requests sent at the end of the address lifetime reached
/// a closed connection.
const LATE_CALLER_GRACE: Duration = Duration::from_millis(1_000);
/// Time before its end at which a router answers open requests with an error. The server
/// waits half of it for requests in transit on idle connections.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(1_000);

/// The steps of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainPlan {
    /// When the last connections are accepted.
    pub accept_until: Instant,
    /// When requests that are still open are answered with an error.
    pub answer_by: Instant,
    /// When the router ends, whatever is open.
    pub end: Instant,
}

impl DrainPlan {
    /// The steps of a stop that begins now.
    pub fn new(now: Instant, timeouts: &Timeouts) -> Self {
        let end = now + Duration::from_millis(timeouts.shutdown_ms);
        let lifetime = Duration::from_millis(timeouts.address_lifetime_ms);
        Self {
            accept_until: now + lifetime + LATE_CALLER_GRACE,
            answer_by: end.checked_sub(ANSWER_MARGIN).map_or(now, |by| by.max(now)),
            end,
        }
    }

    /// Whether a request may be sent to an upstream that may take `time_limit` to answer.
    pub fn may_start(&self, now: Instant, time_limit: Duration) -> bool {
        now + time_limit <= self.answer_by
    }

    /// When the last requests with this time limit may be sent; `None` if that time is past.
    pub(crate) fn last_start(&self, time_limit: Duration) -> Option<Instant> {
        self.answer_by.checked_sub(time_limit)
    }
}
