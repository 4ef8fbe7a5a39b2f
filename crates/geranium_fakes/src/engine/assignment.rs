//! What the engine follows.

use std::time::Duration;

use geranium_core::engine::{Assignment, EnginePhase, LoadOrder, Order, OrderAction};
use geranium_core::id::{FencingNumber, GroupId, HostId, Incarnation};
use geranium_core::time::Timestamp;
use quick_error::quick_error;

quick_error! {
    /// Refusal of an order.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum OrderRefusal {
        /// The order is for another host.
        WrongHost(host: HostId) {
            display("the order is for host {}", host)
        }
        /// The engine has seen a higher fencing number.
        StaleFencing(highest: FencingNumber) {
            display("fencing number {} was seen", highest)
        }
    }
}

/// What one run of an engine has been told, and how far it is with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineState {
    host: HostId,
    checks_fencing: bool,
    incarnation: Incarnation,
    fencing: FencingNumber,
    order: Option<(FencingNumber, LoadOrder)>,
    phase: EnginePhase,
    load_end: Timestamp,
    joined: bool,
    finished_cold: u32,
    turned_cold: u64,
}

impl EngineState {
    /// Makes the state of an engine that has just started.
    #[must_use]
    pub const fn new(host: HostId, checks_fencing: bool, incarnation: Incarnation) -> Self {
        Self {
            host,
            checks_fencing,
            incarnation,
            fencing: FencingNumber(0),
            order: None,
            phase: EnginePhase::Idle,
            load_end: Timestamp(0),
            joined: false,
            finished_cold: 0,
            turned_cold: 0,
        }
    }

    /// Returns the run of the engine.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the highest fencing number seen.
    #[must_use]
    pub const fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Returns how far the engine is.
    #[must_use]
    pub const fn phase(&self) -> EnginePhase {
        self.phase
    }

    /// Returns how often the engine has turned cold without a new order.
    #[must_use]
    pub const fn turned_cold(&self) -> u64 {
        self.turned_cold
    }

    /// Returns the order that the engine follows.
    #[must_use]
    pub fn load_order(&self) -> Option<&LoadOrder> {
        self.order.as_ref().map(|(_, load)| load)
    }

    /// Returns what the engine reports that it follows.
    #[must_use]
    pub fn assignment(&self) -> Option<Assignment> {
        let (fencing, load) = self.order.as_ref()?;
        Some(Assignment {
            group: load.group.clone(),
            fencing: *fencing,
            model: load.model.clone(),
            version: load.version.clone(),
            adapters: load.adapters.clone(),
            rank: load.rank,
        })
    }

    /// Returns whether the engine takes requests for a group at a fencing number.
    #[must_use]
    pub fn serves(&self, group: &str, fencing: u64) -> bool {
        self.order.as_ref().is_some_and(|(followed, load)| {
            load.group.as_str() == group && followed.0 == fencing && load.rank == 0
        })
    }

    /// Follows an order; returns whether running requests end.
    ///
    /// # Errors
    ///
    /// Returns an error if the order is refused; it changes nothing then.
    pub fn follow(
        &mut self,
        order: &Order,
        load_time: Duration,
        now: Timestamp,
    ) -> Result<bool, OrderRefusal> {
        if order.host != self.host {
            return Err(OrderRefusal::WrongHost(order.host.clone()));
        }
        if self.checks_fencing && order.fencing < self.fencing {
            return Err(OrderRefusal::StaleFencing(self.fencing));
        }
        self.fencing = self.fencing.max(order.fencing);
        match &order.action {
            OrderAction::Load(load) => Ok(self.load(order.fencing, load, now + load_time)),
            OrderAction::Release => Ok(self.release()),
            OrderAction::Fence => Ok(false),
        }
    }

    /// Leaves the group; returns whether there was one.
    pub fn release(&mut self) -> bool {
        self.phase = EnginePhase::Idle;
        self.joined = false;
        self.order.take().is_some()
    }

    /// Takes note that every member of the group has loaded.
    pub const fn join(&mut self) {
        self.joined = true;
    }

    /// Returns whether every member of the group had loaded at some time.
    #[must_use]
    pub const fn joined(&self) -> bool {
        self.joined
    }

    /// Moves on from loading when its time has come.
    pub fn advance(&mut self, warm_after: u32, now: Timestamp) {
        let loading = self.phase == EnginePhase::Loading;
        if loading && self.joined && now >= self.load_end {
            self.finished_cold = 0;
            self.phase = if warm_after == 0 {
                EnginePhase::Warm
            } else {
                EnginePhase::Cold
            };
        }
    }

    /// Returns whether this member has loaded, whatever the others did.
    #[must_use]
    pub fn has_loaded(&self, now: Timestamp) -> bool {
        self.order.is_some() && now >= self.load_end
    }

    /// Takes note of a finished request.
    pub fn finish_request(&mut self, warm_after: u32) {
        if self.phase != EnginePhase::Cold {
            return;
        }
        self.finished_cold += 1;
        if self.finished_cold >= warm_after {
            self.phase = EnginePhase::Warm;
        }
    }

    /// Turns cold without an order.
    pub fn turn_cold(&mut self) {
        self.turned_cold += 1;
        self.finished_cold = 0;
        if self.phase == EnginePhase::Warm {
            self.phase = EnginePhase::Cold;
        }
    }

    /// Takes over the phase of rank 0, which alone sees requests.
    pub fn adopt_phase(&mut self, group: &GroupId, phase: EnginePhase, turned_cold: u64) {
        let same_group = self.load_order().is_some_and(|load| load.group == *group);
        let loaded = matches!(self.phase, EnginePhase::Cold | EnginePhase::Warm);
        let is_phase = matches!(phase, EnginePhase::Cold | EnginePhase::Warm);
        if same_group && loaded && is_phase && turned_cold == self.turned_cold {
            self.phase = phase;
        }
    }

    fn load(&mut self, fencing: FencingNumber, load: &LoadOrder, end: Timestamp) -> bool {
        if let Some((followed, current)) = &mut self.order
            && current == load
        {
            // The same content again only renews the fencing number.
            *followed = fencing;
            return false;
        }
        self.order = Some((fencing, load.clone()));
        self.phase = EnginePhase::Loading;
        self.load_end = end;
        // Only rank 0 waits for the others.
        self.joined = load.rank != 0 || load.members.len() <= 1;
        true
    }
}
