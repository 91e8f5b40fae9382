//! Network protocols. Each protocol is a state machine that consumes and produces bytes without any I/O. The drivers in
//! [`link`], [`session`] and [`watch`] do the reading and writing.

pub mod admin;
pub mod clock;
pub mod cluster;
pub mod discovery;
pub mod link;
pub mod nbd;
pub mod outbox;
pub mod raft;
pub mod read_buffer;
pub mod resp;
pub mod session;
pub mod sock_diag;
pub mod socket;
pub mod watch;
