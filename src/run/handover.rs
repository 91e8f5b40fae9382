//! Maintains the hand-over file. A process of a broker leaves in it the state that its successor needs, and processes
//! that run at the same time detect one another by it. [`super::folder`] reads and writes the file, on other threads.

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

/// Period at which the file is polled. A ban that an operator gave to the other process must be in force here within the
/// grace period of the node list.
const POLL_PERIOD: Duration = Duration::from_millis(100);
/// Period at which the file is polled while this process has no part of the limits.
const POLL_PERIOD_WITHOUT_PART: Duration = Duration::from_millis(10);
/// Period in microseconds at which a process records its heartbeat while another process of the broker runs.
const HEARTBEAT_PERIOD: Time = 400_000;
/// Shortest interval in microseconds between two writes of a changed node list.
const LIST_WRITE_PERIOD: Time = 1_000_000;
/// Time in microseconds after its start for which a process assumes that another one still runs, although the file does
/// not show it.
const DETECTION_TIMEOUT: Time = 2_000_000;

/// Returns how many clients and links a process may hold with the given number of file descriptors.
pub type Share = Rc<dyn Fn(usize) -> (usize, usize)>;

/// The task that maintains the hand-over file for one process.
pub struct HandoverTask<W: Wire> {
    /// Path of the hand-over file.
    pub path: PathBuf,
    /// The entry of this process in the file.
    pub own: Process,
    /// The operators' maintenance calls, and the node list.
    pub maintenance: Rc<RefCell<Maintenance>>,
    /// Version of the node list.
    pub revision: Rc<Cell<u64>>,
    /// Requests to write the operators' calls to the file immediately.
    pub save_requests: UnboundedReceiver<SaveRequest>,
    /// Input channel of the planner.
    pub planner: UnboundedSender<Input<W>>,
    /// Phase of this process.
    pub phase: Rc<watch::Sender<Phase>>,
    /// Duration for which a node stays cold after its start.
    pub cold: Time,
    /// Number of file descriptors that all processes of the broker together may hold.
    pub descriptors: usize,
    /// Computes the limits on clients and links from a number of descriptors.
    pub share: Share,
    /// Number of clients that this process may hold.
    pub clients: Rc<Cell<usize>>,
    /// The part of the limits that this process uses.
    pub part: watch::Sender<f64>,
    /// Liveness lock of this process, held until the process ends.
    pub lock: Option<File>,
    /// Clock of the process.
    pub clock: Clock,
}

/// State of the file when this process last read or wrote it.
#[derive(Default)]
struct LastSeen {
    /// The version of the file on disk, or `None` if there was no file.
    version: Option<FileVersion>,
    /// Version of the node list in the last write, or `None` before the first write.
    list_revision: Option<u64>,
    /// Time of the last write, or 0 before the first write.
    beat: Time,
}

impl<W: Wire> HandoverTask<W> {
    /// Polls and writes the file until the process ends. `coexisting` tells whether another process of the broker appears
    /// to run at the start.
    pub async fn run(mut self, mut coexisting: bool) {
        let mut last = LastSeen::default();
        // Writes the file immediately at the start, so that the predecessor detects this process.
        let mut delay = Duration::ZERO;
        loop {
            let request = tokio::select! {
                request = self.save_requests.recv() => request,
                () = tokio::time::sleep(delay) => None,
            };
            delay = if self.own.part > 0.0 { POLL_PERIOD } else { POLL_PERIOD_WITHOUT_PART };
            let Some(snapshot) = self.poll(&last, coexisting).await else { continue };
            // Reads the clock after the poll, because a slow folder may have delayed it.
            let now = self.clock.now();
            // While another process appears to run, an unchanged file is evaluated too: that process may have died.
            let changed = snapshot.version != last.version;
            if changed || (coexisting && now - self.own.started >= DETECTION_TIMEOUT) {
                // A file that could not be read tells nothing, so `last` stays and the next poll reads the file again.
                if let Some(Ok(other)) = &snapshot.content {
                    last.version = snapshot.version;
                    coexisting = self.apply(now, coexisting, other.clone());
                }
            }
            let shared = (changed || coexisting || self.own.part < 1.0) && self.share_limits(&snapshot).await;
            let ready = self.phase.borrow().accepts_connections() && *self.phase.borrow() != Phase::Starting;
            let status_changed = self.own.ready != ready || changed && coexisting;
            let list_changed =
                last.list_revision != Some(self.revision.get()) && now - last.beat >= LIST_WRITE_PERIOD;
            let first = last.beat == 0;
            if request.is_some()
                || first
                || status_changed
                || list_changed
                || shared
                || (coexisting && now - last.beat >= HEARTBEAT_PERIOD)
            {
                self.own.ready = ready;
                let written = self.write(now).await;
                let path = self.path.clone();
                let version = run_blocking(move || folder::file_version(&path)).await.flatten();
                last = LastSeen { version, list_revision: Some(self.revision.get()), beat: now };
                if let Some(request) = request {
                    // The result does not matter if the caller has gone.
                    let _ = request.send(written);
                }
            }
        }
    }

    /// Polls the file. Reads its content if the file has changed, if another process appears to run, or if this process has
    /// less than the full limits.
    async fn poll(&self, last: &LastSeen, coexisting: bool) -> Option<FileState> {
        if last.beat == 0 {
            return Some(FileState::default());
        }
        let (path, own, before) = (self.path.clone(), self.own.id, last.version);
        let always = coexisting || self.own.part < 1.0;
        run_blocking(move || folder::check(&path, own, before, always)).await
    }

    /// Applies what another process has written. Returns whether another process appears to run.
    fn apply(&self, now: Time, coexisting: bool, other: Handover) -> bool {
        let successor = other.has_successor(&self.own, now);
        let held = other.held_by_others(&self.own, now);
        self.notify_planner(self.maintenance.borrow_mut().merge(now, other.bans));
        if held.is_some() && !successor {
            // The predecessor is closing its connections. Until it has, its descriptors are not available to this process.
            let (clients, links) = (self.share)(self.descriptors.saturating_sub(held.unwrap_or(0)));
            self.set_connection_limits(clients, Some(links));
        } else if held.is_none() && coexisting && now - self.own.started >= DETECTION_TIMEOUT {
            let (clients, links) = (self.share)(self.descriptors);
            tracing::info!(clients, links, "alone again");
            self.set_connection_limits(clients, Some(links));
        }
        let before = *self.phase.borrow();
        let _ = change_phase(&self.phase, Transition::Yield(successor), now);
        if before != *self.phase.borrow() {
            // While a successor serves, this process leaves the cold nodes to it.
            let cold = successor.then_some(self.cold);
            self.notify_planner(self.maintenance.borrow_mut().exclude_cold(now, cold));
            if successor {
                self.set_connection_limits(self.clients.get(), None);
            }
        }
        held.is_some() || (coexisting && now - self.own.started < DETECTION_TIMEOUT)
    }

    /// Lowers the part of this process to an equal part immediately if other processes live. Returns whether the file must
    /// be written, which is so for a raised part as well.
    async fn share_limits(&mut self, snapshot: &FileState) -> bool {
        let Some(Ok(other)) = &snapshot.content else { return false };
        let others = other.other_parts(&self.own, |id| snapshot.living.contains(&id));
        match parts::next(self.own.part, &others) {
            Step::Stay => false,
            Step::Raise(_) => true,
            Step::Lower(part) => {
                self.use_part(part).await;
                true
            }
        }
    }

    /// Makes the planner use another part of the limits. Returns once the planner has completed the turn that applied it.
    async fn use_part(&mut self, part: f64) {
        let (barrier, done) = oneshot::channel();
        let _ = self.planner.send(Input::LimitShare(part));
        let _ = self.planner.send(Input::Barrier(barrier));
        // A planner that has ended uses none of the limits.
        let _ = done.await;
        tracing::info!(part, "part of the limits");
        self.own.part = part;
        self.part.send_replace(part);
    }

    /// Sets the limits on clients and links. `None` limits links to slightly more than are open now.
    fn set_connection_limits(&self, clients: usize, links: Option<usize>) {
        self.clients.set(clients);
        let _ = self.planner.send(Input::LinkLimit(links));
    }

    /// Sends changed entries of the node list to the planner.
    fn notify_planner(&self, changes: Vec<ListedNode>) {
        if !changes.is_empty() {
            let _ = self.planner.send(Input::Nodes(ListKind::Changes, changes));
        }
    }

    /// Merges the state of this process into the file and writes it. Returns whether that succeeded. A lock allows one writer
    /// at a time, so that no process overwrites a part of the limits that another has recorded.
    async fn write(&mut self, now: Time) -> bool {
        let (path, own) = (self.path.clone(), self.own.id);
        let locked = run_blocking(move || folder::lock_and_read(&path, own)).await;
        let locked = match locked {
            Some(Ok(locked)) => locked,
            Some(Err(folder::LockError::Held)) | None => return false,
            Some(Err(folder::LockError::Failed { error, no_file })) => {
                tracing::warn!(path = %self.path.display(), %error, "hand-over not written");
                if self.own.part == 0.0 && no_file {
                    // There is no file and none can be written, so no other process can claim a part of the limits.
                    self.use_part(1.0).await;
                }
                return false;
            }
        };
        let (lock, snapshot) = (locked.lock, locked.state);
        let Some(Ok(mut handover)) = snapshot.content else { return false };
        self.notify_planner(self.maintenance.borrow_mut().merge(now, std::mem::take(&mut handover.bans)));
        // A process that does not serve may still open this many links, in place of links that break.
        let reserved = if self.own.ready { 0 } else { SUPERSEDED_LINKS };
        (self.own.beat, self.own.held) =
            (now, locked.held.map_or(self.descriptors / 2, |held| held + reserved));
        let own = self.own.part;
        let lives = |id: u64| snapshot.living.contains(&id);
        if let Step::Raise(part) = parts::next(own, &handover.other_parts(&self.own, lives)) {
            self.own.part = part;
        }
        handover.record(self.own, lives);
        handover.bans = self.maintenance.borrow().bans();
        if handover.revision <= self.revision.get() {
            handover.revision = self.revision.get();
            handover.nodes = self.maintenance.borrow().nodes().iter().map(NodeLeft::from).collect();
        }
        let write = folder::write_and_unlock(self.path.clone(), self.own.id, handover, lock);
        let (written, no_file) = write.await;
        let raised = std::mem::replace(&mut self.own.part, own);
        if raised > own && (written || no_file) {
            self.use_part(raised).await;
        }
        written
    }
}
