//! Bounds of the model of counted orders.

/// Bounds that keep the number of states finite and small.
#[derive(Clone, Copy, Debug)]
pub struct CountedBounds {
    /// Name, as the check prints it.
    pub name: &'static str,
    /// Hosts, of which two make up a group.
    pub hosts: u8,
    /// Managers, which may all act at any time.
    pub managers: u8,
    /// Groups that are formed.
    pub groups: u8,
    /// Orders that are sent.
    pub orders: u8,
    /// Hosts that start anew under the same id.
    pub restarts: u8,
    /// Former states of hosts that entries and reports may show, one at a time.
    pub late: u8,
    /// Whether the first group is formed and ready at the start, and known as such.
    pub formed: bool,
}

impl CountedBounds {
    /// Returns bounds in which two managers form groups of hosts without any.
    #[must_use]
    pub const fn forming() -> Self {
        Self {
            name: "counted orders, two managers form groups",
            hosts: 2,
            managers: 2,
            groups: 2,
            orders: 4,
            restarts: 0,
            late: 0,
            formed: false,
        }
    }

    /// Returns bounds in which one manager, whose knowledge may be old, forms groups of
    /// the same hosts again.
    #[must_use]
    pub const fn forming_again() -> Self {
        Self {
            name: "counted orders, one manager forms groups again",
            managers: 1,
            orders: 5,
            ..Self::forming()
        }
    }

    /// Returns bounds in which a ready group is opened and taken apart.
    #[must_use]
    pub const fn regrouping() -> Self {
        Self {
            name: "counted orders, a group is formed anew",
            hosts: 3,
            managers: 2,
            groups: 2,
            orders: 4,
            restarts: 0,
            late: 0,
            formed: true,
        }
    }

    /// Returns bounds in which a host starts anew under the same id.
    #[must_use]
    pub const fn restarting() -> Self {
        Self {
            name: "counted orders, a host starts anew",
            orders: 3,
            restarts: 1,
            ..Self::regrouping()
        }
    }

    /// Returns the same bounds for one manager, whose knowledge may be old.
    #[must_use]
    pub const fn with_one_manager(self) -> Self {
        Self {
            managers: 1,
            ..self
        }
    }

    /// Returns the same bounds with former states that entries and reports may show.
    #[must_use]
    pub const fn with_late(self, late: u8) -> Self {
        Self { late, ..self }
    }

    /// Returns the same bounds with fewer orders, for debug builds.
    #[must_use]
    pub const fn with_orders(self, orders: u8) -> Self {
        Self { orders, ..self }
    }
}
