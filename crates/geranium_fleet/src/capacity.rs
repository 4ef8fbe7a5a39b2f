//! Shares of the models of a service, by the demand over all entry hosts.
//!
//! The input is what every entry host knows: the requests that all of them run at each group,
//! and the mix of requests that it sees itself. A new manager therefore reaches the same shares
//! as the one before it, within seconds.
//!
//! The expected rate of arrivals follows from the requests at the groups of a model and the mean
//! time that one stays there. A model needs as many hosts as let each group run no more requests
//! than meet the tightest objective of the model's routes.

mod model_demand;
mod model_load;
mod request_mix;
mod shares;

pub use model_demand::ModelDemand;
pub use model_load::ModelLoad;
pub use request_mix::RequestMix;
pub use shares::DemandShares;
