//! Carries the operators' calls out and words their answers.

use super::{Call, CallError};
use crate::interface::{ListKind, Time};
use crate::state::maintenance::{Maintenance, Refused};
use crate::state::phase::{Phase, Transition};
use crate::state::planner::{Input, ListedNode, Wire};
use crate::wire::clock::Clock;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};

/// How long a call may take to be carried out: its caller waits a second.
const SOON: Duration = Duration::from_millis(900);

/// Asks that what is to outlive this process be written down; told when it is, and whether that worked.
pub type SaveRequest = oneshot::Sender<bool>;

/// What calls need of the cluster.
pub trait Cluster {
    /// Who belongs, as a line of JSON; empty where this broker takes no part any more.
    fn members(&self) -> String;
    /// Takes a node out everywhere, or puts it back. Told once that is agreed on, with the milliseconds until it holds.
    fn drain(&self, name: &str, out: bool) -> oneshot::Receiver<u64>;
}

/// What the calls act on.
pub struct CallHandler<W: Wire> {
    /// The broker's phase.
    pub phase: Rc<watch::Sender<Phase>>,
    /// The nodes that are out.
    pub maintenance: Rc<RefCell<Maintenance>>,
    /// The planner.
    pub planner: UnboundedSender<Input<W>>,
    /// Who writes down what is to outlive this process, if there is a place for it.
    pub state_saver: Option<UnboundedSender<SaveRequest>>,
    /// The cluster, where there is one.
    pub cluster: Option<Box<dyn Cluster>>,
    /// The time.
    pub clock: Clock,
}

/// Moves the broker's phase at a time; an error if there is no such way.
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
    /// Carries a call out and gives the answer, a line without its end.
    pub async fn take(&self, call: Result<Call, CallError>) -> String {
        let outcome =
            match &call {
                Err(wrong) => Err(wrong.to_string()),
                Ok(Call::Health) => self.health(),
                Ok(Call::Node { name, out }) => self.node(name, *out).await,
                Ok(Call::Leave) => change_phase(&self.phase, Transition::Leave, self.clock.now())
                    .map(|()| "leaving".to_string()),
                Ok(Call::Members) => self.members(),
                Ok(Call::Join) => change_phase(&self.phase, Transition::Join, self.clock.now())
                    .map(|()| "serving".to_string()),
            };
        match outcome {
            Ok(text) => format!("200 {text}"),
            Err(reason) => {
                tracing::info!(?call, reason, "call turned down");
                format!("400 {reason}")
            }
        }
    }

    fn members(&self) -> Result<String, String> {
        let said = self.cluster.as_ref().map(|c| c.members()).ok_or("no cluster")?;
        Some(said).filter(|s| !s.is_empty()).ok_or_else(|| "takes no part in the cluster".to_string())
    }

    fn health(&self) -> Result<String, String> {
        let phase = *self.phase.borrow();
        match phase {
            _ if !phase.is_healthy() => Err(format!("{phase:?}").to_ascii_lowercase()),
            _ if !self.maintenance.borrow().is_usable() => Err("no usable list of disk nodes".to_string()),
            _ => Ok("serving".to_string()),
        }
    }

    /// Answers once the scheduler knows and what was held for the node cannot go there any more.
    async fn node(&self, name: &str, out: bool) -> Result<String, String> {
        if let Some(cluster) = &self.cluster {
            if !self.maintenance.borrow().was_listed(name) {
                return Err(Refused::NeverListed.to_string());
            }
            let agreed = tokio::time::timeout(SOON, cluster.drain(name, out)).await;
            let within = agreed.ok().and_then(Result::ok).ok_or("not agreed on")?;
            let word = if out { "out" } else { "in use" };
            return Ok(format!("{word}, everywhere within {within} ms"));
        }
        let told =
            self.maintenance.borrow_mut().set_out(self.clock.now(), name, out).map_err(|e| e.to_string())?;
        let reached = notify_nodes(&self.planner, told);
        let kept = self.state_saver.as_ref().map(|keeper| {
            let (keep, kept) = oneshot::channel();
            let _ = keeper.send(keep);
            kept
        });
        let done = async {
            let _ = reached.await;
            match kept {
                None => false,
                Some(kept) => kept.await.unwrap_or(false),
            }
        };
        let kept = tokio::time::timeout(SOON, done).await.map_err(|_| "not yet in force".to_string())?;
        let word = if out { "out" } else { "in use" };
        Ok(if kept { word.to_string() } else { format!("{word}, in this process only") })
    }
}

/// Tells the planner of nodes; done when the turn that took it is over.
pub fn notify_nodes<W: Wire>(
    planner: &UnboundedSender<Input<W>>,
    told: Vec<ListedNode>,
) -> oneshot::Receiver<()> {
    let (reached, done) = oneshot::channel();
    if !told.is_empty() {
        let _ = planner.send(Input::Nodes(ListKind::Changes, told));
    }
    let _ = planner.send(Input::Barrier(reached));
    done
}
