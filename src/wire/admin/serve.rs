//! The operators' callers: the driver of one connection, and the taking of them.

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

/// Callers at once. Descriptors are set aside for them.
pub const MAX_CONNECTIONS: usize = 16;
/// How long a caller may take to finish its line.
const PATIENCE: Duration = Duration::from_secs(5);
/// How long it may take to read its answer.
const READING: Duration = Duration::from_secs(1);
/// How long to wait when all places are taken.
const FULL_RETRY: Duration = Duration::from_millis(2);

/// Takes callers for good. Where all places are taken, the one that has finished no line for longest gives way.
pub async fn accept<W: Wire>(listener: TcpListener, handler: Rc<CallHandler<W>>, slots: ClientSlots) {
    let mut queue = AcceptQueue::of_own_socket();
    loop {
        while slots.len() >= MAX_CONNECTIONS {
            let now = handler.clock.now();
            queue.mark_waiting(now);
            while slots.evict_one(now, queue.pressure(now)) {}
            tokio::time::sleep(FULL_RETRY).await;
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
                tracing::warn!(%error, "cannot take a caller");
                tokio::time::sleep(FULL_RETRY * 10).await;
            }
        }
    }
}

/// Carries one caller: a line, an answer, the end.
async fn serve<W: Wire>(mut stream: TcpStream, handler: Rc<CallHandler<W>>, slot: ClientSlot) {
    let now = handler.clock.now();
    slot.set_evictable(Some((EvictReason::Silent, now)));
    slot.set_deadline(Some(now + PATIENCE.as_micros() as i64));
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
            // Its place is wanted, or its time is over.
            () = slot.woken() => return,
        }
    };
    slot.set_evictable(None);
    slot.set_deadline(None);
    let answer = handler.take(call).await + "\r\n";
    let written = tokio::time::timeout(READING, stream.write_all(answer.as_bytes())).await;
    if matches!(written, Ok(Ok(()))) {
        close(stream).await;
    }
}
