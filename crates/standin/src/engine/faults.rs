//! Faults of answers: connections that break or go silent, and chunks of
//! another request's answer.

use std::{
    future,
    sync::{Arc, atomic::Ordering},
};

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http_body::Frame;
use span_http::BodyError;

use super::State;

/// Faults of the first answers; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Answers that are faulty, resumed ones among them.
    pub answers: u32,
    /// Events after which the connection breaks.
    pub break_after: Option<u64>,
    /// Events after which nothing more is sent.
    pub silence_after: Option<u64>,
    /// Events after which one of another request's answer is sent.
    pub cross_after: Option<u64>,
    /// The generation ends with the faulty answer and cannot be resumed.
    pub forget: bool,
}

/// Takes the faults for the next answer.
pub(super) fn next(state: &State) -> Faults {
    let left = state
        .faulty_left
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
    if left.is_ok() { state.settings.faults.clone() } else { Faults::default() }
}

/// Applies faults to the events of an answer to request `id`.
pub(super) fn apply(
    faults: Faults,
    id: String,
    events: impl Stream<Item = Bytes> + Send + Sync,
) -> impl Stream<Item = Result<Frame<Bytes>, BodyError>> + Send + Sync {
    let id = Arc::<str>::from(id);
    events.enumerate().then(move |(index, event)| {
        let at = |fault: Option<u64>| fault == Some(index as u64);
        let (silent, broken) = (at(faults.silence_after), at(faults.break_after));
        let crossed = at(faults.cross_after);
        let id = Arc::clone(&id);
        async move {
            if silent {
                future::pending::<()>().await;
            }
            if broken {
                // hyper discards what it has not flushed when the body fails,
                // and it flushes once the body is not ready.
                tokio::task::yield_now().await;
                return Err("the connection breaks".into());
            }
            if crossed {
                return Ok(Frame::data(of_another(&event, &id)));
            }
            Ok(Frame::data(event))
        }
    })
}

fn of_another(event: &[u8], id: &str) -> Bytes {
    let event = String::from_utf8_lossy(event).replace(id, "another-request");
    event.replace("\"content\":\"", "\"content\":\"another answer ").into()
}
