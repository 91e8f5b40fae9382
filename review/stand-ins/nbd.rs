//! NBD stand-ins, written from the public specification: a node that holds exports, and a client.

use crate::common::Case;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const HELLO: &[u8; 16] = b"NBDMAGICIHAVEOPT";
const OPTION_REPLY: u64 = 0x0003_e889_0455_65a9;
const REQUEST: u32 = 0x2560_9513;
const SIMPLE: u32 = 0x6744_6698;
const OPTION_EXPORT_NAME: u64 = 1;
const OPTION_ABORT: u64 = 2;
const OPTION_INFO: u64 = 6;
const OPTION_GO: u64 = 7;
const REPLY_ACK: u32 = 1;
const REPLY_INFO: u32 = 3;
const REPLY_UNSUPPORTED: u32 = (1 << 31) + 1;
const REPLY_UNKNOWN: u32 = (1 << 31) + 6;
/// HAS_FLAGS, SEND_FLUSH, SEND_FUA, CAN_MULTI_CONN.
const FLAGS: u16 = 1 | 4 | 8 | 256;
pub const READ: u16 = 0;
pub const WRITE: u16 = 1;
const DISC: u16 = 2;

fn number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |n, b| n << 8 | u64::from(*b))
}

fn exact(stream: &mut impl Read, n: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; n];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// What a node does with requests.
#[derive(Debug, Clone, Copy)]
pub enum Manner {
    /// Answers each after a time, one after another on a connection.
    Serve(Duration),
}

/// What a node holds and has seen.
pub struct Held {
    pub manner: Manner,
    /// How long a connection takes to come up, from when it was made to the node's greeting.
    pub greets_after: Duration,
    /// The bytes of its exports. The first one is the default export, which the empty name means.
    pub exports: BTreeMap<String, Vec<u8>>,
    pub default: String,
    /// Writes: export as the broker named it, export that was written, offset, first byte, length.
    pub writes: Vec<(String, String, u64, u8, usize)>,
    /// Commands that came.
    pub commands: usize,
    /// When the last byte of each write came, in milliseconds of the case.
    pub written_at: Vec<u64>,
    /// Connections that came through the handshake, by the name they asked for.
    pub sessions: Vec<String>,
}

/// A node.
#[derive(Clone)]
pub struct Node {
    pub held: Arc<Mutex<Held>>,
    pub address: String,
}

impl Node {
    /// A node with exports of so many bytes, each filled with a byte of its own. The first one is its default export.
    pub fn start(
        case: &Case,
        name: &'static str,
        exports: &[(&str, u8)],
        size: usize,
        manner: Manner,
    ) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let default = exports[0].0.to_string();
        let exports = exports.iter().map(|(name, fill)| (name.to_string(), vec![*fill; size])).collect();
        let greets_after = Duration::ZERO;
        let held = Held {
            manner,
            greets_after,
            exports,
            default,
            writes: Vec::new(),
            commands: 0,
            written_at: Vec::new(),
            sessions: Vec::new(),
        };
        let node = Node { held: Arc::new(Mutex::new(held)), address };
        let (shared, case) = (node.clone(), case.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, case) = (shared.clone(), case.clone());
                thread::spawn(move || shared.serve(&case, name, stream));
            }
        });
        node
    }

    fn serve(&self, case: &Case, name: &str, mut stream: TcpStream) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let Some(asked) = self.shake_hands(&mut stream)? else { return Ok(()) };
        let export = match asked.is_empty() {
            true => self.held.lock().expect("the node").default.clone(),
            false => asked.clone(),
        };
        case.note(format!("node {name}: a connection to export {asked:?}, which is {export:?}"));
        self.held.lock().expect("the node").sessions.push(asked.clone());
        loop {
            let head = exact(&mut stream, 28)?;
            if number(&head[..4]) != u64::from(REQUEST) {
                return Err(io::Error::other("request magic"));
            }
            let command = number(&head[6..8]) as u16;
            let (cookie, offset) = (&head[8..16], number(&head[16..24]));
            let length = number(&head[24..28]) as usize;
            let data = if command == WRITE { exact(&mut stream, length)? } else { Vec::new() };
            if command == DISC {
                return Ok(());
            }
            let manner = {
                let mut held = self.held.lock().expect("the node");
                held.commands += 1;
                held.written_at.extend((command == WRITE).then(|| case.now()));
                held.manner
            };
            case.note(format!(
                "node {name}: export {asked:?} gets command {command} at {offset}, {length} bytes{}",
                data.first().map(|b| format!(" of {b:#04x}")).unwrap_or_default()
            ));
            let Manner::Serve(after) = manner;
            thread::sleep(after);
            let mut held = self.held.lock().expect("the node");
            let bytes = held.exports.get_mut(&export).expect("the export");
            let range = offset as usize..offset as usize + length;
            if range.end > bytes.len() {
                return Err(io::Error::other("out of range"));
            }
            let mut reply = SIMPLE.to_be_bytes().to_vec();
            reply.extend(0_u32.to_be_bytes());
            reply.extend(cookie);
            match command {
                READ => reply.extend(&bytes[range]),
                WRITE => {
                    bytes[range].copy_from_slice(&data);
                    let write = (asked.clone(), export.clone(), offset, data[0], length);
                    held.writes.push(write);
                }
                _ => {}
            }
            drop(held);
            stream.write_all(&reply)?;
        }
    }

    /// The handshake; the name of the export that was asked for.
    fn shake_hands(&self, stream: &mut TcpStream) -> io::Result<Option<String>> {
        let late = self.held.lock().expect("the node").greets_after;
        thread::sleep(late);
        stream.write_all(&[&HELLO[..], &3_u16.to_be_bytes()].concat())?;
        exact(stream, 4)?;
        loop {
            let head = exact(stream, 16)?;
            let (option, length) = (number(&head[8..12]), number(&head[12..16]) as usize);
            let data = exact(stream, length)?;
            let reply = |kind: u32, data: &[u8]| {
                let mut out = OPTION_REPLY.to_be_bytes().to_vec();
                out.extend_from_slice(&head[8..12]);
                out.extend(kind.to_be_bytes());
                out.extend((data.len() as u32).to_be_bytes());
                out.extend_from_slice(data);
                out
            };
            // The empty name is that of the default export.
            let size = |name: &str| {
                let held = self.held.lock().expect("the node");
                let name = if name.is_empty() { &held.default } else { name };
                held.exports.get(name).map(|bytes| bytes.len() as u64)
            };
            match option {
                OPTION_GO | OPTION_INFO => {
                    let end = 4 + number(&data[..4]) as usize;
                    let name = String::from_utf8_lossy(&data[4..end]).to_string();
                    let Some(size) = size(&name) else {
                        stream.write_all(&reply(REPLY_UNKNOWN, b"no such export"))?;
                        continue;
                    };
                    let info = [&[0, 0][..], &size.to_be_bytes(), &FLAGS.to_be_bytes()].concat();
                    stream.write_all(&[reply(REPLY_INFO, &info), reply(REPLY_ACK, b"")].concat())?;
                    if option == OPTION_GO {
                        return Ok(Some(name));
                    }
                }
                OPTION_EXPORT_NAME => {
                    let name = String::from_utf8_lossy(&data).to_string();
                    let Some(size) = size(&name) else { return Ok(None) };
                    stream.write_all(&[&size.to_be_bytes()[..], &FLAGS.to_be_bytes()].concat())?;
                    return Ok(Some(name));
                }
                OPTION_ABORT => {
                    stream.write_all(&reply(REPLY_ACK, b""))?;
                    return Ok(None);
                }
                _ => stream.write_all(&reply(REPLY_UNSUPPORTED, b""))?,
            }
        }
    }
}

/// What a client has read.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The reply to the request of that number: its error, 0 for none, and data of a read.
    Reply(u64, u32, Vec<u8>),
    /// The connection has ended.
    End(String),
}

/// A client: connected to one export, without structured replies.
pub struct Client {
    stream: TcpStream,
    lengths: Arc<Mutex<BTreeMap<u64, usize>>>,
    pub answers: Receiver<Answer>,
}

impl Client {
    /// Connects and asks for an export.
    pub fn connect(address: &str, export: &str) -> io::Result<Client> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        exact(&mut stream, 18)?;
        let mut out = 3_u32.to_be_bytes().to_vec();
        out.extend(&HELLO[8..]);
        out.extend((OPTION_GO as u32).to_be_bytes());
        out.extend((export.len() as u32 + 6).to_be_bytes());
        out.extend((export.len() as u32).to_be_bytes());
        out.extend(export.as_bytes());
        out.extend([0, 0]);
        stream.write_all(&out)?;
        loop {
            let head = exact(&mut stream, 20)?;
            let kind = number(&head[12..16]) as u32;
            exact(&mut stream, number(&head[16..20]) as usize)?;
            match kind {
                REPLY_ACK => break,
                REPLY_INFO => {}
                _ => return Err(io::Error::other(format!("the export was refused: {kind:#x}"))),
            }
        }
        let (sender, answers) = channel();
        let lengths: Arc<Mutex<BTreeMap<u64, usize>>> = Arc::default();
        let (mut reader, expected) = (stream.try_clone()?, lengths.clone());
        thread::spawn(move || loop {
            let mut reply = || -> io::Result<Answer> {
                let head = exact(&mut reader, 16)?;
                if number(&head[..4]) != u64::from(SIMPLE) {
                    return Err(io::Error::other("reply magic"));
                }
                let (error, cookie) = (number(&head[4..8]) as u32, number(&head[8..16]));
                let length = expected.lock().expect("the lengths").remove(&cookie).unwrap_or(0);
                let data = exact(&mut reader, if error == 0 { length } else { 0 })?;
                Ok(Answer::Reply(cookie, error, data))
            };
            let answer = reply().unwrap_or_else(|error| Answer::End(error.to_string()));
            let over = matches!(answer, Answer::End(_));
            if sender.send(answer).is_err() || over {
                return;
            }
        });
        Ok(Client { stream, lengths, answers })
    }

    /// Sends a request; `data` makes it a write.
    pub fn send(&mut self, cookie: u64, offset: u64, length: usize, data: Option<&[u8]>) -> io::Result<()> {
        let command = if data.is_some() { WRITE } else { READ };
        if data.is_none() {
            self.lengths.lock().expect("the lengths").insert(cookie, length);
        }
        let mut out = REQUEST.to_be_bytes().to_vec();
        out.extend(0_u16.to_be_bytes());
        out.extend(command.to_be_bytes());
        out.extend(cookie.to_be_bytes());
        out.extend(offset.to_be_bytes());
        out.extend((length as u32).to_be_bytes());
        out.extend_from_slice(data.unwrap_or_default());
        self.stream.write_all(&out)
    }
}
