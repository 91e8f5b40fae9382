//! What a few instances agree on by Raft: the shared part of the NBD configuration, never load or request
//! state. The consensus is the `raft` crate's; here its turns are driven and what must be kept is kept.
//! Knows no socket: messages come and go as values.

use bytes::Bytes;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Message};
use raft::storage::MemStorage;
use raft::{Config, RawNode, StateRole};
use std::path::PathBuf;

/// Ticks without a leader before an election.
const ELECTION_TICKS: usize = 10;
/// Ticks between a leader's heartbeats.
const HEARTBEAT_TICKS: usize = 2;
/// Ticks after which a value that was put forward and not agreed on is put forward again.
const PRESS_TICKS: usize = 20;
/// Most bytes of an entry in a file: a guard against one that is something else.
const MOST_KEPT: u32 = 1 << 20;

/// What kept agreement from going on.
#[derive(Debug, thiserror::Error)]
pub enum AgreementError {
    /// The consensus refused.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
    /// What must outlive a restart could not be kept.
    #[error("{path}: {error}")]
    Store {
        /// The file.
        path: String,
        /// What writing or reading it said.
        error: std::io::Error,
    },
    /// What was kept cannot be read.
    #[error("{0}: not a log of this program")]
    Damaged(String),
}

/// What a turn brought.
#[derive(Debug, Default)]
pub struct Turn {
    /// Messages for peers.
    pub messages: Vec<Message>,
    /// Values agreed on, in their order.
    pub agreed: Vec<Bytes>,
}

/// One instance's part in the agreement.
pub struct Agreement {
    node: RawNode<MemStorage>,
    storage: MemStorage,
    entries: Vec<Entry>,
    file: Option<PathBuf>,
    /// A value that has not been agreed on yet, and the ticks until it is put forward again.
    wish: Option<(Bytes, usize)>,
}

impl Agreement {
    /// Instance `id` of `peers`. What it has promised and seen is kept in `file`: an instance that forgot
    /// its vote could give a second one. Without a file it must not be started twice under one number.
    pub fn new(id: u64, peers: &[u64], file: Option<PathBuf>) -> Result<Self, AgreementError> {
        let storage = MemStorage::new_with_conf_state(ConfState::from((peers.to_vec(), Vec::new())));
        let kept = file.as_ref().map_or(Ok(None), load)?;
        let mut entries = Vec::new();
        if let Some((state, log)) = kept {
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
        Ok(Agreement { node, storage, entries, file, wish: None })
    }

    /// Lets a tick of time pass.
    pub fn tick(&mut self) {
        self.node.tick();
        self.repropose();
    }

    /// Takes a message of a peer. One that makes no sense here is dropped, as one lost on the way would be.
    pub fn step(&mut self, message: Message) {
        if let Err(error) = self.node.step(message) {
            tracing::debug!(%error, "message of a peer dropped");
        }
    }

    /// Wishes a value to be agreed on. It is put forward until it is: what goes to a leader that has just
    /// gone is lost.
    pub fn propose(&mut self, value: Bytes) {
        self.wish = Some((value, 0));
        self.repropose();
    }

    /// Whether this instance leads and nothing has ever been put into the log but the leader's empty entry.
    pub fn leads_an_empty_log(&self) -> bool {
        self.node.raft.state == StateRole::Leader
            && self.entries.iter().all(|e| e.data.is_empty())
            && self.wish.is_none()
    }

    fn repropose(&mut self) {
        let Some((value, wait)) = &mut self.wish else { return };
        *wait = wait.saturating_sub(1);
        let led = self.node.raft.leader_id != raft::INVALID_ID;
        if *wait == 0 && led && self.node.propose(Vec::new(), value.to_vec()).is_ok() {
            *wait = PRESS_TICKS;
        }
    }

    /// Takes what the consensus has ready. What must outlive a restart is kept before any message goes out
    /// that relies on it.
    pub fn turn(&mut self) -> Result<Turn, AgreementError> {
        let mut turn = Turn::default();
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            turn.messages.extend(ready.take_messages());
            take(&mut turn.agreed, ready.take_committed_entries());
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
                self.keep()?;
            }
            turn.messages.extend(ready.take_persisted_messages());
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.storage.wl().mut_hard_state().set_commit(commit);
            }
            turn.messages.extend(light.take_messages());
            take(&mut turn.agreed, light.take_committed_entries());
            self.node.advance_apply();
        }
        if self.wish.as_ref().is_some_and(|(value, _)| turn.agreed.contains(value)) {
            self.wish = None;
        }
        Ok(turn)
    }

    /// Writes state and log to a new file and puts it in the place of the last.
    fn keep(&self) -> Result<(), AgreementError> {
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

/// Adds entries to a log, in place of what it has from the first one's index on.
fn append(log: &mut Vec<Entry>, new: &[Entry]) {
    if let Some(first) = new.first() {
        log.retain(|e| e.index < first.index);
        log.extend_from_slice(new);
    }
}

fn take(agreed: &mut Vec<Bytes>, entries: Vec<Entry>) {
    let values =
        entries.into_iter().filter(|e| e.get_entry_type() == EntryType::EntryNormal && !e.data.is_empty());
    agreed.extend(values.map(|e| Bytes::from(e.data.to_vec())));
}

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
        if length > MOST_KEPT || tail.len() < length as usize {
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

    /// Lets time pass for some instances; messages to others are lost. Gives what each agreed on.
    fn pass(instances: &mut [(u64, Agreement)], ticks: usize) -> Vec<Vec<Bytes>> {
        let mut agreed = vec![Vec::new(); instances.len()];
        for _ in 0..ticks {
            instances.iter_mut().for_each(|(_, a)| a.tick());
            loop {
                let mut messages = Vec::new();
                for (i, (_, instance)) in instances.iter_mut().enumerate() {
                    let turn = instance.turn().unwrap();
                    messages.extend(turn.messages);
                    agreed[i].extend(turn.agreed);
                }
                if messages.is_empty() {
                    break;
                }
                for message in messages {
                    if let Some((_, to)) = instances.iter_mut().find(|(id, _)| *id == message.to) {
                        to.step(message);
                    }
                }
            }
        }
        agreed
    }

    #[test]
    fn a_majority_agrees_and_one_that_was_away_catches_up_from_what_it_kept() {
        let file = std::env::temp_dir().join(format!("claywinch-agreement-{}", std::process::id()));
        let _ = std::fs::remove_file(&file);
        let new = |id: u64| {
            let kept = (id == 3).then(|| file.clone());
            (id, Agreement::new(id, &[1, 2, 3], kept).unwrap())
        };
        let mut all: Vec<(u64, Agreement)> = (1..=3).map(new).collect();
        all[2].1.propose("one".into());
        assert_eq!(pass(&mut all, 120), vec![vec![Bytes::from("one")]; 3]);
        drop(all.pop());
        all[0].1.propose("two".into());
        assert_eq!(pass(&mut all, 120), vec![vec![Bytes::from("two")]; 2]);
        all.push(new(3));
        let agreed = pass(&mut all, 120);
        assert_eq!(agreed[2], ["one", "two"], "what it had agreed on, and what it missed");
        assert!(agreed[0].is_empty() && agreed[1].is_empty());
        let mut alone = all.split_off(2);
        alone[0].1.propose("three".into());
        assert_eq!(pass(&mut alone, 120), [Vec::<Bytes>::new()], "one of three decides nothing");
        std::fs::write(&file, b"\0\0\0\x09junk").unwrap();
        assert!(matches!(Agreement::new(3, &[1, 2, 3], Some(file.clone())), Err(AgreementError::Damaged(_))));
        std::fs::remove_file(file).unwrap();
    }
}
