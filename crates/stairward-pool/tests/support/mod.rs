//! What several tests share.

#![allow(dead_code)]

pub mod explorer;
pub mod pool_mirror;
