//! A front: listens, gives each client a seat and a session, and sweeps their deadlines.

use super::error::{io, StartError};
use crate::state::phase::Phase;
use crate::state::planner::{Input, Wire};
use crate::state::seats::Seats;
use crate::wire::clock::{Clock, Pulse};
use crate::wire::session::{serve, Session};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// Connections that the kernel may hold for us: what it has accepted is ours to answer.
const BACKLOG: u32 = 1024;
/// How long to wait when descriptors or seats have run out.
const FULL_HOUSE: Duration = Duration::from_millis(2);
/// How often the log says that connections cannot be taken.
const SAID_AGAIN: Duration = Duration::from_secs(1);
/// How often the deadlines of clients are swept.
const SWEEP: Duration = Duration::from_millis(20);

/// Listens on an address.
pub fn listen(address: &str) -> Result<TcpListener, StartError> {
    let bind = || -> std::io::Result<TcpListener> {
        let address: std::net::SocketAddr = address.parse().map_err(std::io::Error::other)?;
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().map_err(io(format!("listening on {address}")))
}

/// A front: where clients of one protocol connect.
pub struct Front<W: Wire> {
    /// Where they connect.
    pub listener: TcpListener,
    /// Where their requests go.
    pub planner: UnboundedSender<Input<W>>,
    /// Whether the process has been stalled.
    pub pulse: Pulse,
    /// Those that are connected.
    pub seats: Seats,
    /// How many there may be.
    pub most: Rc<Cell<usize>>,
    /// The broker's phase.
    pub phase: watch::Receiver<Phase>,
}

/// Sweeps the deadlines of a front's clients for good.
pub async fn sweep(seats: Seats, clock: Clock) {
    loop {
        tokio::time::sleep(SWEEP).await;
        seats.sweep(clock.now());
    }
}

impl<W: Wire> Front<W> {
    /// Takes connections for as long as the phase allows.
    pub async fn accept<S: Session<W>>(self, session: impl Fn() -> S) {
        let mut phase = self.phase.clone();
        loop {
            tokio::select! {
                biased;
                _ = phase.wait_for(|phase| !phase.accepts()) => {}
                () = self.take(&session) => {}
            }
            // Another process that took them in its place may be gone.
            let last = match phase.wait_for(|phase| phase.accepts() || phase.stops()).await {
                Ok(phase) if phase.accepts() => continue,
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
        tokio::time::sleep(FULL_HOUSE).await;
        for _ in 0..BACKLOG {
            tokio::select! {
                biased;
                Ok((stream, _)) = self.listener.accept() => self.serve(stream, session),
                () = std::future::ready(()) => return,
            }
        }
    }

    fn serve<S: Session<W>>(&self, stream: TcpStream, session: &impl Fn() -> S) {
        let (planner, phase) = (self.planner.clone(), self.phase.clone());
        let seat = self.seats.take();
        tokio::task::spawn_local(serve(stream, session(), planner, self.pulse.clone(), phase, seat));
    }

    /// Takes connections for good. What the kernel has accepted is owed an answer, so a full house asks those
    /// connections that can be spared to leave, rather than let new ones wait.
    async fn take<S: Session<W>>(&self, session: &impl Fn() -> S) {
        let mut said = None;
        loop {
            while self.seats.len() >= self.most.get() {
                while self.seats.call_spare(self.pulse.now()) {}
                tokio::time::sleep(FULL_HOUSE).await;
            }
            match self.listener.accept().await {
                Ok((stream, _)) => self.serve(stream, session),
                Err(error) => {
                    if said.is_none_or(|at: Instant| at.elapsed() > SAID_AGAIN) {
                        said = Some(Instant::now());
                        tracing::warn!(%error, clients = self.seats.len(), "cannot accept");
                    }
                    while self.seats.call_spare(self.pulse.now()) {}
                    tokio::time::sleep(FULL_HOUSE).await;
                }
            }
        }
    }
}
