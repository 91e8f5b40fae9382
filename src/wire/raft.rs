//! Raft messages between peers: each is a frame of a length and the message in the `raft` crate's own
//! encoding. Sans-I/O.

use super::link::ProtocolError;
use super::nbd::{body, head};
use bytes::{BufMut, Bytes, BytesMut};
use protobuf::Message as _;
use raft::eraftpb::Message;
use winnow::binary::be_u32;
use winnow::Parser;

/// Most bytes of a message: a configuration and room for the rest.
pub const MOST_FRAME: u32 = 2 << 20;

/// Takes one whole message off the front of what was read; nothing while it is not whole.
pub fn decode(read: &mut BytesMut) -> Result<Option<Message>, ProtocolError> {
    let Some(length) = head(read, |i| be_u32.parse_next(i), "frame")? else { return Ok(None) };
    if length == 0 || length > MOST_FRAME {
        return Err(ProtocolError("bad length of a frame"));
    }
    let Some(frame) = body(read, 4, length as usize) else { return Ok(None) };
    Message::parse_from_bytes(&frame).map(Some).map_err(|_| ProtocolError("not a Raft message"))
}

/// A message as a frame; nothing for one that is too long.
pub fn encode(message: &Message) -> Option<Bytes> {
    let bytes = message.write_to_bytes().ok()?;
    let length = u32::try_from(bytes.len()).ok().filter(|l| *l <= MOST_FRAME)?;
    let mut frame = BytesMut::with_capacity(4 + bytes.len());
    frame.put_u32(length);
    frame.put_slice(&bytes);
    Some(frame.freeze())
}
