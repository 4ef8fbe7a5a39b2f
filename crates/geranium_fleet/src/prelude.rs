//! The most commonly used types of this crate.

pub use crate::admission::{
    AdmissionLimits, AdmissionQuery, Admissions, ModelAdmission, PrioritySet,
};
pub use crate::capacity::{DemandShares, ModelDemand, ModelLoad, RequestMix};
pub use crate::crash::{CrashSubject, CrashTracker};
pub use crate::demand::{DemandMeter, DemandSum, ModelRequests};
pub use crate::deployment::{Account, ClientLimits, Deployment};
pub use crate::directory::Directory;
pub use crate::dispatch::{
    CandidateCounts, Choice, ColdLimit, DispatchCriteria, Dispatcher, NoHost,
};
pub use crate::engine_profile::{EngineProfile, ModelProfile};
pub use crate::evidence::Evidence;
pub use crate::first_token::FirstTokenEstimate;
pub use crate::first_token_delay::FirstTokenDelay;
pub use crate::forward_targets::{ForwardTarget, ForwardTargets};
pub use crate::hidden_work::HiddenWork;
pub use crate::host::{GroupState, Host, HostId, HostReport, HostState, Membership};
pub use crate::known_group::KnownGroup;
pub use crate::notice::{LimitNotice, ServerNotice};
pub use crate::order::{HostOrder, OrderAnswer, OrderKind, OrderReply};
pub use crate::planner::{GroupPlanner, ModelSupply, PlannerSettings};
pub use crate::prompt_parts::{PartId, PromptParts};
pub use crate::rate_limiter::RateLimiter;
pub use crate::reach::BackendReach;
pub use crate::report_effect::ReportEffect;
pub use crate::route::{Route, RouteKind, Target};
pub use crate::route_table::RouteTable;
pub use crate::server_limit::{LimitReport, ServerLimits};
pub use crate::service::Service;
pub use crate::silence::SilenceThresholds;
