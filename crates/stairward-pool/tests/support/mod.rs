//! Support code shared by the tests.

#![allow(dead_code)]

pub mod explorer;
pub mod pool_mirror;
