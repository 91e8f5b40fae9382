//! A broker for shared storage nodes: it accepts requests of clients, decides when and to which node each is sent,
//! and gives each request exactly one final answer.
//!
//! [`rules`] makes every scheduling decision and does no I/O; its input and output types are in [`interface`].
//! [`wire`] implements the network protocols, [`state`] holds the in-memory state, and [`run`] starts and stops the
//! process.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod interface;
pub mod rules;
pub mod run;
pub mod state;
pub mod wire;

/// Compiles the example in the README as a documentation test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
