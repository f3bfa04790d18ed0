//! The stairward command line.

#![forbid(unsafe_code)]

fn main() {}
