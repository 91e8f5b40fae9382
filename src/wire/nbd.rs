//! NBD: fixed newstyle handshake and transmission, with simple and structured replies. What both sides
//! share; [`server`] speaks it with clients, [`client`] with nodes.
//!
//! | final answer | error | error chunk says |
//! | --- | --- | --- |
//! | refused: it never ran, or running it again is harmless | `ENOMEM` | `BUSY MS`: come again after MS milliseconds |
//! | failed: nothing is promised | `EIO` | `failed` |
//! | failed: a block is not what was written there | `EIO` | its offset, and `checksum` |
//! | not a request this export takes | `EINVAL`, `EPERM`, `ENOSPC`, `ENOTSUP` | what is wrong |
//!
//! A simple reply has room for the error only. Of a node's errors, `ENOMEM` with `BUSY` says that the request
//! never ran; every other one is an error after which it may have.

pub mod client;
pub mod guard;
pub mod server;
pub mod teller;

use super::link::ProtocolError;
use super::read_buffer::take_copy;
use crate::state::integrity::State;
use crate::state::planner::Wire;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use server::Export;
use std::fmt;
use std::rc::Rc;
use winnow::binary::{be_u16, be_u32, be_u64};
use winnow::error::ErrMode;
use winnow::{ModalResult, Parser, Partial};

pub(crate) const MAGIC: u64 = 0x4e42_444d_4147_4943;
pub(crate) const OPTION_MAGIC: u64 = 0x4948_4156_454f_5054;
pub(crate) const OPTION_REPLY_MAGIC: u64 = 0x0003_e889_0455_65a9;
pub(crate) const REQUEST_MAGIC: u32 = 0x2560_9513;
pub(crate) const SIMPLE_MAGIC: u32 = 0x6744_6698;
pub(crate) const CHUNK_MAGIC: u32 = 0x668e_33ef;

/// Handshake flags.
pub(crate) const FIXED_NEWSTYLE: u16 = 1;
pub(crate) const NO_ZEROES: u16 = 2;

/// Options.
pub(crate) mod option {
    pub const EXPORT_NAME: u32 = 1;
    pub const ABORT: u32 = 2;
    pub const LIST: u32 = 3;
    pub const INFO: u32 = 6;
    pub const GO: u32 = 7;
    pub const STRUCTURED_REPLY: u32 = 8;
    pub const LIST_META_CONTEXT: u32 = 9;
    pub const SET_META_CONTEXT: u32 = 10;
}

/// Replies to options.
pub(crate) mod reply {
    pub const ACK: u32 = 1;
    pub const SERVER: u32 = 2;
    pub const INFO: u32 = 3;
    pub const META_CONTEXT: u32 = 4;
    pub const ERROR: u32 = 1 << 31;
    pub const UNSUPPORTED: u32 = ERROR + 1;
    pub const INVALID: u32 = ERROR + 3;
    pub const UNKNOWN: u32 = ERROR + 6;
    pub const SHUTDOWN: u32 = ERROR + 7;
    pub const TOO_BIG: u32 = ERROR + 9;
}

/// Kinds of information on an export.
pub(crate) const INFO_EXPORT: u16 = 0;
pub(crate) const INFO_BLOCK_SIZE: u16 = 3;

/// Transmission flags.
pub(crate) const HAS_FLAGS: u16 = 1;
pub(crate) const READ_ONLY: u16 = 2;
pub(crate) const SEND_FLUSH: u16 = 4;
pub(crate) const SEND_FUA: u16 = 8;
pub(crate) const CAN_MULTI_CONN: u16 = 256;

/// What the name of a companion ends in.
pub const SUMS_SUFFIX: &str = ".sums";

/// Command flag: a write is answered once it is on stable storage.
pub(crate) const FUA: u16 = 1;

/// Command flag: a status of one extent is enough.
pub(crate) const REQ_ONE: u16 = 8;

/// Metadata contexts of exports with sums; their numbers are their places, from 1. The status of the first is
/// the CRC-32C of a block, an extent each. That of the second is one of [`status`].
pub const CONTEXTS: [&str; 2] = ["claywinch:crc32c", "claywinch:state"];

/// What the context `claywinch:state` says of blocks.
pub mod status {
    /// They have sums.
    pub const SOUND: u32 = 0;
    /// They have none.
    pub const UNSUMMED: u32 = 1;
    /// They are known to be bad, or their sums are damaged.
    pub const BAD: u32 = 2;
    /// A write is under way, or was interrupted.
    pub const DOUBT: u32 = 3;
}

/// Commands.
pub(crate) mod command {
    pub const READ: u16 = 0;
    pub const WRITE: u16 = 1;
    pub const DISC: u16 = 2;
    pub const FLUSH: u16 = 3;
    pub const BLOCK_STATUS: u16 = 7;
}

/// Kinds of chunks of structured replies.
pub(crate) mod chunk {
    pub const DONE: u16 = 1;
    pub const NONE: u16 = 0;
    pub const DATA: u16 = 1;
    pub const HOLE: u16 = 2;
    pub const BLOCK_STATUS: u16 = 5;
    pub const ERROR_BIT: u16 = 1 << 15;
    pub const ERROR: u16 = ERROR_BIT + 1;
    pub const ERROR_OFFSET: u16 = ERROR_BIT + 2;
}

/// Errors of the transmission phase.
pub(crate) mod errno {
    pub const PERM: u32 = 1;
    pub const IO: u32 = 5;
    pub const NOMEM: u32 = 12;
    pub const INVAL: u32 = 22;
    pub const NOSPC: u32 = 28;
    pub const NOTSUP: u32 = 95;
}

/// Most bytes that one read or write may cover: the block size that servers tell clients.
pub const MOST_LENGTH: u32 = 1 << 20;
/// Most bytes of an option's data that are looked at.
pub const MOST_OPTION: u32 = 8 * 1024;
/// Most bytes of a chunk beside its data.
const MOST_EXTRA: u32 = 8 * 1024;

/// What a request does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Reads.
    Read,
    /// Writes this.
    Write(Bytes),
    /// Makes what was written durable.
    Flush,
}

/// The name by which a node knows an export, or the companion that holds its sums. There is no default: the empty name
/// would stand for whatever export the node has as its default.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExportName(Rc<str>);

impl ExportName {
    /// The name of an export of the configuration.
    pub fn new(name: &str) -> Self {
        ExportName(name.into())
    }

    /// The name of the companion of the export of this name.
    pub fn companion(&self) -> Self {
        ExportName(format!("{self}{SUMS_SUFFIX}").into())
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ExportName {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// What a request is carried out on; links are to one of them each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The export itself.
    Data,
    /// The companion that holds its sums.
    Sums,
}

/// A request as a node gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Place of its export in the catalogue.
    pub place: u32,
    /// The export as it was when the request was made.
    pub export: Rc<Export>,
    /// What it is carried out on.
    pub target: Target,
    /// What it does.
    pub operation: Operation,
    /// Whether a write is to be durable when it is answered.
    pub durable: bool,
    /// Where.
    pub offset: u64,
    /// How much.
    pub length: u32,
    /// Not the data but what can be said of its blocks is wanted: whether the sum of the first in any case.
    pub describe: Option<bool>,
}

/// A part of what was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// Bytes at an offset.
    Data(u64, Bytes),
    /// Zeroes at an offset.
    Hole(u64, u32),
    /// What can be said of the blocks that were asked for, from the first on.
    Described(Vec<State>),
    /// What is at an offset is not what was written there: nothing of it is passed on.
    Spoiled(u64),
}

impl Part {
    /// Where it begins and how long it is.
    pub(crate) fn span(&self) -> (u64, u64) {
        match self {
            Part::Data(at, data) => (*at, data.len() as u64),
            Part::Hole(at, length) => (*at, u64::from(*length)),
            Part::Spoiled(at) => (*at, 0),
            Part::Described(_) => (0, 0),
        }
    }
}

/// NBD as the planner's wire. A reply is the parts of what was read, in the order of their offsets.
#[derive(Debug, Clone, Copy)]
pub struct Nbd;

impl Wire for Nbd {
    type Request = Request;
    type Reply = Vec<Part>;
    type Channel = ExportName;

    fn channel(request: &Request) -> ExportName {
        match request.target {
            Target::Data => request.export.name.clone(),
            Target::Sums => request.export.companion.clone(),
        }
    }
}

pub(crate) type Input<'a> = Partial<&'a [u8]>;

/// Runs a parser of a head on the front of what was read; nothing while the head is not whole. Consumes
/// nothing: whoever asks does that once the rest has come, too.
pub(crate) fn head<T>(
    read: &[u8],
    mut parser: impl FnMut(&mut Input) -> ModalResult<T>,
    wrong: &'static str,
) -> Result<Option<T>, ProtocolError> {
    match parser(&mut Partial::new(read)) {
        Ok(head) => Ok(Some(head)),
        Err(ErrMode::Incomplete(_)) => Ok(None),
        Err(_) => Err(ProtocolError(wrong)),
    }
}

/// Takes `length` bytes behind a head of `head` bytes off what was read, and the head; nothing until they
/// are all there. Nothing is set aside for them beforehand.
pub(crate) fn body(read: &mut BytesMut, head: usize, length: usize) -> Option<Bytes> {
    if read.len() < head + length {
        return None;
    }
    read.advance(head);
    Some(take_copy(read, length))
}

/// Head of an option: its number and the length of its data.
pub(crate) fn option_head(input: &mut Input) -> ModalResult<(u32, u32)> {
    (be_u64.verify(|m| *m == OPTION_MAGIC), be_u32, be_u32).map(|(_, o, l)| (o, l)).parse_next(input)
}

/// Head of a reply to an option: the option, the kind of reply, the length of its data.
pub(crate) fn option_reply_head(input: &mut Input) -> ModalResult<(u32, u32, u32)> {
    (be_u64.verify(|m| *m == OPTION_REPLY_MAGIC), be_u32, be_u32, be_u32)
        .map(|(_, o, k, l)| (o, k, l))
        .parse_next(input)
}

/// Head of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestHead {
    pub flags: u16,
    pub command: u16,
    pub cookie: u64,
    pub offset: u64,
    pub length: u32,
}

pub(crate) const REQUEST_HEAD: usize = 28;

pub(crate) fn request_head(input: &mut Input) -> ModalResult<RequestHead> {
    (be_u32.verify(|m| *m == REQUEST_MAGIC), be_u16, be_u16, be_u64, be_u64, be_u32)
        .map(|(_, flags, command, cookie, offset, length)| RequestHead {
            flags,
            command,
            cookie,
            offset,
            length,
        })
        .parse_next(input)
}

/// Writes an option with its data.
pub(crate) fn write_option(out: &mut BytesMut, option: u32, data: &[u8]) {
    out.put_u64(OPTION_MAGIC);
    out.put_u32(option);
    out.put_u32(data.len() as u32);
    out.put_slice(data);
}

/// Writes a reply to an option with its data.
pub(crate) fn write_option_reply(out: &mut BytesMut, option: u32, kind: u32, data: &[u8]) {
    out.put_u64(OPTION_REPLY_MAGIC);
    out.put_u32(option);
    out.put_u32(kind);
    out.put_u32(data.len() as u32);
    out.put_slice(data);
}

/// The data of INFO and GO: the export's name, and no wishes.
pub(crate) fn name_and_no_wishes(name: &str) -> BytesMut {
    let mut data = BytesMut::new();
    data.put_u32(name.len() as u32);
    data.put_slice(name.as_bytes());
    data.put_u16(0);
    data
}
