//! Bodies of answers to callers.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::stream::StreamBody;
use crate::connections::OpenRequest;

/// The answer was interrupted. The connection to the caller is aborted, so that
/// the caller sees an incomplete answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer was interrupted: {0}")]
pub(crate) struct Interrupted(pub(crate) String);

impl From<Infallible> for Interrupted {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Body of an answer.
pub(crate) enum EdgeBody {
    /// A complete body; none once it has been sent or if it is empty.
    Complete(Option<Bytes>),
    /// A body that is forwarded as it arrives from an upstream.
    Stream(Pin<Box<StreamBody>>),
}

/// Body of an answer on a connection. The request counts as open until it is dropped.
pub(crate) struct AnswerBody {
    pub(crate) body: EdgeBody,
    pub(crate) _request: OpenRequest,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl EdgeBody {
    pub(crate) fn complete(bytes: Bytes) -> Self {
        Self::Complete((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for EdgeBody {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        match self.get_mut() {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => stream.as_mut().poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
