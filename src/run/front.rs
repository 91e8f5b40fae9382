//! A front: accepts connections, gives each client a seat and a session, and sweeps their deadlines.

use super::socket_age::SocketAges;
use crate::interface::Time;
use crate::state::accept_queue::AcceptQueue;
use crate::state::client_slots::ClientSlots;
use crate::state::phase::Phase;
use crate::state::planner::Wire;
use crate::wire::clock::Clock;
use crate::wire::session::{serve, Admission, NewConnection, Session, SessionContext};
use crate::wire::socket::{try_accept, unread, Unread};
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Connections that are taken in one turn when the listener is about to close.
const TURN: usize = 128;
/// Connections beyond its places that a full front accepts to refuse them.
pub const MAX_REFUSED: usize = 8;
/// Connections beyond its places that a full front accepts and lets wait for one.
pub const MAX_WAITING: usize = 1;
/// How long to wait when descriptors or seats have run out.
const FULL_RETRY: Duration = Duration::from_millis(2);
/// How often the log says that connections cannot be taken.
const SAID_AGAIN: Duration = Duration::from_secs(1);
/// How often the deadlines of clients are swept.
const SWEEP: Duration = Duration::from_millis(20);

/// A front: where clients of one protocol connect.
pub struct Front<W: Wire> {
    /// Where they connect.
    pub listener: TcpListener,
    /// What their sessions share.
    pub context: SessionContext<W>,
    /// Those that are connected.
    pub slots: ClientSlots,
    /// How many there may be.
    pub max_clients: Rc<Cell<usize>>,
    /// How long a connection may wait for a place, in microseconds, by the settings in force.
    pub accept_timeout: Box<dyn Fn() -> Time>,
    /// Whether another process may accept on the same socket.
    pub shared: bool,
    /// How long connections have waited to be accepted.
    pub accept_queue: Cell<AcceptQueue>,
    /// What the system tells of that where this process cannot know.
    pub socket_ages: RefCell<SocketAges>,
    /// The connection that is accepted and waits for a place.
    pub waiting: RefCell<Option<Accepted>>,
}

/// A connection that was accepted.
pub struct Accepted {
    stream: TcpStream,
    /// The earliest moment at which what lies on it may have come.
    arrived: Time,
}

/// Sweeps the deadlines of a front's clients for good.
pub async fn sweep(slots: ClientSlots, clock: Clock) {
    loop {
        tokio::time::sleep(SWEEP).await;
        slots.sweep(clock.now());
    }
}

impl<W: Wire> Front<W> {
    /// Takes connections for as long as the phase allows.
    pub async fn accept<S: Session<W>>(self, session: impl Fn() -> S) {
        let shared = self.shared;
        let accepts = move |phase: &Phase| {
            if shared {
                phase.accepts_connections()
            } else {
                phase.accepts_as_only_listener()
            }
        };
        let mut phase = self.context.phase.clone();
        loop {
            tokio::select! {
                biased;
                _ = phase.wait_for(|phase| !accepts(phase)) => {}
                () = self.take(&session) => {}
            }
            self.serve_waiting(&session, Admission::Served);
            // Another process that took them in its place may be gone.
            let last = match phase.wait_for(|phase| accepts(phase) || phase.is_terminating()).await {
                Ok(phase) if accepts(&phase) => {
                    self.note(|queue, now| queue.resume(now));
                    continue;
                }
                Ok(phase) => matches!(*phase, Phase::Closing(..)),
                Err(_) => return,
            };
            if last {
                self.take_last(&session).await;
            }
            return;
        }
    }

    /// Takes what the kernel has accepted before the listener closes, which would reset it.
    async fn take_last<S: Session<W>>(&self, session: &impl Fn() -> S) {
        // What is there is seen only after a look at the sockets.
        tokio::time::sleep(FULL_RETRY).await;
        self.note(AcceptQueue::mark_waiting);
        // The system itself is asked: what the runtime knows of the listener may be old.
        let Ok(listener) = self.listener.as_fd().try_clone_to_owned().map(std::net::TcpListener::from) else {
            return;
        };
        for taken in 1_usize.. {
            if taken.is_multiple_of(TURN) {
                tokio::task::yield_now().await;
                if self
                    .context
                    .phase
                    .borrow()
                    .last_answer_at()
                    .is_some_and(|at| at <= self.context.loop_clock.now())
                {
                    // Whoever still comes could not be answered any more.
                    return;
                }
            }
            let accepted = listener.accept().and_then(|(stream, _)| {
                stream.set_nonblocking(true)?;
                TcpStream::from_std(stream)
            });
            match accepted {
                Ok(stream) => self.serve(self.accepted(stream), session, Admission::Served),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // Descriptors may have run out, or one connection was aborted: the others are still there.
                Err(error) => {
                    tracing::warn!(%error, "cannot accept");
                    self.make_room().await;
                }
            }
        }
    }

    /// Takes note of what is known of the accept queue from now on.
    fn note(&self, what: impl FnOnce(&mut AcceptQueue, Time)) {
        let mut queue = self.accept_queue.get();
        what(&mut queue, self.context.loop_clock.earliest_arrival());
        self.accept_queue.set(queue);
    }

    /// Asks those that can be spared to leave, and gives them a moment.
    async fn make_room(&self) {
        let now = self.context.loop_clock.now();
        let press = self.accept_queue.get().pressure(now);
        while self.slots.evict_one(now, press) {}
        tokio::time::sleep(FULL_RETRY).await;
    }

    /// The earliest moment at which what lies on a connection may have come that is accepted now.
    fn arrival(&self, stream: &TcpStream) -> Time {
        let queue = self.accept_queue.get();
        let known = queue.earliest_arrival(self.context.loop_clock.earliest_arrival());
        if !queue.is_unattended() || unread(stream) != Unread::Bytes {
            return known;
        }
        let age = self.socket_ages.borrow_mut().since_data(stream);
        age.map_or(known, |age| self.context.loop_clock.now() - age.as_micros() as Time)
    }

    fn serve<S: Session<W>>(&self, next: Accepted, session: &impl Fn() -> S, admission: Admission) {
        let Accepted { stream, arrived } = next;
        let connection = NewConnection { slot: self.slots.take(), arrived, admission };
        tokio::task::spawn_local(serve(stream, session(), self.context.clone(), connection));
    }

    fn accepted(&self, stream: TcpStream) -> Accepted {
        let arrived = self.arrival(&stream);
        Accepted { stream, arrived }
    }

    /// At a full front: accepts one connection that waits for a place, and asks those that can be spared to leave. Where that has
    /// not helped for long, those that wait are refused.
    async fn wait_for_a_place<S: Session<W>>(&self, session: &impl Fn() -> S) {
        self.accept_waiting().await;
        self.make_room().await;
        let places = self.max_clients.get()..self.max_clients.get() + MAX_REFUSED;
        while places.contains(&self.slots.len()) && self.is_too_late() {
            self.serve_waiting(session, Admission::Refused);
            if !self.accept_waiting().await {
                return;
            }
        }
    }

    /// Whether connections have waited for so long that they are refused rather than wait any more.
    fn is_too_late(&self) -> bool {
        self.accept_queue.get().max_wait(self.context.loop_clock.now()) > (self.accept_timeout)()
    }

    /// Accepts the connection that is to wait for a place; whether there is one.
    async fn accept_waiting(&self) -> bool {
        if self.waiting.borrow().is_some() {
            return true;
        }
        match try_accept(&self.listener).await {
            Some(Ok(stream)) => {
                let next = self.accepted(stream);
                self.note(AcceptQueue::mark_waiting);
                self.waiting.replace(Some(next));
                true
            }
            // The next look meets the error again.
            Some(Err(_)) => false,
            None => {
                self.note(|queue, _| queue.mark_empty());
                false
            }
        }
    }

    /// Serves the connection that waits for a place, if there is one.
    fn serve_waiting<S: Session<W>>(&self, session: &impl Fn() -> S, admission: Admission) {
        if let Some(next) = self.waiting.take() {
            self.serve(next, session, admission);
        }
    }

    /// Takes connections for good. What the kernel has accepted is owed an answer, so a full front asks those
    /// connections that can be spared to leave, rather than let new ones wait.
    async fn take<S: Session<W>>(&self, session: &impl Fn() -> S) {
        let mut said = None;
        if self.accept_queue.get().is_unattended() {
            // What is there is seen only after a look at the sockets.
            tokio::time::sleep(FULL_RETRY).await;
        }
        loop {
            while self.slots.len() >= self.max_clients.get() {
                self.wait_for_a_place(session).await;
            }
            if self.waiting.borrow().is_some() {
                self.serve_waiting(session, Admission::Served);
                continue;
            }
            let accepted = match try_accept(&self.listener).await {
                Some(accepted) => accepted,
                None => {
                    self.note(|queue, _| queue.mark_empty());
                    self.listener.accept().await.map(|(stream, _)| stream)
                }
            };
            self.note(AcceptQueue::mark_waiting);
            match accepted {
                Ok(stream) => self.serve(self.accepted(stream), session, Admission::Served),
                Err(error) => {
                    if said.is_none_or(|at: Instant| at.elapsed() > SAID_AGAIN) {
                        said = Some(Instant::now());
                        tracing::warn!(%error, clients = self.slots.len(), "cannot accept");
                    }
                    self.make_room().await;
                }
            }
        }
    }
}
