//! A client of an NBD server: one request after another, or a writer and a reader apart for open load.

use crate::nbd::{self, Assembly, Reply, Request};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a reply is waited for: an experiment must end.
const PATIENCE: Duration = Duration::from_secs(20);

/// What was asked for on a connection and has no reply yet: offset and length of what a read brings.
type Asked = Arc<Mutex<BTreeMap<u64, (u64, u32)>>>;

/// The half that asks.
pub struct Asker {
    stream: TcpStream,
    asked: Asked,
    next: u64,
}

/// The half that reads replies.
pub struct Listener {
    stream: BufReader<TcpStream>,
    asked: Asked,
    assembly: Assembly,
}

/// Connects to an export; its size, and both halves.
pub fn connect(address: &str, export: &str, structured: bool) -> io::Result<(u64, Asker, Listener)> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let (size, _) = nbd::shake_as_client(&mut stream, export, structured, &[])?;
    let (asker, listener) = halves(stream)?;
    Ok((size, asker, listener))
}

fn halves(stream: TcpStream) -> io::Result<(Asker, Listener)> {
    let asked = Asked::default();
    let reader = BufReader::with_capacity(256 * 1024, stream.try_clone()?);
    let listener = Listener { stream: reader, asked: asked.clone(), assembly: Assembly::default() };
    Ok((Asker { stream, asked, next: 0 }, listener))
}

impl Asker {
    /// Sends a request and gives its cookie.
    pub fn send(
        &mut self,
        command: u16,
        flags: u16,
        offset: u64,
        length: u32,
        data: Vec<u8>,
    ) -> io::Result<u64> {
        self.next += 1;
        let cookie = self.next;
        let brings = if command == nbd::READ { length } else { 0 };
        self.asked.lock().map_err(|_| io::Error::other("poisoned"))?.insert(cookie, (offset, brings));
        self.stream.write_all(&Request { flags, command, cookie, offset, length, data }.bytes())?;
        Ok(cookie)
    }

    /// The cookie that the next request will have.
    pub fn upcoming(&self) -> u64 {
        self.next + 1
    }

    /// Ends the connection for both halves.
    pub fn close(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

impl Listener {
    /// The next reply that is whole, and its cookie.
    pub fn reply(&mut self) -> io::Result<(u64, Reply)> {
        loop {
            let asked = &self.asked;
            let of = |cookie| asked.lock().ok()?.get(&cookie).copied();
            if let Some((cookie, reply)) = self.assembly.read(&mut self.stream, of)? {
                self.asked.lock().map_err(|_| io::Error::other("poisoned"))?.remove(&cookie);
                return Ok((cookie, reply));
            }
        }
    }
}

/// Both halves together: each request is answered before the next is sent.
pub struct Client {
    /// Bytes of the export.
    pub size: u64,
    asker: Asker,
    listener: Listener,
}

impl Client {
    /// Connects to an export.
    pub fn connect(address: &str, export: &str, structured: bool) -> io::Result<Self> {
        let (size, asker, listener) = connect(address, export, structured)?;
        Ok(Client { size, asker, listener })
    }

    /// Connects with metadata contexts, all of which the server must have; their numbers are given.
    pub fn with_contexts(address: &str, export: &str, contexts: &[&str]) -> io::Result<(Self, Vec<u32>)> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        let (size, numbers) = nbd::shake_as_client(&mut stream, export, true, contexts)?;
        let numbers: Option<Vec<u32>> = numbers.into_iter().collect();
        let numbers = numbers.ok_or_else(|| io::Error::other("a context is not there"))?;
        let (asker, listener) = halves(stream)?;
        Ok((Client { size, asker, listener }, numbers))
    }

    /// Asks what can be said of a range.
    pub fn status(&mut self, offset: u64, length: u32) -> io::Result<Reply> {
        self.call(nbd::BLOCK_STATUS, 0, offset, length, Vec::new())
    }

    fn call(
        &mut self,
        command: u16,
        flags: u16,
        offset: u64,
        length: u32,
        data: Vec<u8>,
    ) -> io::Result<Reply> {
        let cookie = self.asker.send(command, flags, offset, length, data)?;
        let (answered, reply) = self.listener.reply()?;
        match answered == cookie {
            true => Ok(reply),
            false => Err(io::Error::other("an answer to something else")),
        }
    }

    /// Reads.
    pub fn read(&mut self, offset: u64, length: u32) -> io::Result<Reply> {
        self.call(nbd::READ, 0, offset, length, Vec::new())
    }

    /// Writes.
    pub fn write(&mut self, offset: u64, data: Vec<u8>) -> io::Result<Reply> {
        self.call(nbd::WRITE, 0, offset, data.len() as u32, data)
    }

    /// Makes what was written durable.
    pub fn flush(&mut self) -> io::Result<Reply> {
        self.call(nbd::FLUSH, 0, 0, 0, Vec::new())
    }
}
