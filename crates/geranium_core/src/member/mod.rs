//! Membership of entry hosts and failure detection.
//!
//! Hosts of one failure domain exchange heartbeats in a full mesh. Between failure
//! domains, one or two representatives exchange summaries and distribute them
//! inside their domain. [`Membership`] implements both.

mod config;
mod contact;
mod crash_table;
mod delta;
mod domain_table;
mod duty;
mod effect;
mod heartbeat;
mod in_force;
mod incoming;
mod local_summary;
mod membership;
mod outgoing;
mod peer;
mod report_table;
mod shared;
mod timing;
mod uptime;

pub use config::MemberConfig;
pub use domain_table::DomainTable;
pub use duty::{
    OBSERVERS_PER_SERVER, REPRESENTATIVES, WATCHERS_PER_DOMAIN, budget_holder, observers, ranked,
    representatives, watchers,
};
pub use effect::MemberEffect;
pub use heartbeat::{
    ConfigStatus, DomainSummary, GroupSummary, Heartbeat, MemberInfo, MemberStatus, SharedDelta,
    SharedReport,
};
pub use in_force::InForceReport;
pub use membership::Membership;
pub use peer::PeerState;
pub use report_table::{ReportEntry, ReportTable};
pub use timing::MemberTiming;
