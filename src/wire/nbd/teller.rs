//! A client that asks a front what can be said of the blocks of an export, range after range. Sans-I/O.

use super::*;

/// Bytes that are asked about at once.
const RANGE: u32 = MOST_LENGTH;

/// A range of blocks of which the same can be said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Extent {
    /// In bytes.
    pub offset: u64,
    /// In bytes.
    pub length: u64,
    /// See [`status`].
    pub status: u32,
}

/// What a front said that ends the conversation.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TellerError {
    /// It is no NBD server, or broke the protocol.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// It refused an option.
    #[error("the export is not served, or an option is refused")]
    Refused,
    /// The export has no sums.
    #[error("the export has no sums: integrity is not set for it")]
    NoSums,
    /// It answered with an error of this number.
    #[error("error {0}")]
    Error(u32),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Greeting,
    Options,
    Telling,
    Done,
}

/// The conversation.
#[derive(Debug)]
pub struct Teller {
    export: String,
    phase: Phase,
    read: BytesMut,
    out: BytesMut,
    context: Option<u32>,
    size: u64,
    at: u64,
}

impl Teller {
    /// One about an export, that has just connected.
    pub fn new(export: &str) -> Self {
        Teller {
            export: export.to_string(),
            phase: Phase::Greeting,
            read: BytesMut::new(),
            out: BytesMut::new(),
            context: None,
            size: 0,
            at: 0,
        }
    }

    /// What is to be written.
    pub fn take_output(&mut self) -> BytesMut {
        std::mem::take(&mut self.out)
    }

    /// Whether all has been told.
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Takes what was read, and appends what was told. True if the front is too busy: what is asked again should
    /// be written a little later.
    pub fn receive(&mut self, bytes: &[u8], found: &mut Vec<Extent>) -> Result<bool, TellerError> {
        self.read.extend_from_slice(bytes);
        let mut refused = false;
        loop {
            let before = self.read.len();
            match self.phase {
                Phase::Greeting => self.greeting()?,
                Phase::Options => self.option_reply()?,
                Phase::Telling => refused |= self.chunk(found)?,
                Phase::Done => return Ok(refused),
            }
            if self.read.len() == before {
                return Ok(refused);
            }
        }
    }

    fn greeting(&mut self) -> Result<(), TellerError> {
        let greeting = |i: &mut Input| {
            (be_u64.verify(|m| *m == MAGIC), be_u64.verify(|m| *m == OPTION_MAGIC), be_u16).parse_next(i)
        };
        if head(&self.read, greeting, "bad greeting")?.is_none() {
            return Ok(());
        }
        let _ = self.read.split_to(18);
        self.out.put_u32(u32::from(FIXED_NEWSTYLE | NO_ZEROES));
        write_option(&mut self.out, option::STRUCTURED_REPLY, b"");
        let mut context = BytesMut::new();
        for (text, count) in [(self.export.as_str(), Some(1)), (CONTEXTS[1], None)] {
            context.put_u32(text.len() as u32);
            context.put_slice(text.as_bytes());
            if let Some(count) = count {
                context.put_u32(count);
            }
        }
        write_option(&mut self.out, option::SET_META_CONTEXT, &context);
        write_option(&mut self.out, option::GO, &name_and_no_wishes(&self.export));
        self.phase = Phase::Options;
        Ok(())
    }

    fn option_reply(&mut self) -> Result<(), TellerError> {
        let Some((option, kind, length)) = head(&self.read, option_reply_head, "bad magic of a reply")?
        else {
            return Ok(());
        };
        if length > MOST_OPTION {
            return Err(ProtocolError("option reply too long").into());
        }
        let Some(data) = body(&mut self.read, 20, length as usize) else { return Ok(()) };
        match (option, kind) {
            (_, kind) if kind & reply::ERROR != 0 => return Err(TellerError::Refused),
            (option::SET_META_CONTEXT, reply::META_CONTEXT) => {
                self.context = head(&data, |i| be_u32.parse_next(i), "context")?;
            }
            (option::GO, reply::INFO) => {
                let export = |i: &mut Input| (be_u16, be_u64).parse_next(i);
                if let Some((INFO_EXPORT, size)) = head(&data, export, "information")? {
                    self.size = size;
                }
            }
            (option::GO, reply::ACK) if self.context.is_none() => return Err(TellerError::NoSums),
            (option::GO, reply::ACK) => {
                self.phase = Phase::Telling;
                self.ask();
            }
            _ => {}
        }
        Ok(())
    }

    fn ask(&mut self) {
        if self.at >= self.size {
            self.phase = Phase::Done;
            return;
        }
        self.out.put_u32(REQUEST_MAGIC);
        self.out.put_u16(0);
        self.out.put_u16(command::BLOCK_STATUS);
        self.out.put_u64(1);
        self.out.put_u64(self.at);
        self.out.put_u32((self.size - self.at).min(u64::from(RANGE)) as u32);
    }

    fn chunk(&mut self, found: &mut Vec<Extent>) -> Result<bool, TellerError> {
        let parse = |i: &mut Input| {
            (be_u32.verify(|m| *m == CHUNK_MAGIC), be_u16, be_u16, be_u64, be_u32).parse_next(i)
        };
        let Some((_, flags, kind, _, length)) = head(&self.read, parse, "bad magic of a chunk")? else {
            return Ok(false);
        };
        if length > MOST_LENGTH {
            return Err(ProtocolError("chunk too long").into());
        }
        let Some(data) = body(&mut self.read, 20, length as usize) else { return Ok(false) };
        let mut refused = false;
        match kind {
            chunk::BLOCK_STATUS if length >= 12 && length % 8 == 4 => {
                for pair in data[4..].chunks_exact(8) {
                    let (length, status) = pair.split_at(4);
                    let number = |b: &[u8]| b.iter().fold(0, |n, b| n << 8 | u32::from(*b));
                    let length = u64::from(number(length));
                    if length == 0 || length > self.size - self.at {
                        return Err(ProtocolError("an extent outside of the export").into());
                    }
                    found.push(Extent { offset: self.at, length, status: number(status) });
                    self.at += length;
                }
            }
            kind if kind & chunk::ERROR_BIT != 0 => {
                let errno = head(&data, |i| be_u32.parse_next(i), "error")?.unwrap_or(errno::IO);
                if errno != errno::NOMEM {
                    return Err(TellerError::Error(errno));
                }
                refused = true;
            }
            _ => return Err(ProtocolError("unexpected chunk").into()),
        }
        if flags & chunk::DONE != 0 {
            self.ask();
        }
        // Asked again it may come again without end: that is for whoever waits to bound.
        Ok(refused)
    }
}
