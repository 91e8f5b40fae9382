//! Keeps the file in which one process of a broker leaves what the next must know, and by which two that run side by
//! side know one another. The file itself is read and written in [`super::folder`], on other threads.

use super::folder::{self, run_blocking, FileState, FileVersion};
use crate::interface::{ListKind, Time};
use crate::state::handover::{Handover, NodeLeft, Process};
use crate::state::maintenance::Maintenance;
use crate::state::parts::{self, Step};
use crate::state::phase::{Phase, Transition};
use crate::state::planner::{Input, ListedNode, Wire};
use crate::state::pool::SUPERSEDED_LINKS;
use crate::wire::admin::handler::{change_phase, SaveRequest};
use crate::wire::clock::Clock;
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};

/// How often the file is looked at: a ban that the other process took must be in force within the grace.
const LOOK: Duration = Duration::from_millis(100);
/// The same while a process has no part of the limits.
const LOOK_AGAIN: Duration = Duration::from_millis(10);
/// How often a process says that it is there while another one is.
const BEAT: Time = 400_000;
/// How often a new list is written down.
const LIST: Time = 1_000_000;
/// How long a process that comes second waits for a sign of the first.
const FIRST_SIGN: Time = 2_000_000;

/// Gives how many clients and links a process may hold that has so many descriptors.
pub type Share = Rc<dyn Fn(usize) -> (usize, usize)>;

/// Keeps the file of a process.
pub struct HandoverTask<W: Wire> {
    /// The file.
    pub path: PathBuf,
    /// This process.
    pub own: Process,
    /// The operators' calls, and the list.
    pub maintenance: Rc<RefCell<Maintenance>>,
    /// Version of the list.
    pub revision: Rc<Cell<u64>>,
    /// Who wants the calls written down now.
    pub save_requests: UnboundedReceiver<SaveRequest>,
    /// The planner.
    pub planner: UnboundedSender<Input<W>>,
    /// The broker's phase.
    pub phase: Rc<watch::Sender<Phase>>,
    /// How long after its start a node is cold.
    pub cold: Time,
    /// Descriptors that all processes of the broker may hold.
    pub descriptors: usize,
    /// What this one may hold of them.
    pub share: Share,
    /// How many clients it may hold.
    pub clients: Rc<Cell<usize>>,
    /// The part of the limits that this process spends.
    pub part: watch::Sender<f64>,
    /// Held until the process ends.
    pub lock: Option<File>,
    /// The time.
    pub clock: Clock,
}

/// What the file held at the last look.
#[derive(Default)]
struct Seen {
    place: Option<FileVersion>,
    /// Version of the list that was last written.
    written: Option<u64>,
    /// When it was last written; 0 before the first time.
    beat: Time,
}

impl<W: Wire> HandoverTask<W> {
    /// Looks and writes until the process ends. `beside` says that another process seems to run.
    pub async fn run(mut self, mut beside: bool) {
        let mut seen = Seen::default();
        // The first file is written at once: the process before this one is to see it.
        let mut pause = Duration::ZERO;
        loop {
            let wish = tokio::select! {
                wish = self.save_requests.recv() => wish,
                () = tokio::time::sleep(pause) => None,
            };
            pause = if self.own.part > 0.0 { LOOK } else { LOOK_AGAIN };
            let Some(sight) = self.look(&seen, beside).await else { continue };
            // A slow folder may have taken its time.
            let now = self.clock.now();
            // Beside another process each look counts, since that one may have died.
            let changed = sight.place != seen.place;
            if changed || (beside && now - self.own.started >= FIRST_SIGN) {
                // What could not be read says nothing, and is looked at again.
                if let Some(Ok(other)) = &sight.content {
                    seen.place = sight.place;
                    beside = self.heed(now, beside, other.clone());
                }
            }
            let shared = (changed || beside || self.own.part < 1.0) && self.share_limits(&sight).await;
            let ready = self.phase.borrow().accepts_connections() && *self.phase.borrow() != Phase::Starting;
            let news = self.own.ready != ready || changed && beside;
            let list = seen.written != Some(self.revision.get()) && now - seen.beat >= LIST;
            let first = seen.beat == 0;
            if wish.is_some() || first || news || list || shared || (beside && now - seen.beat >= BEAT) {
                self.own.ready = ready;
                let kept = self.write(now).await;
                let path = self.path.clone();
                let place = run_blocking(move || folder::file_version(&path)).await.flatten();
                seen = Seen { place, written: Some(self.revision.get()), beat: now };
                if let Some(wish) = wish {
                    // A caller that is gone need not be told.
                    let _ = wish.send(kept);
                }
            }
        }
    }

    /// Looks at the file. It is read where it has changed, or where each look counts.
    async fn look(&self, seen: &Seen, beside: bool) -> Option<FileState> {
        if seen.beat == 0 {
            return Some(FileState::default());
        }
        let (path, own, before) = (self.path.clone(), self.own.id, seen.place);
        let always = beside || self.own.part < 1.0;
        run_blocking(move || folder::check(&path, own, before, always)).await
    }

    /// Takes what another process has written; whether one runs.
    fn heed(&self, now: Time, beside: bool, other: Handover) -> bool {
        let successor = other.has_successor(&self.own, now);
        let held = other.held_by_others(&self.own, now);
        self.tell(self.maintenance.borrow_mut().merge(now, other.bans));
        if held.is_some() && !successor {
            // The one before lets go of its connections: what it holds is not for this one.
            let (clients, links) = (self.share)(self.descriptors.saturating_sub(held.unwrap_or(0)));
            self.bound(clients, Some(links));
        } else if held.is_none() && beside && now - self.own.started >= FIRST_SIGN {
            let (clients, links) = (self.share)(self.descriptors);
            tracing::info!(clients, links, "alone again");
            self.bound(clients, Some(links));
        }
        let before = *self.phase.borrow();
        let _ = change_phase(&self.phase, Transition::Yield(successor), now);
        if before != *self.phase.borrow() {
            // Cold nodes are left to the process that serves in the place of this one.
            let cold = successor.then_some(self.cold);
            self.tell(self.maintenance.borrow_mut().exclude_cold(now, cold));
            if successor {
                self.bound(self.clients.get(), None);
            }
        }
        held.is_some() || (beside && now - self.own.started < FIRST_SIGN)
    }

    /// Goes down to an even part of the limits at once where others live; true if that is to be written.
    async fn share_limits(&mut self, sight: &FileState) -> bool {
        let Some(Ok(other)) = &sight.content else { return false };
        let others = other.other_parts(&self.own, |id| sight.living.contains(&id));
        match parts::next(self.own.part, &others) {
            Step::Stay => false,
            Step::Raise(_) => true,
            Step::Lower(part) => {
                self.spend(part).await;
                true
            }
        }
    }

    /// Has the planner spend by another part of the limits; done when the turn that took it is over.
    async fn spend(&mut self, part: f64) {
        let (reached, done) = oneshot::channel();
        let _ = self.planner.send(Input::LimitShare(part));
        let _ = self.planner.send(Input::Barrier(reached));
        // A planner that is gone spends nothing.
        let _ = done.await;
        tracing::info!(part, "part of the limits");
        self.own.part = part;
        self.part.send_replace(part);
    }

    fn bound(&self, clients: usize, links: Option<usize>) {
        self.clients.set(clients);
        let _ = self.planner.send(Input::LinkLimit(links));
    }

    fn tell(&self, told: Vec<ListedNode>) {
        if !told.is_empty() {
            let _ = self.planner.send(Input::Nodes(ListKind::Changes, told));
        }
    }

    /// Writes the file, with what another process has put there; false if that did not work. Only one process does so at
    /// a time, so that none writes over what another has promised.
    async fn write(&mut self, now: Time) -> bool {
        let (path, own) = (self.path.clone(), self.own.id);
        let taken = run_blocking(move || folder::take(&path, own)).await;
        let taken = match taken {
            Some(Ok(taken)) => taken,
            Some(Err(folder::LockError::Held)) | None => return false,
            Some(Err(folder::LockError::Failed { error, nothing_there })) => {
                tracing::warn!(path = %self.path.display(), %error, "hand-over not written");
                if self.own.part == 0.0 && nothing_there {
                    // Where nothing can be written and nothing was, no other process can ask for a part.
                    self.spend(1.0).await;
                }
                return false;
            }
        };
        let (lock, sight) = (taken.lock, taken.sight);
        let Some(Ok(mut handover)) = sight.content else { return false };
        self.tell(self.maintenance.borrow_mut().merge(now, std::mem::take(&mut handover.bans)));
        let few = if self.own.ready { 0 } else { SUPERSEDED_LINKS };
        (self.own.beat, self.own.held) = (now, taken.held.map_or(self.descriptors / 2, |held| held + few));
        let own = self.own.part;
        let lives = |id: u64| sight.living.contains(&id);
        if let Step::Raise(part) = parts::next(own, &handover.other_parts(&self.own, lives)) {
            self.own.part = part;
        }
        handover.record(self.own, lives);
        handover.bans = self.maintenance.borrow().bans();
        if handover.revision <= self.revision.get() {
            handover.revision = self.revision.get();
            handover.nodes = self.maintenance.borrow().nodes().iter().map(NodeLeft::from).collect();
        }
        let put = folder::write_and_unlock(self.path.clone(), self.own.id, handover, lock);
        let (kept, nothing_there) = put.await;
        let raised = std::mem::replace(&mut self.own.part, own);
        if raised > own && (kept || nothing_there) {
            self.spend(raised).await;
        }
        kept
    }
}
