//! A body of server-sent events that fails if its sender broke it off.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame};

use crate::{BodyError, BrokenStream, EventBoundary, Framing};

/// Passes a stream of events on and fails at its end if that is inside an event. It
/// states no length: a server would end the answer before the end is checked.
#[derive(Debug)]
pub struct CheckedEvents<B> {
    body: B,
    framing: Framing,
    boundary: EventBoundary,
    broken: Option<BrokenStream>,
}

impl<B> CheckedEvents<B> {
    /// Checks the events of a `body` that is marked by `framing`.
    pub fn new(body: B, framing: Framing) -> Self {
        Self { body, framing, boundary: EventBoundary::default(), broken: None }
    }
}

impl<B> Body for CheckedEvents<B>
where
    B: Body<Data = Bytes, Error: Into<BodyError>> + Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(broken) = self.broken {
            return Poll::Ready(Some(Err(broken.into())));
        }
        match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
            Some(Ok(frame)) => {
                if let Some(bytes) = frame.data_ref() {
                    self.boundary.push(bytes);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => Poll::Ready(Some(Err(error.into()))),
            None => match self.boundary.check_end(self.framing) {
                Ok(()) => Poll::Ready(None),
                Err(broken) => {
                    // The server writes what has arrived while the body is pending,
                    // and drops it when the body fails.
                    self.broken = Some(broken);
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
            },
        }
    }
}
