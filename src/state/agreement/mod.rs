//! Replicates the shared part of the NBD configuration among a few brokers with Raft. Load and request state are never
//! replicated.
//!
//! The `raft` crate implements the consensus. This module drives it and persists its state. It opens no socket: the
//! caller passes and receives messages as values.
//!
//! Each value is a whole configuration, so one that was made without knowledge of the last one would undo it. A change
//! therefore says which revision it was made against ([`change`]), and a leader appends only those made against the last
//! one of its log. A member proposes its change until it is committed or until another one is committed in its place
//! ([`pending`]), also after a restart ([`store`]).

pub mod change;
pub mod pending;
mod store;

use bytes::Bytes;
use change::{admission, holds_value, revision, Admission, Change, Revision};
use pending::{Outcome, Pending, Verdict};
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, Message, MessageType};
use raft::storage::MemStorage;
use raft::{Config, RawNode, StateRole};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use store::Store;

/// Number of ticks without a leader before an election.
const ELECTION_TICKS: usize = 10;
/// Number of ticks between heartbeats of the leader.
const HEARTBEAT_TICKS: usize = 2;
/// Number of ticks after which a proposed value that is not committed is proposed again.
const REPROPOSE_TICKS: usize = 20;
/// Number of a field that each message has beside those of the `raft` crate: the version of the rules by which its sender
/// handles proposals. A build from before there were revisions sends none, and ignores it.
const PROPOSAL_RULES_FIELD: u32 = 1_000;
/// The version of the rules described above.
const PROPOSAL_RULES: u64 = 1;

/// Errors of the replication.
#[derive(Debug, thiserror::Error)]
pub enum AgreementError {
    /// The `raft` crate returned an error.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
    /// A file could not be read or written.
    #[error("{path}: {error}")]
    Store {
        /// Path of the file.
        path: String,
        /// The I/O error.
        error: std::io::Error,
    },
    /// A file does not have the expected format.
    #[error("{0}: not a log of this program")]
    Damaged(String),
}

/// The result of [`Agreement::turn`].
#[derive(Debug, Default)]
pub struct Turn {
    /// Messages to send to peers.
    pub messages: Vec<Message>,
    /// Newly committed values, in log order.
    pub committed: Vec<Bytes>,
    /// What became of changes of this member.
    pub outcomes: Vec<Outcome>,
}

/// What a member knows of the agreement, for operators.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Id of the member.
    pub peer: u64,
    /// The leader, if one is known.
    pub leader: Option<u64>,
    /// Revision of the last committed configuration.
    pub revision: Revision,
    /// The revision that the pending change was made against, if there is a pending change.
    pub pending: Option<Revision>,
    /// What became of the last change of this member since its start.
    pub last_change: Option<Outcome>,
}

/// The Raft state of one broker.
pub struct Agreement {
    id: u64,
    node: RawNode<MemStorage>,
    storage: MemStorage,
    entries: Vec<Entry>,
    store: Option<Store>,
    /// Revision of the last committed configuration.
    revision: Revision,
    /// Number of the last change that this member made.
    last_number: u64,
    pending: Option<Pending>,
    /// Whether the pending change differs from the one in the store.
    pending_changed: bool,
    /// Number of ticks until the pending change is proposed again, and the leader and term to which it was proposed.
    wait: usize,
    proposed_to: (u64, u64),
    last_outcome: Option<Outcome>,
    /// By peer, whether its last message says that it follows [`PROPOSAL_RULES`].
    peers: BTreeMap<u64, bool>,
    /// By peer, the checksum of the last proposal that was refused for lack of a base.
    refused: BTreeMap<u64, u32>,
    /// Whether it was logged that the pending change waits for a leader that checks revisions.
    waiting_logged: bool,
}

impl Agreement {
    /// Creates member `id` of `peers`. Its votes and log are stored in `file`, because a member that forgets its vote could
    /// vote twice in one term, and its pending change beside it. Without a file, a member must not be started twice under
    /// the same id.
    pub fn new(id: u64, peers: &[u64], file: Option<PathBuf>) -> Result<Self, AgreementError> {
        let storage = MemStorage::new_with_conf_state(ConfState::from((peers.to_vec(), Vec::new())));
        let store = file.map(Store::new);
        let stored = store.as_ref().map_or(Ok(None), Store::load_log)?;
        let pending = store.as_ref().map_or(Ok(None), Store::load_pending)?;
        let (mut entries, mut committed) = (Vec::new(), 0);
        if let Some((state, log)) = stored {
            storage.wl().append(&log)?;
            committed = state.commit;
            storage.wl().set_hardstate(state);
            entries = log;
        }
        let config = Config {
            id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            check_quorum: true,
            pre_vote: true,
            max_size_per_msg: 1 << 20,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, storage.clone(), &logger)?;
        let values = || entries.iter().filter(|e| holds_value(e));
        let revision = values().filter(|e| e.index <= committed).map(revision).max().unwrap_or(0);
        let own_changes = values().filter_map(Change::of).chain(pending.as_ref().map(|p| p.change));
        let last_number =
            own_changes.filter(|change| change.proposer == id).map(|change| change.number).max().unwrap_or(0);
        Ok(Agreement {
            id,
            node,
            storage,
            store,
            revision,
            last_number,
            entries,
            pending,
            pending_changed: false,
            wait: 0,
            proposed_to: (raft::INVALID_ID, 0),
            last_outcome: None,
            peers: peers.iter().filter(|peer| **peer != id).map(|peer| (*peer, false)).collect(),
            refused: BTreeMap::new(),
            waiting_logged: false,
        })
    }

    /// Advances the Raft clock by one tick.
    pub fn tick(&mut self) {
        self.node.tick();
        self.wait = self.wait.saturating_sub(1);
    }

    /// Handles a message from a peer. An invalid message is dropped, which has the same effect as a lost one.
    pub fn step(&mut self, message: Message) {
        if let Some(follows_rules) = self.peers.get_mut(&message.from) {
            let version = message.get_unknown_fields().get(PROPOSAL_RULES_FIELD);
            *follows_rules = version.is_some_and(|values| values.varint.contains(&PROPOSAL_RULES));
        }
        if message.get_msg_type() == MessageType::MsgPropose && !self.admits(&message) {
            return;
        }
        if let Err(error) = self.node.step(message) {
            tracing::debug!(%error, "message of a peer dropped");
        }
    }

    /// Proposes a value in place of any value that this member has proposed before and that is not committed yet. The
    /// proposal is repeated until the value is committed or another change is, because a proposal sent to a leader that
    /// has just failed is lost.
    pub fn propose(&mut self, value: Bytes) {
        self.last_number += 1;
        let (proposer, number, base) = (self.id, self.last_number, self.revision);
        let change = Change { proposer, number, base, initial: false };
        tracing::info!(made_against = base, "change of the configuration pending");
        self.set_pending(Some(Pending { change, value }));
    }

    /// Proposes the value that a new log begins with, if this member leads and its log holds none.
    pub fn propose_initial(&mut self, value: &Bytes) {
        if self.leads() && self.last_value().is_none() && self.pending.is_none() {
            let change = Change { proposer: self.id, number: 0, base: 0, initial: true };
            if let Err(error) = self.node.propose(change.encode(), value.to_vec()) {
                tracing::debug!(%error, "initial configuration not proposed");
            }
        }
    }

    /// Returns what this member knows of the agreement.
    pub fn status(&self) -> Status {
        Status {
            peer: self.id,
            leader: Some(self.node.raft.leader_id).filter(|id| *id != raft::INVALID_ID),
            revision: self.revision,
            pending: self.pending.as_ref().map(|pending| pending.change.base),
            last_change: self.last_outcome,
        }
    }

    fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Returns the last entry of the log that holds a configuration, committed or not.
    fn last_value(&self) -> Option<&Entry> {
        let unstable = &self.node.raft.raft_log.unstable;
        let stable = self.entries.iter().rev().find(|e| e.index < unstable.offset && holds_value(e));
        unstable.entries.iter().rev().find(|e| holds_value(e)).or(stable)
    }

    /// Decides as leader whether a peer's proposal is appended. Other members drop it: its proposer repeats it, and it must
    /// not get to a leader that checks nothing.
    fn admits(&mut self, message: &Message) -> bool {
        let [proposed] = message.entries.as_ref() else { return false };
        if !self.leads() {
            return false;
        }
        match admission(self.last_value(), proposed) {
            Admission::Accepted => true,
            Admission::Outdated(change) => {
                let last = self.last_value().map_or(0, revision);
                let made_against = change.base;
                tracing::debug!(peer = message.from, made_against, last, "outdated change dropped");
                false
            }
            Admission::Unversioned => {
                let checksum = crc32c::crc32c(&proposed.data);
                let known = self.peers.contains_key(&message.from);
                if known && self.refused.insert(message.from, checksum) != Some(checksum) {
                    tracing::warn!(
                        peer = message.from,
                        "change of the configuration refused: the build of that peer does not say what it was made against"
                    );
                }
                false
            }
        }
    }

    fn set_pending(&mut self, pending: Option<Pending>) {
        self.pending = pending;
        self.pending_changed = true;
        self.waiting_logged = false;
        self.wait = 0;
    }

    /// Proposes the pending change if its wait is over or the leader is another one than it was proposed to.
    fn repropose(&mut self) {
        let Some(pending) = &self.pending else { return };
        let leader = self.node.raft.leader_id;
        let to = (leader, self.node.raft.term);
        if leader == raft::INVALID_ID || (self.wait > 0 && self.proposed_to == to) {
            return;
        }
        (self.wait, self.proposed_to) = (REPROPOSE_TICKS, to);
        let made_against = pending.change.base;
        if self.leads() {
            if made_against != self.last_value().map_or(0, revision) {
                return;
            }
        } else if !self.peers.get(&leader).copied().unwrap_or(false) {
            if !std::mem::replace(&mut self.waiting_logged, true) {
                tracing::warn!(
                    made_against,
                    leader,
                    "change of the configuration waits: the build of the leader does not check what it was made against"
                );
            }
            return;
        }
        match self.node.propose(pending.change.encode(), pending.value.to_vec()) {
            Ok(()) => tracing::info!(made_against, leader, "change of the configuration proposed"),
            Err(error) => tracing::debug!(%error, "change of the configuration not proposed"),
        }
    }

    /// Processes everything that the `raft` crate has ready. State that must survive a restart is written to the files
    /// before any message that depends on it is returned.
    pub fn turn(&mut self) -> Result<Turn, AgreementError> {
        self.save_pending()?;
        self.repropose();
        let mut turn = Turn::default();
        let mut committed = Vec::new();
        let mut commit_moved = false;
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            turn.messages.extend(ready.take_messages());
            committed.extend(ready.take_committed_entries());
            let mut changed = false;
            if !ready.entries().is_empty() {
                self.storage.wl().append(ready.entries())?;
                append(&mut self.entries, ready.entries());
                changed = true;
            }
            if let Some(state) = ready.hs() {
                self.storage.wl().set_hardstate(state.clone());
                changed = true;
            }
            if changed {
                self.save_log()?;
            }
            turn.messages.extend(ready.take_persisted_messages());
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.storage.wl().mut_hard_state().set_commit(commit);
                commit_moved = true;
            }
            turn.messages.extend(light.take_messages());
            committed.extend(light.take_committed_entries());
            self.node.advance_apply();
        }
        if commit_moved {
            self.save_log()?;
        }
        for entry in committed.iter().filter(|e| holds_value(e)) {
            turn.committed.push(entry.data.clone());
            turn.outcomes.extend(self.apply(entry));
        }
        self.save_pending()?;
        for message in &mut turn.messages {
            message.mut_unknown_fields().add_varint(PROPOSAL_RULES_FIELD, PROPOSAL_RULES);
        }
        Ok(turn)
    }

    /// Applies a committed entry that holds a configuration. Returns what became of the pending change, if it decides that.
    fn apply(&mut self, entry: &Entry) -> Option<Outcome> {
        self.revision = self.revision.max(revision(entry));
        let pending = self.pending.as_mut()?;
        match pending.apply(entry) {
            Verdict::Open => None,
            Verdict::Rebased => {
                (self.pending_changed, self.wait) = (true, 0);
                None
            }
            Verdict::Decided(outcome) => {
                self.set_pending(None);
                self.last_outcome = Some(outcome);
                Some(outcome)
            }
        }
    }

    fn save_log(&self) -> Result<(), AgreementError> {
        let Some(store) = &self.store else { return Ok(()) };
        let state = self.storage.rl().hard_state().clone();
        store.save_log(&state, &self.entries)
    }

    /// Writes the pending change to its file if it has changed.
    fn save_pending(&mut self) -> Result<(), AgreementError> {
        if std::mem::take(&mut self.pending_changed) {
            if let Some(store) = &self.store {
                store.save_pending(self.pending.as_ref())?;
            }
        }
        Ok(())
    }
}

/// Appends entries to a log after removing all entries from the index of the first new one on.
fn append(log: &mut Vec<Entry>, new: &[Entry]) {
    if let Some(first) = new.first() {
        log.retain(|e| e.index < first.index);
        log.extend_from_slice(new);
    }
}

#[cfg(test)]
mod tests;
