//! Bounds of the group model.

/// What an engine does with an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineKind {
    /// It refuses the order.
    Checks,
    /// It follows the order; the model assumes that no order is on its way for
    /// longer than the rest after which a released host is used again.
    Ignores,
}

/// Bounds that keep the number of states finite and small.
#[derive(Clone, Debug)]
pub struct GroupBounds {
    /// Name, as the check prints it.
    pub name: &'static str,
    /// Hosts of the one fabric domain, with the kinds of their engines.
    pub engines: Vec<EngineKind>,
    /// Processes that may lead.
    pub processes: u8,
    /// Replica groups of two hosts that the record asks for.
    pub replicas: usize,
    /// Writes of the table.
    pub writes: u64,
    /// Store answers that get lost.
    pub lost_answers: u8,
    /// Engines that restart.
    pub restarts: u8,
    /// Amendments that holders of delegations make.
    pub amendments: u8,
}

impl GroupBounds {
    /// Returns bounds for engines that check fencing numbers.
    #[must_use]
    pub fn checking() -> Self {
        Self {
            name: "groups, engines check fencing",
            engines: vec![EngineKind::Checks; 3],
            processes: 2,
            replicas: 1,
            writes: 4,
            lost_answers: 0,
            restarts: 0,
            amendments: 0,
        }
    }

    /// Returns bounds for engines that ignore fencing numbers.
    #[must_use]
    pub fn ignoring() -> Self {
        Self {
            name: "groups, engines ignore fencing",
            engines: vec![EngineKind::Ignores; 3],
            ..Self::checking()
        }
    }

    /// Returns bounds for one engine of each kind and one more that checks.
    #[must_use]
    pub fn mixed() -> Self {
        use EngineKind::{Checks, Ignores};
        Self {
            name: "groups, engines of both kinds",
            engines: vec![Checks, Ignores, Checks],
            writes: 3,
            ..Self::checking()
        }
    }

    /// Returns bounds with lost and delayed answers of the store.
    #[must_use]
    pub fn lossy() -> Self {
        Self {
            name: "groups, lost answers",
            writes: 3,
            lost_answers: 1,
            ..Self::checking()
        }
    }

    /// Returns bounds with an engine that restarts and forgets what it has seen.
    #[must_use]
    pub fn restarting() -> Self {
        Self {
            name: "groups, an engine restarts",
            writes: 3,
            restarts: 1,
            ..Self::checking()
        }
    }

    /// Returns bounds with spares delegated for outages.
    #[must_use]
    pub fn delegating() -> Self {
        Self {
            name: "groups, delegated spares",
            writes: 3,
            amendments: 1,
            ..Self::checking()
        }
    }

    /// Returns bounds with two repairs during outages.
    #[must_use]
    pub fn repairing_twice() -> Self {
        Self {
            name: "groups, two repairs by delegation",
            engines: vec![EngineKind::Checks; 4],
            writes: 2,
            amendments: 2,
            ..Self::checking()
        }
    }

    /// Returns the same bounds with fewer writes, for debug builds.
    #[must_use]
    pub fn with_writes(self, writes: u64) -> Self {
        Self { writes, ..self }
    }
}
