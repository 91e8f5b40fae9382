//! The protocol of the discovery service: HTTP/1.1 and JSON. Sans-I/O; [`super::watch`] does the reading and writing.

use super::link::ProtocolError;
use crate::interface::{ListKind, NodeEntry, NodeId, NodeState, ShardId, Time};
use crate::state::maintenance::NamedNode;
use crate::state::planner::ListedNode;
use bytes::BytesMut;
use serde::Deserialize;
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};

/// Most bytes of a response body, enough for thousands of nodes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Most bytes of a response head.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// A node as discovery lists it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Entry {
    id: String,
    host_port: String,
    #[serde(default)]
    locality: String,
    cell: ShardId,
    phase: Phase,
    #[serde(default)]
    up_since_ms: Time,
    #[serde(default)]
    size: f64,
}

/// State of a node as discovery names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Phase {
    Ready,
    Draining,
    Gone,
}

/// A complete list of nodes, or the changes since an earlier revision.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Listing {
    /// Revision of the list.
    pub revision: u64,
    complete: bool,
    members: Vec<Entry>,
}

/// Mapping from node names to node ids. Discovery identifies nodes by name, the scheduler by number. All brokers must
/// derive the same numbers, since they hash keys to nodes by them.
#[derive(Debug, Default)]
pub struct NodeNumbers {
    by_name: BTreeMap<String, NodeId>,
    by_number: BTreeMap<NodeId, String>,
}

impl NodeNumbers {
    /// Returns the number of a node: the value of the eight hex digits at the end of its name, or else a hash of the
    /// name.
    pub fn number(&mut self, name: &str) -> NodeId {
        if let Some(number) = self.by_name.get(name) {
            return *number;
        }
        let digits = name.rsplit('-').next().unwrap_or(name);
        let hash = |h: u32, b: u8| (h ^ u32::from(b)).wrapping_mul(0x0100_0193);
        let hashed = || name.bytes().fold(0x811c_9dc5, hash);
        let exact = Some(digits).filter(|d| d.len() == 8).and_then(|d| u32::from_str_radix(d, 16).ok());
        let mut number = exact.unwrap_or_else(hashed);
        while self.by_number.contains_key(&number) {
            number = number.wrapping_add(1);
        }
        self.by_name.insert(name.to_string(), number);
        self.by_number.insert(number, name.to_string());
        number
    }

    /// Removes all nodes for which `keep` is false. A node that is listed again gets the same number, because the number
    /// is derived from its name.
    fn retain(&mut self, keep: impl Fn(NodeId) -> bool) {
        self.by_name.retain(|_, number| keep(*number));
        self.by_number.retain(|number, _| keep(*number));
    }

    /// Removes one node.
    fn remove(&mut self, number: NodeId) {
        if let Some(name) = self.by_number.remove(&number) {
            self.by_name.remove(&name);
        }
    }

    /// Returns the name of a node, for the log.
    pub fn name(&self, number: NodeId) -> Option<&str> {
        self.by_number.get(&number).map(String::as_str)
    }
}

/// Converts a size to thousandths. Invalid sizes (negative or NaN) become 0.
pub fn thousandths(size: f64) -> u32 {
    (size * 1000.0) as u32
}

impl Listing {
    /// Whether a complete list names a node twice, so that the valid entry is unknown. Changes may name a node
    /// repeatedly, because they are applied in order.
    fn has_duplicates(&self) -> bool {
        let ids: BTreeSet<&str> = self.members.iter().map(|m| m.id.as_str()).collect();
        self.complete && ids.len() < self.members.len()
    }

    /// Returns whether the list is complete or holds changes.
    pub fn kind(&self) -> ListKind {
        match self.complete {
            true => ListKind::Full,
            false => ListKind::Changes,
        }
    }

    /// Converts the entries to the planner's form. Nodes of zones that the settings do not name share one additional
    /// zone.
    pub fn into_listed(self, numbers: &mut NodeNumbers, zones: &[String]) -> Vec<NamedNode> {
        let member = |entry: Entry| {
            let zone = zones.iter().position(|z| *z == entry.locality).unwrap_or(zones.len());
            let state = match entry.phase {
                Phase::Ready => NodeState::Up,
                Phase::Draining => NodeState::Draining,
                Phase::Gone => NodeState::Gone,
            };
            let node = numbers.number(&entry.id);
            let started = Some(entry.up_since_ms).filter(|ms| *ms > 0).map(|ms| ms * 1000);
            let entry_of = NodeEntry {
                node,
                zone: zone as u32,
                shard: entry.cell,
                state,
                started,
                size: thousandths(entry.size),
            };
            NamedNode { name: entry.id, member: ListedNode { entry: entry_of, address: entry.host_port } }
        };
        let complete = self.complete;
        let members: Vec<NamedNode> = self.members.into_iter().map(member).collect();
        let last: BTreeMap<NodeId, NodeState> =
            members.iter().map(|l| (l.member.entry.node, l.member.entry.state)).collect();
        match complete {
            true => numbers.retain(|node| last.get(&node).is_some_and(|state| *state != NodeState::Gone)),
            false => {
                let gone = last.iter().filter(|(_, state)| **state == NodeState::Gone);
                gone.for_each(|(node, _)| numbers.remove(*node));
            }
        }
        members
    }
}

/// Returns the HTTP request for changes after a revision. Discovery waits up to `wait_ms` milliseconds for one.
pub fn watch_request(host: &str, revision: u64, wait_ms: Time) -> String {
    format!(
        "GET /v1/servers?index={revision}&wait={wait_ms} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    )
}

/// A response of discovery.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// A list of nodes.
    Listing(Listing),
    /// The call failed with this HTTP status.
    Status(u16),
}

/// How the end of a response body is determined.
enum Body {
    Length(usize),
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

/// Removes one complete response from the front of the received bytes. Returns `None` while it is incomplete. The flag
/// tells whether the connection can be reused for another call.
pub fn decode(read: &mut BytesMut) -> Result<Option<(Response, bool)>, ProtocolError> {
    decode_as(read, false)
}

/// Decodes the received bytes after discovery has closed the connection, which ends a response that states no length.
/// Must not be called after a reset, because a truncated response would be taken for a complete one.
pub fn decode_ended(read: &mut BytesMut) -> Result<Option<Response>, ProtocolError> {
    Ok(decode_as(read, true)?.map(|(response, _)| response))
}

fn decode_as(read: &mut BytesMut, ended: bool) -> Result<Option<(Response, bool)>, ProtocolError> {
    // Interim (1xx) responses only announce that the final response follows.
    while read.starts_with(b"HTTP/1.1 1") {
        match read.windows(4).position(|w| w == b"\r\n\r\n") {
            Some(end) => drop(read.split_to(end + 4)),
            None if read.len() > MAX_HEAD_BYTES => return Err(ProtocolError("response head too long")),
            None => return Ok(None),
        }
    }
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(read).map_err(|_| ProtocolError("not HTTP/1.1"))? {
        httparse::Status::Partial if read.len() > MAX_HEAD_BYTES => {
            return Err(ProtocolError("response head too long"))
        }
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(start) => start,
    };
    let status = head.code.unwrap_or(0);
    let find = |name: &str| head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value);
    let keep =
        !find("connection").is_some_and(|v| v.eq_ignore_ascii_case(b"close")) && head.version == Some(1);
    let chunked = find("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case(b"chunked"));
    let length =
        find("content-length").map(|v| std::str::from_utf8(v).ok().and_then(|v| v.trim().parse().ok()));
    let body = match length {
        _ if chunked => Body::Chunked,
        Some(Some(length)) if length <= MAX_BODY_BYTES => Body::Length(length),
        Some(_) => return Err(ProtocolError("bad content-length")),
        // For a failed call the status is enough, so a missing length means no body.
        None if status == 200 => Body::UntilClose,
        None => Body::Length(0),
    };
    let (response, end) = {
        let (text, end) = match body {
            Body::UntilClose if read.len() > start + MAX_BODY_BYTES => {
                return Err(ProtocolError("response too long"))
            }
            Body::UntilClose if !ended => return Ok(None),
            Body::UntilClose => (Cow::Borrowed(&read[start..]), read.len()),
            Body::Length(length) if read.len() < start + length => return Ok(None),
            Body::Length(length) => (Cow::Borrowed(&read[start..start + length]), start + length),
            Body::Chunked => match chunks(&read[start..])? {
                None => return Ok(None),
                Some((text, used)) => (Cow::Owned(text), start + used),
            },
        };
        match status {
            200 => match serde_json::from_slice::<Listing>(&text) {
                Ok(listing) if listing.has_duplicates() => {
                    return Err(ProtocolError("list of nodes names a node twice"))
                }
                Ok(listing) => (Response::Listing(listing), end),
                Err(_) => return Err(ProtocolError("not a list of nodes")),
            },
            status => (Response::Status(status), end),
        }
    };
    let _ = read.split_to(end);
    Ok(Some((response, keep)))
}

/// Returns the content of a chunked body and the number of bytes it took. Returns `None` while it is incomplete.
fn chunks(body: &[u8]) -> Result<Option<(Vec<u8>, usize)>, ProtocolError> {
    let (mut text, mut at) = (Vec::new(), 0);
    loop {
        let size = httparse::parse_chunk_size(&body[at..]).map_err(|_| ProtocolError("bad chunk size"))?;
        let httparse::Status::Complete((used, size)) = size else { return Ok(None) };
        let size = usize::try_from(size).ok().filter(|s| text.len() + s <= MAX_BODY_BYTES);
        let size = size.ok_or(ProtocolError("response too long"))?;
        at += used;
        let Some(chunk) = body.get(at..at + size + 2) else { return Ok(None) };
        if &chunk[size..] != b"\r\n" {
            return Err(ProtocolError("bad end of a chunk"));
        }
        text.extend_from_slice(&chunk[..size]);
        at += size + 2;
        if size == 0 {
            return Ok(Some((text, at)));
        }
    }
}
