//! Admission per client account, cold-start budget, retry budget and deadlines.
