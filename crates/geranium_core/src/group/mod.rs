//! Replica groups: formation, membership, fencing numbers and repair.

mod serving;

pub use serving::{ServingGroup, Temperature};
