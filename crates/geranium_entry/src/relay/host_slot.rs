//! A slot at a backend server, held from its selection to the end of the attempt.

use std::rc::Rc;

use geranium_fleet::host::HostId;

use super::next_hop::NextHop;
use crate::dialect::Dialect;
use crate::running_attempts::AttemptGuard;
use crate::state::SharedState;

/// Guard that counts a request at its backend server until it is dropped.
pub(super) struct HostSlot<D: Dialect> {
    shared: Rc<SharedState<D>>,
    /// Guard of the attempt in the list of running attempts.
    pub(super) guard: AttemptGuard,
}

impl<D: Dialect> HostSlot<D> {
    /// Takes over a slot that the dispatcher has already counted.
    pub(super) fn new(shared: &Rc<SharedState<D>>, id: &HostId, prompt_tokens: f64) -> Self {
        Self {
            shared: shared.clone(),
            guard: shared.running.start(id, prompt_tokens, shared.now()),
        }
    }
}

impl<D: Dialect> Drop for HostSlot<D> {
    fn drop(&mut self) {
        let mut core = self.shared.core.borrow_mut();
        core.dispatcher.finish_request(self.guard.host());
    }
}

/// The selected receiver of an attempt with the slot of the request there.
pub(super) struct SelectedHop<D: Dialect> {
    pub(super) hop: NextHop,
    pub(super) slot: HostSlot<D>,
}
