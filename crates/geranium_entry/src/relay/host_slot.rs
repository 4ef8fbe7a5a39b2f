//! A place at a backend server, from the choice to the end of the attempt.

use std::rc::Rc;

use geranium_fleet::dispatch::Choice;
use geranium_fleet::host::Host;

use crate::dialect::Dialect;
use crate::running_attempts::AttemptGuard;
use crate::state::SharedState;

/// Counts a request at its backend server until this is dropped.
pub(super) struct HostSlot<D: Dialect> {
    shared: Rc<SharedState<D>>,
    /// The attempt among those of the backend server.
    pub(super) guard: AttemptGuard,
}

impl<D: Dialect> HostSlot<D> {
    /// Takes over a place that the dispatcher has counted.
    pub(super) fn new(shared: &Rc<SharedState<D>>, host: &Host, prompt_tokens: f64) -> Self {
        Self {
            shared: shared.clone(),
            guard: shared.running.start(&host.id, prompt_tokens, shared.now()),
        }
    }
}

impl<D: Dialect> Drop for HostSlot<D> {
    fn drop(&mut self) {
        let mut core = self.shared.core.borrow_mut();
        core.dispatcher.finish_request(self.guard.host());
    }
}

/// A chosen backend server with the place of the request there.
pub(super) struct SelectedHost<D: Dialect> {
    /// The backend server and what was known of it.
    pub(super) choice: Choice,
    /// The slot.
    pub(super) slot: HostSlot<D>,
}
