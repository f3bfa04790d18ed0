//! Measurements that the capacity and benchmark pages rest on.

pub mod bench;
pub mod closed_loop;
pub mod idle;
pub mod sweep;
