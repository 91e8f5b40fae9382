//! Accepts the connections of operators and drives each of them.

use super::handler::CallHandler;
use crate::state::accept_queue::AcceptQueue;
use crate::state::client_slots::{ClientSlot, ClientSlots, EvictReason};
use crate::state::planner::Wire;
use crate::wire::session::close;
use crate::wire::socket::try_accept;
use bytes::BytesMut;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Most admin connections at once. File descriptors are reserved for them.
pub const MAX_CONNECTIONS: usize = 16;
/// Time limit for a caller to send its complete line.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for a caller to read its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next check when all connection slots are taken.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(2);

/// Accepts connections forever. When all slots are taken, the connection that has waited longest without a complete line
/// is closed.
pub async fn accept<W: Wire>(listener: TcpListener, handler: Rc<CallHandler<W>>, slots: ClientSlots) {
    let mut queue = AcceptQueue::of_own_socket();
    loop {
        while slots.len() >= MAX_CONNECTIONS {
            let now = handler.clock.now();
            queue.mark_waiting(now);
            while slots.evict_one(now, queue.pressure(now)) {}
            tokio::time::sleep(FULL_RETRY_DELAY).await;
        }
        let accepted = match try_accept(&listener).await {
            Some(accepted) => accepted,
            None => {
                queue.mark_empty();
                listener.accept().await.map(|(stream, _)| stream)
            }
        };
        match accepted {
            Ok(stream) => drop(tokio::task::spawn_local(serve(stream, handler.clone(), slots.take()))),
            Err(error) => {
                tracing::warn!(%error, "accepting an admin connection failed");
                tokio::time::sleep(FULL_RETRY_DELAY * 10).await;
            }
        }
    }
}

/// Serves one connection: reads a line, writes the answer and closes.
async fn serve<W: Wire>(mut stream: TcpStream, handler: Rc<CallHandler<W>>, slot: ClientSlot) {
    let now = handler.clock.now();
    slot.set_evictable(Some((EvictReason::Silent, now)));
    slot.set_deadline(Some(now + LINE_TIMEOUT.as_micros() as i64));
    let mut read = BytesMut::with_capacity(128);
    let call = loop {
        tokio::select! {
            biased;
            n = stream.read_buf(&mut read) => {
                let Ok(n) = n else { return };
                match super::take(&mut read, n == 0) {
                    Some(call) => break call,
                    None if n == 0 => return,
                    None => {}
                }
            }
            // The slot is needed for another connection, or the time limit is over.
            () = slot.woken() => return,
        }
    };
    slot.set_evictable(None);
    slot.set_deadline(None);
    let answer = handler.execute(call).await + "\r\n";
    let written = tokio::time::timeout(ANSWER_TIMEOUT, stream.write_all(answer.as_bytes())).await;
    if matches!(written, Ok(Ok(()))) {
        close(stream).await;
    }
}
