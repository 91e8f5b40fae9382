//! Stand-ins, load and experiments for claywinch. Everything stays on loopback, is bounded in count and
//! time, and draws from fixed seeds.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod address;
pub mod broker;
pub mod chart;
pub mod client;
pub mod detectors;
pub mod disk;
pub mod experiment;
pub mod fleet;
pub mod layout;
pub mod load;
pub mod meter;
pub mod nbd;
pub mod rig;
pub mod scale;
pub mod simulated;
pub mod size;
pub mod slopes;
pub mod truth;
