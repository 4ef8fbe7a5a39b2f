//! Claims for calls that must not repeat, and assembly of streams.
