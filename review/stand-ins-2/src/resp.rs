//! Stand-ins that speak RESP2: a client's connection, and a disk node.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A command as bytes.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend(format!("${}\r\n", word.len()).as_bytes());
        out.extend(*word);
        out.extend(b"\r\n");
    }
    out
}

/// A read of one unit of a piece for shard 0.
pub fn get(piece: u64, id: &str, class: &str, wait_ms: u64) -> Vec<u8> {
    let fields =
        format!("c={class},t=election-night,d={wait_ms},volume=00000003b4d60021,units=1,shard=0,hosts=1");
    command(&[b"OBJ.GET", format!("{piece:016x}").as_bytes(), id.as_bytes(), fields.as_bytes()])
}

/// A write of one unit of a piece for shard 0.
pub fn put(piece: u64, id: &str, class: &str, wait_ms: u64, body: &[u8]) -> Vec<u8> {
    let fields =
        format!("c={class},t=election-night,d={wait_ms},volume=00000003b4d60021,units=1,shard=0,hosts=1");
    command(&[b"OBJ.PUT", format!("{piece:016x}").as_bytes(), id.as_bytes(), fields.as_bytes(), body])
}

/// Whether a broker answers `PING` with `+PONG`.
pub fn pings(address: &str) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let mut answer = [0; 7];
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && &answer == b"+PONG\r\n"
}

/// An answer to a client.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Served: length of the value, and its first bytes.
    Value(usize, Vec<u8>),
    /// An error line: refused or failed.
    Line(String),
    /// The value began and the connection ended before it was whole: the length that was told, and what came.
    Cut(usize, usize),
    /// The connection ended before the first byte.
    Closed,
    /// Nothing came in the time that was waited.
    Nothing,
}

/// An answer with the times of its first and its last byte.
#[derive(Debug, Clone)]
pub struct Timed {
    pub answer: Answer,
    pub first: Option<Instant>,
    pub last: Instant,
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    read: Vec<u8>,
}

impl Client {
    pub fn connect(address: &str) -> Result<Client, String> {
        let stream = TcpStream::connect(address).map_err(|error| format!("{address}: {error}"))?;
        let _ = stream.set_nodelay(true);
        Ok(Client { stream, read: Vec::new() })
    }

    pub fn send(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.stream.write_all(bytes).map_err(|error| format!("client: {error}"))
    }

    /// Reads more bytes until `end`; says how that ended.
    fn more(&mut self, end: Instant) -> Result<(), Answer> {
        let mut buffer = [0; 64 * 1024];
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Answer::Nothing);
            }
            let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(Answer::Closed),
                Ok(n) => {
                    self.read.extend(&buffer[..n]);
                    return Ok(());
                }
                Err(error) if [ErrorKind::WouldBlock, ErrorKind::TimedOut].contains(&error.kind()) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(Answer::Closed),
            }
        }
    }

    /// Waits for the next answer until `end`.
    pub fn answer(&mut self, end: Instant) -> Timed {
        let mut first = (!self.read.is_empty()).then(Instant::now);
        let line = loop {
            if let Some(at) = self.read.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.read[..at]).to_string();
                self.read.drain(..at + 2);
                break line;
            }
            if let Err(answer) = self.more(end) {
                return Timed { answer, first, last: Instant::now() };
            }
            first = first.or(Some(Instant::now()));
        };
        let Some(length) = line.strip_prefix('$').and_then(|n| n.parse::<usize>().ok()) else {
            return Timed { answer: Answer::Line(line), first, last: Instant::now() };
        };
        let (mut start, mut came) = (Vec::new(), 0);
        while came < length + 2 {
            if self.read.is_empty() {
                if self.more(end).is_err() {
                    return Timed { answer: Answer::Cut(length, came), first, last: Instant::now() };
                }
                continue;
            }
            let n = self.read.len().min(length + 2 - came);
            let part: Vec<u8> = self.read.drain(..n).collect();
            if start.len() < 64 {
                start.extend(part.iter().take(64 - start.len()));
            }
            came += n;
        }
        start.truncate(length);
        Timed { answer: Answer::Value(length, start), first, last: Instant::now() }
    }
}

/// A command that has come to a node.
#[derive(Debug, Clone)]
pub struct Asked {
    pub verb: String,
    pub piece: String,
    pub id: String,
    pub body: Vec<u8>,
}

fn read_line(input: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    input.read_until(b'\n', &mut line).ok().filter(|n| *n > 0)?;
    line.ends_with(b"\r\n").then(|| String::from_utf8_lossy(&line[..line.len() - 2]).to_string())
}

/// Reads the next command from a connection.
pub fn read_command(input: &mut impl BufRead) -> Option<Asked> {
    let count: usize = read_line(input)?.strip_prefix('*')?.parse().ok()?;
    let mut words = Vec::new();
    for _ in 0..count {
        let length: usize = read_line(input)?.strip_prefix('$')?.parse().ok()?;
        let mut word = vec![0; length + 2];
        input.read_exact(&mut word).ok()?;
        word.truncate(length);
        words.push(word);
    }
    let mut words = words.into_iter();
    let mut next = || words.next().unwrap_or_default();
    let text = |word: Vec<u8>| String::from_utf8_lossy(&word).to_string();
    let (verb, piece, id, _fields) = (text(next()), text(next()), text(next()), next());
    Some(Asked { verb, piece, id, body: next() })
}

/// A disk node, which calls this for each command. The connection ends when it returns false.
pub fn node(
    serve: impl Fn(&Asked, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> Result<String, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?.to_string();
    thread::spawn(move || accept(listener, Arc::new(serve)));
    Ok(address)
}

/// What a disk node does with a command; false ends the connection.
trait Serve: Fn(&Asked, &mut TcpStream) -> bool + Send + Sync + 'static {}

impl<F: Fn(&Asked, &mut TcpStream) -> bool + Send + Sync + 'static> Serve for F {}

/// Serves the connections of brokers for good.
fn accept(listener: TcpListener, serve: Arc<impl Serve>) {
    for stream in listener.incoming().flatten() {
        let serve = serve.clone();
        thread::spawn(move || connection(stream, &*serve));
    }
}

fn connection(stream: TcpStream, serve: &impl Serve) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(asked) = read_command(&mut input) {
        let goes_on = match asked.verb.as_str() {
            "PING" => out.write_all(b"+PONG\r\n").is_ok(),
            "CLIENT" | "SELECT" => out.write_all(b"+OK\r\n").is_ok(),
            "OBJ.GET" | "OBJ.PUT" => serve(&asked, &mut out),
            _ => out.write_all(b"-ERR unknown command\r\n").is_ok(),
        };
        if !goes_on {
            let _ = out.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

/// A sound disk node as a process of its own, behind a network with packets of the usual size, which writes into a log what it has run.
pub fn node_process(address: &str, log: &str) -> Result<(), String> {
    let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
    crate::packets::usual_size(&listener)?;
    let log = std::fs::File::create(log).map_err(|error| format!("{log}: {error}"))?;
    let serve = move |asked: &Asked, out: &mut TcpStream| {
        let line = format!("ran {} {}: {} bytes\n", asked.verb, asked.id, asked.body.len());
        let _ = (&log).write_all(line.as_bytes());
        out.write_all(&served(b"small")).is_ok()
    };
    accept(listener, Arc::new(serve));
    Ok(())
}

/// The answer of a node that has served a value: the value, no figures on use, no load report.
pub fn served(value: &[u8]) -> Vec<u8> {
    let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    out.extend(value);
    out.extend(b"\r\n$-1\r\n$-1\r\n");
    out
}
