//! Start and stop of a process: configuration from the environment, resource limits, signals and exit.

pub mod active_settings;
pub mod catalogue;
pub mod cluster;
pub mod commands;
pub mod config;
pub mod error;
pub mod folder;
pub mod front;
pub mod handover;
pub mod limits;
pub mod listen;
pub mod logging;
pub mod nbd;
pub mod nbd_file;
pub mod passed;
pub mod peers;
pub mod planner_driver;
pub mod reload;
pub mod settings;
pub mod socket_age;
pub mod start;
pub mod stop;
pub mod voter;
