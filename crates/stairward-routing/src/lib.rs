//! Which back end may answer a request: freshness, retries, hold queue.

#![forbid(unsafe_code)]
