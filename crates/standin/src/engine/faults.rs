//! Faults of answers: connections that close early or stop sending, and chunks of
//! the answer to another request.

use std::{
    future,
    sync::{Arc, atomic::Ordering},
};

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http_body::Frame;
use span_http::BodyError;

use super::State;

/// Faults of the first [`answers`](Self::answers) answers after the engine starts; the
/// default has none. Events are counted from the start of each answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Number of faulty answers, including resumed ones.
    pub answers: u32,
    /// Number of events after which the connection is closed.
    pub break_after: Option<u64>,
    /// Number of events after which nothing more is sent on the open connection.
    pub silence_after: Option<u64>,
    /// Number of events after which one event is replaced by one of another request's
    /// answer.
    pub cross_after: Option<u64>,
    /// The generation is removed as soon as the faulty answer starts, so that it
    /// cannot be resumed.
    pub forget: bool,
}

/// Returns the faults of the next answer and counts it as sent.
pub(super) fn take_next(state: &State) -> Faults {
    let remaining =
        state
            .faulty_answers_left
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |remaining| remaining.checked_sub(1));
    if remaining.is_ok() { state.settings.faults.clone() } else { Faults::default() }
}

/// Applies faults to the events of an answer to request `id`.
pub(super) fn apply_faults(
    faults: Faults,
    id: String,
    events: impl Stream<Item = Bytes> + Send + Sync,
) -> impl Stream<Item = Result<Frame<Bytes>, BodyError>> + Send + Sync {
    let id = Arc::<str>::from(id);
    events.enumerate().then(move |(index, event)| {
        let occurs = |fault: Option<u64>| fault == Some(index as u64);
        let (is_silent, is_broken) = (occurs(faults.silence_after), occurs(faults.break_after));
        let is_crossed = occurs(faults.cross_after);
        let id = Arc::clone(&id);
        async move {
            if is_silent {
                future::pending::<()>().await;
            }
            if is_broken {
                // When the body fails, hyper discards what it has not flushed. It
                // flushes when the body is pending, so yield once.
                tokio::task::yield_now().await;
                return Err("the connection breaks".into());
            }
            if is_crossed {
                return Ok(Frame::data(as_other_request(&event, &id)));
            }
            Ok(Frame::data(event))
        }
    })
}

fn as_other_request(event: &[u8], id: &str) -> Bytes {
    let event = String::from_utf8_lossy(event).replace(id, "another-request");
    event.replace("\"content\":\"", "\"content\":\"another answer ").into()
}
