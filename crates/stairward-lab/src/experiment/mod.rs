//! Measurements that the capacity and benchmark pages rest on.

pub mod idle;
