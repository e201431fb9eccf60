//! Bodies of answers to callers.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::stream::StreamBody;

/// The answer breaks off; the caller sees that it is not whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer breaks off: {0}")]
pub(crate) struct BrokenOff(pub(crate) String);

impl From<Infallible> for BrokenOff {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Body of an answer.
pub(crate) enum EdgeBody {
    /// Bytes that are all there.
    Whole(Option<Bytes>),
    /// Bytes that come from an upstream.
    Stream(Pin<Box<StreamBody>>),
}

impl EdgeBody {
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for EdgeBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => stream.as_mut().poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
