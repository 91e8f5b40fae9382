//! The server's side of NBD: a session with a client.

use super::*;
use crate::interface::{Arrival, RequestId, ShardId, Time};
use crate::state::integrity::{Facts, BLOCK};
use crate::state::planner::Answer;
use crate::wire::outbox::Outbox;
use crate::wire::session::{RequestIds, Session};
use std::collections::BTreeMap;
use std::rc::Rc;
use winnow::binary::length_take;
use winnow::combinator::{eof, repeat};
use winnow::token::take;

/// Requests of one client that may be out at once.
const MOST_OWED: usize = 64;
/// Bytes that all of them together may read or write.
const MOST_OWED_BYTES: u64 = 4 << 20;
/// Longest data that is thrown away so that what comes behind it can be read: the block size that NBD takes
/// where a server names none.
const MOST_SKIPPED: u32 = 32 << 20;
/// A page of zeroes: holes are written from it over and over.
static ZEROES: [u8; 4096] = [0; 4096];

/// What the scheduler is told of the requests of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    /// Place of their class in the settings.
    pub class: usize,
    /// How long a client is taken to wait for them.
    pub deadline: Time,
}

/// A volume that clients can ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Export {
    /// Its name.
    pub name: ExportName,
    /// The name of its companion, which holds its sums if it has any.
    pub companion: ExportName,
    /// Its size in bytes.
    pub size: u64,
    /// Whether it takes no writes.
    pub read_only: bool,
    /// The shard that holds it.
    pub shard: ShardId,
    /// Place of its plan in the settings.
    pub plan: usize,
    /// Number of brokers that its requests come through.
    pub hosts: u32,
    /// Its reads, writes and flushes.
    pub kinds: [Kind; 3],
    /// Bytes that count as a unit.
    pub unit: u32,
    /// Most units of one request.
    pub most_units: u32,
    /// What is kept of its sums, if it has any.
    pub sums: Option<Facts>,
    /// How it is scrubbed, if it is and this broker is the one that does it: the reads, and the time in which all
    /// of it should be read once.
    pub scrub: Option<(Kind, Time)>,
}

impl Export {
    /// Bytes of the smallest request.
    fn block(&self) -> u32 {
        if self.sums.is_some() {
            BLOCK as u32
        } else {
            1
        }
    }
}

/// All exports. One that is taken out leaves its place, so that places stay the same.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Catalogue(pub Vec<Option<Rc<Export>>>);

impl Catalogue {
    /// This catalogue with the exports of `new` in their places: a session or a link that knows a place
    /// must not come upon another export there.
    pub fn renewed(&self, new: Catalogue) -> Catalogue {
        let mut places = vec![None; self.0.len()];
        let mut names: Vec<Option<ExportName>> =
            self.0.iter().map(|e| e.as_ref().map(|e| e.name.clone())).collect();
        for export in new.0.into_iter().flatten() {
            match names.iter().position(|n| n.as_ref() == Some(&export.name)) {
                Some(place) => places[place] = Some(export),
                None => {
                    names.push(Some(export.name.clone()));
                    places.push(Some(export));
                }
            }
        }
        Catalogue(places)
    }

    /// Whether a request that was made under an earlier catalogue must not be sent any more: its export is gone, holds
    /// its data elsewhere, keeps its sums otherwise, or ends before the request does.
    pub fn revokes(&self, request: &Request) -> bool {
        let Some(export) = self.get(request.place) else { return true };
        if request.export.shard != export.shard || request.export.sums != export.sums {
            return true;
        }
        let end = request.offset.saturating_add(u64::from(request.length));
        request.target == Target::Data && end > export.size
    }

    fn find(&self, name: &[u8]) -> Option<u32> {
        let is = |e: &Option<Rc<Export>>| e.as_ref().is_some_and(|e| e.name.as_str().as_bytes() == name);
        self.0.iter().position(is).map(|place| place as u32)
    }

    /// The export at a place.
    pub fn get(&self, place: u32) -> Option<&Rc<Export>> {
        self.0.get(place as usize)?.as_ref()
    }
}

/// The exports as they are at the moment: shared by all sessions, and replaced as a whole.
pub type Exports = Rc<std::cell::RefCell<Rc<Catalogue>>>;

/// How far the handshake has come.
enum Phase {
    Flags,
    Options,
    Transmission(u32),
    Over,
}

/// A client's session.
pub struct Client {
    exports: Exports,
    numbers: RequestIds,
    phase: Phase,
    no_zeroes: bool,
    structured: bool,
    /// The export and its contexts (a bit each) that were asked for last.
    contexts: (u32, u8),
    /// Bytes still to be thrown away: data of an option or a write that is not taken.
    skip: u64,
    /// The cookies and lengths of requests that have no reply yet.
    owed: BTreeMap<RequestId, (u64, u32)>,
    owed_bytes: u64,
    outbox: Outbox,
}

impl Client {
    /// A session of a client that has just connected: the server speaks first.
    pub fn new(exports: Exports, numbers: RequestIds) -> Self {
        let mut greeting = BytesMut::new();
        greeting.put_u64(MAGIC);
        greeting.put_u64(OPTION_MAGIC);
        greeting.put_u16(FIXED_NEWSTYLE | NO_ZEROES);
        let mut outbox = Outbox::default();
        outbox.push(greeting);
        Client {
            exports,
            numbers,
            phase: Phase::Flags,
            no_zeroes: false,
            structured: false,
            contexts: (0, 0),
            skip: 0,
            owed: BTreeMap::new(),
            owed_bytes: 0,
            outbox,
        }
    }

    /// Takes what is next; false when it is not whole yet.
    fn step(
        &mut self,
        now: Time,
        read: &mut BytesMut,
        asks: &mut Vec<(Arrival, Request)>,
    ) -> Result<bool, ProtocolError> {
        if self.skip > 0 {
            let gone = self.skip.min(read.len() as u64);
            let _ = read.split_to(gone as usize);
            self.skip -= gone;
            return Ok(gone > 0);
        }
        match self.phase {
            Phase::Flags => {
                let Some(flags) = head(read, |i| be_u32.parse_next(i), "flags")? else { return Ok(false) };
                let _ = read.split_to(4);
                if flags & !u32::from(FIXED_NEWSTYLE | NO_ZEROES) != 0 {
                    return Err(ProtocolError("unknown client flags"));
                }
                self.no_zeroes = flags & u32::from(NO_ZEROES) != 0;
                self.phase = Phase::Options;
                Ok(true)
            }
            Phase::Options => self.option(read),
            Phase::Transmission(export) => self.request(now, export, read, asks),
            Phase::Over => Ok(false),
        }
    }

    fn option(&mut self, read: &mut BytesMut) -> Result<bool, ProtocolError> {
        let Some((option, length)) = head(read, option_head, "bad option magic")? else { return Ok(false) };
        if length > MOST_OPTION {
            if option == option::EXPORT_NAME || length > MOST_SKIPPED {
                return Err(ProtocolError("option too long"));
            }
            let _ = read.split_to(16);
            self.skip = u64::from(length);
            self.reply(option, reply::TOO_BIG, b"option too long");
            return Ok(true);
        }
        let Some(data) = body(read, 16, length as usize) else { return Ok(false) };
        match option {
            option::EXPORT_NAME => self.export_name(&data)?,
            option::ABORT => {
                self.reply(option, reply::ACK, b"");
                self.phase = Phase::Over;
            }
            option::LIST if data.is_empty() => {
                let exports = self.exports.borrow().clone();
                for export in exports.0.iter().flatten() {
                    let mut name = BytesMut::new();
                    name.put_u32(export.name.as_str().len() as u32);
                    name.put_slice(export.name.as_str().as_bytes());
                    self.reply(option, reply::SERVER, &name);
                }
                self.reply(option, reply::ACK, b"");
            }
            option::STRUCTURED_REPLY if data.is_empty() => {
                self.structured = true;
                self.reply(option, reply::ACK, b"");
            }
            option::INFO | option::GO => self.info(option, &data),
            option::LIST_META_CONTEXT | option::SET_META_CONTEXT => self.meta_context(option, &data),
            option::LIST | option::STRUCTURED_REPLY => self.reply(option, reply::INVALID, b"takes no data"),
            _ => self.reply(option, reply::UNSUPPORTED, b"unknown option"),
        }
        Ok(true)
    }

    fn export_name(&mut self, name: &[u8]) -> Result<(), ProtocolError> {
        let exports = self.exports.borrow().clone();
        // This option has no error reply: the spec asks for a close.
        let place = exports.find(name).ok_or(ProtocolError("unknown export"))?;
        let export = exports.get(place).ok_or(ProtocolError("unknown export"))?;
        let mut out = BytesMut::new();
        out.put_u64(export.size);
        out.put_u16(flags(export));
        if !self.no_zeroes {
            out.put_bytes(0, 124);
        }
        self.outbox.push(out);
        self.phase = Phase::Transmission(place);
        Ok(())
    }

    fn info(&mut self, option: u32, data: &[u8]) {
        fn wishes<'a>(input: &mut &'a [u8]) -> ModalResult<(&'a [u8], Vec<u16>)> {
            let length = be_u32.parse_next(input)?;
            let name = take(length).parse_next(input)?;
            let count = be_u16.parse_next(input)?;
            let wishes = repeat(usize::from(count), be_u16).parse_next(input)?;
            eof.parse_next(input)?;
            Ok((name, wishes))
        }
        let Ok((name, wishes)) = wishes.parse(data) else {
            return self.reply(option, reply::INVALID, b"malformed");
        };
        let exports = self.exports.borrow().clone();
        let found = exports.find(name).and_then(|place| Some((place, exports.get(place)?)));
        let Some((place, export)) = found else {
            return self.reply(option, reply::UNKNOWN, b"unknown export");
        };
        let mut info = BytesMut::new();
        info.put_u16(INFO_EXPORT);
        info.put_u64(export.size);
        info.put_u16(flags(export));
        self.reply(option, reply::INFO, &info);
        // Where small requests are not taken, clients are told without asking.
        if wishes.contains(&INFO_BLOCK_SIZE) || export.block() > 1 {
            let mut sizes = BytesMut::new();
            sizes.put_u16(INFO_BLOCK_SIZE);
            sizes.put_u32(export.block());
            sizes.put_u32(4096);
            sizes.put_u32(MOST_LENGTH);
            self.reply(option, reply::INFO, &sizes);
        }
        self.reply(option, reply::ACK, b"");
        if option == option::GO {
            self.phase = Phase::Transmission(place);
        }
    }

    /// Lists or sets metadata contexts. Each request to set them takes the place of the one before.
    fn meta_context(&mut self, option: u32, data: &[u8]) {
        fn queries<'a>(input: &mut &'a [u8]) -> ModalResult<(&'a [u8], Vec<&'a [u8]>)> {
            let length = be_u32.parse_next(input)?;
            let name = take(length).parse_next(input)?;
            let count = be_u32.parse_next(input)?;
            let queries = repeat(count as usize, length_take(be_u32)).parse_next(input)?;
            eof.parse_next(input)?;
            Ok((name, queries))
        }
        let sets = option == option::SET_META_CONTEXT;
        if sets {
            self.contexts = (0, 0);
        }
        if !self.structured {
            return self.reply(option, reply::INVALID, b"structured replies come first");
        }
        let Ok((name, queries)) = queries.parse(data) else {
            return self.reply(option, reply::INVALID, b"malformed");
        };
        let exports = self.exports.borrow().clone();
        let found = exports.find(name).and_then(|place| Some((place, exports.get(place)?)));
        let Some((place, export)) = found else {
            return self.reply(option, reply::UNKNOWN, b"unknown export");
        };
        let all = !sets && queries.is_empty();
        let wanted = |context: &str| {
            let in_space = !sets && queries.contains(&&b"claywinch:"[..]);
            all || in_space || queries.contains(&context.as_bytes())
        };
        for (number, context) in CONTEXTS.iter().enumerate() {
            if export.sums.is_some() && wanted(context) {
                let mut data = BytesMut::new();
                data.put_u32(if sets { number as u32 + 1 } else { 0 });
                data.put_slice(context.as_bytes());
                self.reply(option, reply::META_CONTEXT, &data);
                if sets {
                    self.contexts = (place, self.contexts.1 | 1 << number);
                }
            }
        }
        self.reply(option, reply::ACK, b"");
    }

    /// The contexts that hold for the export at a place, a bit each.
    fn contexts_of(&self, place: u32) -> u8 {
        let (of, contexts) = self.contexts;
        if of == place {
            contexts
        } else {
            0
        }
    }

    fn request(
        &mut self,
        now: Time,
        place: u32,
        read: &mut BytesMut,
        asks: &mut Vec<(Arrival, Request)>,
    ) -> Result<bool, ProtocolError> {
        let Some(ask) = head(read, request_head, "bad request magic")? else { return Ok(false) };
        let exports = self.exports.borrow().clone();
        let contexts = self.contexts_of(place);
        let wrong = check(exports.get(place).map(Rc::as_ref), &ask, contexts != 0);
        let mut data = Bytes::new();
        if ask.command == command::WRITE && ask.length <= MOST_LENGTH {
            // An error does not spare the client its data: the next request stands behind it.
            let Some(body) = body(read, REQUEST_HEAD, ask.length as usize) else { return Ok(false) };
            data = body;
        } else {
            let _ = read.split_to(REQUEST_HEAD);
            if ask.command == command::WRITE {
                if ask.length > MOST_SKIPPED {
                    return Err(ProtocolError("write too long"));
                }
                self.skip = u64::from(ask.length);
            }
        }
        if ask.command == command::DISC {
            self.phase = Phase::Over;
            return Ok(true);
        }
        let export = match (wrong, exports.get(place)) {
            (None, Some(export)) => export,
            (wrong, _) => {
                let (errno, text) = wrong.unwrap_or((errno::IO, "export is gone"));
                self.error(ask.cookie, errno, text);
                return Ok(true);
            }
        };
        let (operation, kind) = match ask.command {
            command::READ | command::BLOCK_STATUS => (Operation::Read, export.kinds[0]),
            command::WRITE => (Operation::Write(data), export.kinds[1]),
            _ => (Operation::Flush, export.kinds[2]),
        };
        let id = self.numbers.next();
        let describe = (ask.command == command::BLOCK_STATUS).then_some(contexts & 1 != 0);
        let mut length = ask.length;
        if describe.is_some() {
            // A status may say less than was asked for.
            let most = if ask.flags & REQ_ONE != 0 { export.block() } else { MOST_LENGTH };
            length = length.min(most);
        }
        let brings = if describe.is_some() { 0 } else { length };
        self.owed.insert(id, (ask.cookie, brings));
        self.owed_bytes += u64::from(brings);
        let units = brings.div_ceil(export.unit.max(1)).clamp(1, export.most_units.max(1));
        let arrival = Arrival {
            id,
            class: kind.class,
            plan: export.plan,
            key: Some(format!("{}:{}", export.name, ask.offset / u64::from(MOST_LENGTH))),
            due: now + kind.deadline,
            volume: export.name.to_string(),
            units: f64::from(units),
            shard: Some(export.shard),
            volume_hosts: export.hosts,
            repeat: false,
        };
        let durable = ask.flags & FUA != 0;
        let request = Request {
            place,
            export: export.clone(),
            target: Target::Data,
            operation,
            durable,
            offset: ask.offset,
            length,
            describe,
        };
        asks.push((arrival, request));
        Ok(true)
    }

    fn reply(&mut self, option: u32, kind: u32, data: &[u8]) {
        let mut out = BytesMut::new();
        write_option_reply(&mut out, option, kind, data);
        self.outbox.push(out);
    }

    fn error(&mut self, cookie: u64, errno: u32, text: &str) {
        self.error_at(cookie, errno, text, None);
    }

    fn error_at(&mut self, cookie: u64, errno: u32, text: &str, offset: Option<u64>) {
        let mut out = BytesMut::new();
        if self.structured {
            let (kind, more) = if offset.is_some() { (chunk::ERROR_OFFSET, 8) } else { (chunk::ERROR, 0) };
            chunk_head(&mut out, chunk::DONE, kind, cookie, 6 + text.len() + more);
            out.put_u32(errno);
            out.put_u16(text.len() as u16);
            out.put_slice(text.as_bytes());
            if let Some(offset) = offset {
                out.put_u64(offset);
            }
        } else {
            out.put_u32(SIMPLE_MAGIC);
            out.put_u32(errno);
            out.put_u64(cookie);
        }
        self.outbox.push(out);
    }

    /// Writes what was read: a chunk a part, the last with the flag that ends the reply; or, in a simple
    /// reply, all of it in a row.
    fn served(&mut self, cookie: u64, parts: Vec<Part>) {
        let spoiled = |part: &Part| if let Part::Spoiled(at) = part { Some(*at) } else { None };
        if let Some(at) = parts.iter().find_map(spoiled) {
            return self.error_at(cookie, errno::IO, "checksum", Some(at));
        }
        if let [Part::Described(states)] = &parts[..] {
            return self.described(cookie, states);
        }
        let mut out = BytesMut::new();
        if !self.structured {
            out.put_u32(SIMPLE_MAGIC);
            out.put_u32(0);
            out.put_u64(cookie);
            self.outbox.push(out);
            for part in parts {
                match part {
                    Part::Data(_, data) => self.outbox.push(data),
                    Part::Hole(_, length) => self.zeroes(length),
                    Part::Spoiled(_) | Part::Described(_) => {}
                }
            }
            return;
        }
        if parts.is_empty() {
            chunk_head(&mut out, chunk::DONE, chunk::NONE, cookie, 0);
            self.outbox.push(out);
            return;
        }
        let last = parts.len() - 1;
        for (i, part) in parts.into_iter().enumerate() {
            let done = if i == last { chunk::DONE } else { 0 };
            let mut out = BytesMut::new();
            match part {
                Part::Data(at, data) => {
                    chunk_head(&mut out, done, chunk::DATA, cookie, 8 + data.len());
                    out.put_u64(at);
                    self.outbox.push(out);
                    self.outbox.push(data);
                }
                Part::Hole(at, length) => {
                    chunk_head(&mut out, done, chunk::HOLE, cookie, 12);
                    out.put_u64(at);
                    out.put_u32(length);
                    self.outbox.push(out);
                }
                Part::Spoiled(_) | Part::Described(_) => {}
            }
        }
    }

    /// Writes what can be said of blocks, a chunk for each context.
    fn described(&mut self, cookie: u64, states: &[State]) {
        let Phase::Transmission(place) = self.phase else { return };
        let sum = |state: &State| if let State::Sound(sum) = state { Some(*sum) } else { None };
        let sums: Vec<(u32, u32)> = states.iter().map_while(sum).map(|sum| (BLOCK as u32, sum)).collect();
        let mut extents: Vec<(u32, u32)> = Vec::new();
        for state in states {
            let status = match state {
                State::Sound(_) => status::SOUND,
                State::Unsummed => status::UNSUMMED,
                State::Bad => status::BAD,
                State::Doubt => status::DOUBT,
            };
            match extents.last_mut().filter(|(_, last)| *last == status) {
                Some((length, _)) => *length += BLOCK as u32,
                None => extents.push((BLOCK as u32, status)),
            }
        }
        let contexts = self.contexts_of(place);
        if contexts & 1 != 0 && sums.is_empty() {
            return match states.first() {
                Some(State::Bad) => self.error(cookie, errno::IO, "checksum"),
                _ => self.error(cookie, errno::NOTSUP, "no sum"),
            };
        }
        let last = 7 - contexts.leading_zeros();
        for (number, extents) in [sums, extents].iter().enumerate() {
            if contexts & 1 << number == 0 {
                continue;
            }
            let mut out = BytesMut::new();
            let done = if number as u32 == last { chunk::DONE } else { 0 };
            chunk_head(&mut out, done, chunk::BLOCK_STATUS, cookie, 4 + 8 * extents.len());
            out.put_u32(number as u32 + 1);
            for (length, status) in extents {
                out.put_u32(*length);
                out.put_u32(*status);
            }
            self.outbox.push(out);
        }
    }

    fn zeroes(&mut self, mut length: u32) {
        while length > 0 {
            let part = length.min(ZEROES.len() as u32);
            self.outbox.push(Bytes::from_static(&ZEROES[..part as usize]));
            length -= part;
        }
    }
}

fn flags(export: &Export) -> u16 {
    let writes = if export.read_only { READ_ONLY } else { SEND_FLUSH | SEND_FUA };
    HAS_FLAGS | CAN_MULTI_CONN | writes
}

/// What is wrong with a request, if anything: the error and words for it.
fn check(export: Option<&Export>, ask: &RequestHead, contexts: bool) -> Option<(u32, &'static str)> {
    let Some(export) = export else { return Some((errno::IO, "export is gone")) };
    let end = ask.offset.checked_add(u64::from(ask.length));
    let outside = end.is_none_or(|end| end > export.size);
    let flags = match ask.command {
        command::WRITE => FUA,
        command::BLOCK_STATUS => REQ_ONE,
        _ => 0,
    };
    let block = u64::from(export.block());
    let cut = !ask.offset.is_multiple_of(block) || !u64::from(ask.length).is_multiple_of(block);
    match ask.command {
        command::BLOCK_STATUS if !contexts || export.sums.is_none() => Some((errno::INVAL, "no context")),
        command::READ | command::WRITE | command::FLUSH | command::DISC | command::BLOCK_STATUS
            if ask.flags & !flags != 0 =>
        {
            Some((errno::INVAL, "unknown flags"))
        }
        command::BLOCK_STATUS if ask.length == 0 || outside || cut => Some((errno::INVAL, "bad range")),
        command::WRITE if export.read_only => Some((errno::PERM, "read-only")),
        command::READ | command::WRITE if ask.length > MOST_LENGTH => Some((errno::INVAL, "too long")),
        command::READ | command::WRITE if ask.length == 0 => Some((errno::INVAL, "nothing asked for")),
        command::READ if outside => Some((errno::INVAL, "out of range")),
        command::WRITE if outside => Some((errno::NOSPC, "out of range")),
        command::READ | command::WRITE if cut => Some((errno::INVAL, "not whole blocks of 4096 bytes")),
        command::FLUSH if ask.offset != 0 || ask.length != 0 => Some((errno::INVAL, "a flush has no range")),
        command::READ | command::WRITE | command::FLUSH | command::DISC | command::BLOCK_STATUS => None,
        _ => Some((errno::NOTSUP, "unknown command")),
    }
}

fn chunk_head(out: &mut BytesMut, flags: u16, kind: u16, cookie: u64, length: usize) {
    out.put_u32(CHUNK_MAGIC);
    out.put_u16(flags);
    out.put_u16(kind);
    out.put_u64(cookie);
    out.put_u32(length as u32);
}

impl Session<Nbd> for Client {
    fn receive(&mut self, now: Time, read: &mut BytesMut, asks: &mut Vec<(Arrival, Request)>) {
        // Over the limit the rest waits in the buffer; `answer` makes room and the driver asks again.
        while !self.is_full() {
            match self.step(now, read, asks) {
                Ok(true) => {}
                Ok(false) => return,
                Err(reason) => {
                    tracing::debug!("client ends: {reason}");
                    self.phase = Phase::Over;
                    return;
                }
            }
        }
    }

    fn answer(&mut self, id: RequestId, answer: Answer<Vec<Part>>) {
        let Some((cookie, length)) = self.owed.remove(&id) else { return };
        self.owed_bytes -= u64::from(length);
        match answer {
            Answer::Served(parts) => {
                self.served(cookie, parts);
            }
            Answer::Refused(after) => {
                self.error(cookie, errno::NOMEM, &format!("BUSY {}", (after + 999) / 1000));
            }
            Answer::Failed => self.error(cookie, errno::IO, "failed"),
        }
    }

    fn outbox(&mut self) -> &mut Outbox {
        &mut self.outbox
    }

    fn unanswered(&self) -> Vec<RequestId> {
        self.owed.keys().copied().collect()
    }

    fn is_full(&self) -> bool {
        self.owed.len() >= MOST_OWED || self.owed_bytes >= MOST_OWED_BYTES
    }

    fn is_ending(&self) -> bool {
        matches!(self.phase, Phase::Over)
    }

    /// A block device does not survive its connection, so only clients that still shake hands give way.
    fn is_evictable(&self) -> bool {
        !matches!(self.phase, Phase::Transmission(_))
    }

    fn reject_unfinished_command(&mut self) {
        self.phase = Phase::Over;
    }

    fn stop(&mut self) {
        if matches!(self.phase, Phase::Options) {
            self.reply(option::GO, reply::SHUTDOWN, b"shutting down");
            self.phase = Phase::Over;
        }
    }
}
