//! Puts the broker together, serves until it is told to stop, and sees everything answered before it ends.

use super::catalogue::Deploy;
use super::cluster::{Cluster, Hooks, Order, WithoutLease};
use super::config::{reread, Config, ConfigError, Reread};
use super::error::{io, StartError};
use super::fleet::Fleet;
use super::front::{listen, sweep, Front};
use super::handover::{self, Keeper};
use super::limits::Limits;
use super::nbd;
use super::tuning::Tuning;
use crate::interface::{ListKind, Time};
use crate::state::handover::Process;
use crate::state::membership::mix;
use crate::state::phase::{last_read, Move, Phase};
use crate::state::planner::{Input, Planner};
use crate::state::pool::{LinkTerms, PoolLimits};
use crate::state::room::Room;
use crate::state::seats::Seats;
use crate::state::stage::Through;
use crate::state::starts::Starts;
use crate::state::told::{Terms, Told};
use crate::state::upkeep::Upkeep;
use crate::wire::admin;
use crate::wire::admin::desk::{step, tell, Desk};
use crate::wire::admin::serve::MOST_CALLERS;
use crate::wire::clock::{Clock, Pulse};
use crate::wire::discovery::NodeNumbers;
use crate::wire::link::{Limits as Written, Permit};
use crate::wire::resp::client::Node;
use crate::wire::resp::server::{Client, Common};
use crate::wire::resp::Resp;
use crate::wire::watch::WatchTask;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::watch;

/// How long new connections are taken after the signal to stop.
const STILL_ACCEPTING: Duration = Duration::from_millis(500);
/// The platform ends a process so long after the signal: the longest deadline, within these bounds, and a little.
const MOST_GRACE: Time = 3_000_000;
/// See `MOST_GRACE`.
const LEAST_GRACE: Time = 500_000;
/// See `MOST_GRACE`.
const AFTER_GRACE: Time = 700_000;
/// How long a process that comes second waits for its part of the limits before it serves without one.
const PART: Duration = Duration::from_millis(2_500);
/// How long the last answers may take: longer than any client waits.
const LAST_ANSWERS: Duration = Duration::from_secs(60);

/// How often it is looked whether classes that were dropped are still open.
const RETIRING: Duration = Duration::from_millis(500);

/// Takes the configuration anew at each SIGHUP.
struct Follow {
    path: String,
    /// The settings in force as they stand in their file.
    text: serde_json::Value,
    tuning: Tuning,
    common: Rc<Common>,
    planner: UnboundedSender<Input<Resp>>,
    zones: Rc<RefCell<Vec<String>>>,
    connect_timeout: Rc<Cell<Duration>>,
    discovery: watch::Sender<String>,
    lists: Rc<Cell<Terms>>,
}

impl Follow {
    /// Reads at each SIGHUP. A file that cannot be used changes nothing.
    async fn run(mut self, mut hangup: Signal) {
        let (mut links, mut in_use) = (None, self.tuning.in_use());
        loop {
            tokio::select! {
                hung = hangup.recv() => {
                    if hung.is_none() {
                        return;
                    }
                    let taken = reread(&self.path, &self.text).map_err(|e| e.to_string());
                    match taken.and_then(|new| self.take(new)) {
                        Ok(terms) => links = Some(terms),
                        Err(error) => tracing::error!(error, "configuration not taken"),
                    }
                }
                () = tokio::time::sleep(RETIRING), if links.is_some() && in_use != self.live() => {}
            }
            // The last request of a class that was dropped may have had its answer.
            if let Some(links) = links.filter(|_| in_use != self.tuning.in_use()) {
                in_use = self.tuning.in_use();
                self.tell(links);
            }
        }
    }

    /// Classes that clients may name.
    fn live(&self) -> usize {
        self.common.terms.borrow().classes.len()
    }

    /// Takes what was read whole, all at once.
    fn take(&mut self, new: Reread) -> Result<LinkTerms, String> {
        let (bounds, lists) = (new.start.bounds, new.start.lists);
        let terms = self.tuning.take(new.start)?;
        *self.common.terms.borrow_mut() = Rc::new(terms);
        *self.zones.borrow_mut() = self.tuning.zones();
        self.connect_timeout.set(bounds.connect());
        self.lists.set(lists);
        self.text = new.text;
        self.tell(bounds.links());
        let classes = self.live();
        let discovery = new.discovery.unwrap_or_else(|| self.discovery.borrow().clone());
        tracing::info!(discovery, classes, open_classes = self.tuning.in_use(), "configuration read anew");
        self.discovery.send_if_modified(|old| std::mem::replace(old, discovery.clone()) != discovery);
        Ok(bounds.links())
    }

    /// Tells the scheduler. What clients asked before is on its way to it before this.
    fn tell(&self, links: LinkTerms) {
        if let Some(settings) = self.tuning.settings() {
            let _ = self.planner.send(Input::Settings(Box::new(settings), links));
        }
    }
}

/// Leaves the cluster with LEAVE, and comes back with JOIN.
async fn follow_phase(cluster: Cluster, mut phases: watch::Receiver<Phase>) {
    let leaves = |phase: &Phase| matches!(phase, Phase::Leaving(..));
    let mut left = false;
    while phases.changed().await.is_ok() {
        let leaving = leaves(&phases.borrow_and_update());
        if std::mem::replace(&mut left, leaving) != leaving {
            cluster.order(if leaving { Order::Leave(None) } else { Order::Join });
        }
    }
}

/// Runs a broker until it has stopped; `passed` is the clients' listening socket where the platform holds it. Must
/// run inside a [`tokio::task::LocalSet`].
pub async fn run(config: Config, passed: Option<std::net::TcpListener>) -> Result<(), StartError> {
    // Signals first: one that comes before its handler ends the program.
    let mut term = signal(SignalKind::terminate()).map_err(io("SIGTERM"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(io("SIGINT"))?;
    let hangup = signal(SignalKind::hangup()).map_err(io("SIGHUP"))?;
    let clock = Clock::system();
    let deploy = Deploy::load(&config.nbd_file)?;
    let nbd_on = deploy.as_ref().is_some_and(|d| d.listen.is_some());
    let callers = if config.admin.is_some() { MOST_CALLERS } else { 0 };
    let deployed = config.limits;
    let share = move |descriptors| Limits::share(descriptors, deployed.memory_mb, nbd_on, callers);
    let (limits, nbd_limits) = share(deployed.sockets);
    let bounds = config.start.bounds;
    let lists = Rc::new(Cell::new(config.start.lists));
    let (phase, phases) = watch::channel(Phase::default());
    let phase = Rc::new(phase);
    let seats = Seats::default();
    let pulse = Pulse::new(clock);
    tokio::task::spawn_local(pulse.clone().run());

    // What the process before this one has left, if it may still be running, too.
    let name = format!("claywinch-{}.handover", config.name.replace(['/', '\\', '.'], "_"));
    let file = config.folder.filter(|_| passed.is_some() || config.admin.is_some()).map(|f| f.join(name));
    let left = file.as_deref().and_then(handover::read);
    let beside = passed.is_some() && left.as_ref().is_some_and(|left| !left.processes.is_empty());
    // What the other process holds is not known yet.
    let (own_limits, _) = share(if beside { deployed.sockets / 2 } else { deployed.sockets });
    let most = Rc::new(Cell::new(own_limits.clients));
    let pool = PoolLimits { links: own_limits.links, links_per_node: 40, terms: bounds.links() };

    let mut tuning = Tuning::default();
    let longest = config.start.deadlines.iter().copied().max().unwrap_or(0);
    let unusable = |reason| ConfigError::Content { path: config.path.clone(), reason };
    let terms = tuning.take(config.start).map_err(unusable)?;
    let settings = tuning.settings().ok_or(unusable("it has no classes".to_string()))?;
    let zones = Rc::new(RefCell::new(tuning.zones()));
    let cold = settings.cold_time + settings.fall_time;
    let planner = Planner::<Resp>::new(settings, config.seed, clock.now(), pool)?;
    let (own, inputs) = unbounded_channel();
    let mut numbers = NodeNumbers::default();
    let mut upkeep = Upkeep::default();
    let revision = Rc::new(Cell::new(config.known.as_ref().map_or(0, |known| known.revision)));
    // The list last had comes first of all, before any request.
    let mut known = config.known.map(|known| known.into_listed(&mut numbers, &zones.borrow()));
    if let Some(left) = left {
        tracing::info!(
            revision = left.revision,
            nodes = left.nodes.len(),
            calls = left.bans.len(),
            "taken over"
        );
        if left.revision >= revision.get() && !left.nodes.is_empty() {
            revision.set(left.revision);
            known = Some(left.nodes.into_iter().map(|n| n.listed(|name| numbers.number(name))).collect());
        }
        upkeep.merge(clock.now(), left.bans);
    }
    if file.is_some() {
        // Until its part of the limits is on record: another process may spend by all of them.
        let _ = own.send(Input::Part(0.0));
    }
    let (mut known, mut starts) = (known.unwrap_or_default(), Starts::new(clock.now()));
    for listed in &mut known {
        let entry = &mut listed.member.entry;
        entry.started = starts.adopt(clock.now(), entry.node, entry.started);
    }
    let known = upkeep.list(clock.now(), ListKind::Saved, known);
    let _ = own.send(Input::Nodes(ListKind::Saved, known));
    let upkeep = Rc::new(RefCell::new(upkeep));
    let room = Room::new(limits.room);
    let connect_timeout = Rc::new(Cell::new(bounds.connect()));
    // Slow clients of large values must not use up the room of small requests.
    let windows = Room::new(limits.windows);
    // A broker of a cluster sends nothing before its first lease.
    let bound = config.cluster.as_ref().is_some_and(|file| file.without_lease == WithoutLease::Stop);
    let lease = Rc::new(Cell::new(if bound { Time::MIN } else { Time::MAX }));
    let permit: Permit = Rc::new(Written { lease, list: Cell::new(Time::MAX) });
    let fleet = Fleet {
        name: "resp",
        planner,
        stage: Through,
        ending: unbounded_channel().1,
        inputs,
        own: own.clone(),
        pulse: pulse.clone(),
        connect_timeout: connect_timeout.clone(),
        room: room.clone(),
        permit: permit.clone(),
    };
    tokio::task::spawn_local(fleet.run(move |_| Node::new(windows.clone())));
    let common = Rc::new(Common::new(terms, room, phases.clone()));
    let (moved, address) = watch::channel(config.discovery);
    let follow = Follow {
        path: config.path,
        text: config.text,
        tuning,
        common: common.clone(),
        planner: own.clone(),
        zones: zones.clone(),
        connect_timeout,
        discovery: moved,
        lists: lists.clone(),
    };
    tokio::task::spawn_local(follow.run(hangup));
    let watcher = WatchTask {
        address,
        revision: revision.clone(),
        numbers,
        zones,
        planner: own.clone(),
        upkeep: upkeep.clone(),
        told: Told::new(clock.now(), lists.get(), beside, config.seed),
        terms: lists,
        permit: permit.clone(),
        starts,
        pulse: pulse.clone(),
    };
    tokio::task::spawn_local(watcher.run());

    let inherited = passed.is_some();
    let front = Front {
        listener: match passed {
            Some(passed) => TcpListener::from_std(passed).map_err(io("the inherited socket"))?,
            None => listen(&config.listen)?,
        },
        planner: own.clone(),
        pulse: pulse.clone(),
        seats: seats.clone(),
        most: most.clone(),
        phase: phases.clone(),
    };
    let (keeper, wanted) = unbounded_channel();
    let id = config.seed ^ u64::from(std::process::id()).rotate_left(32);
    let (part, mut parts) = watch::channel(0.0);
    if let Some(path) = &file {
        let lock = handover::live(path, id);
        let task = Keeper {
            path: path.clone(),
            own: Process {
                id,
                started: clock.now(),
                ready: false,
                beat: 0,
                held: 0,
                part: 0.0,
                locks: lock.is_some(),
            },
            upkeep: upkeep.clone(),
            revision,
            wishes: wanted,
            planner: own.clone(),
            phase: phase.clone(),
            cold,
            descriptors: deployed.sockets,
            share: Rc::new(move |descriptors| {
                let (own, _) = share(descriptors);
                (own.clients, own.links)
            }),
            clients: most,
            part,
            lock,
            clock,
        };
        tokio::task::spawn_local(task.run(beside));
    }
    if beside && tokio::time::timeout(PART, parts.wait_for(|part| *part > 0.0)).await.is_err() {
        tracing::warn!("no part of the limits yet: the process before this one has promised none");
    }
    let accepting = tokio::task::spawn_local(front.accept(move || Client::new(common.clone())));
    tokio::task::spawn_local(sweep(seats.clone(), clock));
    let nbd = match deploy.filter(|_| nbd_on) {
        None => None,
        Some(deploy) => {
            let phase = phases.clone();
            // Its nodes stand in a file: what discovery may have told does not concern them.
            let list = Cell::new(Time::MAX);
            let permit = Rc::new(Written { lease: permit.lease.clone(), list });
            let place = nbd::Place { clock, pulse, seed: config.seed, limits: nbd_limits, phase, permit };
            Some(nbd::start(deploy, config.nbd_file, place, bounds)?)
        }
    };
    let cluster = match config.cluster {
        None => None,
        Some(file) => {
            let (nodes, planner) = (upkeep.clone(), own.clone());
            let apply = Box::new(move |drains: &BTreeSet<String>| {
                let told = nodes.borrow_mut().share(clock.now(), drains.clone());
                tell(&planner, told)
            });
            let (nodes, planner) = (upkeep.clone(), own.clone());
            let halt = Box::new(move |halted| {
                let suspended = nodes.borrow_mut().halt(halted);
                let _ = planner.send(Input::Suspended(suspended));
            });
            let hooks = Hooks { apply, halt, permit: permit.clone() };
            Some(Cluster::start(file, mix(&clock.now().to_le_bytes(), id), clock, hooks).await?)
        }
    };
    if let Some(cluster) = cluster.clone() {
        tokio::task::spawn_local(follow_phase(cluster, phases.clone()));
    }
    if let Some(address) = &config.admin {
        let cluster = cluster.clone().map(|c| Box::new(c) as Box<dyn admin::desk::Cluster>);
        let keeper = file.is_some().then_some(keeper);
        let desk = Rc::new(Desk { phase: phase.clone(), upkeep, planner: own, keeper, cluster, clock });
        let callers = Seats::default();
        tokio::task::spawn_local(sweep(callers.clone(), clock));
        tokio::task::spawn_local(admin::serve::accept(listen(address)?, desk, callers));
        tracing::info!(address, "operators' calls");
    }
    let _ = step(&phase, Move::Started, clock);
    tracing::info!(name = config.name, listen = config.listen, inherited, beside, ?limits, "serving");

    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!(clients = seats.len(), "stopping");
    if let Some(cluster) = cluster {
        // Beside the last answers, not before them.
        tokio::task::spawn_local(async move { cluster.leave().await });
    }
    let grace = longest.clamp(LEAST_GRACE, MOST_GRACE) + AFTER_GRACE;
    // The signal comes as soon as the next process answers, which may be before its word is read here.
    if file.as_deref().is_some_and(|path| handover::is_followed(path, id)) {
        let _ = step(&phase, Move::Yield(true), clock);
    }
    let _ = step(&phase, Move::Stop(grace), clock);
    let handing = matches!(*phase.borrow(), Phase::HandingOver(..));
    let reads_on = Duration::from_micros(last_read(grace) as u64);
    tokio::time::sleep(if handing { reads_on } else { STILL_ACCEPTING }).await;
    let _ = step(&phase, Move::Close, clock);
    let empty = || seats.is_empty() && nbd.as_ref().is_none_or(|n| n.seats.is_empty());
    let emptied = async {
        // What the kernel had accepted takes its seats first. A task that is gone takes none.
        let _ = accepting.await;
        while !empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    match tokio::time::timeout(LAST_ANSWERS, emptied).await {
        Ok(()) => {
            if let Some(nbd) = &nbd {
                nbd.close().await;
            }
            tracing::info!("stopped");
        }
        Err(_) => tracing::warn!(clients = seats.len(), "stopped with clients unanswered"),
    }
    if let Some(path) = &file {
        handover::leave(path, id);
    }
    Ok(())
}
