//! Stand-ins for the database groups and for the platform's store, with faults.

#![forbid(unsafe_code)]
