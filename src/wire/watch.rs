//! The watch on discovery: the driver of one connection to it.

use super::discovery::{self, NodeNumbers, Response};
use crate::interface::ListKind;
use crate::state::planner::{Input, Wire};
use crate::state::upkeep::Upkeep;
use crate::wire::clock::Clock;
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;

/// How long a watch waits for news. A silent discovery is noticed after this and `PATIENCE`.
const WAIT_MS: u64 = 8_000;
/// How much later than asked an answer may come.
const PATIENCE: Duration = Duration::from_millis(1_200);
/// How long the connection may take to come up.
const CONNECT: Duration = Duration::from_millis(1_000);

/// Where discovery is and whom it is watched for.
pub struct WatchTask<W: Wire> {
    /// Discovery's address; it may move while it is watched.
    pub address: watch::Receiver<String>,
    /// Version of the list that is known.
    pub revision: Rc<Cell<u64>>,
    /// Numbers of the nodes.
    pub numbers: NodeNumbers,
    /// Names of the zones.
    pub zones: Rc<RefCell<Vec<String>>>,
    /// The planner's wishes to watch; the task ends when the sender is dropped.
    pub wishes: UnboundedReceiver<()>,
    /// The planner.
    pub planner: UnboundedSender<Input<W>>,
    /// What is laid over every list.
    pub upkeep: Rc<RefCell<Upkeep>>,
    /// The time.
    pub clock: Clock,
}

impl<W: Wire> WatchTask<W> {
    /// Watches whenever the planner asks to, until a call fails; then it is the planner's to ask anew, unless
    /// discovery moves before: what failed at the old address tells nothing of the new one.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                wish = self.wishes.recv() => if wish.is_none() { return },
                moved = self.address.changed() => if moved.is_err() { return },
            }
            let reason = self.watch().await;
            while self.wishes.try_recv().is_ok() {}
            tracing::warn!(reason, "list of nodes lost");
            if self.planner.send(Input::Nodes(ListKind::Failed, Vec::new())).is_err() {
                return;
            }
        }
    }

    /// Watches call after call; gives the reason when one fails.
    async fn watch(&mut self) -> String {
        let mut stream = None;
        loop {
            let address = self.address.borrow_and_update().clone();
            let answer = tokio::select! {
                answer = call(&address, self.revision.get(), &mut stream) => answer,
                Ok(()) = self.address.changed() => {
                    // The version holds at the new address, too: nothing that was told is asked for again.
                    stream = None;
                    continue;
                }
            };
            match answer {
                Err(reason) => return reason,
                Ok(Response::Status(status)) => return format!("status {status}"),
                Ok(Response::Listing(listing)) => {
                    self.revision.set(listing.revision);
                    let kind = listing.kind();
                    let listed = listing.into_listed(&mut self.numbers, &self.zones.borrow());
                    let members = self.upkeep.borrow_mut().list(self.clock.now(), kind, listed);
                    if !members.is_empty() {
                        tracing::info!(
                            ?kind,
                            revision = self.revision.get(),
                            nodes = members.len(),
                            "list of nodes"
                        );
                    }
                    if self.planner.send(Input::Nodes(kind, members)).is_err() {
                        return "the planner is gone".to_string();
                    }
                }
            }
        }
    }
}

/// One call, on the connection that is kept or a new one.
async fn call(address: &str, revision: u64, kept: &mut Option<TcpStream>) -> Result<Response, String> {
    let mut stream = match kept.take() {
        Some(stream) => stream,
        None => tokio::time::timeout(CONNECT, TcpStream::connect(address))
            .await
            .map_err(|_| "connecting timed out".to_string())?
            .map_err(|e| e.to_string())?,
    };
    let talk = async {
        let call = discovery::watch_call(address, revision, WAIT_MS);
        stream.write_all(call.as_bytes()).await.map_err(|e| e.to_string())?;
        let mut read = BytesMut::with_capacity(4096);
        loop {
            if stream.read_buf(&mut read).await.map_err(|e| e.to_string())? == 0 {
                return Err("closed by discovery".to_string());
            }
            if let Some(answer) = discovery::decode(&mut read).map_err(|e| e.to_string())? {
                return Ok(answer);
            }
        }
    };
    let limit = Duration::from_millis(WAIT_MS) + PATIENCE;
    let (response, keep) = tokio::time::timeout(limit, talk).await.map_err(|_| "silent".to_string())??;
    *kept = Some(stream).filter(|_| keep);
    Ok(response)
}
