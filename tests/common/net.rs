//! Stand-ins that the tests over sockets share: a broker process, discovery, nodes of both protocols.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const PATIENCE: Duration = Duration::from_secs(20);

/// An address that nothing listens on and no other test is given.
pub fn free_address() -> String {
    claywinch_lab::address::free_address().expect("an address")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

pub fn connect(address: &str) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connects");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    stream.set_nodelay(true).expect("no delay");
    stream
}

/// Waits until something holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..PATIENCE.as_millis() / 10 {
        if holds() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("never came about: {what}");
}

/// A configuration with these settings.
pub fn configuration(settings: &str, discovery: &str) -> String {
    format!(
        r#"{{"name":"test","seed":"07","discovery":"{discovery}","limits":{{"memory_mb":192,"sockets":256}},
            "known":{{"revision":0,"complete":true,"members":[]}},"settings":{settings}}}"#
    )
}

/// A broker of its own folder; killed when dropped.
pub struct Broker {
    pub child: Child,
    pub listen: String,
    pub nbd: String,
    pub folder: std::path::PathBuf,
}

impl Broker {
    /// Starts one with these settings; `nbd` is the text of its NBD file, without `listen`.
    pub fn start(name: &str, settings: &str, discovery: &str, nbd: Option<&str>) -> Self {
        Self::start_within(name, settings, discovery, nbd, 256)
    }

    /// The same where the process may hold so many descriptors, though its configuration says 256.
    pub fn start_within(name: &str, settings: &str, discovery: &str, nbd: Option<&str>, files: u32) -> Self {
        Self::start_with(name, settings, discovery, nbd, files, &[])
    }

    /// The same with these variables in its environment.
    pub fn start_with(
        name: &str,
        settings: &str,
        discovery: &str,
        nbd: Option<&str>,
        files: u32,
        variables: &[(&str, &str)],
    ) -> Self {
        Self::start_process(name, &configuration(settings, discovery), discovery, nbd, files, variables)
    }

    /// The same with this configuration, which names its limits.
    pub fn start_configured(name: &str, configuration: &str, discovery: &str, files: u32) -> Self {
        Self::start_process(name, configuration, discovery, None, files, &[])
    }

    fn start_process(
        name: &str,
        configuration: &str,
        discovery: &str,
        nbd: Option<&str>,
        files: u32,
        variables: &[(&str, &str)],
    ) -> Self {
        let folder = std::env::temp_dir().join(format!("claywinch-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let (listen, nbd_listen) = (free_address(), free_address());
        std::fs::write(folder.join("config.json"), configuration).expect("a configuration");
        let nbd_file = folder.join("nbd.toml");
        if let Some(text) = nbd {
            std::fs::write(&nbd_file, format!("listen = \"{nbd_listen}\"\n{text}")).expect("a file");
        }
        let shell = format!("ulimit -n {files} && exec {}", env!("CARGO_BIN_EXE_claywinch"));
        let child = Command::new("sh")
            .args(["-c", &shell])
            .env("RELAY_CONFIG", folder.join("config.json"))
            .env("RELAY_LISTEN", &listen)
            .env("RELAY_DISCOVERY", discovery)
            .env("CLAYWINCH_NBD", &nbd_file)
            .envs(variables.iter().copied())
            .stderr(Stdio::from(std::fs::File::create(folder.join("log")).expect("a log")))
            .spawn()
            .expect("the broker starts");
        let broker = Broker { child, listen, nbd: nbd_listen, folder };
        until("the broker listens", || TcpStream::connect(&broker.listen).is_ok());
        broker
    }

    /// Puts another text in the place of the configuration and has it read.
    pub fn reconfigure(&self, text: &str) {
        std::fs::write(self.folder.join("config.json"), text).expect("a configuration");
        self.signal("-HUP");
    }

    /// Puts another NBD file in place and has it read.
    pub fn reload(&self, nbd: &str) {
        let text = format!("listen = \"{}\"\n{nbd}", self.nbd);
        std::fs::write(self.folder.join("nbd.toml"), text).expect("a file");
        self.signal("-HUP");
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Broker {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            eprintln!("{}", self.log());
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Discovery: a version and the members as JSON; watches wait for the next version.
#[derive(Clone, Default)]
pub struct Discovery(Arc<(Mutex<Listed>, Condvar)>);

/// What discovery knows, and how it behaves.
#[derive(Default)]
struct Listed {
    version: u64,
    members: String,
    connections: u64,
    /// Connections up to this one are silent for good.
    silent: u64,
    /// Connections up to this one are reset.
    reset: u64,
    /// Calls get 503.
    refuses: bool,
    calls: usize,
}

impl Discovery {
    pub fn start(members: &str) -> (Self, String) {
        Self::listen(TcpListener::bind("127.0.0.1:0").expect("a port"), members)
    }

    /// The same at an address that nobody has listened on until now.
    pub fn start_at(address: &str, members: &str) -> Self {
        Self::listen(TcpListener::bind(address).expect("the port is free"), members).0
    }

    fn listen(listener: TcpListener, members: &str) -> (Self, String) {
        let discovery = Discovery::default();
        discovery.set(members);
        let address = listener.local_addr().expect("an address").to_string();
        let shared = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        (discovery, address)
    }

    fn change(&self, change: impl FnOnce(&mut Listed)) {
        change(&mut self.0 .0.lock().expect("the list"));
        self.0 .1.notify_all();
    }

    pub fn set(&self, members: &str) {
        self.change(|listed| (listed.version, listed.members) = (listed.version + 1, members.to_string()));
    }

    /// All connections that there are say nothing any more; new calls are turned away, or they are not.
    pub fn fall_silent(&self, refuses: bool) {
        self.change(|listed| (listed.silent, listed.refuses) = (listed.connections, refuses));
    }

    /// All connections that there are end.
    pub fn reset(&self) {
        self.change(|listed| listed.reset = listed.connections);
    }

    /// Turns calls away from now on, or no longer.
    pub fn refuse(&self, refuses: bool) {
        self.change(|listed| listed.refuses = refuses);
    }

    /// Calls that have come.
    pub fn calls(&self) -> usize {
        self.0 .0.lock().expect("the list").calls
    }

    fn serve(&self, mut stream: TcpStream) {
        let (state, news) = &*self.0;
        let mut own = 0;
        self.change(|listed| {
            listed.connections += 1;
            own = listed.connections;
        });
        let mut read = Vec::new();
        let mut buffer = [0; 1024];
        while let Ok(n) = stream.read(&mut buffer) {
            if n == 0 {
                return;
            }
            read.extend_from_slice(&buffer[..n]);
            if !read.ends_with(b"\r\n\r\n") {
                continue;
            }
            let call = String::from_utf8_lossy(&read).to_string();
            let number = |name: &str| -> u64 {
                let digits = |t: &str| t.chars().take_while(char::is_ascii_digit).collect::<String>();
                call.split(name).nth(1).and_then(|t| digits(t).parse().ok()).unwrap_or(0)
            };
            let (index, wait) = (number("index="), Duration::from_millis(number("wait=")));
            read.clear();
            self.change(|listed| listed.calls += 1);
            let now = state.lock().expect("the list");
            let nothing =
                |l: &mut Listed| l.version <= index && !l.refuses && l.reset < own && l.silent < own;
            let (mut now, _) = news.wait_timeout_while(now, wait, nothing).expect("the list");
            while now.silent >= own && now.reset < own {
                now = news.wait(now).expect("the list");
            }
            if now.reset >= own {
                return;
            }
            let body = match now.version > index {
                true => {
                    format!(r#"{{"revision":{},"complete":true,"members":[{}]}}"#, now.version, now.members)
                }
                false => format!(r#"{{"revision":{index},"complete":false,"members":[]}}"#),
            };
            let status = if now.refuses { "503 Service Unavailable" } else { "200 OK" };
            drop(now);
            let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// What a node does with the next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    Serve,
    TurnAway,
    /// It serves, and says the same again as soon as the next request has come, or after 15 ms.
    Twice,
    /// It serves, stands still for so many milliseconds, and says the same again before it reads on.
    TwiceAfter(u64),
    /// It reads the request and closes.
    Break,
    /// It begins its reply and closes.
    CutShort,
    /// It begins a long value and says nothing more until the connection ends.
    StandStill,
    /// It reads the request and says nothing until the connection ends.
    Hang,
}

/// What a node has seen, and what it is to do.
#[derive(Default)]
pub struct Script {
    pub next: Vec<Manner>,
    pub seen: usize,
    pub connections: usize,
    pub open: usize,
    pub written: BTreeMap<u64, Vec<u8>>,
    /// When the last request came.
    pub last: Option<Instant>,
    /// The names and values that the last request came with, over RESP2.
    pub fields: String,
    /// The connections that were taken, for what a node says unasked.
    pub streams: Vec<TcpStream>,
}

pub type Shared = Arc<Mutex<Script>>;

fn manner(script: &Shared) -> Manner {
    let mut script = script.lock().expect("the script");
    script.seen += 1;
    script.last = Some(Instant::now());
    match script.next.is_empty() {
        true => Manner::Serve,
        false => script.next.remove(0),
    }
}

/// Starts a node that treats each connection with `serve`.
fn node(serve: fn(&mut TcpStream, &Shared) -> std::io::Result<()>) -> (Shared, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    node_on(listener, Gate::default(), serve)
}

/// How many connections a node still takes; those beyond wait, and come up only when they are let in.
#[derive(Clone)]
pub struct Gate(Arc<(Mutex<usize>, Condvar)>);

impl Default for Gate {
    fn default() -> Self {
        Gate(Arc::new((Mutex::new(usize::MAX), Condvar::new())))
    }
}

impl Gate {
    /// Takes so many from now on.
    pub fn admit(&self, connections: usize) {
        *self.0 .0.lock().expect("the gate") = connections;
        self.0 .1.notify_all();
    }

    fn pass(&self) {
        let left = self.0 .0.lock().expect("the gate");
        let mut left = self.0 .1.wait_while(left, |left| *left == 0).expect("the gate");
        *left -= 1;
    }
}

/// A RESP2 node that takes so many connections. The next one comes up as far as its own side can tell, and is to be made
/// by the test, with [`fill`]; those behind it do not come up at all before the gate is opened.
pub fn gated_resp_node(connections: usize) -> (Shared, String, Gate) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let listener = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        socket.listen(0).and_then(|l| l.into_std()).expect("listens")
    });
    listener.set_nonblocking(false).expect("waits");
    let gate = Gate::default();
    gate.admit(connections);
    let (script, address) = node_on(listener, gate.clone(), serve_resp);
    (script, address, gate)
}

/// Fills the queue of a node that takes no further connections.
pub fn fill(address: &str) -> TcpStream {
    TcpStream::connect(address).expect("one fits")
}

/// Connections of this machine as the kernel has them: local port, remote port, state.
pub fn connections() -> Vec<(u16, u16, u8)> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table");
    let row = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let port = |word: &str| u16::from_str_radix(word.split(':').nth(1)?, 16).ok();
        Some((port(words.get(1)?)?, port(words.get(2)?)?, u8::from_str_radix(words.get(3)?, 16).ok()?))
    };
    table.lines().skip(1).filter_map(row).collect()
}

/// The port of an address.
pub fn port(address: &str) -> u16 {
    address.rsplit(':').next().and_then(|p| p.parse().ok()).expect("a port")
}

fn node_on(
    listener: TcpListener,
    gate: Gate,
    serve: fn(&mut TcpStream, &Shared) -> std::io::Result<()>,
) -> (Shared, String) {
    let address = listener.local_addr().expect("an address").to_string();
    let script = Shared::default();
    let shared = script.clone();
    thread::spawn(move || loop {
        gate.pass();
        let Ok((mut stream, _)) = listener.accept() else { return };
        let shared = shared.clone();
        thread::spawn(move || {
            {
                let mut script = shared.lock().expect("the script");
                (script.connections, script.open) = (script.connections + 1, script.open + 1);
                script.streams.extend(stream.try_clone());
            }
            let _ = serve(&mut stream, &shared);
            // A test may hold it, too.
            let _ = stream.shutdown(std::net::Shutdown::Both);
            shared.lock().expect("the script").open -= 1;
        });
    });
    (script, address)
}

pub fn exact(stream: &mut impl Read, n: usize) -> std::io::Result<Vec<u8>> {
    let mut bytes = vec![0; n];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

pub fn line(stream: &mut impl Read) -> std::io::Result<String> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n") {
        text.extend(exact(stream, 1)?);
    }
    text.truncate(text.len() - 2);
    Ok(String::from_utf8_lossy(&text).to_string())
}

pub fn bulk(stream: &mut impl Read) -> std::io::Result<Vec<u8>> {
    let length: usize = line(stream)?[1..].parse().map_err(std::io::Error::other)?;
    let mut text = exact(stream, length + 2)?;
    text.truncate(length);
    Ok(text)
}

/// A RESP2 node: serves `value`.
pub fn resp_node() -> (Shared, String) {
    node(serve_resp)
}

fn serve_resp(stream: &mut TcpStream, script: &Shared) -> std::io::Result<()> {
    loop {
        let words: usize = line(stream)?[1..].parse().map_err(std::io::Error::other)?;
        let words = (0..words).map(|_| bulk(stream)).collect::<std::io::Result<Vec<Vec<u8>>>>()?;
        if let Some(fields) = words.get(3) {
            script.lock().expect("the script").fields = String::from_utf8_lossy(fields).into_owned();
        }
        match manner(script) {
            Manner::Serve => stream.write_all(b"*3\r\n$5\r\nvalue\r\n$14\r\nused=37,cost=4\r\n$-1\r\n")?,
            Manner::Twice => {
                stream.write_all(b"*3\r\n$5\r\nfirst\r\n$-1\r\n$-1\r\n")?;
                stream.set_read_timeout(Some(Duration::from_millis(15)))?;
                let _ = stream.peek(&mut [0]);
                stream.set_read_timeout(None)?;
                stream.write_all(b"*3\r\n$5\r\nfirst\r\n$-1\r\n$-1\r\n")?;
            }
            Manner::TwiceAfter(rest) => {
                stream.write_all(b"*3\r\n$5\r\nfirst\r\n$-1\r\n$-1\r\n")?;
                thread::sleep(Duration::from_millis(rest));
                stream.write_all(b"*3\r\n$5\r\nfirst\r\n$-1\r\n$-1\r\n")?;
            }
            Manner::TurnAway => stream.write_all(b"-BUSY\r\n")?,
            Manner::Break => return Ok(()),
            Manner::StandStill => {
                stream.write_all(b"*3\r\n$200000\r\n")?;
                stream.write_all(&[b'v'; 10_000])?;
                return stream.read(&mut [0]).map(|_| ());
            }
            Manner::CutShort => return stream.write_all(b"*3\r\n$5\r\nval"),
            Manner::Hang => return stream.read(&mut [0]).map(|_| ()),
        }
    }
}

pub fn be<const N: usize>(bytes: &[u8], at: usize) -> u64 {
    bytes[at..at + N].iter().fold(0, |n, b| n << 8 | u64::from(*b))
}

/// An NBD node with structured replies: reads come as a chunk of data and one of zeroes.
pub fn nbd_node() -> (Shared, String) {
    node(|stream, script| {
        stream.write_all(b"NBDMAGICIHAVEOPT\x00\x03")?;
        exact(stream, 4)?;
        loop {
            let head = exact(stream, 16)?;
            let data = exact(stream, be::<4>(&head, 12) as usize)?;
            let reply = |kind: u32, data: &[u8]| {
                let mut out = 0x0003_e889_0455_65a9_u64.to_be_bytes().to_vec();
                out.extend_from_slice(&head[8..12]);
                out.extend(kind.to_be_bytes());
                out.extend((data.len() as u32).to_be_bytes());
                out.extend_from_slice(data);
                out
            };
            match be::<4>(&head, 8) {
                8 => stream.write_all(&reply(1, b""))?,
                7 if data[4..].starts_with(b"disk") => {
                    let mut info = vec![0, 0];
                    info.extend((1_u64 << 30).to_be_bytes());
                    info.extend((1_u16 | 4 | 8 | 256).to_be_bytes());
                    stream.write_all(&[reply(3, &info), reply(1, b"")].concat())?;
                    break;
                }
                _ => stream.write_all(&reply((1 << 31) + 1, b""))?,
            }
        }
        loop {
            let head = exact(stream, 28)?;
            let (command, offset, length) =
                (be::<2>(&head, 6), be::<8>(&head, 16), be::<4>(&head, 24) as u32);
            let data = if command == 1 { exact(stream, length as usize)? } else { Vec::new() };
            let chunk = |flags: u16, kind: u16, body: &[u8]| {
                let mut out = 0x668e_33ef_u32.to_be_bytes().to_vec();
                out.extend(flags.to_be_bytes());
                out.extend(kind.to_be_bytes());
                out.extend_from_slice(&head[8..16]);
                out.extend((body.len() as u32).to_be_bytes());
                out.extend_from_slice(body);
                out
            };
            let half = length / 2;
            let first = [&offset.to_be_bytes()[..], &vec![7; half as usize]].concat();
            match manner(script) {
                Manner::TurnAway => {
                    let text = [&12_u32.to_be_bytes()[..], &[0, 4], b"BUSY"].concat();
                    stream.write_all(&chunk(1, 0x8001, &text))?;
                }
                // An answer here has a cookie: a second one cannot be taken for another.
                Manner::Break | Manner::Twice | Manner::TwiceAfter(_) => return Ok(()),
                Manner::StandStill => {
                    stream.write_all(b"*3\r\n$200000\r\n")?;
                    stream.write_all(&[b'v'; 10_000])?;
                    return stream.read(&mut [0]).map(|_| ());
                }
                Manner::CutShort => return stream.write_all(&chunk(0, 1, &first)),
                Manner::Hang => return stream.read(&mut [0]).map(|_| ()),
                Manner::Serve if command == 0 => {
                    let hole =
                        [(offset + u64::from(half)).to_be_bytes().to_vec(), half.to_be_bytes().to_vec()];
                    // The later part first: a client is to see it in its place all the same.
                    let hole = chunk(0, 2, &hole.concat());
                    stream.write_all(&[hole, chunk(1, 1, &first)].concat())?;
                }
                Manner::Serve => {
                    if command == 1 {
                        script.lock().expect("the script").written.insert(offset, data);
                    }
                    stream.write_all(&chunk(1, 0, b""))?;
                }
            }
        }
    })
}
