//! Refusals of the holder of cold credits.

use quick_error::quick_error;

use crate::id::{GroupId, HostId};
use crate::time::Timestamp;

quick_error! {
    /// Why a request for credits gets no answer with credits.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CreditRefusal {
        /// This host does not hand out credits.
        NotHolder {
            display("this host does not hand out cold credits")
        }
        /// The holder waits until the credits of an earlier holder have expired.
        Waiting(until: Timestamp) {
            display("the holder hands out no cold credits until {}", until)
        }
        /// The holder does not know the group.
        UnknownGroup(group: GroupId) {
            display("group {:?} is not known to the holder of cold credits", group.as_str())
        }
        /// The user knows another generation of the group than the holder.
        OtherGeneration(group: GroupId, asked: u64, known: u64) {
            display("group {:?} is at generation {}, not {}", group.as_str(), known, asked)
        }
        /// A later request of the same user was answered before.
        StaleRequest(user: HostId, sequence: u64) {
            display("credit request {} of host {:?} is stale", sequence, user.as_str())
        }
    }
}
