//! Stand-ins that speak NBD: a disk node and a client's connection. Fixed newstyle handshake, simple replies.

use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const MAGIC: u64 = 0x4e42_444d_4147_4943;
const OPTION_MAGIC: u64 = 0x4948_4156_454f_5054;
const OPTION_REPLY_MAGIC: u64 = 0x0003_e889_0455_65a9;
const REQUEST_MAGIC: u32 = 0x2560_9513;
const REPLY_MAGIC: u32 = 0x6744_6698;
const FIXED_NEWSTYLE: u16 = 1;
const NO_ZEROES: u16 = 2;
const OPTION_ABORT: u32 = 2;
const OPTION_GO: u32 = 7;
const REPLY_ACK: u32 = 1;
const REPLY_INFO: u32 = 3;
const REPLY_UNSUPPORTED: u32 = (1 << 31) + 1;
/// Has flags, takes flushes and FUA, and a flush on one connection covers what was written on any.
const TRANSMISSION_FLAGS: u16 = 1 | 4 | 8 | 256;
pub const READ: u16 = 0;
pub const WRITE: u16 = 1;
pub const DISC: u16 = 2;
pub const FLUSH: u16 = 3;
const FUA: u16 = 1;
/// The error of a request that never ran, in the broker's replies.
pub const ENOMEM: u32 = 12;
/// Bytes of a block, as the cases use them.
pub const BLOCK: usize = 4096;

/// What a node keeps.
pub trait Disk: Send + Sync {
    fn size(&self) -> u64;
    fn read(&self, offset: u64, length: usize) -> Vec<u8>;
    fn write(&self, offset: u64, data: &[u8], durable: bool);
    fn flush(&self);
}

fn number<const N: usize>(input: &mut TcpStream) -> Option<[u8; N]> {
    let mut bytes = [0; N];
    input.read_exact(&mut bytes).ok().map(|()| bytes)
}

/// Serves one connection of a broker until it ends.
fn serve(mut stream: TcpStream, disk: &dyn Disk) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let greeting = [&MAGIC.to_be_bytes()[..], &OPTION_MAGIC.to_be_bytes()].concat();
    stream.write_all(&[&greeting[..], &(FIXED_NEWSTYLE | NO_ZEROES).to_be_bytes()].concat()).ok()?;
    let _client_flags = number::<4>(&mut stream)?;
    loop {
        if u64::from_be_bytes(number::<8>(&mut stream)?) != OPTION_MAGIC {
            return None;
        }
        let option = u32::from_be_bytes(number::<4>(&mut stream)?);
        let mut data = vec![0; u32::from_be_bytes(number::<4>(&mut stream)?).min(65_536) as usize];
        stream.read_exact(&mut data).ok()?;
        let reply = |kind: u32, data: &[u8]| {
            let head = [&OPTION_REPLY_MAGIC.to_be_bytes()[..], &option.to_be_bytes(), &kind.to_be_bytes()];
            [&head.concat()[..], &(data.len() as u32).to_be_bytes(), data].concat()
        };
        match option {
            OPTION_GO => {
                let info = [&[0, 0][..], &disk.size().to_be_bytes(), &TRANSMISSION_FLAGS.to_be_bytes()];
                stream.write_all(&reply(REPLY_INFO, &info.concat())).ok()?;
                stream.write_all(&reply(REPLY_ACK, b"")).ok()?;
                break;
            }
            OPTION_ABORT => return None,
            _ => stream.write_all(&reply(REPLY_UNSUPPORTED, b"")).ok()?,
        }
    }
    loop {
        let head = number::<28>(&mut stream)?;
        let at = |from: usize, to: usize| &head[from..to];
        if at(0, 4) != REQUEST_MAGIC.to_be_bytes() {
            return None;
        }
        let flags = u16::from_be_bytes(at(4, 6).try_into().ok()?);
        let kind = u16::from_be_bytes(at(6, 8).try_into().ok()?);
        let offset = u64::from_be_bytes(at(16, 24).try_into().ok()?);
        let length = u32::from_be_bytes(at(24, 28).try_into().ok()?) as usize;
        let mut reply = REPLY_MAGIC.to_be_bytes().to_vec();
        reply.extend(0_u32.to_be_bytes());
        reply.extend(at(8, 16));
        match kind {
            READ => reply.extend(disk.read(offset, length)),
            WRITE => {
                let mut data = vec![0; length];
                stream.read_exact(&mut data).ok()?;
                disk.write(offset, &data, flags & FUA != 0);
            }
            FLUSH => disk.flush(),
            _ => return None,
        }
        stream.write_all(&reply).ok()?;
    }
}

/// Accepts connections for good.
fn accept(listener: TcpListener, disk: Arc<dyn Disk>) {
    for stream in listener.incoming().flatten() {
        let disk = disk.clone();
        thread::spawn(move || serve(stream, &*disk));
    }
}

/// A node within this process; returns its address.
pub fn node(disk: Arc<dyn Disk>) -> Result<String, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?.to_string();
    thread::spawn(move || accept(listener, disk));
    Ok(address)
}

/// A disk with a write cache, as NBD allows it to a server that takes flushes: what was written stays in memory until a
/// flush, or until a write that must be durable. The file is what survives the process.
struct CachedDisk(Mutex<Cached>);

struct Cached {
    memory: Vec<u8>,
    /// What is not in the file: offsets and lengths.
    dirty: Vec<(u64, usize)>,
    file: File,
    log: File,
}

impl Cached {
    fn note(&mut self, text: &str) {
        let _ = self.log.write_all(format!("{text}\n").as_bytes());
    }

    fn store(&mut self, offset: u64, length: usize) -> std::io::Result<()> {
        let bytes = &self.memory[offset as usize..offset as usize + length];
        self.file.seek(SeekFrom::Start(offset))?;
        self.file.write_all(bytes)?;
        self.file.sync_data()
    }
}

impl Disk for CachedDisk {
    fn size(&self) -> u64 {
        self.0.lock().map_or(0, |cached| cached.memory.len() as u64)
    }

    fn read(&self, offset: u64, length: usize) -> Vec<u8> {
        let Ok(mut cached) = self.0.lock() else { return vec![0; length] };
        cached.note(&format!("read {offset}+{length}"));
        cached.memory[offset as usize..offset as usize + length].to_vec()
    }

    fn write(&self, offset: u64, data: &[u8], durable: bool) {
        let Ok(mut cached) = self.0.lock() else { return };
        cached.note(&format!("write {offset}+{} of {:#04x}, durable: {durable}", data.len(), data[0]));
        cached.memory[offset as usize..offset as usize + data.len()].copy_from_slice(data);
        match durable {
            true => cached.store(offset, data.len()).expect("the file takes it"),
            false => cached.dirty.push((offset, data.len())),
        }
    }

    fn flush(&self) {
        let Ok(mut cached) = self.0.lock() else { return };
        let dirty = std::mem::take(&mut cached.dirty);
        cached.note(&format!("flush of {} writes", dirty.len()));
        dirty
            .into_iter()
            .for_each(|(offset, length)| cached.store(offset, length).expect("the file takes it"));
    }
}

/// A node as a process of its own, over a file that outlives it. Its log stands beside the file.
pub fn node_process(address: &str, path: &str) -> Result<(), String> {
    let wrong = |error: std::io::Error| format!("{path}: {error}");
    let mut file = OpenOptions::new().read(true).write(true).open(path).map_err(wrong)?;
    let mut memory = Vec::new();
    file.read_to_end(&mut memory).map_err(wrong)?;
    let mut log = OpenOptions::new().create(true).append(true).open(format!("{path}.log")).map_err(wrong)?;
    log.write_all(b"node started\n").map_err(wrong)?;
    let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
    accept(listener, Arc::new(CachedDisk(Mutex::new(Cached { memory, dirty: Vec::new(), file, log }))));
    Ok(())
}

/// What came back for a client's request.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    Done(Vec<u8>),
    Error(u32),
}

/// A client's connection to an export of a broker.
pub struct Client {
    stream: TcpStream,
    cookie: u64,
}

impl Client {
    pub fn connect(address: &str, export: &str) -> Result<Client, String> {
        let wrong = |error: std::io::Error| format!("NBD client: {error}");
        let mut stream = TcpStream::connect(address).map_err(wrong)?;
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(Duration::from_secs(10))).map_err(wrong)?;
        let mut greeting = [0; 18];
        stream.read_exact(&mut greeting).map_err(wrong)?;
        let mut out = u32::from(FIXED_NEWSTYLE | NO_ZEROES).to_be_bytes().to_vec();
        out.extend(OPTION_MAGIC.to_be_bytes());
        out.extend(OPTION_GO.to_be_bytes());
        out.extend((export.len() as u32 + 6).to_be_bytes());
        out.extend((export.len() as u32).to_be_bytes());
        out.extend(export.as_bytes());
        out.extend(0_u16.to_be_bytes());
        stream.write_all(&out).map_err(wrong)?;
        loop {
            let mut head = [0; 20];
            stream.read_exact(&mut head).map_err(wrong)?;
            let word = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
            let (kind, length) = (word(12), word(16));
            let mut data = vec![0; length.min(65_536) as usize];
            stream.read_exact(&mut data).map_err(wrong)?;
            match kind {
                REPLY_ACK => return Ok(Client { stream, cookie: 0 }),
                REPLY_INFO => {}
                _ => return Err(format!("export {export} refused")),
            }
        }
    }

    /// Sends a request and waits for its reply.
    pub fn ask(&mut self, kind: u16, offset: u64, length: usize, data: &[u8]) -> Result<Reply, String> {
        let wrong = |error: std::io::Error| format!("NBD client: {error}");
        self.cookie += 1;
        let mut out = REQUEST_MAGIC.to_be_bytes().to_vec();
        out.extend(0_u16.to_be_bytes());
        out.extend(kind.to_be_bytes());
        out.extend(self.cookie.to_be_bytes());
        out.extend(offset.to_be_bytes());
        out.extend((length as u32).to_be_bytes());
        out.extend(data);
        self.stream.write_all(&out).map_err(wrong)?;
        let mut head = [0; 16];
        self.stream.read_exact(&mut head).map_err(wrong)?;
        if head[..4] != REPLY_MAGIC.to_be_bytes() || head[8..] != self.cookie.to_be_bytes() {
            return Err("NBD client: not the reply to its request".to_string());
        }
        match u32::from_be_bytes([head[4], head[5], head[6], head[7]]) {
            0 => {
                let mut bytes = vec![0; if kind == READ { length } else { 0 }];
                self.stream.read_exact(&mut bytes).map_err(wrong)?;
                Ok(Reply::Done(bytes))
            }
            errno => Ok(Reply::Error(errno)),
        }
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let mut out = REQUEST_MAGIC.to_be_bytes().to_vec();
        out.extend(0_u16.to_be_bytes());
        out.extend(DISC.to_be_bytes());
        out.extend([0; 20]);
        let _ = self.stream.write_all(&out);
    }
}
