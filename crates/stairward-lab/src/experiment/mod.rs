//! Measurements that the capacity and benchmark pages rest on.

pub mod closed_loop;
pub mod idle;
