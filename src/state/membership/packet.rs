//! The messages of brokers to one another.

use super::council::Roll;
use super::cut::Down;
use super::delta::Delta;
use super::snapshot::Page;
use super::Name;
use crate::interface::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A probe, with the time at which it was sent by the sender's clock.
    Probe(Time),
    /// The answer to the probe that was sent at that time.
    Ack(Time),
    /// Requests what has followed the view of that number: as deltas, or as a snapshot of a later view if the flag is set.
    Ask(u64, bool),
    /// Consecutive deltas of committed views. Without any, the message only announces the sender's view.
    Changes(Vec<Arc<Delta>>),
    /// A page of a snapshot.
    Page(Page),
    /// Requests these pages of the snapshot of the view with that number.
    Fetch(u64, Vec<u16>),
    /// Requests membership. The sender knows the view of that number, and may hold that seat from an earlier life.
    Join(u64, Option<u64>),
    /// Announces that the sender leaves the cluster.
    Leave,
    /// The members observed by the sender that do not answer it.
    Down(Down),
    /// Requests a lease, with the time by the sender's clock and the number of the view that it knows.
    Renew(Time, u64),
    /// A voter's part in a lease.
    Grant(Grant),
    /// An operator's call that takes a node out of use or returns it. The packet's view is the one that the call was made
    /// against.
    Drain(String, bool),
    /// A message of the consensus.
    Raft(Vec<u8>),
    /// A founder's state: whether it has founded the cluster, and the lives (by address) that it counted on.
    Founder(bool, Roll),
}

/// A voter's part in a lease. The voter's log contains nothing that takes a node out of use beyond the view of that number,
/// these deltas, and the calls for these nodes that may not be committed yet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The time of the request.
    pub at: Time,
    /// The number of the view that the requester knows.
    pub number: u64,
    /// The voter's seat.
    pub seat: u64,
    /// The deltas committed since that view.
    pub changes: Vec<Arc<Delta>>,
    /// The nodes that calls in the log take out of use and that may not be committed yet.
    pub pending: BTreeSet<String>,
}

/// A message, with the sender's identity and the last view that it knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The cluster's name.
    pub cluster: String,
    /// The sender's name.
    pub from: Name,
    /// The sender's address.
    pub address: String,
    /// The sender's life: a number drawn at each start.
    pub life: u64,
    /// The sender's incarnation; 0 while it belongs to no view.
    pub incarnation: u64,
    /// The number of the last view that the sender knows.
    pub view: u64,
    /// The content.
    pub body: Body,
}
