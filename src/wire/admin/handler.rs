//! Executes the operators' calls and formats their answers.

use super::{Call, CallError};
use crate::interface::{ListKind, Time};
use crate::state::agreement::Status;
use crate::state::maintenance::{Maintenance, Refused};
use crate::state::phase::{Phase, Transition};
use crate::state::planner::{Input, ListedNode, Wire};
use crate::wire::clock::Clock;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};

/// Time limit for the execution of a call. Callers wait for one second.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// A request to save the state that is to outlive this process. The sender reports when it is done and whether it
/// succeeded.
pub type SaveRequest = oneshot::Sender<bool>;

/// Why the cluster did not do what a call asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("gave way to another call about that node, which came first; ask again if it is still wanted")]
pub struct GaveWay;

/// What the cluster agreed on: the milliseconds until a change is in force everywhere.
pub type Agreed = Result<u64, GaveWay>;

/// The functions of the cluster that calls need.
pub trait Cluster {
    /// Returns the members as a line of JSON, or an empty text if this broker is no longer part of the cluster.
    fn members(&self) -> String;
    /// Takes a node out of use at all brokers, or returns it to use. The receiver yields what the cluster agreed on; it ends
    /// without that if nothing was agreed on in time.
    fn drain(&self, name: &str, out: bool) -> oneshot::Receiver<Agreed>;
}

/// The parts of the broker that calls act on.
pub struct CallHandler<W: Wire> {
    /// The broker's phase.
    pub phase: Rc<watch::Sender<Phase>>,
    /// The nodes that are out of use.
    pub maintenance: Rc<RefCell<Maintenance>>,
    /// Input channel of the planner.
    pub planner: UnboundedSender<Input<W>>,
    /// Channel to the task that saves the state which is to outlive this process, if a place to save it is configured.
    pub state_saver: Option<UnboundedSender<SaveRequest>>,
    /// The cluster, if this broker is part of one.
    pub cluster: Option<Box<dyn Cluster>>,
    /// What is known of the agreement on the NBD configuration, if this broker has peers.
    pub agreement: Option<Rc<RefCell<Status>>>,
    /// The clock.
    pub clock: Clock,
}

/// Changes the broker's phase at the time `at`. Fails if the current phase does not allow the transition.
pub fn change_phase(phase: &watch::Sender<Phase>, what: Transition, at: Time) -> Result<(), String> {
    let before = *phase.borrow();
    let after = before.after(what, at).map_err(|e| e.to_string())?;
    if after != before {
        tracing::info!(?before, ?after, "phase");
        phase.send_replace(after);
    }
    Ok(())
}

impl<W: Wire> CallHandler<W> {
    /// Executes a call and returns the answer, a line without its line end.
    pub async fn execute(&self, call: Result<Call, CallError>) -> String {
        let outcome =
            match &call {
                Err(error) => Err(error.to_string()),
                Ok(Call::Health) => self.health(),
                Ok(Call::Node { name, out }) => self.node(name, *out).await,
                Ok(Call::Leave) => change_phase(&self.phase, Transition::Leave, self.clock.now())
                    .map(|()| "leaving".to_string()),
                Ok(Call::Members) => self.members(),
                Ok(Call::Status) => self.agreement_status(),
                Ok(Call::Join) => change_phase(&self.phase, Transition::Join, self.clock.now())
                    .map(|()| "serving".to_string()),
            };
        match outcome {
            Ok(text) => format!("200 {text}"),
            Err(reason) => {
                tracing::info!(?call, reason, "call rejected");
                format!("400 {reason}")
            }
        }
    }

    fn members(&self) -> Result<String, String> {
        let members = self.cluster.as_ref().map(|c| c.members()).ok_or("no cluster")?;
        Some(members).filter(|s| !s.is_empty()).ok_or_else(|| "takes no part in the cluster".to_string())
    }

    fn agreement_status(&self) -> Result<String, String> {
        let status = self.agreement.as_ref().ok_or("no peers")?;
        serde_json::to_string(&*status.borrow()).map_err(|e| e.to_string())
    }

    fn health(&self) -> Result<String, String> {
        let phase = *self.phase.borrow();
        match phase {
            _ if !phase.is_healthy() => Err(format!("{phase:?}").to_ascii_lowercase()),
            _ if !self.maintenance.borrow().is_usable() => Err("no usable list of disk nodes".to_string()),
            _ => Ok("serving".to_string()),
        }
    }

    /// Takes a node out of use, or returns it to use. Answers once the scheduler has been notified, so that requests queued
    /// for the node are no longer sent to it.
    async fn node(&self, name: &str, out: bool) -> Result<String, String> {
        if let Some(cluster) = &self.cluster {
            if !self.maintenance.borrow().was_listed(name) {
                return Err(Refused::NeverListed.to_string());
            }
            let agreed = tokio::time::timeout(CALL_TIMEOUT, cluster.drain(name, out)).await;
            let agreed = agreed.ok().and_then(Result::ok).ok_or("not agreed on")?;
            let within = agreed.map_err(|gave_way| gave_way.to_string())?;
            let word = if out { "out" } else { "in use" };
            return Ok(format!("{word}, everywhere within {within} ms"));
        }
        let changed =
            self.maintenance.borrow_mut().set_out(self.clock.now(), name, out).map_err(|e| e.to_string())?;
        let processed = notify_nodes(&self.planner, changed);
        let saved = self.state_saver.as_ref().map(|saver| {
            let (request, saved) = oneshot::channel();
            let _ = saver.send(request);
            saved
        });
        let done = async {
            let _ = processed.await;
            match saved {
                None => false,
                Some(saved) => saved.await.unwrap_or(false),
            }
        };
        let saved =
            tokio::time::timeout(CALL_TIMEOUT, done).await.map_err(|_| "not yet in force".to_string())?;
        let word = if out { "out" } else { "in use" };
        Ok(if saved { word.to_string() } else { format!("{word}, in this process only") })
    }
}

/// Notifies the planner of changed nodes. The receiver completes when the planner has processed them.
pub fn notify_nodes<W: Wire>(
    planner: &UnboundedSender<Input<W>>,
    changed: Vec<ListedNode>,
) -> oneshot::Receiver<()> {
    let (processed, done) = oneshot::channel();
    if !changed.is_empty() {
        let _ = planner.send(Input::Nodes(ListKind::Changes, changed));
    }
    let _ = planner.send(Input::Barrier(processed));
    done
}
