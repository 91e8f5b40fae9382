//! Puts the broker together, serves until it is told to stop, and sees everything answered before it ends.

use super::catalogue::Deploy;
use super::config::{reread, Config};
use super::error::{io, StartError};
use super::fleet::Fleet;
use super::front::{listen, sweep, Front};
use super::handover::{self, Keeper};
use super::limits::Limits;
use super::nbd;
use super::settings::Start;
use crate::interface::{ListKind, Time};
use crate::state::handover::Process;
use crate::state::phase::{last_read, Move, Phase};
use crate::state::planner::{Input, Planner};
use crate::state::pool::PoolLimits;
use crate::state::room::Room;
use crate::state::seats::Seats;
use crate::state::stage::Through;
use crate::state::upkeep::Upkeep;
use crate::wire::admin;
use crate::wire::admin::desk::{step, Desk};
use crate::wire::admin::serve::MOST_CALLERS;
use crate::wire::clock::{Clock, Pulse};
use crate::wire::discovery::NodeNumbers;
use crate::wire::resp::client::Node;
use crate::wire::resp::server::{ClassTerms, Client, Common, Terms};
use crate::wire::resp::Resp;
use crate::wire::watch::WatchTask;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;

/// How long new connections are taken after the signal to stop.
const STILL_ACCEPTING: Duration = Duration::from_millis(500);
/// The platform ends a process so long after the signal: the longest deadline, within these bounds, and a little.
const MOST_GRACE: Time = 3_000_000;
/// See `MOST_GRACE`.
const LEAST_GRACE: Time = 500_000;
/// See `MOST_GRACE`.
const AFTER_GRACE: Time = 700_000;
/// How long the last answers may take: longer than any client waits.
const LAST_ANSWERS: Duration = Duration::from_secs(60);

/// What clients may ask for, by the settings.
fn terms(start: &Start) -> Terms {
    let class = |(i, name): (usize, &String)| ClassTerms {
        name: name.clone(),
        deadline: start.deadlines[i],
        writes: start.writes.get(i).copied().flatten(),
    };
    Terms {
        classes: start.classes.iter().enumerate().map(class).collect(),
        plans: start.plans.clone(),
        most_units: start.settings.most_units as u32,
        shards: start.shards,
    }
}

/// Reads the configuration anew at each SIGHUP and tells where discovery is now. A file that cannot be used
/// changes nothing.
async fn follow(mut hangup: Signal, path: String, discovery: watch::Sender<String>) {
    while hangup.recv().await.is_some() {
        match reread(&path) {
            Ok(new) => {
                let new = new.unwrap_or_else(|| discovery.borrow().clone());
                tracing::info!(discovery = new, "configuration read anew");
                discovery.send_if_modified(|old| std::mem::replace(old, new.clone()) != new);
            }
            Err(error) => tracing::error!(%error, "configuration not taken"),
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
    let pool = PoolLimits {
        links: own_limits.links,
        links_per_node: 40,
        multiplex: bounds.multiplex,
        idle: bounds.conn_idle * 3 / 5,
    };

    let settings = config.start.settings.clone();
    let cold = settings.cold_time + settings.fall_time;
    let planner = Planner::<Resp>::new(settings, config.seed, clock.now(), pool)?;
    let (own, inputs) = unbounded_channel();
    let (wish, wishes) = unbounded_channel();
    let mut numbers = NodeNumbers::default();
    let mut upkeep = Upkeep::default();
    let revision = Rc::new(Cell::new(config.known.as_ref().map_or(0, |known| known.revision)));
    // The list last had comes first of all, before any request: it also makes the planner ask for news.
    let mut known = config.known.map(|known| known.into_listed(&mut numbers, &config.start.zones));
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
    let known = upkeep.list(clock.now(), ListKind::Saved, known.unwrap_or_default());
    let _ = own.send(Input::Nodes(ListKind::Saved, known));
    let upkeep = Rc::new(RefCell::new(upkeep));
    let room = Room::new(limits.room);
    let fleet = Fleet {
        name: "resp",
        planner,
        stage: Through,
        ending: unbounded_channel().1,
        inputs,
        own: own.clone(),
        watch: wish,
        clock,
        connect_timeout: Duration::from_micros(bounds.connect_timeout.max(1000) as u64),
        room: room.clone(),
    };
    tokio::task::spawn_local(fleet.run(|_| Node::default()));
    let terms = terms(&config.start);
    let zones = config.start.zones;
    let (moved, address) = watch::channel(config.discovery);
    tokio::task::spawn_local(follow(hangup, config.path, moved));
    let watcher = WatchTask {
        address,
        revision: revision.clone(),
        numbers,
        zones,
        wishes,
        planner: own.clone(),
        upkeep: upkeep.clone(),
        clock,
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
    let common = Rc::new(Common::new(terms, room, phases.clone()));
    tokio::task::spawn_local(front.accept(move || Client::new(common.clone())));
    tokio::task::spawn_local(sweep(seats.clone(), clock));
    let nbd = match deploy.filter(|_| nbd_on) {
        None => None,
        Some(deploy) => {
            let phase = phases.clone();
            let place = nbd::Place { clock, pulse, seed: config.seed, limits: nbd_limits, phase };
            Some(nbd::start(deploy, config.nbd_file, place, bounds)?)
        }
    };
    let (keeper, wanted) = unbounded_channel();
    let id = config.seed ^ u64::from(std::process::id()).rotate_left(32);
    if let Some(path) = &file {
        let task = Keeper {
            path: path.clone(),
            own: Process { id, started: clock.now(), ready: false, beat: 0, held: 0 },
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
            clock,
        };
        tokio::task::spawn_local(task.run(beside));
    }
    if let Some(address) = &config.admin {
        let keeper = file.is_some().then_some(keeper);
        let desk = Rc::new(Desk { phase: phase.clone(), upkeep, planner: own, keeper, clock });
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
    let longest = config.start.deadlines.iter().copied().max().unwrap_or(0);
    let grace = longest.clamp(LEAST_GRACE, MOST_GRACE) + AFTER_GRACE;
    let _ = step(&phase, Move::Stop(grace), clock);
    let handing = matches!(*phase.borrow(), Phase::HandingOver(..));
    let reads_on = Duration::from_micros(last_read(grace) as u64);
    tokio::time::sleep(if handing { reads_on } else { STILL_ACCEPTING }).await;
    let _ = step(&phase, Move::Close, clock);
    let empty = || seats.is_empty() && nbd.as_ref().is_none_or(|n| n.seats.is_empty());
    let emptied = async {
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
