//! Discovery's protocol: HTTP/1.1 and JSON. Sans-I/O; [`super::watch`] does the reading and writing.

use super::link::ProtocolError;
use crate::interface::{ListKind, NodeEntry, NodeId, NodeState, ShardId, Time};
use crate::state::maintenance::NamedNode;
use crate::state::planner::ListedNode;
use bytes::BytesMut;
use serde::Deserialize;
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};

/// Most bytes of a response: thousands of nodes.
const MOST_BODY: usize = 4 << 20;
/// Most bytes of a response's head.
const MOST_HEAD: usize = 16 * 1024;

/// A node in discovery's form.
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

/// A node's state in discovery's words.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Phase {
    Ready,
    Draining,
    Gone,
}

/// A list of nodes, or what has changed of it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Listing {
    /// Its version.
    pub revision: u64,
    complete: bool,
    members: Vec<Entry>,
}

/// Numbers for nodes: discovery names them by texts, the scheduler by numbers that all brokers must share,
/// since they hash keys to nodes by them.
#[derive(Debug, Default)]
pub struct NodeNumbers {
    by_name: BTreeMap<String, NodeId>,
    taken: BTreeMap<NodeId, String>,
}

impl NodeNumbers {
    /// The number of a node: the hex digits of its name, or else a hash of it.
    pub fn number(&mut self, name: &str) -> NodeId {
        if let Some(number) = self.by_name.get(name) {
            return *number;
        }
        let digits = name.rsplit('-').next().unwrap_or(name);
        let hash = |h: u32, b: u8| (h ^ u32::from(b)).wrapping_mul(0x0100_0193);
        let hashed = || name.bytes().fold(0x811c_9dc5, hash);
        let exact = Some(digits).filter(|d| d.len() == 8).and_then(|d| u32::from_str_radix(d, 16).ok());
        let mut number = exact.unwrap_or_else(hashed);
        while self.taken.contains_key(&number) {
            number = number.wrapping_add(1);
        }
        self.by_name.insert(name.to_string(), number);
        self.taken.insert(number, name.to_string());
        number
    }

    /// Forgets the nodes that are not to be kept. One that comes back has the same number: that is made of its
    /// name.
    fn keep(&mut self, keep: impl Fn(NodeId) -> bool) {
        self.by_name.retain(|_, number| keep(*number));
        self.taken.retain(|number, _| keep(*number));
    }

    /// Forgets one node.
    fn forget(&mut self, number: NodeId) {
        if let Some(name) = self.taken.remove(&number) {
            self.by_name.remove(&name);
        }
    }

    /// The name of a node, for the log.
    pub fn name(&self, number: NodeId) -> Option<&str> {
        self.taken.get(&number).map(String::as_str)
    }
}

/// A size in thousandths; what no size can be counts as none.
pub fn thousandths(size: f64) -> u32 {
    (size * 1000.0) as u32
}

impl Listing {
    /// Whether a whole list names a node twice: which entry holds is not known. Changes are taken in their order.
    fn is_doubled(&self) -> bool {
        let ids: BTreeSet<&str> = self.members.iter().map(|m| m.id.as_str()).collect();
        self.complete && ids.len() < self.members.len()
    }

    /// How the list is to be read.
    pub fn kind(&self) -> ListKind {
        match self.complete {
            true => ListKind::Full,
            false => ListKind::Changes,
        }
    }

    /// Its nodes as the planner knows them. A node of a zone that the settings lack has a zone of its own.
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
            true => numbers.keep(|node| last.get(&node).is_some_and(|state| *state != NodeState::Gone)),
            false => {
                let gone = last.iter().filter(|(_, state)| **state == NodeState::Gone);
                gone.for_each(|(node, _)| numbers.forget(*node));
            }
        }
        members
    }
}

/// A call for what is newer than a version, waiting up to `wait` milliseconds for it.
pub fn watch_request(host: &str, revision: u64, wait_ms: Time) -> String {
    format!(
        "GET /v1/servers?index={revision}&wait={wait_ms} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    )
}

/// A response.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// It holds a list.
    Listing(Listing),
    /// The call failed with this status.
    Status(u16),
}

/// Where a response's body ends.
enum Body {
    Length(usize),
    Chunked,
    /// All that comes before the connection's end.
    Rest,
}

/// Takes one whole response off the front of what was read; nothing while it is not whole. The flag tells
/// whether the connection serves another call.
pub fn decode(read: &mut BytesMut) -> Result<Option<(Response, bool)>, ProtocolError> {
    decode_as(read, false)
}

/// The response in what was read when discovery has closed the connection, which ends one that tells no length. Not for
/// a connection that was reset: what is missing would pass for the end.
pub fn decode_ended(read: &mut BytesMut) -> Result<Option<Response>, ProtocolError> {
    Ok(decode_as(read, true)?.map(|(response, _)| response))
}

fn decode_as(read: &mut BytesMut, ended: bool) -> Result<Option<(Response, bool)>, ProtocolError> {
    // Interim answers only say that the answer is still to come.
    while read.starts_with(b"HTTP/1.1 1") {
        match read.windows(4).position(|w| w == b"\r\n\r\n") {
            Some(end) => drop(read.split_to(end + 4)),
            None if read.len() > MOST_HEAD => return Err(ProtocolError("response head too long")),
            None => return Ok(None),
        }
    }
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(read).map_err(|_| ProtocolError("not HTTP/1.1"))? {
        httparse::Status::Partial if read.len() > MOST_HEAD => {
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
        Some(Some(length)) if length <= MOST_BODY => Body::Length(length),
        Some(_) => return Err(ProtocolError("bad content-length")),
        // Of a call that failed the status is enough.
        None if status == 200 => Body::Rest,
        None => Body::Length(0),
    };
    let (response, end) = {
        let (text, end) = match body {
            Body::Rest if read.len() > start + MOST_BODY => return Err(ProtocolError("response too long")),
            Body::Rest if !ended => return Ok(None),
            Body::Rest => (Cow::Borrowed(&read[start..]), read.len()),
            Body::Length(length) if read.len() < start + length => return Ok(None),
            Body::Length(length) => (Cow::Borrowed(&read[start..start + length]), start + length),
            Body::Chunked => match chunks(&read[start..])? {
                None => return Ok(None),
                Some((text, used)) => (Cow::Owned(text), start + used),
            },
        };
        match status {
            200 => match serde_json::from_slice::<Listing>(&text) {
                Ok(listing) if listing.is_doubled() => {
                    return Err(ProtocolError("a list that names a node twice"))
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

/// The text of a chunked body and how many bytes it took; nothing while it is not whole.
fn chunks(body: &[u8]) -> Result<Option<(Vec<u8>, usize)>, ProtocolError> {
    let (mut text, mut at) = (Vec::new(), 0);
    loop {
        let size = httparse::parse_chunk_size(&body[at..]).map_err(|_| ProtocolError("bad chunk size"))?;
        let httparse::Status::Complete((used, size)) = size else { return Ok(None) };
        let size = usize::try_from(size).ok().filter(|s| text.len() + s <= MOST_BODY);
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
