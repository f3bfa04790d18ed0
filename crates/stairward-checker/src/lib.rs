//! Recorded histories and one checker per invariant.

#![forbid(unsafe_code)]
