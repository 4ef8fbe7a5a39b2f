//! Choice of a replica group for a request.
