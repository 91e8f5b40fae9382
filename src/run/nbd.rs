//! Starts the NBD front with a planner and a fleet of its own, and applies what its configuration becomes.

use super::catalogue::{Deploy, Shared};
use super::error::StartError;
use super::folder::{run_blocking, Predecessors};
use super::front::{sweep, Front};
use super::limits::Limits;
use super::listen::{listen_soon, listen_while};
use super::nbd_file::{NbdFile, Reread};
use super::peers::{Peers, SharedStatus};
use super::planner_driver::PlannerDriver;
use super::settings::Bounds;
use crate::interface::{ListKind, Time};
use crate::state::accept_queue::AcceptQueue;
use crate::state::agreement::Agreement;
use crate::state::buffer_budget::BufferBudget;
use crate::state::client_slots::ClientSlots;
use crate::state::phase::Phase;
use crate::state::planner::{Input, Planner};
use crate::state::pool::PoolLimits;
use crate::wire::clock::{Clock, LoopClock};
use crate::wire::discovery::NodeNumbers;
use crate::wire::link::Permit;
use crate::wire::nbd::client::Node;
use crate::wire::nbd::guard::Guard;
use crate::wire::nbd::server::{Client, Exports};
use crate::wire::nbd::Nbd;
use crate::wire::session::{RequestIds, SessionContext};
use bytes::Bytes;
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::{oneshot, watch};

/// What the front shares with the rest of the broker.
pub struct Place {
    /// The time.
    pub clock: Clock,
    /// Whether the process has been stalled.
    pub loop_clock: LoopClock,
    /// For random numbers.
    pub seed: u64,
    /// Its connections.
    pub limits: Limits,
    /// The broker's phase.
    pub phase: watch::Receiver<Phase>,
    /// Until when anything may be written to nodes.
    pub permit: Permit,
    /// What is known of the agreement among peers, kept up to date for operators.
    pub agreement: SharedStatus,
}

/// The front as it runs.
pub struct Running {
    /// Its clients.
    pub slots: ClientSlots,
    /// Where the fleet is told that all clients are gone.
    ending: UnboundedSender<oneshot::Sender<()>>,
}

/// The front, once it runs.
pub type SharedFront = Rc<OnceCell<Running>>;

/// What a front is started from.
pub struct Start {
    /// The NBD file.
    pub deploy: Deploy,
    /// The path of that file.
    pub path: String,
    /// What is shared with the rest of the broker.
    pub place: Place,
    /// The limits from the settings.
    pub bounds: Bounds,
}

/// How often it is looked whether the process before this one has ended.
const PREDECESSOR_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long the address may still be held once the process before this one has ended.
const ADDRESS_RELEASE_TIMEOUT: Duration = Duration::from_secs(4);

impl Start {
    /// Starts the front. Must run inside a [`tokio::task::LocalSet`].
    pub async fn now(self) -> Result<Running, StartError> {
        let listener = listen_soon(self.deploy.listen.as_deref().unwrap_or_default()).await?;
        start(self, listener)
    }

    /// Starts the front once the processes before this one have ended: two at once would write sums over one another's, and
    /// answer their peers under one name. Clients that connect meanwhile wait from the moment at which the address is free.
    /// Must run inside a [`tokio::task::LocalSet`].
    pub async fn after(mut self, predecessors: Predecessors, front: SharedFront) {
        tracing::info!("NBD front waits for the process before this one to end");
        let address = self.deploy.listen.clone().unwrap_or_default();
        let ended_at = Rc::new(Cell::new(None::<Instant>));
        let waits = || ended_at.get().is_none_or(|at| at.elapsed() < ADDRESS_RELEASE_TIMEOUT);
        let ended = async {
            wait_for_end(predecessors, self.place.clock).await;
            ended_at.set(Some(Instant::now()));
        };
        let (listener, ()) = tokio::join!(listen_while(&address, waits), ended);
        if self.place.phase.borrow().last_answer_at().is_some() {
            return;
        }
        self.reread().await;
        match listener.and_then(|listener| start(self, listener)) {
            Ok(running) => drop(front.set(running)),
            Err(error) => tracing::error!(%error, "NBD front not started"),
        }
    }

    /// Reads the file anew: it may have been written since this process was started.
    async fn reread(&mut self) {
        let path = self.path.clone();
        match run_blocking(move || Deploy::load(&path)).await {
            Some(Ok(Some(deploy))) => self.deploy = deploy,
            Some(Ok(None)) | None => {
                tracing::error!(path = self.path, "configuration was not read; the one of the start holds");
            }
            Some(Err(error)) => {
                tracing::error!(%error, "configuration not taken; the one of the start holds")
            }
        }
    }
}

/// Waits until no process that was started before this one is running.
async fn wait_for_end(predecessors: Predecessors, clock: Clock) {
    loop {
        let (looked_for, now) = (predecessors.clone(), clock.now());
        if run_blocking(move || looked_for.may_run(now)).await == Some(false) {
            return;
        }
        tokio::time::sleep(PREDECESSOR_CHECK_INTERVAL).await;
    }
}

/// How long the last notes at the nodes may take.
const LAST_NOTES: Duration = Duration::from_millis(1_200);

impl Running {
    /// Lets what is kept at the nodes come to its end, once all clients are gone.
    pub async fn close(&self) {
        let (done, closed) = oneshot::channel();
        // A fleet that is gone has nothing to note.
        if self.ending.send(done).is_ok() && tokio::time::timeout(LAST_NOTES, closed).await.is_err() {
            tracing::warn!("stopped with something still out at the nodes");
        }
    }
}

/// What is in force, and where news of it go.
struct Applied {
    deploy: Deploy,
    exports: Exports,
    numbers: NodeNumbers,
    planner: UnboundedSender<Input<Nbd>>,
}

impl Applied {
    /// Puts a configuration into force: sessions see its exports from their next request on, the planner is
    /// told of its nodes in one list.
    fn apply(&mut self, shared: &Shared) {
        let catalogue = match shared.catalogue(&self.deploy) {
            Ok(catalogue) => catalogue,
            Err(reason) => return tracing::error!(reason, "configuration not taken"),
        };
        let renewed = Rc::new(self.exports.borrow().renewed(catalogue));
        *self.exports.borrow_mut() = renewed.clone();
        let members = shared.members(&mut self.numbers);
        tracing::info!(exports = shared.exports.len(), nodes = members.len(), "configuration in force");
        // Ahead of the list, which has the exports' sums opened: what is asked for them holds under this configuration.
        let _ = self.planner.send(Input::Revoke(Box::new(move |request| renewed.revokes(request))));
        let _ = self.planner.send(Input::Nodes(ListKind::Full, members));
    }
}

fn start(start: Start, listener: TcpListener) -> Result<Running, StartError> {
    let Start { deploy, path, place, bounds } = start;
    let address = deploy.listen.clone().unwrap_or_default();
    let pool = PoolLimits { links: place.limits.links, links_per_node: 16, terms: bounds.links() };
    let mut planner = Planner::<Nbd>::new(deploy.settings(), place.seed, place.clock.now(), pool)?;
    planner.set_volume_limit(place.limits.volumes);
    let request_guard = planner.guard().clone();
    let (own, inputs) = unbounded_channel();
    let exports = Exports::default();
    let mut applied = Applied {
        exports: exports.clone(),
        numbers: NodeNumbers::default(),
        planner: own.clone(),
        deploy: deploy.clone(),
    };
    let ids = RequestIds::default();
    let interceptor =
        Guard::new(exports.clone(), ids.clone(), deploy.integrity.pages(), deploy.settings().warmup_time);
    let (ending, ended) = unbounded_channel();
    let driver = PlannerDriver {
        name: "nbd",
        planner,
        interceptor,
        shutdown_requests: ended,
        inputs,
        input_sender: own.clone(),
        loop_clock: place.loop_clock.clone(),
        connect_timeout: Rc::new(Cell::new(bounds.connect())),
        reply_budget: BufferBudget::new(place.limits.room),
        permit: place.permit,
    };
    tokio::task::spawn_local(driver.run(Node::new));
    let slots = ClientSlots::default();
    let front = Front {
        listener,
        context: SessionContext {
            planner: own.clone(),
            guard: request_guard,
            loop_clock: place.loop_clock,
            phase: place.phase,
        },
        slots: slots.clone(),
        max_clients: Rc::new(Cell::new(place.limits.clients)),
        // Clients say nothing before they are greeted, so nothing is owed to those that wait.
        accept_timeout: Box::new(|| Time::MAX),
        shared: false,
        accept_queue: Cell::new(AcceptQueue::of_own_socket()),
        socket_ages: RefCell::default(),
        waiting: RefCell::default(),
    };
    tokio::task::spawn_local(sweep(slots.clone(), place.clock));
    tokio::task::spawn_local(front.accept(move || Client::new(exports.clone(), ids.clone())));
    let mut hangup =
        signal(SignalKind::hangup()).map_err(|error| StartError::Io { what: "SIGHUP".to_string(), error })?;
    // Where news of the configuration go: to the peers, or into force at once where there are none.
    let mut news: Box<dyn FnMut(Shared)> = if deploy.peers.len() > 1 {
        let (wish, wishes) = unbounded_channel();
        let ids: Vec<u64> = deploy.peers.iter().map(|p| p.id).collect();
        let agreement = Agreement::new(deploy.own_peer, &ids, deploy.kept.clone())?;
        let (own, first) = (deploy.own_peer, encode(&deploy.shared));
        let status = place.agreement;
        let all = deploy.peers.clone();
        let peers = Peers { own, all, agreement, wishes, first, status };
        peers.start(move |value| match serde_json::from_slice(&value) {
            Ok(shared) => applied.apply(&shared),
            Err(error) => tracing::error!(%error, "peers agreed on something else than a configuration"),
        })?;
        Box::new(move |shared| {
            let _ = wish.send(encode(&shared));
        })
    } else {
        applied.apply(&deploy.shared);
        Box::new(move |shared| applied.apply(&shared))
    };
    let agrees = deploy.peers.len() > 1;
    tokio::task::spawn_local(async move {
        let mut file = NbdFile::new(path, deploy.shared).await;
        while hangup.recv().await.is_some() {
            match file.reread().await {
                Reread::Written(shared) => news(shared),
                // The signal was for other files: what has been agreed on since stays.
                Reread::Untouched(_) if agrees => {
                    tracing::info!(
                        path = file.path(),
                        "configuration not written since it was read: not proposed"
                    );
                }
                Reread::Untouched(shared) => news(shared),
                Reread::Missing => {
                    tracing::error!(path = file.path(), "configuration is gone; the last one stays");
                }
                Reread::Invalid(error) => tracing::error!(%error, "configuration not taken"),
                Reread::Unread => tracing::error!(path = file.path(), "configuration was not read"),
            }
        }
    });
    tracing::info!(listen = address, "NBD front on");
    Ok(Running { slots, ending })
}

fn encode(shared: &Shared) -> Bytes {
    // Names and numbers only: there is nothing in it that JSON could not hold.
    serde_json::to_vec(shared).unwrap_or_default().into()
}
