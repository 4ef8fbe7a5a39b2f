//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use quick_error::quick_error;
use tokio::sync::mpsc;

quick_error! {
    /// A stream that cannot be completed. The connection is closed before the end of the body.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum StreamAborted {
        /// No backend server could resume the stream.
        Lost {
            display("stream was interrupted and could not be resumed")
        }
        /// The deadline of the request passed.
        Deadline {
            display("stream exceeded its deadline")
        }
    }
}

/// Body of a response: complete, or forwarded as it arrives.
#[derive(Debug)]
pub(crate) enum RelayBody {
    /// The complete body.
    Buffered(Option<Bytes>),
    /// Bytes that arrive over a channel, which ends without an error if the body is complete.
    Stream(mpsc::Receiver<Result<Bytes, StreamAborted>>),
}

impl RelayBody {
    /// Creates a body from the complete bytes.
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
