//! Membership datagrams on UDP.
