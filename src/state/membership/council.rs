//! The voters: views committed by Raft, through the `raft` crate. An entry holds a delta and so what it follows (the first one
//! the whole view, and so do those of a log from before there were deltas); the log is cut behind each. What must be kept is
//! handed out before any message that relies on it.

use super::delta::Delta;
use super::{mix, Name, View};
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChange, ConfChangeType, ConfState, Entry, EntryType, HardState, Message, MessageType,
};
use raft::eraftpb::{Snapshot, SnapshotMetadata};
use raft::storage::MemStorage;
use raft::{Config, RawNode, SnapshotStatus, StateRole, Storage as _};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Ticks without a leader before an election, and half of what it may take at most.
const ELECTION_TICKS: usize = 10;
/// Ticks between a leader's heartbeats.
const HEARTBEAT_TICKS: usize = 3;
/// Entries left in the log for voters that are a little behind.
const LEFT: u64 = 8;
/// Ticks after which a view that was put forward and not committed may be put forward again.
const PRESS_TICKS: u64 = 20;

/// The context of an entry that holds a delta.
const DELTA: &[u8] = b"delta";

/// Index and term that the log of a new cluster begins behind.
const FOUNDED: (u64, u64) = (1, 1);

/// The bare snapshot of an index and term.
fn snapshot((index, term): (u64, u64), conf: ConfState) -> Snapshot {
    let mut meta = SnapshotMetadata::default();
    meta.set_index(index);
    meta.set_term(term);
    meta.set_conf_state(conf);
    let mut snapshot = Snapshot::default();
    snapshot.set_metadata(meta);
    snapshot
}

/// What kept a voter from going on. It takes no further part.
#[derive(Debug, thiserror::Error)]
pub enum CouncilError {
    /// The consensus refused.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
    /// What was kept, or committed, is not of this program.
    #[error("not a state of this program: {0}")]
    Damaged(String),
}

impl From<postcard::Error> for CouncilError {
    fn from(error: postcard::Error) -> Self {
        CouncilError::Damaged(error.to_string())
    }
}

impl From<protobuf::ProtobufError> for CouncilError {
    fn from(error: protobuf::ProtobufError) -> Self {
        CouncilError::Damaged(error.to_string())
    }
}

/// The founders, by address, each with the life that was counted on.
pub type Roll = BTreeMap<String, (Name, u64)>;

/// All that a voter must keep over its lives, whole.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Kept {
    /// Its number among the voters.
    pub id: u64,
    /// The view as of `applied`.
    pub view: View,
    roll: Roll,
    applied: u64,
    /// Index and term before the first entry.
    base: (u64, u64),
    hard: Vec<u8>,
    conf: Vec<u8>,
    entries: Vec<Vec<u8>>,
}

/// An entry of the log that holds a whole view.
#[derive(Debug, Serialize, Deserialize)]
struct Whole {
    after: u64,
    view: View,
}

/// An entry of the log that holds views.
enum Change {
    Whole(Box<Whole>),
    Delta(Arc<Delta>),
}

impl Change {
    /// What an entry holds; nothing where it is one of the consensus itself.
    fn of(entry: &Entry) -> Result<Option<Change>, CouncilError> {
        if entry.get_entry_type() != EntryType::EntryNormal || entry.data.is_empty() {
            return Ok(None);
        }
        Ok(Some(match &entry.context[..] {
            DELTA => Change::Delta(Arc::new(postcard::from_bytes(&entry.data)?)),
            _ => Change::Whole(Box::new(postcard::from_bytes(&entry.data)?)),
        }))
    }
}

/// What a voter has written down of a view, committed or not.
#[derive(Debug)]
struct Written {
    number: u64,
    /// The nodes that it takes out.
    out: Vec<String>,
    /// Whether it changes who votes.
    seats: bool,
}

impl From<Change> for Written {
    fn from(change: Change) -> Written {
        match change {
            Change::Whole(w) => {
                Written { number: w.view.number, out: w.view.drains.into_iter().collect(), seats: true }
            }
            Change::Delta(d) => {
                let out = d.drains.iter().filter(|(_, out)| *out).map(|(node, _)| node.clone()).collect();
                Written { number: d.number(), out, seats: d.seats.is_some() }
            }
        }
    }
}

/// How a view came to be known.
#[derive(Debug, Clone)]
pub enum Step {
    /// Whole.
    Whole(View),
    /// By what it changes.
    Delta(Arc<Delta>),
}

/// What a turn brought, to be done in this order.
#[derive(Debug, Default)]
pub struct Turn {
    /// To be kept before anything else is done; if that fails, nothing of this turn may be.
    pub keep: Option<Vec<u8>>,
    /// Messages to voters, by their number.
    pub messages: Vec<Message>,
    /// Views committed, in their order.
    pub views: Vec<Step>,
}

/// One voter.
pub struct Council {
    node: RawNode<MemStorage>,
    storage: MemStorage,
    id: u64,
    view: View,
    roll: Roll,
    /// There is something to keep that the consensus knows nothing of.
    touched: bool,
    base: (u64, u64),
    /// Views in the log that are not known to be committed, by index.
    written: BTreeMap<u64, Written>,
    ticks: u64,
    pressed: Option<u64>,
    changing: Option<u64>,
}

impl Council {
    /// A founder: votes from the start, with these others, the first of which is voter 1.
    pub fn found(id: u64, roll: Roll) -> Result<Council, CouncilError> {
        let voters: Vec<u64> = (1..=roll.len() as u64).collect();
        // The log begins behind an entry that nobody has: a learner is given a snapshot, which names the voters.
        let conf = ConfState::from((voters, Vec::new()));
        let storage = MemStorage::new();
        storage.wl().apply_snapshot(snapshot(FOUNDED, conf))?;
        let mut council = Council::over(id, storage, View::default(), FOUNDED.0, FOUNDED)?;
        council.set_roll(roll);
        Ok(council)
    }

    /// What a founder keeps before its first word, that its store is empty: others may count on this life from then on, so it
    /// is to be the same one if it starts again before it has founded. No life, where nobody counts on it any more.
    pub fn promise(life: Option<u64>) -> Result<Vec<u8>, CouncilError> {
        let roll = life.map(|life| (String::new(), (Name::new(), life))).into_iter().collect();
        let (view, base, entries) = (View::default(), (0, 0), Vec::new());
        let kept = Kept { id: 0, view, roll, applied: 0, base, hard: Vec::new(), conf: Vec::new(), entries };
        Ok(postcard::to_stdvec(&kept)?)
    }

    /// The life that was promised, where what was kept is that: no voter's number is 0.
    pub fn promised(kept: &[u8]) -> Result<Option<Option<u64>>, CouncilError> {
        let kept: Kept = postcard::from_bytes(kept)?;
        Ok((kept.id == 0).then(|| kept.roll.into_values().next().map(|(_, life)| life)))
    }

    /// A learner that knows nothing yet.
    pub fn learn(id: u64) -> Result<Council, CouncilError> {
        Council::over(id, MemStorage::new(), View::default(), 0, (0, 0))
    }

    /// A voter as it was kept.
    pub fn restore(kept: &[u8]) -> Result<Council, CouncilError> {
        let kept: Kept = postcard::from_bytes(kept)?;
        let storage = MemStorage::new();
        let conf = ConfState::parse_from_bytes(&kept.conf)?;
        if kept.base.0 > 0 {
            storage.wl().apply_snapshot(snapshot(kept.base, conf.clone()))?;
        }
        let entries: Result<Vec<Entry>, _> =
            kept.entries.iter().map(|e| Entry::parse_from_bytes(e)).collect();
        let entries = entries?;
        storage.wl().append(&entries)?;
        storage.wl().set_hardstate(HardState::parse_from_bytes(&kept.hard)?);
        storage.wl().set_conf_state(conf);
        let log = entries;
        let mut council = Council::over(kept.id, storage, kept.view, kept.applied, kept.base)?;
        council.roll = kept.roll;
        council.write_down(&log)?;
        council.written.retain(|index, _| *index > kept.applied);
        Ok(council)
    }

    fn over(
        id: u64,
        storage: MemStorage,
        view: View,
        applied: u64,
        base: (u64, u64),
    ) -> Result<Council, CouncilError> {
        let config = Config {
            id,
            applied,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            check_quorum: true,
            pre_vote: true,
            max_size_per_msg: 32 << 10,
            max_inflight_msgs: 16,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, storage.clone(), &logger)?;
        let roll = Roll::new();
        let mut council = Council {
            node,
            storage,
            id,
            view,
            roll,
            touched: false,
            written: BTreeMap::new(),
            base,
            ticks: 0,
            pressed: None,
            changing: None,
        };
        council.draw();
        Ok(council)
    }

    /// The wait for an election follows from voter and term, so that a simulated run can be played again.
    fn draw(&mut self) {
        let raft = &mut self.node.raft;
        let drawn = mix(&raft.term.to_le_bytes(), self.id) as usize % ELECTION_TICKS;
        raft.set_randomized_election_timeout(ELECTION_TICKS + drawn);
    }

    /// The founders as they were counted.
    pub fn roll(&self) -> &Roll {
        &self.roll
    }

    /// Counts on these founders.
    pub fn set_roll(&mut self, roll: Roll) {
        self.roll = roll;
        self.touched = true;
    }

    /// Its number.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The last view that it knows to be committed.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The nodes that are taken out by views later than that number which it has written down, committed or not. Nothing
    /// where one of these changes who votes: then it gives its word only to those who know.
    pub fn pending(&self, number: u64) -> Option<BTreeSet<String>> {
        let later = || self.written.values().filter(|w| w.number > number);
        let moves = later().any(|w| w.seats);
        (!moves).then(|| later().flat_map(|w| w.out.iter().cloned()).collect())
    }

    /// Notes the views among entries that are put in the place of the log's from the first one's index on.
    fn write_down(&mut self, entries: &[Entry]) -> Result<(), CouncilError> {
        if let Some(first) = entries.first() {
            self.written.split_off(&first.index);
        }
        for entry in entries {
            if let Some(change) = Change::of(entry)? {
                self.written.insert(entry.index, change.into());
            }
        }
        Ok(())
    }

    /// Whether it leads now. Another may already do so, too; only one can commit.
    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// The leader's number, if one is known.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|id| *id != raft::INVALID_ID)
    }

    /// Voters and learners.
    pub fn seats(&self) -> (Vec<u64>, Vec<u64>) {
        let conf = self.node.raft.prs().conf().to_conf_state();
        (conf.voters.to_vec(), conf.learners.to_vec())
    }

    /// Whether a learner has all that was committed.
    pub fn caught_up(&self, id: u64) -> bool {
        let raft = &self.node.raft;
        raft.prs().get(id).is_some_and(|p| p.matched > 0 && p.matched >= raft.raft_log.committed)
    }

    /// Lets a tick of time pass.
    pub fn tick(&mut self) {
        self.ticks += 1;
        self.node.tick();
        self.draw();
    }

    /// Takes a message of another voter. One that makes no sense here is dropped, as if lost on its way.
    pub fn step(&mut self, message: Message) {
        if message.to == self.id {
            let _ = self.node.step(message);
            self.draw();
        }
    }

    /// Whether a view may be put forward: it leads, and the last one is committed or seems lost.
    pub fn may_propose(&self) -> bool {
        self.leads() && self.pressed.is_none_or(|at| self.ticks - at >= PRESS_TICKS)
    }

    /// Proposes a view that follows the last.
    pub fn propose(&mut self, view: View) -> Result<(), CouncilError> {
        self.propose_with_calls(view, &BTreeMap::new())
    }

    /// Proposes a view that follows the last. `calls` are the operators' calls that it decides, also those that ask for what
    /// holds already: a call that was made before them must find out that it is not the last one.
    pub fn propose_with_calls(
        &mut self,
        view: View,
        calls: &BTreeMap<String, bool>,
    ) -> Result<(), CouncilError> {
        let first = self.view.number == 0;
        let (context, data) = match first {
            true => (Vec::new(), postcard::to_stdvec(&Whole { after: 0, view })?),
            false => {
                let mut delta = Delta::between(&self.view, &view);
                let changed: BTreeSet<String> = delta.drains.iter().map(|(node, _)| node.clone()).collect();
                let kept = calls.iter().filter(|(node, _)| !changed.contains(*node));
                delta.drains.extend(kept.map(|(node, out)| (node.clone(), *out)));
                (DELTA.to_vec(), postcard::to_stdvec(&delta)?)
            }
        };
        if self.node.propose(context, data).is_ok() {
            self.pressed = Some(self.ticks);
        }
        Ok(())
    }

    /// Takes in a learner, makes one a voter, or takes one out: one change at a time.
    pub fn reseat(&mut self, kind: ConfChangeType, id: u64) {
        if self.changing.is_some_and(|at| self.ticks - at < PRESS_TICKS) {
            return;
        }
        let mut change = ConfChange::default();
        change.set_change_type(kind);
        change.set_node_id(id);
        if self.node.propose_conf_change(Vec::new(), change).is_ok() {
            self.changing = Some(self.ticks);
        }
    }

    /// Takes what the consensus has ready.
    pub fn turn(&mut self) -> Result<Turn, CouncilError> {
        let (mut turn, mut changed) = (Turn::default(), std::mem::take(&mut self.touched));
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            turn.messages.extend(ready.take_messages());
            if !ready.snapshot().is_empty() {
                let snapshot = ready.snapshot().clone();
                let meta = snapshot.get_metadata();
                self.base = (meta.index, meta.term);
                let view: View = postcard::from_bytes(snapshot.get_data())?;
                self.storage.wl().apply_snapshot(snapshot)?;
                self.written.retain(|index, _| *index > self.base.0);
                if view.number > self.view.number {
                    self.advance_to(view.clone(), Step::Whole(view), &mut turn);
                }
                changed = true;
            }
            self.apply(ready.take_committed_entries(), &mut turn)?;
            if !ready.entries().is_empty() {
                self.storage.wl().append(ready.entries())?;
                self.write_down(ready.entries())?;
                changed = true;
            }
            if let Some(state) = ready.hs() {
                self.storage.wl().set_hardstate(state.clone());
                changed = true;
            }
            turn.messages.extend(ready.take_persisted_messages());
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.storage.wl().mut_hard_state().set_commit(commit);
                changed = true;
            }
            turn.messages.extend(light.take_messages());
            self.apply(light.take_committed_entries(), &mut turn)?;
            self.node.advance_apply();
        }
        if changed {
            self.compact()?;
            turn.keep = Some(self.kept()?);
        }
        let mut reported = Vec::new();
        for message in turn.messages.iter_mut().filter(|m| m.get_msg_type() == MessageType::MsgSnapshot) {
            let data = postcard::to_stdvec(&self.view)?;
            message.mut_snapshot().set_data(data.into());
            reported.push(message.to);
        }
        // Nobody waits for the fate of a datagram: what comes after it shows whether it arrived.
        reported.into_iter().for_each(|to| self.node.report_snapshot(to, SnapshotStatus::Finish));
        Ok(turn)
    }

    fn advance_to(&mut self, view: View, step: Step, turn: &mut Turn) {
        self.view = view;
        self.pressed = None;
        turn.views.push(step);
    }

    fn apply(&mut self, entries: Vec<Entry>, turn: &mut Turn) -> Result<(), CouncilError> {
        for entry in entries {
            self.written.remove(&entry.index);
            if entry.data.is_empty() {
                continue;
            }
            if entry.get_entry_type() != EntryType::EntryNormal {
                let conf = self.node.apply_conf_change(&ConfChange::parse_from_bytes(&entry.data)?)?;
                self.storage.wl().set_conf_state(conf);
                self.changing = None;
                continue;
            }
            // One that does not follow was put forward twice, or by a leader that did not know of the last one.
            match Change::of(&entry)? {
                Some(Change::Whole(w)) if w.after == self.view.number && w.view.number > w.after => {
                    self.advance_to(w.view.clone(), Step::Whole(w.view), turn);
                }
                Some(Change::Delta(delta)) => {
                    if let Ok(view) = self.view.follow(&delta) {
                        self.advance_to(view, Step::Delta(delta), turn);
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn compact(&mut self) -> Result<(), CouncilError> {
        let applied = self.node.raft.raft_log.applied;
        let first = self.storage.first_index()?;
        // One entry at least stays, so that what lies before it is known by its term.
        let to = applied.saturating_sub(LEFT).min(self.storage.last_index()?);
        if to > first + LEFT {
            self.base = (to - 1, self.storage.term(to - 1)?);
            self.storage.wl().compact(to)?;
        }
        Ok(())
    }

    fn kept(&self) -> Result<Vec<u8>, CouncilError> {
        let (first, last) = (self.storage.first_index()?, self.storage.last_index()?);
        let context = raft::GetEntriesContext::empty(false);
        let entries =
            if last >= first { self.storage.entries(first, last + 1, None, context)? } else { vec![] };
        let entries: Result<Vec<_>, _> = entries.iter().map(protobuf::Message::write_to_bytes).collect();
        let core = self.storage.rl();
        Ok(postcard::to_stdvec(&Kept {
            id: self.id,
            view: self.view.clone(),
            roll: self.roll.clone(),
            applied: self.node.raft.raft_log.applied,
            base: self.base,
            hard: core.hard_state().write_to_bytes()?,
            conf: self.node.raft.prs().conf().to_conf_state().write_to_bytes()?,
            entries: entries?,
        })?)
    }
}
