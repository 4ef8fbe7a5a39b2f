//! Reading of complete events from the response of a backend server.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use geranium_net::BodyFraming;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use tokio::sync::Notify;

use super::attempt::{BackendResponse, ReusableConnection};
use super::buffer_reservation::BufferReservation;
use super::host_slot::HostSlot;
use super::next_hop::NextHop;
use crate::dialect::Dialect;
use crate::sse::{EventSplitter, MalformedEvent};
use crate::state::SharedState;

/// Reads complete events from the response of a backend server.
pub(super) struct EventReader<D: Dialect> {
    shared: Rc<SharedState<D>>,
    /// Body of the response.
    pub(super) body: Incoming,
    /// Slot at the backend server.
    pub(super) slot: HostSlot<D>,
    /// Connection of the response, until it is returned to the pool.
    pub(super) connection: Option<ReusableConnection>,
    /// The sender of the response.
    pub(super) hop: NextHop,
    splitter: EventSplitter,
    /// How the response shows where its body ends.
    pub(super) framing: BodyFraming,
    reservation: BufferReservation,
    /// Signal to move to another backend server.
    pub(super) reroute_signal: Rc<Notify>,
    /// Id of the last forwarded event; events up to it are skipped.
    pub(super) last_forwarded_id: Option<u64>,
    /// What follows the events that were returned last, if it is known already.
    follows: Option<StreamRead>,
}

/// Result of reading from a stream.
pub(super) enum StreamRead {
    /// Complete events that were not forwarded before.
    Events(Bytes),
    /// The stream ended after a complete event.
    End,
    /// The stream was interrupted, with the cause.
    Aborted(&'static str),
}

impl<D: Dialect> EventReader<D> {
    /// Starts reading a response after the last event that was forwarded.
    pub(super) fn new(
        shared: &Rc<SharedState<D>>,
        response: BackendResponse<D>,
        last_forwarded_id: Option<u64>,
    ) -> (Parts, Self) {
        let hop = response.hop.clone();
        let (res, slot, connection) = response.into_parts();
        let framing = BodyFraming::of(&res);
        let (head, body) = res.into_parts();
        let reroute_signal = slot.guard.reroute_signal();
        let reader = Self {
            shared: shared.clone(),
            body,
            slot,
            connection: Some(connection),
            hop,
            splitter: EventSplitter::default(),
            framing,
            reservation: BufferReservation::new(&shared.response_memory),
            reroute_signal,
            last_forwarded_id,
            follows: None,
        };
        (head, reader)
    }

    /// Returns the next events. Cancel safe: dropping the future loses no events.
    pub(super) async fn next(&mut self) -> StreamRead {
        if let Some(follows) = self.follows.take() {
            return follows;
        }
        loop {
            match self.body.frame().await {
                None => return self.end(),
                Some(Err(_)) => return StreamRead::Aborted("reset"),
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else {
                        continue;
                    };
                    self.splitter.push(data);
                    if !self.reservation.resize(self.splitter.buffered_len()) {
                        return StreamRead::Aborted("too_long");
                    }
                    let (events, malformed) = self.complete_events();
                    let events = self.reservation.queue(events);
                    self.reservation.resize(self.splitter.buffered_len());
                    let aborted = malformed.map(|e| self.abort_malformed(e));
                    if !events.is_empty() {
                        self.slot.guard.record_activity(true, self.shared.now());
                        self.follows = aborted;
                        return StreamRead::Events(events);
                    }
                    if let Some(aborted) = aborted {
                        return aborted;
                    }
                }
            }
        }
    }

    /// Waits until the caller has taken so many events that more may be read for it.
    pub(super) async fn room_for_more(&self) {
        self.reservation.room_for_more().await;
    }

    fn end(&mut self) -> StreamRead {
        if self.splitter.has_partial_event() {
            return StreamRead::Aborted("partial_event");
        }
        if let Some(cause) = self.early_end() {
            return StreamRead::Aborted(cause);
        }
        if let Some(connection) = self.connection.take() {
            connection.return_to(&self.shared.pool, self.shared.now());
        }
        let rest = self.reservation.queue(self.splitter.take_rest());
        if rest.is_empty() {
            return StreamRead::End;
        }
        self.follows = Some(StreamRead::End);
        StreamRead::Events(rest)
    }

    /// Returns the cause if the response ended, after whole events, where a stream cannot end.
    fn early_end(&self) -> Option<&'static str> {
        let last = self.splitter.last_id();
        // A response that repeats events has to come to the last one that the caller has.
        let is_behind = last.is_some() && last < self.last_forwarded_id;
        match self.framing {
            // A server that ended right after the head looks like one without events.
            BodyFraming::Connection if is_behind || last.is_none() => Some("cut"),
            BodyFraming::Explicit if is_behind => Some("ended_early"),
            _ => None,
        }
    }

    fn abort_malformed(&self, e: MalformedEvent) -> StreamRead {
        log::warn!(host:% = self.hop.id(), after_event = self.last_forwarded_id; "stream of a backend server is broken off, its bytes are no event: {e}");
        StreamRead::Aborted("malformed")
    }

    /// Returns the complete events that were not forwarded before, and what is wrong with the
    /// bytes after them, if anything is.
    fn complete_events(&mut self) -> (Bytes, Option<MalformedEvent>) {
        let mut out = BytesMut::new();
        loop {
            let event = match self.splitter.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => return (out.freeze(), None),
                Err(e) => return (out.freeze(), Some(e)),
            };
            if Some(event.id) <= self.last_forwarded_id {
                continue;
            }
            self.last_forwarded_id = Some(event.id);
            out.extend_from_slice(&event.bytes);
        }
    }
}
