//! The most commonly used types of this crate.

pub use crate::collections::{HashMap, HashSet};
pub use crate::engine::{
    Assignment, EnginePhase, EngineReport, HostEntry, HostState, LoadOrder, Member, Order,
    OrderAction,
};
pub use crate::event::{EventDraft, EventKind, EventOutbox, EventSubject};
pub use crate::id::{
    AccountId, FabricDomainId, FailureDomainId, FencingNumber, GroupId, HostId, Incarnation,
    ModelId, RecordName, RequestId, StoreRevision,
};
pub use crate::time::Timestamp;
