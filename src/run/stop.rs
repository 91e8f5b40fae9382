//! Graceful shutdown: accepted requests are answered before the process may be killed.

use super::folder::{self, run_blocking};
use super::nbd;
use crate::interface::Time;
use crate::state::client_slots::ClientSlots;
use crate::state::guard::Guard;
use crate::state::phase::{grace, last_read, Phase, Transition};
use crate::wire::admin::handler::change_phase;
use crate::wire::clock::LoopClock;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How long new connections are accepted after the stop signal, in microseconds.
const STILL_ACCEPTING: Time = 500_000;
/// How long reading the hand-over file may take. After that the shutdown continues as if no successor process existed; if one
/// is found later, the phase changes then.
const SUCCESSOR_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// How long the last answers may take; longer than any client waits.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(60);
/// How long removing this process from the hand-over file may take.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(150);
/// How often the shutdown checks whether all clients are gone.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The parts of the broker that take part in the shutdown.
pub struct Shutdown {
    /// Counts violations of the request rules, for the last log line.
    pub guard: Guard,
    /// The broker's phase.
    pub phase: Rc<watch::Sender<Phase>>,
    /// The event loop's clock and scheduling lag.
    pub loop_clock: LoopClock,
    /// The slots of connected clients.
    pub slots: ClientSlots,
    /// The NBD front, if there is one and it runs.
    pub nbd: nbd::SharedFront,
    /// The task that accepts new connections.
    pub accepting: JoinHandle<()>,
    /// The longest deadline of the settings in force.
    pub deadlines: Rc<Cell<Time>>,
    /// The hand-over file and the id of this process, if a folder is configured for it.
    pub hand_over: Option<(PathBuf, u64)>,
}

impl Shutdown {
    /// Runs the shutdown from the stop signal until all requests are answered.
    pub async fn run(self) {
        // If the process stalled, the signal may have arrived at the beginning of the stall, and the kill timeout counts from
        // then.
        let signalled_at = self.loop_clock.earliest_arrival();
        tracing::info!(clients = self.slots.len(), "stopping");
        self.begin(signalled_at).await;
        self.loop_clock.sleep_until(signalled_at + STILL_ACCEPTING).await;
        // A process that hands over to a successor keeps reading for longer, also if it learns of the successor late.
        if matches!(*self.phase.borrow(), Phase::HandingOver(..)) {
            self.loop_clock.sleep_until(signalled_at + last_read(self.grace())).await;
        }
        self.step(Transition::Close, self.loop_clock.now());
        let empty = || self.slots.is_empty() && self.nbd.get().is_none_or(|n| n.slots.is_empty());
        let emptied = async {
            // Connections in the accept queue get their client slots first. An accept task that has ended adds none.
            let _ = self.accepting.await;
            while !empty() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        match tokio::time::timeout(LAST_ANSWERS_TIMEOUT, emptied).await {
            Ok(()) => {
                if let Some(nbd) = self.nbd.get() {
                    nbd.close().await;
                }
                tracing::info!(violations = %self.guard.violations(), "stopped");
            }
            Err(_) => tracing::warn!(clients = self.slots.len(), "stopped with clients unanswered"),
        }
        if let Some((path, id)) = self.hand_over {
            let left = run_blocking(move || folder::remove_process(&path, id));
            if tokio::time::timeout(LEAVE_TIMEOUT, left).await.is_err() {
                tracing::warn!(
                    "not removed from the hand-over file within {} ms: the folder is slow",
                    LEAVE_TIMEOUT.as_millis()
                );
            }
        }
    }

    fn grace(&self) -> Time {
        grace(self.deadlines.get())
    }

    fn step(&self, what: Transition, at: Time) {
        step_phase(&self.phase, what, at);
    }

    /// Changes the phase to stopping. The stop signal is sent as soon as a successor process answers, which may be before this
    /// process has read the successor's entry, so the hand-over file is read first; its folder may be slow.
    async fn begin(&self, signalled_at: Time) {
        if let Some((path, id)) = self.hand_over.clone() {
            let mut check = Box::pin(run_blocking(move || folder::is_followed(&path, id)));
            match tokio::time::timeout(SUCCESSOR_CHECK_TIMEOUT, &mut check).await {
                Ok(has_successor) => {
                    if has_successor == Some(true) {
                        self.step(Transition::Yield(true), signalled_at);
                    }
                }
                Err(_) => {
                    tracing::warn!(
                        "hand-over file not read in time: continuing as without a successor process"
                    );
                    let phase = self.phase.clone();
                    tokio::task::spawn_local(async move {
                        if check.await == Some(true) {
                            step_phase(&phase, Transition::Yield(true), signalled_at);
                        }
                    });
                }
            }
        }
        self.step(Transition::Stop(self.grace()), signalled_at);
    }
}

fn step_phase(phase: &watch::Sender<Phase>, what: Transition, at: Time) {
    // A transition fails only if it would leave the stopping phases, which is not requested here.
    let _ = change_phase(phase, what, at);
}
