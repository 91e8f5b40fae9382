//! The file in which one process of a broker leaves what the next must know, and by which two that run side by
//! side know one another. It is written aside and renamed into place, so a reader finds a whole one or none.

use crate::interface::{ListKind, Time};
use crate::state::handover::{Handover, NodeLeft, Process, MOST_BYTES};
use crate::state::phase::Phase;
use crate::state::planner::{Input, Member, Wire};
use crate::state::upkeep::Upkeep;
use crate::wire::admin::desk::Keep;
use crate::wire::clock::Clock;
use std::cell::{Cell, RefCell};
use std::io::Read;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;

/// How often the file is looked at: a ban that the other process took must be in force within the grace.
const LOOK: Duration = Duration::from_millis(100);
/// How often a process says that it is there while another one is.
const BEAT: Time = 400_000;
/// How often a new list is written down.
const LIST: Time = 1_000_000;
/// How long a process that comes second waits for a sign of the first.
const FIRST_SIGN: Time = 2_000_000;

/// Reads the file. Whatever is wrong with it, the broker starts without it, and says so.
pub fn read(path: &Path) -> Option<Handover> {
    let file = match std::fs::File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return None,
        Err(error) => {
            tracing::warn!(path = %path.display(), %error, "hand-over not read");
            return None;
        }
    };
    let mut text = Vec::new();
    let read = file.take(MOST_BYTES as u64 + 1).read_to_end(&mut text).map_err(|e| e.to_string());
    match read.and_then(|_| Handover::decode(&text).map_err(|e| e.to_string())) {
        Ok(handover) => Some(handover),
        Err(reason) => {
            tracing::warn!(path = %path.display(), reason, "hand-over not usable");
            None
        }
    }
}

/// Keeps the file of a process.
pub struct Keeper<W: Wire> {
    /// The file.
    pub path: PathBuf,
    /// This process.
    pub own: Process,
    /// The operators' calls, and the list.
    pub upkeep: Rc<RefCell<Upkeep>>,
    /// Version of the list.
    pub revision: Rc<Cell<u64>>,
    /// Who wants the calls written down now.
    pub wishes: UnboundedReceiver<Keep>,
    /// The planner.
    pub planner: UnboundedSender<Input<W>>,
    /// The broker's phase.
    pub phase: watch::Receiver<Phase>,
    /// How long after its start a node is cold.
    pub cold: Time,
    /// Clients and links that this process may hold when it is alone, and beside another one.
    pub shares: [(usize, usize); 2],
    /// How many clients it may hold.
    pub clients: Rc<Cell<usize>>,
    /// Whether a process that started later serves in its place.
    pub successor: Rc<Cell<bool>>,
    /// The time.
    pub clock: Clock,
}

impl<W: Wire> Keeper<W> {
    /// Looks and writes until the process ends. `beside` says that another process seems to run.
    pub async fn run(mut self, mut beside: bool) {
        let (mut seen, mut written, mut beat) = (None, None, 0);
        // The first file is written at once: the process before this one is to see it.
        let mut pause = Duration::ZERO;
        loop {
            let wish = tokio::select! {
                wish = self.wishes.recv() => wish,
                () = tokio::time::sleep(pause) => None,
            };
            pause = LOOK;
            let now = self.clock.now();
            let place = place(&self.path);
            if place.is_some() && place != seen {
                seen = place;
                if let Some(other) = read(&self.path) {
                    let told = self.upkeep.borrow_mut().merge(now, other.bans.clone());
                    self.tell(told);
                    let waits = beside && now - self.own.started < FIRST_SIGN;
                    self.share(other.has_others(&self.own, now) || waits, &mut beside);
                    self.give_way(now, other.has_successor(&self.own, now));
                }
            } else if now - self.own.started >= FIRST_SIGN && beside {
                // Nothing has come since: whoever wrote it last may be this process.
                let other = read(&self.path).unwrap_or_default();
                self.share(other.has_others(&self.own, now), &mut beside);
                self.give_way(now, other.has_successor(&self.own, now));
            }
            let ready = self.phase.borrow().accepts() && *self.phase.borrow() != Phase::Starting;
            let changed = self.own.ready != ready || written != Some(self.revision.get());
            let due = (changed && now - beat >= LIST) || (beside && now - beat >= BEAT) || beat == 0;
            if wish.is_some() || due || self.own.ready != ready {
                self.own.ready = ready;
                let kept = self.write(now);
                (beat, written) = (now, Some(self.revision.get()));
                seen = place_of(&self.path, kept).or(seen);
                if let Some(wish) = wish {
                    // A caller that is gone need not be told.
                    let _ = wish.send(kept);
                }
            }
        }
    }

    fn tell(&self, told: Vec<Member>) {
        if !told.is_empty() {
            let _ = self.planner.send(Input::Nodes(ListKind::Changes, told));
        }
    }

    /// Takes its share of descriptors, beside another process or alone.
    fn share(&self, others: bool, beside: &mut bool) {
        if std::mem::replace(beside, others) != others {
            let (clients, links) = self.shares[usize::from(others)];
            tracing::info!(beside = others, clients, links, "share of descriptors");
            self.clients.set(clients);
            let _ = self.planner.send(Input::Links(links));
        }
    }

    /// Leaves cold nodes to a process that serves in its place, or takes them back if that one is gone.
    fn give_way(&self, now: Time, successor: bool) {
        if self.successor.replace(successor) != successor {
            tracing::info!(successor, "another process serves in the place of this one");
            let told = self.upkeep.borrow_mut().leave_cold(now, successor.then_some(self.cold));
            self.tell(told);
        }
    }

    /// Writes the file, with what another process has put there; false if that did not work.
    fn write(&mut self, now: Time) -> bool {
        let mut handover = read(&self.path).unwrap_or_default();
        let told = self.upkeep.borrow_mut().merge(now, std::mem::take(&mut handover.bans));
        self.tell(told);
        self.own.beat = now;
        handover.note(self.own);
        handover.bans = self.upkeep.borrow().bans();
        if handover.revision <= self.revision.get() {
            handover.revision = self.revision.get();
            handover.nodes = self.upkeep.borrow().nodes().iter().map(NodeLeft::from).collect();
        }
        put(&self.path, self.own.id, &handover)
    }
}

/// Takes a process that ends out of the file, so that nobody waits for it.
pub fn leave(path: &Path, id: u64) {
    if let Some(mut handover) = read(path) {
        handover.forget(id);
        put(path, id, &handover);
    }
}

fn put(path: &Path, id: u64, handover: &Handover) -> bool {
    let aside = path.with_extension(format!("{id:x}"));
    let put = || std::fs::write(&aside, handover.encode()).and_then(|()| std::fs::rename(&aside, path));
    let kept = put();
    if let Err(error) = &kept {
        tracing::warn!(path = %path.display(), %error, "hand-over not written");
    }
    kept.is_ok()
}

/// What tells one file from the next in its place.
fn place(path: &Path) -> Option<(u64, i64, i64)> {
    std::fs::metadata(path).ok().map(|m| (m.ino(), m.mtime(), m.mtime_nsec()))
}

fn place_of(path: &Path, kept: bool) -> Option<(u64, i64, i64)> {
    place(path).filter(|_| kept)
}
