//! A broker for shared storage nodes: it takes clients' requests, decides when and where each goes, and
//! owes each exactly one final answer.
//!
//! Every decision is in [`rules`], whose types are in [`interface`]; it does no I/O. Around it:
//! [`wire`] is what is spoken, [`state`] what is kept in memory, [`run`] starts and stops it all.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod interface;
pub mod rules;
pub mod run;
pub mod state;
pub mod wire;

/// Keeps the example of the README compiling.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
