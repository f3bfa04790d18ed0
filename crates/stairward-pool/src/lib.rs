//! Connections, slots, shares, leases, admission and the acknowledgement fence of a back end.

#![forbid(unsafe_code)]
