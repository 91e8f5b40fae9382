//! Start and stop: what the environment says, limits, signals, exit.

pub mod catalogue;
pub mod clock;
pub mod config;
pub mod fleet;
pub mod limits;
pub mod nbd;
pub mod peers;
pub mod settings;
pub mod start;
