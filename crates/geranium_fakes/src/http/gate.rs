//! Decides what becomes of connections.

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// What becomes of connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GateState {
    /// Connections are served.
    #[default]
    Open,
    /// Open connections are closed and new ones are refused.
    Refuse,
    /// Open connections are closed; new ones are accepted and closed at once.
    Close,
    /// Connections stay open and nothing is read or written, as in a network
    /// partition; what was sent meanwhile arrives when the gate opens again.
    Hang,
}

/// State of the connections of one listener; clones share it.
#[derive(Clone, Debug)]
pub struct Gate {
    state: watch::Sender<(GateState, u64)>,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            state: watch::Sender::new((GateState::Open, 0)),
        }
    }
}

impl Gate {
    /// Changes the state.
    pub fn set(&self, state: GateState) {
        let closes = matches!(state, GateState::Refuse | GateState::Close);
        self.state.send_modify(|(current, cuts)| {
            *current = state;
            *cuts += u64::from(closes);
        });
    }

    /// Closes every open connection.
    pub fn cut(&self) {
        self.state.send_modify(|(_, cuts)| *cuts += 1);
    }

    /// Returns the state.
    #[must_use]
    pub fn state(&self) -> GateState {
        self.state.borrow().0
    }

    /// Waits until connections that were open at the time of the call are to be closed.
    pub(super) fn cut_signal(&self) -> impl Future<Output = ()> + Send + use<> {
        let mut rx = self.state.subscribe();
        let before = rx.borrow_and_update().1;
        async move {
            // The sender lives as long as the listener, which owns a gate.
            let _ = rx.wait_for(|(_, cuts)| *cuts != before).await;
        }
    }

    /// Waits until the state is, or is not, the given one.
    pub(super) async fn wait_for(&self, wanted: GateState, holds: bool) {
        let mut rx = self.state.subscribe();
        // The sender lives as long as this gate.
        let _ = rx.wait_for(|(state, _)| (*state == wanted) == holds).await;
    }
}
