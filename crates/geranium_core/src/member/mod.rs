//! Entry hosts that know of each other, and failure detection.
