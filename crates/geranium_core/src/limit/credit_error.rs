//! Reasons for which the holder refuses a request for cold credits.

use quick_error::quick_error;

use crate::id::{GroupId, HostId};
use crate::time::Timestamp;

quick_error! {
    /// Reason for refusing a request for credits.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CreditRefusal {
        /// This host has no authority to grant credits.
        NotHolder {
            display("this host has no authority to grant cold credits")
        }
        /// The holder waits until the credits of an earlier holder have expired.
        Waiting(until: Timestamp) {
            display("the holder grants no cold credits until {}", until)
        }
        /// The holder does not know the group.
        UnknownGroup(group: GroupId) {
            display("group {:?} is unknown to the holder of cold credits", group.as_str())
        }
        /// The user and the holder know different generations of the group.
        OtherGeneration(group: GroupId, asked: u64, known: u64) {
            display("group {:?} is at generation {}, not {}", group.as_str(), known, asked)
        }
        /// The same or a later request of the user was already answered.
        StaleRequest(user: HostId, sequence: u64) {
            display("credit request {} of host {:?} is stale", sequence, user.as_str())
        }
    }
}
