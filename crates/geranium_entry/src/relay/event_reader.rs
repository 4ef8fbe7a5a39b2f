//! Whole events of one backend server's answer.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use geranium_fleet::host::Host;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use tokio::sync::Notify;

use super::attempt::{Answer, Return};
use super::held_bytes::HeldBytes;
use super::place::Place;
use crate::dialect::Dialect;
use crate::sse::EventSplitter;
use crate::state::SharedState;

/// Reads whole events of one backend server.
pub(super) struct EventReader<D: Dialect> {
    shared: Rc<SharedState<D>>,
    /// Body of the answer.
    pub(super) body: Incoming,
    /// Its place at the backend server.
    pub(super) place: Place<D>,
    /// Its connection, until it is given back.
    pub(super) back: Option<Return>,
    /// The backend server.
    pub(super) host: Host,
    splitter: EventSplitter,
    held: HeldBytes<D>,
    /// Signal to move to another backend server.
    pub(super) reroute_signal: Rc<Notify>,
    /// Events up to this id were passed on already.
    pub(super) passed: Option<u64>,
}

/// What a read of a stream brings.
pub(super) enum Piece {
    /// Whole events that were not passed on before.
    Events(Bytes),
    /// The stream ended after its last event.
    End,
    /// The stream broke off.
    Cut(&'static str),
}

impl<D: Dialect> EventReader<D> {
    /// Starts to read an answer after the last event that was passed on.
    pub(super) fn new(
        shared: &Rc<SharedState<D>>,
        answer: Answer<D>,
        passed: Option<u64>,
    ) -> (Parts, Self) {
        let host = answer.host.clone();
        let (res, place, back) = answer.into_parts();
        let (head, body) = res.into_parts();
        let reroute_signal = place.guard.reroute_signal();
        let reader = Self {
            shared: shared.clone(),
            body,
            place,
            back: Some(back),
            host,
            splitter: EventSplitter::default(),
            held: HeldBytes::new(shared),
            reroute_signal,
            passed,
        };
        (head, reader)
    }

    /// Returns the next events; may be dropped while it waits without losing any.
    pub(super) async fn next(&mut self) -> Piece {
        loop {
            match self.body.frame().await {
                None => return self.end(),
                Some(Err(_)) => return Piece::Cut("reset"),
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else {
                        continue;
                    };
                    self.splitter.push(data);
                    let events = self.whole_events();
                    let may_hold = self.held.set(self.splitter.buffered_len());
                    if let Some(events) = events {
                        self.place.guard.record_activity(true, self.shared.now());
                        return Piece::Events(events);
                    }
                    if !may_hold {
                        return Piece::Cut("too_long");
                    }
                }
            }
        }
    }

    fn end(&mut self) -> Piece {
        if self.splitter.has_partial_event() {
            return Piece::Cut("partial_event");
        }
        if let Some(back) = self.back.take() {
            back.put(&self.shared.pool, self.shared.now());
        }
        Piece::End
    }

    fn whole_events(&mut self) -> Option<Bytes> {
        let mut out = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            if let (Some(id), Some(passed)) = (event.id, self.passed)
                && id <= passed
            {
                continue;
            }
            self.passed = event.id.or(self.passed);
            out.extend_from_slice(&event.bytes);
        }
        (!out.is_empty()).then(|| out.freeze())
    }
}
