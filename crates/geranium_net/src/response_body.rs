//! Reading of response bodies within a memory budget.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::{ClientError, MemoryReservation, ResponseMemory};

/// The body of a response, as far as it was read.
#[derive(Debug)]
pub struct ResponseBody {
    address: SocketAddr,
    body: Incoming,
    limit: usize,
    reservation: MemoryReservation,
    buf: BytesMut,
}

impl ResponseBody {
    /// Creates the body of a response from `address`, which may have `limit` bytes.
    #[must_use]
    pub fn new(address: SocketAddr, body: Incoming, limit: usize, memory: &ResponseMemory) -> Self {
        Self {
            address,
            body,
            limit,
            reservation: memory.reservation(),
            buf: BytesMut::new(),
        }
    }

    /// Returns the number of bytes that were read.
    #[must_use]
    pub fn read_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Reads the next part; returns whether there may be more.
    ///
    /// # Errors
    ///
    /// Returns an error if the body exceeds its limit, does not fit into memory or ends early.
    pub async fn read_part(&mut self) -> Result<bool, ClientError> {
        let announced = usize::try_from(self.body.size_hint().lower()).unwrap_or(usize::MAX);
        if self.buf.len().saturating_add(announced) > self.limit {
            return Err(ClientError::OversizeBody(self.address, self.limit));
        }
        let Some(frame) = self.body.frame().await else {
            return Ok(false);
        };
        let frame = frame.map_err(|e| ClientError::BrokenBody(self.address, e.to_string()))?;
        if let Some(data) = frame.data_ref() {
            self.append(data)?;
        }
        Ok(true)
    }

    fn append(&mut self, data: &[u8]) -> Result<(), ClientError> {
        let needed = self.buf.len() + data.len();
        if needed > self.limit {
            return Err(ClientError::OversizeBody(self.address, self.limit));
        }
        if needed > self.buf.capacity() {
            let capacity = needed.next_power_of_two().min(self.limit);
            if !self.reservation.resize(capacity) {
                return Err(ClientError::NoMemory(self.address, self.buf.len()));
            }
            self.buf.reserve(capacity - self.buf.len());
        }
        self.buf.extend_from_slice(data);
        Ok(())
    }

    /// Returns the bytes that were read; they hold their memory until they are dropped.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        self.reservation.attach(self.buf.freeze())
    }
}

/// Reads the whole body of a response.
///
/// # Errors
///
/// Returns an error if the body exceeds `limit` bytes, does not fit into `memory` or is
/// incomplete.
pub async fn read_response_body(
    address: SocketAddr,
    body: Incoming,
    limit: usize,
    memory: &ResponseMemory,
) -> Result<Bytes, ClientError> {
    let mut body = ResponseBody::new(address, body, limit, memory);
    while body.read_part().await? {}
    Ok(body.into_bytes())
}
