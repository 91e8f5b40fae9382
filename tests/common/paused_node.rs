//! A RESP2 node that pauses inside its answers, as each request's key says, and a client that records how an answer came.

use super::net::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of the first part with [`Place::AfterFirstPart`].
const FIRST_PART: usize = 53_000;
/// How long clients read on; longer than any answer takes.
const CLIENT_PATIENCE: Duration = Duration::from_secs(12);

/// Where a node pauses inside an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// Inside the line that states the length of the value.
    InsideHead,
    /// Between that line and the value.
    AfterHead,
    /// After the first 53,000 bytes, or half of a shorter value, and in the middle of the rest.
    AfterFirstPart,
    /// In even distances, four times.
    Even,
    /// Before the last byte of the value.
    BeforeLastByte,
    /// Between the value and the figures on use.
    BeforeFigures,
}

/// All places.
pub const PLACES: [Place; 6] = [
    Place::InsideHead,
    Place::AfterHead,
    Place::AfterFirstPart,
    Place::Even,
    Place::BeforeLastByte,
    Place::BeforeFigures,
];

/// How a node gives an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answering {
    /// Bytes of the value.
    pub length: usize,
    /// Where the node pauses.
    pub place: Place,
    /// How long each pause is. `None`: for ever from the first one on.
    pub pause: Option<Duration>,
}

impl Answering {
    /// The name of the piece of data that is answered so: 16 hexadecimal digits.
    fn key(&self) -> String {
        let place = PLACES.iter().position(|place| *place == self.place).expect("a place");
        let pause = self.pause.map_or(0xffff, |pause| pause.as_millis() as u64);
        format!("{:06x}{place:02x}{pause:08x}", self.length)
    }

    fn of_key(key: &str) -> Option<Self> {
        let number = |from: usize, to: usize| u64::from_str_radix(key.get(from..to)?, 16).ok();
        let place = *PLACES.get(number(6, 8)? as usize)?;
        let pause = Some(number(8, 16)?).filter(|ms| *ms != 0xffff).map(Duration::from_millis);
        Some(Answering { length: number(0, 6)? as usize, place, pause })
    }

    /// The answer in the parts between which the node pauses.
    fn parts(&self, id: &str) -> Vec<Vec<u8>> {
        let head = format!("*3\r\n${}\r\n", self.length).into_bytes();
        let value = value(id, self.length);
        let reply = [&head[..], &value, b"\r\n$-1\r\n$-1\r\n"].concat();
        let (start, end) = (head.len(), head.len() + value.len());
        let first = start + FIRST_PART.min(self.length / 2);
        let mut cuts = match self.place {
            Place::InsideHead => vec![start - 3],
            Place::AfterHead => vec![start],
            Place::AfterFirstPart => vec![first, (first + end) / 2],
            Place::Even => (1..5).map(|part| reply.len() * part / 5).collect(),
            Place::BeforeLastByte => vec![end - 1],
            Place::BeforeFigures => vec![end + 2],
        };
        cuts.dedup();
        let bounds: Vec<usize> = [0].into_iter().chain(cuts).chain([reply.len()]).collect();
        bounds.windows(2).map(|pair| reply[pair[0]..pair[1]].to_vec()).collect()
    }

    /// How long all pauses last together.
    pub fn lasts(&self) -> Duration {
        self.pause.unwrap_or_default() * (self.parts("x").len() as u32 - 1)
    }
}

/// The value of the request with this id.
fn value(id: &str, length: usize) -> Vec<u8> {
    id.bytes().cycle().take(length).collect()
}

/// What a node has seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// When attempts came, by the id of their request.
    pub attempts: BTreeMap<String, Vec<Instant>>,
}

/// Starts a node that pauses inside its answers.
pub fn paused_node() -> (Arc<Mutex<Seen>>, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let seen = Arc::new(Mutex::new(Seen::default()));
    let shared = seen.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            thread::spawn(move || serve(stream, &shared));
        }
    });
    (seen, address)
}

fn serve(mut stream: TcpStream, seen: &Mutex<Seen>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let count: usize = line(&mut stream)?[1..].parse().map_err(std::io::Error::other)?;
        let words = (0..count).map(|_| bulk(&mut stream)).collect::<std::io::Result<Vec<Vec<u8>>>>()?;
        let word = |place: usize| String::from_utf8_lossy(&words[place]).into_owned();
        let id = word(2);
        seen.lock().expect("what was seen").attempts.entry(id.clone()).or_default().push(Instant::now());
        let Some(answering) = Answering::of_key(&word(1)) else { return Ok(()) };
        for (place, part) in answering.parts(&id).into_iter().enumerate() {
            if place > 0 {
                match answering.pause {
                    Some(pause) => thread::sleep(pause),
                    None => return stream.read(&mut [0]).map(|_| ()),
                }
            }
            stream.write_all(&part)?;
        }
    }
}

/// How an answer came to its client; times count from the last byte of the request.
#[derive(Debug)]
pub struct Came {
    /// When the last byte of the request was written.
    pub sent: Instant,
    /// When its first byte came.
    pub first: Option<Duration>,
    /// When it was whole, or the connection ended.
    pub ended: Duration,
    /// Bytes of it.
    pub bytes: usize,
    /// What it was.
    pub kind: Kind,
}

/// What an answer was.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// The value of the request, whole.
    Whole,
    /// Another line, an error for example.
    Line(String),
    /// The connection ended before the answer was whole.
    Cut,
}

/// A read of what is answered so, whose client waits for this long.
pub fn read_command(answering: Answering, id: &str, wait: Duration) -> String {
    let wait = wait.as_millis();
    let fields = format!("c=page-read,t=standard,d={wait},volume=00000003b4d60021,units=1,shard=0,hosts=1");
    let key = answering.key();
    let (id_length, length) = (id.len(), fields.len());
    format!("*4\r\n$7\r\nOBJ.GET\r\n$16\r\n{key}\r\n${id_length}\r\n{id}\r\n${length}\r\n{fields}\r\n")
}

/// Reads the answer to the request with this id.
pub fn receive(stream: &mut TcpStream, sent: Instant, id: &str) -> Came {
    stream.set_read_timeout(Some(CLIENT_PATIENCE)).expect("a time-out");
    let mut read: Vec<u8> = Vec::new();
    let mut first = None;
    let kind = loop {
        let mut byte = [0; 16 * 1024];
        let length = missing(&read);
        match stream.read(&mut byte[..length.min(16 * 1024)]) {
            Ok(0) | Err(_) => break Kind::Cut,
            Ok(count) => read.extend_from_slice(&byte[..count]),
        }
        first.get_or_insert_with(|| sent.elapsed());
        if missing(&read) == 0 {
            break kind(&read, id);
        }
    };
    Came { sent, first, ended: sent.elapsed(), bytes: read.len(), kind }
}

/// How many bytes of an answer are known to be missing; none if it is whole.
fn missing(read: &[u8]) -> usize {
    let Some(end) = read.windows(2).position(|pair| pair == b"\r\n") else { return 1 };
    let Some(digits) = read[..end].strip_prefix(b"$") else { return 0 };
    let length: usize = String::from_utf8_lossy(digits).parse().expect("a length");
    (end + 2 + length + 2) - read.len()
}

fn kind(read: &[u8], id: &str) -> Kind {
    let end = read.windows(2).position(|pair| pair == b"\r\n").expect("a line");
    if read[0] != b'$' {
        return Kind::Line(String::from_utf8_lossy(&read[..end]).into_owned());
    }
    let value_read = &read[end + 2..read.len() - 2];
    assert!(value_read == value(id, value_read.len()), "the value of another request");
    Kind::Whole
}

/// Sends one read on a connection of its own and receives its answer.
pub fn ask(address: &str, answering: Answering, id: &str, wait: Duration) -> Came {
    let mut stream = connect(address);
    stream.write_all(read_command(answering, id, wait).as_bytes()).expect("asks");
    receive(&mut stream, Instant::now(), id)
}
