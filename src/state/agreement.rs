//! Replicates the shared part of the NBD configuration among a few brokers with Raft. Load and request state are never
//! replicated.
//!
//! The `raft` crate implements the consensus. This module drives it and persists its state. It opens no socket: the
//! caller passes and receives messages as values.

use bytes::Bytes;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Message};
use raft::storage::MemStorage;
use raft::{Config, RawNode, StateRole};
use std::path::PathBuf;

/// Number of ticks without a leader before an election.
const ELECTION_TICKS: usize = 10;
/// Number of ticks between heartbeats of the leader.
const HEARTBEAT_TICKS: usize = 2;
/// Number of ticks after which a proposed value that is not committed is proposed again.
const REPROPOSE_TICKS: usize = 20;
/// Maximum bytes of a record in the log file; a larger length means that the file is not a log of this program.
const MAX_RECORD_BYTES: u32 = 1 << 20;

/// Errors of the replication.
#[derive(Debug, thiserror::Error)]
pub enum AgreementError {
    /// The `raft` crate returned an error.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
    /// The log file could not be read or written.
    #[error("{path}: {error}")]
    Store {
        /// Path of the log file.
        path: String,
        /// The I/O error.
        error: std::io::Error,
    },
    /// The log file does not have the expected format.
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
}

/// The Raft state of one broker.
pub struct Agreement {
    node: RawNode<MemStorage>,
    storage: MemStorage,
    entries: Vec<Entry>,
    file: Option<PathBuf>,
    /// A value that is not committed yet, and the number of ticks until it is proposed again.
    proposal: Option<(Bytes, usize)>,
}

impl Agreement {
    /// Creates member `id` of `peers`. Its votes and log are stored in `file`, because a member that forgets its vote could
    /// vote twice in one term. Without a file, a member must not be started twice under the same id.
    pub fn new(id: u64, peers: &[u64], file: Option<PathBuf>) -> Result<Self, AgreementError> {
        let storage = MemStorage::new_with_conf_state(ConfState::from((peers.to_vec(), Vec::new())));
        let stored = file.as_ref().map_or(Ok(None), load)?;
        let mut entries = Vec::new();
        if let Some((state, log)) = stored {
            storage.wl().append(&log)?;
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
        Ok(Agreement { node, storage, entries, file, proposal: None })
    }

    /// Advances the Raft clock by one tick.
    pub fn tick(&mut self) {
        self.node.tick();
        self.repropose();
    }

    /// Handles a message from a peer. An invalid message is dropped, which has the same effect as a lost one.
    pub fn step(&mut self, message: Message) {
        if let Err(error) = self.node.step(message) {
            tracing::debug!(%error, "message of a peer dropped");
        }
    }

    /// Proposes a value, and repeats the proposal until the value is committed, because a proposal sent to a leader that
    /// has just failed is lost.
    pub fn propose(&mut self, value: Bytes) {
        self.proposal = Some((value, 0));
        self.repropose();
    }

    /// Returns whether this member leads and the log contains no value, only empty entries of leaders.
    pub fn leads_an_empty_log(&self) -> bool {
        self.node.raft.state == StateRole::Leader
            && self.entries.iter().all(|e| e.data.is_empty())
            && self.proposal.is_none()
    }

    /// Proposes the pending value if its wait is over and a leader is known.
    fn repropose(&mut self) {
        let Some((value, wait)) = &mut self.proposal else { return };
        *wait = wait.saturating_sub(1);
        let has_leader = self.node.raft.leader_id != raft::INVALID_ID;
        if *wait == 0 && has_leader && self.node.propose(Vec::new(), value.to_vec()).is_ok() {
            *wait = REPROPOSE_TICKS;
        }
    }

    /// Processes everything that the `raft` crate has ready. State that must survive a restart is written to the file
    /// before any message that depends on it is returned.
    pub fn turn(&mut self) -> Result<Turn, AgreementError> {
        let mut turn = Turn::default();
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            turn.messages.extend(ready.take_messages());
            collect_values(&mut turn.committed, ready.take_committed_entries());
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
                self.store()?;
            }
            turn.messages.extend(ready.take_persisted_messages());
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.storage.wl().mut_hard_state().set_commit(commit);
            }
            turn.messages.extend(light.take_messages());
            collect_values(&mut turn.committed, light.take_committed_entries());
            self.node.advance_apply();
        }
        if self.proposal.as_ref().is_some_and(|(value, _)| turn.committed.contains(value)) {
            self.proposal = None;
        }
        Ok(turn)
    }

    /// Writes the state and the log to a new file, then renames it over the previous one.
    fn store(&self) -> Result<(), AgreementError> {
        let Some(path) = &self.file else { return Ok(()) };
        let state = self.storage.rl().hard_state().clone();
        let mut bytes = Vec::new();
        let messages = std::iter::once(state.write_to_bytes())
            .chain(self.entries.iter().map(protobuf::Message::write_to_bytes));
        for message in messages {
            let message = message.map_err(|e| raft::Error::Store(raft::StorageError::Other(e.into())))?;
            bytes.extend((message.len() as u32).to_be_bytes());
            bytes.extend(message);
        }
        let new = path.with_extension("new");
        let write = || -> std::io::Result<()> {
            use std::io::Write;
            let mut file = std::fs::File::create(&new)?;
            file.write_all(&bytes)?;
            file.sync_all()?;
            std::fs::rename(&new, path)
        };
        write().map_err(|error| AgreementError::Store { path: path.display().to_string(), error })
    }
}

/// Appends entries to a log after removing all entries from the index of the first new one on.
fn append(log: &mut Vec<Entry>, new: &[Entry]) {
    if let Some(first) = new.first() {
        log.retain(|e| e.index < first.index);
        log.extend_from_slice(new);
    }
}

/// Adds the values of committed entries; empty entries and configuration changes carry none.
fn collect_values(committed: &mut Vec<Bytes>, entries: Vec<Entry>) {
    let values =
        entries.into_iter().filter(|e| e.get_entry_type() == EntryType::EntryNormal && !e.data.is_empty());
    committed.extend(values.map(|e| Bytes::from(e.data.to_vec())));
}

/// Reads the log file; `None` if it does not exist.
fn load(path: &PathBuf) -> Result<Option<(HardState, Vec<Entry>)>, AgreementError> {
    let name = path.display().to_string();
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(AgreementError::Store { path: name, error }),
    };
    let damaged = || AgreementError::Damaged(name.clone());
    let (mut state, mut log, mut rest) = (None, Vec::new(), &bytes[..]);
    while let Some((head, tail)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*head);
        if length > MAX_RECORD_BYTES || tail.len() < length as usize {
            return Err(damaged());
        }
        let (message, tail) = tail.split_at(length as usize);
        match state {
            None => state = Some(HardState::parse_from_bytes(message).map_err(|_| damaged())?),
            Some(_) => log.push(Entry::parse_from_bytes(message).map_err(|_| damaged())?),
        }
        rest = tail;
    }
    state.filter(|_| rest.is_empty()).map(|state| Some((state, log))).ok_or_else(damaged)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Runs some members for a number of ticks; messages to others are lost. Returns the values committed at each.
    fn run(members: &mut [(u64, Agreement)], ticks: usize) -> Vec<Vec<Bytes>> {
        let mut committed = vec![Vec::new(); members.len()];
        for _ in 0..ticks {
            members.iter_mut().for_each(|(_, a)| a.tick());
            loop {
                let mut messages = Vec::new();
                for (i, (_, member)) in members.iter_mut().enumerate() {
                    let turn = member.turn().unwrap();
                    messages.extend(turn.messages);
                    committed[i].extend(turn.committed);
                }
                if messages.is_empty() {
                    break;
                }
                for message in messages {
                    if let Some((_, to)) = members.iter_mut().find(|(id, _)| *id == message.to) {
                        to.step(message);
                    }
                }
            }
        }
        committed
    }

    #[test]
    fn a_majority_commits_and_a_restarted_member_catches_up_from_its_file() {
        let file = std::env::temp_dir().join(format!("claywinch-agreement-{}", std::process::id()));
        let _ = std::fs::remove_file(&file);
        let new = |id: u64| {
            let path = (id == 3).then(|| file.clone());
            (id, Agreement::new(id, &[1, 2, 3], path).unwrap())
        };
        let mut all: Vec<(u64, Agreement)> = (1..=3).map(new).collect();
        all[2].1.propose("one".into());
        assert_eq!(run(&mut all, 120), vec![vec![Bytes::from("one")]; 3]);
        drop(all.pop());
        all[0].1.propose("two".into());
        assert_eq!(run(&mut all, 120), vec![vec![Bytes::from("two")]; 2]);
        all.push(new(3));
        let committed = run(&mut all, 120);
        assert_eq!(committed[2], ["one", "two"], "the values from its file and the one that it missed");
        assert!(committed[0].is_empty() && committed[1].is_empty());
        let mut alone = all.split_off(2);
        alone[0].1.propose("three".into());
        assert_eq!(run(&mut alone, 120), [Vec::<Bytes>::new()], "one of three members commits nothing");
        std::fs::write(&file, b"\0\0\0\x09junk").unwrap();
        assert!(matches!(Agreement::new(3, &[1, 2, 3], Some(file.clone())), Err(AgreementError::Damaged(_))));
        std::fs::remove_file(file).unwrap();
    }
}
