//! The watch on discovery: the driver of one connection to the discovery service. [`ListValidity`] decides when to call
//! and how long the list of nodes stays valid.

use super::discovery::{self, Listing, NodeNumbers, Response};
use super::socket::{connect_failure, is_short_of_memory, is_transient, ConnectFailure};
use crate::interface::{ListKind, Time};
use crate::state::list_validity::{Failure, ListValidity, Step, Terms};
use crate::state::maintenance::{Maintenance, NamedNode};
use crate::state::planner::{Input, Wire};
use crate::state::starts::StartTimes;
use crate::wire::clock::LoopClock;
use crate::wire::link::Permit;
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// Longest gap within a response that has begun. Discovery counts a response that it has written as delivered, so an
/// incomplete one invalidates the list.
const READ_GAP: Duration = Duration::from_millis(100);
/// Time limit for a complete response once it has begun, however slowly its parts arrive.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Buffer space reserved for each read, in bytes.
const READ_SIZE: usize = 64 * 1024;
/// Most nodes that are passed to the planner in one input.
const MAX_NODES_PER_INPUT: usize = 128;
/// Time limit for establishing the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The task that watches discovery and passes changes of the list of nodes to the planner.
pub struct WatchTask<W: Wire> {
    /// Address of discovery, which may change at run time.
    pub address: watch::Receiver<String>,
    /// Revision of the list that is known.
    pub revision: Rc<Cell<u64>>,
    /// Mapping from node names to node ids.
    pub numbers: NodeNumbers,
    /// Names of the zones, in the order of the settings.
    pub zones: Rc<RefCell<Vec<String>>>,
    /// Input channel of the planner.
    pub planner: UnboundedSender<Input<W>>,
    /// Maintenance state (nodes taken out by operators), which is applied to every list.
    pub maintenance: Rc<RefCell<Maintenance>>,
    /// Decides when to call, and until when the list is valid.
    pub list_validity: ListValidity,
    /// Settings for lists, which may change at run time.
    pub terms: Rc<Cell<Terms>>,
    /// Send deadlines of the links; the watch sets the end of the list's validity.
    pub permit: Permit,
    /// Start times of the nodes, converted to this machine's clock.
    pub starts: StartTimes,
    /// The current time, and the scheduling lag of this process.
    pub loop_clock: LoopClock,
}

/// A connection that can be reused for another call, if there is one.
type KeptConnection = Option<TcpStream>;
/// A call in progress.
type PendingCall = Pin<Box<dyn Future<Output = Result<(Response, KeptConnection), (Failure, String)>>>>;

impl<W: Wire> WatchTask<W> {
    /// Watches discovery forever. While discovery may count this broker as notified of a change that it does not know,
    /// no new request goes to any node.
    pub async fn run(mut self) {
        let mut pending: Option<PendingCall> = None;
        let mut kept: KeptConnection = None;
        let mut held = false;
        loop {
            // Data that waits unread because this process stalled must not make a call time out or the list expire.
            self.loop_clock.catch_up().await;
            let now = self.loop_clock.now();
            self.list_validity.set_terms(self.terms.get());
            match self.list_validity.step(now) {
                Step::Wait => {}
                Step::Call(wait) => {
                    let address = self.address.borrow_and_update().clone();
                    let (revision, loop_clock) = (self.revision.get(), self.loop_clock.clone());
                    pending = Some(Box::pin(call(address, revision, wait, kept.take(), loop_clock)));
                }
                Step::GiveUp => {
                    pending = None;
                    tracing::warn!(reason = "silent", "list of nodes lost");
                    continue;
                }
            }
            let until = self.list_validity.send_until();
            self.permit.list.set(until);
            if std::mem::replace(&mut held, now >= until) != held {
                tracing::warn!(held, "list of nodes out of date");
                let suspended = self.maintenance.borrow_mut().set_outdated(held);
                if self.planner.send(Input::Suspended(suspended)).is_err() {
                    return;
                }
            }
            let deadline = self.list_validity.next_deadline();
            let wake = if held { deadline } else { deadline.min(until) };
            tokio::select! {
                // A response that has arrived is read before the timer is checked.
                biased;
                result = response(&mut pending) => {
                    pending = None;
                    tracing::debug!(waited = self.loop_clock.now() - now, ok = result.is_ok(), "call to discovery");
                    match result.and_then(|(response, keep)| Ok((self.listing(response)?, keep))) {
                        Ok((listing, keep)) => {
                            kept = keep;
                            self.list_validity.answered(self.loop_clock.now());
                            if !self.apply(listing).await {
                                return;
                            }
                        }
                        Err((failure, reason)) => {
                            tracing::warn!(reason, "list of nodes lost");
                            self.list_validity.failed(self.loop_clock.now(), failure);
                        }
                    }
                }
                moved = self.address.changed() => {
                    if moved.is_err() {
                        return;
                    }
                    // The revision is valid at the new address, too, so known changes are not requested again.
                    (pending, kept) = (None, None);
                    self.list_validity.endpoint_changed(self.loop_clock.now());
                }
                () = tokio::time::sleep_until(self.loop_clock.clock().instant(wake).into()) => {}
            }
        }
    }

    /// Returns the list in a response. A list older than the known one counts as a failure.
    fn listing(&self, response: Response) -> Result<Listing, (Failure, String)> {
        match response {
            Response::Status(status) => Err((Failure::Rejected, format!("status {status}"))),
            Response::Listing(listing) if listing.revision < self.revision.get() => {
                Err((Failure::Rejected, format!("revision {} is older than the known one", listing.revision)))
            }
            Response::Listing(listing) => Ok(listing),
        }
    }

    /// Applies a list; returns false if the planner has ended. Only changes are forwarded, in parts, and other tasks run
    /// between the parts, so that a long list does not delay answers to clients.
    async fn apply(&mut self, listing: Listing) -> bool {
        let now = self.loop_clock.now();
        self.revision.set(listing.revision);
        let kind = listing.kind();
        let mut listed = listing.into_listed(&mut self.numbers, &self.zones.borrow());
        self.adopt_starts(now, &mut listed);
        let named = listed.len();
        let mut members = self.maintenance.borrow_mut().apply_changes(now, kind, listed);
        self.loop_clock.record_blocking("applying a list of nodes", now);
        if named > 0 || !members.is_empty() {
            let (revision, changed) = (self.revision.get(), members.len());
            tracing::info!(?kind, revision, nodes = named, changed, "list of nodes");
        }
        while !members.is_empty() {
            let rest = members.split_off(members.len().min(MAX_NODES_PER_INPUT));
            if self.planner.send(Input::Nodes(ListKind::Changes, members)).is_err() {
                return false;
            }
            members = rest;
            tokio::task::yield_now().await;
        }
        true
    }

    /// Converts the start times in the list from the wall clock to this machine's clock, and updates the start times of
    /// known nodes if the wall clock was stepped.
    fn adopt_starts(&mut self, now: Time, listed: &mut [NamedNode]) {
        let moved = self.starts.begin_list(self.loop_clock.clock().wall_clock_drift());
        let moved: Vec<NamedNode> = self.maintenance.borrow().with_starts(moved);
        for listed in listed {
            let entry = &mut listed.member.entry;
            entry.started = self.starts.adopt(now, entry.node, entry.started);
        }
        self.starts.end_list(now);
        let members = self.maintenance.borrow_mut().apply_changes(now, ListKind::Changes, moved);
        if !members.is_empty() {
            let _ = self.planner.send(Input::Nodes(ListKind::Changes, members));
        }
    }
}

/// Waits for the response to the call in progress, or forever if there is none.
async fn response(
    pending: &mut Option<PendingCall>,
) -> Result<(Response, KeptConnection), (Failure, String)> {
    match pending {
        Some(pending) => pending.await,
        None => std::future::pending().await,
    }
}

/// Makes one call, on the kept connection or a new one. Returns the response, and the connection if it can be reused.
async fn call(
    address: String,
    revision: u64,
    wait: Time,
    kept: KeptConnection,
    loop_clock: LoopClock,
) -> Result<(Response, KeptConnection), (Failure, String)> {
    let stream = match kept {
        Some(stream) => stream,
        None => connect(&address).await?,
    };
    let call = discovery::watch_request(&address, revision, (wait / 1000).max(1));
    write_all(&stream, call.as_bytes()).await.map_err(|e| (Failure::Rejected, e.to_string()))?;
    let mut read = BytesMut::with_capacity(READ_SIZE);
    // How long this call has waited for the rest of a response that has begun. Each wait counts at most as `READ_GAP`, so
    // that a stall of this process is not held against discovery.
    let mut waited = None;
    loop {
        let failure = if waited.is_some() { Failure::Malformed } else { Failure::Rejected };
        let from = tokio::time::Instant::now();
        let readable = match waited {
            None => stream.readable().await,
            Some(waited) => {
                let timeout = READ_GAP.min(RESPONSE_TIMEOUT.saturating_sub(waited));
                match tokio::time::timeout(timeout, stream.readable()).await {
                    Ok(readable) => readable,
                    Err(_) => {
                        return Err((
                            failure,
                            "response incomplete: the rest did not arrive in time".to_string(),
                        ))
                    }
                }
            }
        };
        readable.map_err(|e| (failure, e.to_string()))?;
        let more = waited.map_or(Duration::ZERO, |waited: Duration| waited + from.elapsed().min(READ_GAP));
        read.reserve(READ_SIZE);
        match stream.try_read_buf(&mut read) {
            Err(e) if is_transient(&e) => {
                waited = waited.map(|_| more);
                continue;
            }
            Err(e) => return Err((failure, e.to_string())),
            // An orderly close ends a response that states no length; a reset does not.
            Ok(0) => {
                return match discovery::decode_ended(&mut read) {
                    Ok(Some(response)) => Ok((response, None)),
                    Ok(None) => Err((
                        failure,
                        "connection closed by discovery before the response was complete".to_string(),
                    )),
                    Err(e) => Err((Failure::Malformed, e.to_string())),
                }
            }
            Ok(_) => waited = Some(more),
        }
        let begun = loop_clock.now();
        let decoded = discovery::decode(&mut read);
        loop_clock.record_blocking("reading a list", begun);
        match decoded {
            Ok(None) => {}
            Ok(Some((response, keep))) => return Ok((response, Some(stream).filter(|_| keep))),
            Err(e) => return Err((Failure::Malformed, e.to_string())),
        }
        tokio::task::yield_now().await;
    }
}

/// Opens a connection to discovery. Only a refusal or a reset says something about discovery; other errors, such as no
/// free descriptor or no route, are local to this machine.
async fn connect(address: &str) -> Result<TcpStream, (Failure, String)> {
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Err(_) => Err((Failure::NotConnected, "connecting to discovery timed out".to_string())),
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(e)) => {
            let failure = match (e.kind(), connect_failure(&e)) {
                (ErrorKind::ConnectionReset, _) => Failure::Rejected,
                (_, ConnectFailure::Refused) => Failure::Refused,
                (_, ConnectFailure::Unreachable | ConnectFailure::Local) => Failure::NotConnected,
            };
            Err((failure, e.to_string()))
        }
    }
}

/// Writes all bytes, with as many partial writes as needed.
async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => bytes = &bytes[n..],
            Err(e) if is_short_of_memory(&e) => tokio::time::sleep(super::socket::RETRY_DELAY).await,
            Err(e) if is_transient(&e) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
