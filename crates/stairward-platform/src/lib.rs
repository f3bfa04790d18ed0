//! Client of the platform's object store.

#![forbid(unsafe_code)]
