//! Assembles the broker, serves until a stop signal, and answers all accepted requests before it ends.

use super::active_settings::ActiveSettings;
use super::catalogue::Deploy;
use super::cluster::{Cluster, Hooks, Order, WithoutLease};
use super::config::{Config, ConfigError};
use super::error::{io, StartError};
use super::folder;
use super::front::{sweep, Front};
use super::handover::HandoverTask;
use super::limits::Limits;
use super::listen::{adopt, listen_soon};
use super::nbd;
use super::peers::SharedStatus;
use super::planner_driver::PlannerDriver;
use super::reload::{longest, ConfigReloader};
use super::stop::Shutdown;
use crate::interface::{ListKind, Time};
use crate::state::accept_queue::AcceptQueue;
use crate::state::buffer_budget::BufferBudget;
use crate::state::client_slots::ClientSlots;
use crate::state::handover::Process;
use crate::state::interceptor::PassThrough;
use crate::state::list_validity::ListValidity;
use crate::state::maintenance::Maintenance;
use crate::state::membership::mix;
use crate::state::phase::{Phase, Transition};
use crate::state::planner::{Input, Planner};
use crate::state::pool::PoolLimits;
use crate::state::starts::StartTimes;
use crate::wire::admin;
use crate::wire::admin::handler::{change_phase, notify_nodes, CallHandler};
use crate::wire::admin::serve::MAX_CONNECTIONS;
use crate::wire::clock::{Clock, LoopClock};
use crate::wire::discovery::NodeNumbers;
use crate::wire::link::{Permit, SendDeadlines};
use crate::wire::resp::client::Node;
use crate::wire::resp::server::{Client, SharedState};
use crate::wire::resp::Resp;
use crate::wire::session::SessionContext;
use crate::wire::watch::WatchTask;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;

/// How long a process that starts alongside another one waits for its part of the limits before it serves without one.
const PART: Duration = Duration::from_millis(2_500);

/// Leaves the cluster when an operator calls LEAVE, and rejoins it at JOIN.
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
    // The signal handlers come first: a signal without a handler would end the process.
    let mut term = signal(SignalKind::terminate()).map_err(io("SIGTERM"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(io("SIGINT"))?;
    let hangup = signal(SignalKind::hangup()).map_err(io("SIGHUP"))?;
    let clock = Clock::system();
    let deploy = Deploy::load(&config.nbd_file)?;
    let nbd_on = deploy.as_ref().is_some_and(|d| d.listen.is_some());
    let callers = if config.admin.is_some() { MAX_CONNECTIONS } else { 0 };
    let deployed = config.limits;
    let share = move |descriptors| Limits::share(descriptors, deployed.memory_mb, nbd_on, callers);
    let (limits, nbd_limits) = share(deployed.sockets);
    let bounds = config.start.bounds;
    let lists = Rc::new(Cell::new(config.start.lists));
    let (phase, phases) = watch::channel(Phase::default());
    let phase = Rc::new(phase);
    let slots = ClientSlots::default();
    let loop_clock = LoopClock::new(clock);
    tokio::task::spawn_local(loop_clock.clone().run());

    // Reads the state that the previous process left; that process may still be running.
    let name = format!("claywinch-{}.handover", config.name.replace(['/', '\\', '.'], "_"));
    let file = config.folder.filter(|_| passed.is_some() || config.admin.is_some()).map(|f| f.join(name));
    let started = clock.now();
    let id = config.seed ^ u64::from(std::process::id()).rotate_left(32);
    let (left, another_lives) = file.as_deref().map_or((None, false), |path| folder::inherit(path, id));
    let beside = passed.is_some() && another_lives;
    // How many descriptors the other process holds is not known yet, so this process starts with half of them.
    let (own_limits, _) = share(if beside { deployed.sockets / 2 } else { deployed.sockets });
    let most = Rc::new(Cell::new(own_limits.clients));
    let pool = PoolLimits { links: own_limits.links, links_per_node: 40, terms: bounds.links() };

    let mut active = ActiveSettings::default();
    let deadlines = Rc::new(Cell::new(longest(&config.start)));
    let unusable = |reason| ConfigError::Content { path: config.path.clone(), reason };
    let terms = active.take(config.start).map_err(unusable)?;
    let settings = active.settings().ok_or(unusable("it has no classes".to_string()))?;
    let zones = Rc::new(RefCell::new(active.zones()));
    let cold = settings.warmup_time + settings.cold_window;
    let mut planner = Planner::<Resp>::new(settings, config.seed, clock.now(), pool)?;
    planner.set_volume_limit(limits.volumes);
    let guard = planner.guard().clone();
    let (own, inputs) = unbounded_channel();
    let mut numbers = NodeNumbers::default();
    let mut maintenance = Maintenance::default();
    let revision = Rc::new(Cell::new(config.known.as_ref().map_or(0, |known| known.revision)));
    // The last known list of nodes is applied first, before any request.
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
        maintenance.merge(clock.now(), left.bans);
    }
    if file.is_some() {
        // This process has no part of the limits until its part is recorded: another process may be using all of them.
        let _ = own.send(Input::LimitShare(0.0));
    }
    let (mut known, mut starts) = (known.unwrap_or_default(), StartTimes::new(clock.now()));
    for listed in &mut known {
        let entry = &mut listed.member.entry;
        entry.started = starts.adopt(clock.now(), entry.node, entry.started);
    }
    let known = maintenance.apply_list(clock.now(), ListKind::Saved, known);
    let _ = own.send(Input::Nodes(ListKind::Saved, known));
    let maintenance = Rc::new(RefCell::new(maintenance));
    let budget = BufferBudget::new(limits.room);
    let connect_timeout = Rc::new(Cell::new(bounds.connect()));
    // Streamed replies have a budget of their own, so that slow clients of large values do not use up that of small requests.
    let windows = BufferBudget::new(limits.windows);
    // A broker of a cluster that needs a lease sends nothing before its first lease.
    let bound = config.cluster.as_ref().is_some_and(|file| file.without_lease == WithoutLease::Stop);
    let lease = Rc::new(Cell::new(if bound { Time::MIN } else { Time::MAX }));
    let permit: Permit = Rc::new(SendDeadlines { lease, list: Cell::new(Time::MAX) });
    let driver = PlannerDriver {
        name: "resp",
        planner,
        interceptor: PassThrough,
        shutdown_requests: unbounded_channel().1,
        inputs,
        input_sender: own.clone(),
        loop_clock: loop_clock.clone(),
        connect_timeout: connect_timeout.clone(),
        reply_budget: budget.clone(),
        permit: permit.clone(),
    };
    tokio::task::spawn_local(driver.run(move |()| Node::new(windows.clone())));
    let common = Rc::new(SharedState::new(terms, budget, phases.clone()));
    let (moved, address) = watch::channel(config.discovery);
    let follow = ConfigReloader {
        path: config.path,
        text: config.text,
        active,
        common: common.clone(),
        planner: own.clone(),
        zones: zones.clone(),
        connect_timeout,
        discovery: moved,
        lists: lists.clone(),
        deadlines: deadlines.clone(),
        phase: phase.clone(),
        clock,
    };
    tokio::task::spawn_local(follow.run(hangup));
    let watcher = WatchTask {
        address,
        revision: revision.clone(),
        numbers,
        zones,
        planner: own.clone(),
        maintenance: maintenance.clone(),
        list_validity: ListValidity::new(clock.now(), lists.get(), beside, config.seed),
        terms: lists,
        permit: permit.clone(),
        starts,
        loop_clock: loop_clock.clone(),
    };
    tokio::task::spawn_local(watcher.run());

    let inherited = passed.is_some();
    // Nothing after this may block: from here on, clients that connect expect an answer.
    let lock = file.as_deref().and_then(|path| folder::lock_as_alive(path, id));
    let front = Front {
        listener: match passed {
            Some(passed) => adopt(passed)?,
            None => listen_soon(&config.listen).await?,
        },
        context: SessionContext {
            planner: own.clone(),
            guard: guard.clone(),
            loop_clock: loop_clock.clone(),
            phase: phases.clone(),
        },
        slots: slots.clone(),
        max_clients: most.clone(),
        accept_timeout: Box::new({
            let common = common.clone();
            move || common.schema.borrow().accept_timeout()
        }),
        shared: inherited,
        accept_queue: Cell::new(match inherited {
            true => AcceptQueue::of_shared_socket(clock.now()),
            false => AcceptQueue::of_own_socket(),
        }),
        socket_ages: RefCell::default(),
        waiting: RefCell::default(),
    };
    let (keeper, wanted) = unbounded_channel();
    let (part, mut parts) = watch::channel(0.0);
    if let Some(path) = &file {
        let task = HandoverTask {
            path: path.clone(),
            own: Process { id, started, ready: false, beat: 0, held: 0, part: 0.0, locks: lock.is_some() },
            maintenance: maintenance.clone(),
            revision,
            save_requests: wanted,
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
    tokio::task::spawn_local(sweep(slots.clone(), clock));
    let (nbd, mut agreement) = (nbd::SharedFront::default(), None);
    if let Some(deploy) = deploy.filter(|_| nbd_on) {
        let status = SharedStatus::default();
        agreement = Some(status.clone()).filter(|_| deploy.peers.len() > 1);
        // The NBD nodes are listed in a file, so the age of discovery's list does not limit sending to them.
        let list = Cell::new(Time::MAX);
        let place = nbd::Place {
            clock,
            loop_clock: loop_clock.clone(),
            seed: config.seed,
            limits: nbd_limits,
            phase: phases.clone(),
            permit: Rc::new(SendDeadlines { lease: permit.lease.clone(), list }),
            agreement: status,
        };
        let start = nbd::Start { deploy, path: config.nbd_file, place, bounds };
        match file.clone().filter(|_| another_lives) {
            Some(path) => {
                let predecessors = folder::Predecessors { path, own: id, started };
                tokio::task::spawn_local(start.after(predecessors, nbd.clone()));
            }
            None => drop(nbd.set(start.now().await?)),
        }
    }
    let cluster = match config.cluster {
        None => None,
        Some(file) => {
            let (nodes, planner) = (maintenance.clone(), own.clone());
            let apply = Box::new(move |drains: &BTreeSet<String>| {
                let told = nodes.borrow_mut().set_shared(clock.now(), drains.clone());
                notify_nodes(&planner, told)
            });
            let (nodes, planner) = (maintenance.clone(), own.clone());
            let halt = Box::new(move |halted| {
                let suspended = nodes.borrow_mut().set_halted(halted);
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
        let cluster = cluster.clone().map(|c| Box::new(c) as Box<dyn admin::handler::Cluster>);
        let keeper = file.is_some().then_some(keeper);
        let handler = Rc::new(CallHandler {
            phase: phase.clone(),
            maintenance,
            planner: own.clone(),
            state_saver: keeper,
            cluster,
            agreement,
            clock,
        });
        let callers = ClientSlots::default();
        tokio::task::spawn_local(sweep(callers.clone(), clock));
        tokio::task::spawn_local(admin::serve::accept(listen_soon(address).await?, handler, callers));
        tracing::info!(address, "operators' calls");
    }
    let _ = change_phase(&phase, Transition::Started, clock.now());
    tracing::info!(name = config.name, listen = config.listen, inherited, beside, ?limits, "serving");

    let shutdown = Shutdown {
        guard,
        phase,
        loop_clock,
        slots,
        nbd,
        accepting,
        deadlines,
        hand_over: file.map(|path| (path, id)),
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    if let Some(cluster) = cluster {
        // Leaving the cluster runs concurrently with the last answers.
        tokio::task::spawn_local(async move { cluster.leave().await });
    }
    shutdown.run().await;
    Ok(())
}
