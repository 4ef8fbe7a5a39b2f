//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use quick_error::quick_error;
use tokio::sync::mpsc;

quick_error! {
    /// A stream that cannot be completed: the connection is closed without its end.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum StreamAborted {
        /// No backend server could go on.
        Lost {
            display("stream was cut off and could not be resumed")
        }
        /// The request's time ran out.
        Deadline {
            display("stream exceeded its deadline")
        }
    }
}

/// Body of an answer: whole, or passed on as it arrives.
#[derive(Debug)]
pub(crate) enum RelayBody {
    /// All bytes are there.
    Buffered(Option<Bytes>),
    /// Bytes arrive over a channel; it ends without an error if the body is complete.
    Stream(mpsc::Receiver<Result<Bytes, StreamAborted>>),
}

impl RelayBody {
    /// Makes a body of bytes that are all there.
    pub(crate) fn buffered(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Buffered((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(rx) => rx
                .poll_recv(cx)
                .map(|item| item.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
