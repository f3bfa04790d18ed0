//! Session state, floors, tokens and statement classes.

#![forbid(unsafe_code)]
