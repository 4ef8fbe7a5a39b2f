//! Admission per client account, cold-start budget, retry budget, memory and deadlines.
//!
//! | type | purpose |
//! | --- | --- |
//! | [`Admission`] | shares the capacity for one model fairly among client accounts |
//! | [`ColdBudgetHolder`] | grants the credits of cold groups, on one host at a time |
//! | [`ColdCreditUser`] | spends the credits of one entry host |
//! | [`RetryBudget`] | limits retries and hedges to a fraction of original requests |
//! | [`CrashRegistry`] | identifies requests that crash backend servers |
//! | [`ByteBudget`] | limits the memory of answers that callers have not taken |
//! | [`TrialHolder`] | allows one suspect request at a time on each group |

mod account_queue;
mod account_shares;
mod admission;
mod admission_change;
mod admission_error;
mod admission_outcome;
mod admission_request;
mod admission_settings;
mod authority;
mod backoff;
mod byte_budget;
mod cold_group;
mod cold_holder;
mod cold_message;
mod cold_settings;
mod cold_user;
mod crash;
mod crash_digest;
mod credit_error;
mod drain;
mod fingerprint;
mod retry_budget;
mod ticket;
mod trial;

pub use account_queue::AccountLimit;
pub use admission::Admission;
pub use admission_change::AdmissionChange;
pub use admission_error::AdmissionRefusal;
pub use admission_outcome::AdmissionOutcome;
pub use admission_request::AdmissionRequest;
pub use admission_settings::AdmissionSettings;
pub use authority::HolderAuthority;
pub use backoff::RetryBackoff;
pub use byte_budget::ByteBudget;
pub use cold_holder::ColdBudgetHolder;
pub use cold_message::{CreditGrant, CreditRequest};
pub use cold_settings::ColdSettings;
pub use cold_user::{ColdCreditUser, ColdOutcome, ExpiredCredit};
pub use crash::{CrashRegistry, CrashSettings, CrashVerdict};
pub use crash_digest::{ChargeState, CrashDigest, CrashId, ExplainedCrash, SuspicionEntry};
pub use credit_error::CreditRefusal;
pub use fingerprint::RequestFingerprint;
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
pub use ticket::{RefusedTicket, StartedTicket, Ticket};
pub use trial::{TrialGrant, TrialHolder, TrialRefusal, TrialRequest};
