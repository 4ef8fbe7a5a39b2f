//! Replica groups: formation, membership, fencing numbers and repair.
