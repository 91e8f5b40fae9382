//! The end of a broker that was told to stop: what it has taken is answered before it may be killed.

use super::folder::{self, run_blocking};
use super::nbd;
use crate::interface::Time;
use crate::state::client_slots::ClientSlots;
use crate::state::guard::Guard;
use crate::state::phase::{grace, last_read, Phase, Transition};
use crate::state::planner::Input;
use crate::wire::admin::handler::change_phase;
use crate::wire::clock::LoopClock;
use crate::wire::resp::Resp;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How long new connections are taken after the signal to stop, in microseconds.
const STILL_ACCEPTING: Time = 500_000;
/// How long the folder may take to say whether another process follows, before this one goes on as if none did. If it says so
/// later, it is heeded then.
const FOLLOWED: Duration = Duration::from_millis(100);
/// How long the last answers may take: longer than any client waits.
const LAST_ANSWERS: Duration = Duration::from_secs(60);
/// How long it is tried to take this process out of the hand-over file.
const LEAVES: Duration = Duration::from_millis(150);
/// How often it is looked whether all clients are gone.
const LOOK: Duration = Duration::from_millis(5);

/// What takes part in the end.
pub struct Shutdown {
    /// The planner.
    pub planner: UnboundedSender<Input<Resp>>,
    /// Whether any rule was broken.
    pub guard: Guard,
    /// The broker's phase.
    pub phase: Rc<watch::Sender<Phase>>,
    /// The time, and how late this process runs.
    pub loop_clock: LoopClock,
    /// The clients.
    pub slots: ClientSlots,
    /// The NBD front, if there is one.
    pub nbd: Option<nbd::Running>,
    /// The task that takes new connections.
    pub accepting: JoinHandle<()>,
    /// The longest deadline of the settings in force.
    pub deadlines: Rc<Cell<Time>>,
    /// The hand-over file and the number of this process, if there is a place for it.
    pub hand_over: Option<(PathBuf, u64)>,
}

impl Shutdown {
    /// Runs from the signal until everything is answered.
    pub async fn run(self) {
        // The signal may have come at the beginning of a stall: the kill counts from then.
        let told = self.loop_clock.earliest_arrival();
        tracing::info!(clients = self.slots.len(), "stopping");
        self.begin(told).await;
        self.loop_clock.sleep_until(told + STILL_ACCEPTING).await;
        // One that hands over reads on for longer, whenever it learns that it does.
        if matches!(*self.phase.borrow(), Phase::HandingOver(..)) {
            self.loop_clock.sleep_until(told + last_read(self.grace())).await;
        }
        self.step(Transition::Close, self.loop_clock.now());
        let empty = || self.slots.is_empty() && self.nbd.as_ref().is_none_or(|n| n.slots.is_empty());
        let emptied = async {
            // What the kernel had accepted takes its seats first. A task that is gone takes none.
            let _ = self.accepting.await;
            while !empty() {
                tokio::time::sleep(LOOK).await;
            }
        };
        match tokio::time::timeout(LAST_ANSWERS, emptied).await {
            Ok(()) => {
                if let Some(nbd) = &self.nbd {
                    nbd.close().await;
                }
                tracing::info!(violations = %self.guard.violations(), "stopped");
            }
            Err(_) => tracing::warn!(clients = self.slots.len(), "stopped with clients unanswered"),
        }
        if let Some((path, id)) = self.hand_over {
            let left = run_blocking(move || folder::leave(&path, id));
            if tokio::time::timeout(LEAVES, left).await.is_err() {
                tracing::warn!("still in the hand-over file: the folder is slow");
            }
        }
    }

    fn grace(&self) -> Time {
        grace(self.deadlines.get())
    }

    fn step(&self, what: Transition, at: Time) {
        step_phase(&self.phase, what, at);
    }

    /// Moves the phase. The signal comes as soon as the next process answers, which may be before its word is read here, so
    /// the folder is asked first; it may be slow.
    async fn begin(&self, told: Time) {
        if let Some((path, id)) = self.hand_over.clone() {
            let mut asked = Box::pin(run_blocking(move || folder::is_followed(&path, id)));
            match tokio::time::timeout(FOLLOWED, &mut asked).await {
                Ok(followed) => {
                    if followed == Some(true) {
                        self.step(Transition::Yield(true), told);
                    }
                }
                Err(_) => {
                    tracing::warn!("the folder is slow: nobody is known to follow");
                    let phase = self.phase.clone();
                    tokio::task::spawn_local(async move {
                        if asked.await == Some(true) {
                            step_phase(&phase, Transition::Yield(true), told);
                        }
                    });
                }
            }
        }
        self.step(Transition::Stop(self.grace()), told);
        // Whatever was taken before under a longer deadline has its answer by then, too.
        if let Some(by) = self.phase.borrow().last_answer_at() {
            let _ = self.planner.send(Input::AnswerAllBy(by));
            if let Some(nbd) = &self.nbd {
                let _ = nbd.planner.send(Input::AnswerAllBy(by));
            }
        }
    }
}

fn step_phase(phase: &watch::Sender<Phase>, what: Transition, at: Time) {
    // From stopping there is no way back, and none is asked for here.
    let _ = change_phase(phase, what, at);
}
