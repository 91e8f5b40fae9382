//! A front accepts the client connections of one protocol, gives each a client slot and a session, and checks the deadlines
//! of idle connections.

use super::socket_age::SocketAges;
use crate::interface::Time;
use crate::state::accept_queue::AcceptQueue;
use crate::state::client_slots::ClientSlots;
use crate::state::phase::Phase;
use crate::state::planner::{Input, Wire};
use crate::wire::clock::Clock;
use crate::wire::session::{serve, Admission, NewConnection, Session, SessionContext};
use crate::wire::socket::{try_accept, unread, Unread};
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// Connections accepted without yielding to the runtime when the listener is about to close.
const ACCEPT_BATCH: usize = 128;
/// Connections beyond the connection limit that a full front accepts in order to refuse their requests.
pub const MAX_REFUSED: usize = 8;
/// Connections beyond the connection limit that a full front accepts and keeps waiting for a client slot.
pub const MAX_WAITING: usize = 1;
/// Delay before the next attempt when descriptors or client slots have run out.
const FULL_RETRY: Duration = Duration::from_millis(2);
/// Shortest interval between two log lines about connections that cannot be accepted.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// How often the deadlines of client connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);

/// The listener for the clients of one protocol, with their sessions.
pub struct Front<W: Wire> {
    /// The listening socket.
    pub listener: TcpListener,
    /// State that the sessions share.
    pub context: SessionContext<W>,
    /// The slots of connected clients.
    pub slots: ClientSlots,
    /// The connection limit.
    pub max_clients: Rc<Cell<usize>>,
    /// Returns how long a connection may wait for a client slot under the settings in force, in microseconds.
    pub accept_timeout: Box<dyn Fn() -> Time>,
    /// Whether another process may accept on the same socket.
    pub shared: bool,
    /// Tracks how long connections have waited to be accepted.
    pub accept_queue: Cell<AcceptQueue>,
    /// Asks the kernel how long data has waited, for connections made while this process did not accept.
    pub socket_ages: RefCell<SocketAges>,
    /// The accepted connection that waits for a client slot, if there is one.
    pub waiting: RefCell<Option<Accepted>>,
}

/// A connection that was accepted and is not served yet.
pub struct Accepted {
    stream: TcpStream,
    /// The earliest time at which its unread data may have arrived.
    arrived: Time,
}

/// Checks the deadlines of a front's clients periodically until the process ends.
pub async fn sweep(slots: ClientSlots, clock: Clock) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        slots.sweep(clock.now());
    }
}

/// Tells the planner by when it must have answered everything that was accepted under longer deadlines, whenever the phase
/// sets another time for that.
async fn bound_answers<W: Wire>(mut phase: watch::Receiver<Phase>, planner: UnboundedSender<Input<W>>) {
    let mut bound = None;
    loop {
        let last_answer = phase.borrow_and_update().last_answer_at();
        if let Some(at) = last_answer.filter(|_| last_answer != bound) {
            bound = last_answer;
            let _ = planner.send(Input::AnswerAllBy(at));
        }
        if phase.changed().await.is_err() {
            return;
        }
    }
}

impl<W: Wire> Front<W> {
    /// Accepts connections as long as the broker's phase allows it.
    pub async fn accept<S: Session<W>>(self, session: impl Fn() -> S) {
        tokio::task::spawn_local(bound_answers(self.context.phase.clone(), self.context.planner.clone()));
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
                () = self.accept_all(&session) => {}
            }
            self.serve_waiting(&session, Admission::Served);
            // This process may have to accept again if the process that accepted in its place has ended.
            let last = match phase.wait_for(|phase| accepts(phase) || phase.is_terminating()).await {
                Ok(phase) if accepts(&phase) => {
                    self.update_queue(|queue, now| queue.resume(now));
                    continue;
                }
                Ok(phase) => matches!(*phase, Phase::Closing(..)),
                Err(_) => return,
            };
            if last {
                self.accept_remaining(&session).await;
            }
            return;
        }
    }

    /// Accepts the connections in the kernel's accept queue before the listener closes: closing it would reset them.
    async fn accept_remaining<S: Session<W>>(&self, session: &impl Fn() -> S) {
        // The runtime reports waiting connections only after it has polled the sockets.
        tokio::time::sleep(FULL_RETRY).await;
        self.update_queue(AcceptQueue::mark_waiting);
        // A plain system call is used, because the runtime's knowledge of the listener's readiness may be outdated.
        let Ok(listener) = self.listener.as_fd().try_clone_to_owned().map(std::net::TcpListener::from) else {
            return;
        };
        for taken in 1_usize.. {
            if taken.is_multiple_of(ACCEPT_BATCH) {
                tokio::task::yield_now().await;
                if self
                    .context
                    .phase
                    .borrow()
                    .last_answer_at()
                    .is_some_and(|at| at <= self.context.loop_clock.now())
                {
                    // A client that connects now could not be answered any more.
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
                // Descriptors may have run out, or one connection was aborted; the others are still in the queue.
                Err(error) => {
                    tracing::warn!(%error, "cannot accept");
                    self.evict_idle().await;
                }
            }
        }
    }

    /// Updates the state of the accept queue; `what` gets the earliest time at which the change may have happened.
    fn update_queue(&self, what: impl FnOnce(&mut AcceptQueue, Time)) {
        let mut queue = self.accept_queue.get();
        what(&mut queue, self.context.loop_clock.earliest_arrival());
        self.accept_queue.set(queue);
    }

    /// Asks evictable connections to close, and waits a moment for that.
    async fn evict_idle(&self) {
        let now = self.context.loop_clock.now();
        let pressure = self.accept_queue.get().pressure(now);
        while self.slots.evict_one(now, pressure) {}
        tokio::time::sleep(FULL_RETRY).await;
    }

    /// Returns the earliest time at which unread data of a connection that is accepted now may have arrived.
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

    /// Called while the connection limit is reached: accepts one connection, which waits for a client slot, and asks evictable
    /// connections to close. Once connections have waited longer than the accept timeout, they are refused.
    async fn wait_for_slot<S: Session<W>>(&self, session: &impl Fn() -> S) {
        self.accept_waiting().await;
        self.evict_idle().await;
        let places = self.max_clients.get()..self.max_clients.get() + MAX_REFUSED;
        while places.contains(&self.slots.len()) && self.has_timed_out() {
            self.serve_waiting(session, Admission::Refused);
            if !self.accept_waiting().await {
                return;
            }
        }
    }

    /// Whether connections have waited longer than the accept timeout, so that they are refused.
    fn has_timed_out(&self) -> bool {
        self.accept_queue.get().max_wait(self.context.loop_clock.now()) > (self.accept_timeout)()
    }

    /// Accepts the connection that is to wait for a client slot. Returns whether a connection waits.
    async fn accept_waiting(&self) -> bool {
        if self.waiting.borrow().is_some() {
            return true;
        }
        match try_accept(&self.listener).await {
            Some(Ok(stream)) => {
                let next = self.accepted(stream);
                self.update_queue(AcceptQueue::mark_waiting);
                self.waiting.replace(Some(next));
                true
            }
            // The next accept meets the error again and handles it.
            Some(Err(_)) => false,
            None => {
                self.update_queue(|queue, _| queue.mark_empty());
                false
            }
        }
    }

    /// Starts the session of the connection that waits for a client slot, if there is one.
    fn serve_waiting<S: Session<W>>(&self, session: &impl Fn() -> S, admission: Admission) {
        if let Some(next) = self.waiting.take() {
            self.serve(next, session, admission);
        }
    }

    /// Accepts connections until cancelled. Connections in the accept queue expect an answer, so a full front asks evictable
    /// connections to close rather than let new ones wait.
    async fn accept_all<S: Session<W>>(&self, session: &impl Fn() -> S) {
        let mut logged_at = None;
        if self.accept_queue.get().is_unattended() {
            // The runtime reports waiting connections only after it has polled the sockets.
            tokio::time::sleep(FULL_RETRY).await;
        }
        loop {
            while self.slots.len() >= self.max_clients.get() {
                self.wait_for_slot(session).await;
            }
            if self.waiting.borrow().is_some() {
                self.serve_waiting(session, Admission::Served);
                continue;
            }
            let accepted = match try_accept(&self.listener).await {
                Some(accepted) => accepted,
                None => {
                    self.update_queue(|queue, _| queue.mark_empty());
                    self.listener.accept().await.map(|(stream, _)| stream)
                }
            };
            self.update_queue(AcceptQueue::mark_waiting);
            match accepted {
                Ok(stream) => self.serve(self.accepted(stream), session, Admission::Served),
                Err(error) => {
                    if logged_at.is_none_or(|at: Instant| at.elapsed() > LOG_INTERVAL) {
                        logged_at = Some(Instant::now());
                        tracing::warn!(%error, clients = self.slots.len(), "cannot accept");
                    }
                    self.evict_idle().await;
                }
            }
        }
    }
}
