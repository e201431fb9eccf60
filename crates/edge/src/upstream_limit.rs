//! Limits on requests per second that upstreams name in their answers.

/// Change of a limit from which it is logged, as a fraction of the limit.
const LOGGED_CHANGE_FRACTION: f64 = 0.2;

/// What an upstream said about its limit in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// Requests per second that the upstream takes from all routers together; none if it
    /// named no limit.
    pub per_s: Option<f64>,
    /// When the request was sent whose answer said so.
    pub sent_ms: u64,
    /// When that answer arrived.
    pub received_ms: u64,
}

impl LimitStatement {
    /// Whether this statement replaces `known`. Answers arrive out of order, so only one
    /// to a request that was sent after `known` arrived is certainly newer. Otherwise the
    /// stricter statement counts.
    pub fn replaces(&self, known: &Self) -> bool {
        if self.sent_ms >= known.received_ms {
            return true;
        }
        let is_older = self.received_ms <= known.sent_ms;
        let (own, other) = (self.max_per_s(), known.max_per_s());
        !is_older && (own < other || own == other && self.received_ms >= known.received_ms)
    }

    fn max_per_s(&self) -> f64 {
        self.per_s.unwrap_or(f64::INFINITY)
    }

    /// Whether the step from `known` to this statement is worth a log line.
    pub fn is_notable_after(&self, known: Option<&Self>) -> bool {
        match (known.and_then(|known| known.per_s), self.per_s) {
            (None, None) => false,
            (Some(old), Some(new)) => (new - old).abs() > LOGGED_CHANGE_FRACTION * old,
            (None, Some(_)) | (Some(_), None) => true,
        }
    }
}
