//! NBD as the stand-ins speak it, written from the public specification and not from the broker's code:
//! what both get wrong alike would go unseen otherwise. Blocking I/O on loopback.

use std::io::{self, Read, Write};

/// Magic numbers of the specification.
pub mod magic {
    /// Greeting, first word.
    pub const HELLO: u64 = 0x4e42_444d_4147_4943;
    /// Greeting, second word, and each option.
    pub const OPTION: u64 = 0x4948_4156_454f_5054;
    /// Reply to an option.
    pub const OPTION_REPLY: u64 = 0x0003_e889_0455_65a9;
    /// Request.
    pub const REQUEST: u32 = 0x2560_9513;
    /// Simple reply.
    pub const SIMPLE: u32 = 0x6744_6698;
    /// Chunk of a structured reply.
    pub const CHUNK: u32 = 0x668e_33ef;
}

/// Commands.
pub const READ: u16 = 0;
/// Writes.
pub const WRITE: u16 = 1;
/// Ends the connection.
pub const DISC: u16 = 2;
/// Makes acknowledged writes durable.
pub const FLUSH: u16 = 3;
/// Asks what can be said of a range.
pub const BLOCK_STATUS: u16 = 7;
/// Command flag: the write is durable when it is answered.
pub const FUA: u16 = 1;

/// Error numbers of replies.
pub const EIO: u32 = 5;
/// No memory: with the text `BUSY`, the request never ran.
pub const ENOMEM: u32 = 12;
/// Not a request that can be carried out.
pub const EINVAL: u32 = 22;

/// A big-endian number of up to eight bytes.
pub fn number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |n, b| n << 8 | u64::from(*b))
}

/// Reads exactly so many bytes.
pub fn exact(stream: &mut impl Read, n: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; n];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

fn wrong(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

/// A request as it stands on the wire.
#[derive(Debug, Clone)]
pub struct Request {
    /// Command flags.
    pub flags: u16,
    /// Which command.
    pub command: u16,
    /// Chosen by the client, stands in the reply.
    pub cookie: u64,
    /// In bytes.
    pub offset: u64,
    /// In bytes.
    pub length: u32,
    /// What a write brings.
    pub data: Vec<u8>,
}

impl Request {
    /// Reads one.
    pub fn read(stream: &mut impl Read) -> io::Result<Self> {
        let head = exact(stream, 28)?;
        if number(&head[..4]) != u64::from(magic::REQUEST) {
            return Err(wrong("request magic"));
        }
        let (command, length) = (number(&head[6..8]) as u16, number(&head[24..28]) as u32);
        let data = if command == WRITE { exact(stream, length as usize)? } else { Vec::new() };
        let flags = number(&head[4..6]) as u16;
        Ok(Request {
            flags,
            command,
            cookie: number(&head[8..16]),
            offset: number(&head[16..24]),
            length,
            data,
        })
    }

    /// Its bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let mut out = magic::REQUEST.to_be_bytes().to_vec();
        out.extend(self.flags.to_be_bytes());
        out.extend(self.command.to_be_bytes());
        out.extend(self.cookie.to_be_bytes());
        out.extend(self.offset.to_be_bytes());
        out.extend(self.length.to_be_bytes());
        out.extend_from_slice(&self.data);
        out
    }
}

/// A chunk of a structured reply.
pub fn chunk(done: bool, kind: u16, cookie: u64, body: &[&[u8]]) -> Vec<u8> {
    let length: usize = body.iter().map(|b| b.len()).sum();
    let mut out = magic::CHUNK.to_be_bytes().to_vec();
    out.extend(u16::from(done).to_be_bytes());
    out.extend(kind.to_be_bytes());
    out.extend(cookie.to_be_bytes());
    out.extend((length as u32).to_be_bytes());
    body.iter().for_each(|b| out.extend_from_slice(b));
    out
}

/// A simple reply.
pub fn simple(errno: u32, cookie: u64, data: &[u8]) -> Vec<u8> {
    let mut out = magic::SIMPLE.to_be_bytes().to_vec();
    out.extend(errno.to_be_bytes());
    out.extend(cookie.to_be_bytes());
    out.extend_from_slice(data);
    out
}

/// An error as the connection has agreed to have it.
pub fn error(structured: bool, cookie: u64, errno: u32, text: &str) -> Vec<u8> {
    match structured {
        true => {
            let length = (text.len() as u16).to_be_bytes();
            chunk(true, 0x8001, cookie, &[&errno.to_be_bytes(), &length, text.as_bytes()])
        }
        false => simple(errno, cookie, b""),
    }
}

/// The server's handshake; the name of the export and whether replies are structured, or nothing when the
/// client has left.
pub fn shake_as_server(
    stream: &mut (impl Read + Write),
    structured_offered: bool,
    size_of: impl Fn(&str) -> Option<u64>,
) -> io::Result<Option<(String, bool)>> {
    let mut greeting = magic::HELLO.to_be_bytes().to_vec();
    greeting.extend(magic::OPTION.to_be_bytes());
    greeting.extend(3_u16.to_be_bytes());
    stream.write_all(&greeting)?;
    exact(stream, 4)?;
    let mut structured = false;
    loop {
        let head = exact(stream, 16)?;
        if number(&head[..8]) != magic::OPTION {
            return Err(wrong("option magic"));
        }
        let (option, length) = (number(&head[8..12]) as u32, number(&head[12..16]) as usize);
        if length > 64 * 1024 {
            return Err(wrong("option too long"));
        }
        let data = exact(stream, length)?;
        let mut reply = |kind: u32, data: &[u8]| {
            let mut out = magic::OPTION_REPLY.to_be_bytes().to_vec();
            out.extend(option.to_be_bytes());
            out.extend(kind.to_be_bytes());
            out.extend((data.len() as u32).to_be_bytes());
            out.extend_from_slice(data);
            stream.write_all(&out)
        };
        const ACK: u32 = 1;
        const ERROR: u32 = 1 << 31;
        // FLUSH, FUA, and writes seen by flushes of other connections.
        let facts = |size: u64| [&size.to_be_bytes()[..], &(1_u16 | 4 | 8 | 256).to_be_bytes()].concat();
        match option {
            1 => {
                let name = String::from_utf8_lossy(&data).to_string();
                let Some(size) = size_of(&name) else { return Ok(None) };
                stream.write_all(&facts(size))?;
                return Ok(Some((name, structured)));
            }
            2 => {
                reply(ACK, b"")?;
                return Ok(None);
            }
            8 if structured_offered => {
                structured = true;
                reply(ACK, b"")?;
            }
            6 | 7 if data.len() >= 6 => {
                let end = (4 + number(&data[..4]) as usize).min(data.len());
                let name = String::from_utf8_lossy(&data[4..end]).to_string();
                match size_of(&name) {
                    None => reply(ERROR + 6, b"no such export")?,
                    Some(size) => {
                        reply(3, &[&[0, 0][..], &facts(size)].concat())?;
                        reply(ACK, b"")?;
                        if option == 7 {
                            return Ok(Some((name, structured)));
                        }
                    }
                }
            }
            _ => reply(ERROR + 1, b"unsupported")?,
        }
    }
}

/// The client's handshake with GO and, where wished for, structured replies and metadata contexts; the size of
/// the export, and the numbers of the contexts in the order in which they were asked for.
pub fn shake_as_client(
    stream: &mut (impl Read + Write),
    export: &str,
    structured: bool,
    contexts: &[&str],
) -> io::Result<(u64, Vec<Option<u32>>)> {
    let greeting = exact(stream, 18)?;
    if number(&greeting[..8]) != magic::HELLO {
        return Err(wrong("greeting"));
    }
    stream.write_all(&3_u32.to_be_bytes())?;
    let mut option = |number: u32, data: &[u8]| {
        let mut out = magic::OPTION.to_be_bytes().to_vec();
        out.extend(number.to_be_bytes());
        out.extend((data.len() as u32).to_be_bytes());
        out.extend_from_slice(data);
        stream.write_all(&out)
    };
    if structured {
        option(8, b"")?;
    }
    let name = export.as_bytes();
    if !contexts.is_empty() {
        let mut data = [&(name.len() as u32).to_be_bytes()[..], name].concat();
        data.extend((contexts.len() as u32).to_be_bytes());
        for context in contexts {
            data.extend((context.len() as u32).to_be_bytes());
            data.extend_from_slice(context.as_bytes());
        }
        option(10, &data)?;
    }
    let mut numbers = vec![None; contexts.len()];
    option(7, &[&(name.len() as u32).to_be_bytes()[..], name, &[0, 0]].concat())?;
    let mut size = 0;
    loop {
        let head = exact(stream, 20)?;
        let (option, kind) = (number(&head[8..12]), number(&head[12..16]) as u32);
        let data = exact(stream, number(&head[16..20]) as usize)?;
        match (option, kind) {
            (8 | 10, 1) => {}
            (10, 4) if data.len() > 4 => {
                let place = contexts.iter().position(|c| c.as_bytes() == &data[4..]);
                let place = place.ok_or_else(|| wrong("a context that nobody asked for"))?;
                numbers[place] = Some(number(&data[..4]) as u32);
            }
            (7, 3) if data.len() >= 12 && data[..2] == [0, 0] => size = number(&data[2..10]),
            (7, 3) => {}
            (7, 1) => return Ok((size, numbers)),
            _ => return Err(wrong("option refused")),
        }
    }
}

/// A reply to one request, whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Carried out; a read's bytes.
    Done(Vec<u8>),
    /// What can be said of a range: for each context its number, and lengths with statuses.
    Status(Vec<(u32, Vec<(u32, u32)>)>),
    /// An error: its number, its text where there was one, and the offset that it names, if it does.
    Error(u32, String, Option<u64>),
}

/// What has come of a reply.
#[derive(Debug, Default)]
struct Begun {
    /// Of a read, at their offsets.
    parts: Vec<(u64, Vec<u8>)>,
    /// By context.
    status: Vec<(u32, Vec<(u32, u32)>)>,
    /// The first.
    error: Option<Reply>,
}

/// Puts structured replies together.
#[derive(Debug, Default)]
pub struct Assembly {
    parts: std::collections::BTreeMap<u64, Begun>,
}

impl Assembly {
    /// Reads one chunk or simple reply; gives the cookie and the reply when that has become whole. `asked`
    /// tells offset and length of what a read asked for, 0 for other commands.
    pub fn read(
        &mut self,
        stream: &mut impl Read,
        asked: impl Fn(u64) -> Option<(u64, u32)>,
    ) -> io::Result<Option<(u64, Reply)>> {
        let first = exact(stream, 4)?;
        if number(&first) == u64::from(magic::SIMPLE) {
            let rest = exact(stream, 12)?;
            let (errno, cookie) = (number(&rest[..4]) as u32, number(&rest[4..]));
            let (_, length) = asked(cookie).ok_or_else(|| wrong("nothing asked for this"))?;
            let reply = match errno {
                0 => Reply::Done(exact(stream, length as usize)?),
                _ => Reply::Error(errno, String::new(), None),
            };
            return Ok(Some((cookie, reply)));
        }
        if number(&first) != u64::from(magic::CHUNK) {
            return Err(wrong("reply magic"));
        }
        let head = exact(stream, 16)?;
        let (flags, kind) = (number(&head[..2]), number(&head[2..4]));
        let (cookie, length) = (number(&head[4..12]), number(&head[12..16]) as usize);
        let body = exact(stream, length)?;
        let (at, size) = asked(cookie).ok_or_else(|| wrong("nothing asked for this"))?;
        let Begun { parts, status, error } = self.parts.entry(cookie).or_default();
        match kind {
            0 => {}
            1 if length > 8 => parts.push((number(&body[..8]), body[8..].to_vec())),
            2 if length == 12 => parts.push((number(&body[..8]), vec![0; number(&body[8..]) as usize])),
            5 if length > 4 && length % 8 == 4 => {
                let pair = |p: &[u8]| (number(&p[..4]) as u32, number(&p[4..]) as u32);
                status.push((number(&body[..4]) as u32, body[4..].chunks(8).map(pair).collect()));
            }
            0x8001 | 0x8002 if length >= 6 => {
                let end = 6 + number(&body[4..6]) as usize;
                let text = String::from_utf8_lossy(body.get(6..end).unwrap_or(b"")).to_string();
                let offset = (kind == 0x8002).then(|| number(body.get(end..end + 8).unwrap_or(b"")));
                let reply = Reply::Error(number(&body[..4]) as u32, text, offset);
                error.get_or_insert(reply);
            }
            _ => return Err(wrong("unknown chunk")),
        }
        if flags & 1 == 0 {
            return Ok(None);
        }
        let Begun { parts, status, error } = self.parts.remove(&cookie).unwrap_or_default();
        if let Some(error) = error {
            return Ok(Some((cookie, error)));
        }
        if !status.is_empty() {
            return Ok(Some((cookie, Reply::Status(status))));
        }
        let mut data = vec![0; size as usize];
        let mut got = 0;
        for (offset, part) in parts {
            let from = offset.checked_sub(at).ok_or_else(|| wrong("outside of what was asked for"))? as usize;
            let place = data.get_mut(from..from + part.len()).ok_or_else(|| wrong("outside"))?;
            place.copy_from_slice(&part);
            got += part.len();
        }
        if got != size as usize {
            return Err(wrong("less than was asked for"));
        }
        Ok(Some((cookie, Reply::Done(data))))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_reply_in_several_chunks_is_one() {
        let mut text = chunk(false, 2, 9, &[&100_u64.to_be_bytes(), &2_u32.to_be_bytes()]);
        text.extend(chunk(true, 1, 9, &[&102_u64.to_be_bytes(), b"ab"]));
        let (mut assembly, mut stream) = (Assembly::default(), &text[..]);
        let asked = |cookie| (cookie == 9).then_some((100, 4));
        assert_eq!(assembly.read(&mut stream, asked).expect("a chunk"), None);
        let whole = assembly.read(&mut stream, asked).expect("a chunk");
        assert_eq!(whole, Some((9, Reply::Done(b"\0\0ab".to_vec()))));
    }

    #[test]
    fn a_request_is_read_as_it_was_written() {
        let request =
            Request { flags: FUA, command: WRITE, cookie: 7, offset: 4096, length: 3, data: b"abc".to_vec() };
        let read = Request::read(&mut &request.bytes()[..]).expect("a request");
        assert_eq!((read.command, read.cookie, read.offset, read.data), (WRITE, 7, 4096, b"abc".to_vec()));
    }
}
