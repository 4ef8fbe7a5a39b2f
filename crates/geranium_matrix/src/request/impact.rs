//! What a fault does to the parts that a request passes.

use crate::Fault;

/// What happens to an entry host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EntryFault {
    /// Nothing.
    #[default]
    None,
    /// It stops and goes on later, unaware.
    Paused,
    /// It ends.
    Dies,
    /// It doesn't reach the platform's store.
    CutFromStore,
    /// It doesn't reach backend servers.
    CutFromBackends,
    /// Its peers take it for gone.
    CutFromPeers,
    /// It reaches nothing.
    CutOff,
}

/// What happens to the platform's store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// It doesn't answer.
    Down,
    /// It answers late.
    Slow,
    /// Writes take effect, but their answers are lost.
    AnswersLost,
    /// It has lost what was written last.
    Restored,
}

/// What happens to the backend server that works on the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendFault {
    /// Nothing.
    #[default]
    None,
    /// It dies.
    Dies,
    /// It stops and goes on later.
    Pauses,
    /// It is slow, and what it sends is late and out of order.
    Straggles,
    /// Each backend server that runs the request dies.
    CrashesEach,
}

/// What a set of faults does to the parts that a request passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Impact {
    /// The entry host that gets the request first.
    pub first: EntryFault,
    /// The entry host that gets the resend.
    pub second: EntryFault,
    /// The platform's store.
    pub store: StoreFault,
    /// The backend server that works on the request.
    pub backend: BackendFault,
}

impl Impact {
    /// Returns what faults do together, or why one has nothing to do with requests.
    ///
    /// # Errors
    ///
    /// Returns the reason if a fault does not touch a request.
    pub fn of(faults: &[Fault]) -> Result<Self, &'static str> {
        let mut impact = Self::default();
        for fault in faults {
            impact.add(*fault)?;
        }
        Ok(impact)
    }

    fn add(&mut self, fault: Fault) -> Result<(), &'static str> {
        match fault {
            Fault::Nothing => {}
            Fault::MemberDies | Fault::MemberReturns | Fault::FabricDark | Fault::WarmTurnsCold => {
                self.backend = BackendFault::Dies;
            }
            Fault::MemberPauses => self.backend = BackendFault::Pauses,
            Fault::MemberStraggles => self.backend = BackendFault::Straggles,
            Fault::RequestCrashes => self.backend = BackendFault::CrashesEach,
            Fault::LeaderCutFromPeers => self.first = EntryFault::CutFromPeers,
            Fault::LeaderCutFromStore => self.first = EntryFault::CutFromStore,
            Fault::LeaderCutFromEngines => self.first = EntryFault::CutFromBackends,
            Fault::LeaderCutOff => self.first = EntryFault::CutOff,
            Fault::LeaderPaused => self.first = EntryFault::Paused,
            Fault::LeaderDies => self.first = EntryFault::Dies,
            Fault::FollowerCutOff => self.second = EntryFault::CutOff,
            Fault::MemberCutFromFollowers => self.second = EntryFault::CutFromBackends,
            Fault::DomainCutFromStore => self.store = StoreFault::Down,
            Fault::StoreSlow => self.store = StoreFault::Slow,
            Fault::AnswersLost => self.store = StoreFault::AnswersLost,
            Fault::StoreRestored => self.store = StoreFault::Restored,
            Fault::EntryHostsReplaced => {
                self.first = EntryFault::Dies;
                self.second = EntryFault::Dies;
                self.store = StoreFault::Down;
            }
            Fault::OrdersLate | Fault::OrdersLost | Fault::TwoLeaders => {
                return Err("requests send no orders and have no leader");
            }
            Fault::OperatorsRace => return Err("requests change no record"),
        }
        Ok(())
    }
}
