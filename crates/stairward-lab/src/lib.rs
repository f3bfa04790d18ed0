//! Site emulator, load, experiments, simulation and reports.

#![forbid(unsafe_code)]
