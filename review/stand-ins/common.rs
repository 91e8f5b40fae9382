//! What the cases share: the record, broker processes, free addresses, and discovery.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A case as a whole may take this long; the script may take 120 s.
const TIME_LIMIT: Duration = Duration::from_secs(105);

/// Processes that were started and have not been waited for.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// What came of a case.
pub enum Verdict {
    Held,
    Broken,
}

/// A run of one case.
#[derive(Clone)]
pub struct Case {
    /// Whether the disruption takes place.
    pub trouble: bool,
    /// A folder of this run, removed at its end.
    pub folder: PathBuf,
    root: PathBuf,
    record: Arc<Mutex<File>>,
    begun: Instant,
}

impl Case {
    /// A run in the folder of a case, from the root of the repository.
    pub fn new(case_folder: &Path) -> Self {
        let root = std::env::current_dir().expect("a current folder");
        let folder = std::env::temp_dir().join(format!("claywinch-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let record = File::create(case_folder.join("record.txt")).expect("a record");
        let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
        let case =
            Case { trouble, folder, root, record: Arc::new(Mutex::new(record)), begun: Instant::now() };
        thread::spawn(|| {
            thread::sleep(TIME_LIMIT);
            end_all();
            eprintln!("the case took too long");
            std::process::exit(2);
        });
        case.note(if trouble { "with the disruption" } else { "without the disruption" });
        case
    }

    /// Milliseconds since the case began.
    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// Writes a line to the record.
    pub fn note(&self, text: impl AsRef<str>) {
        let mut record = self.record.lock().expect("the record");
        writeln!(record, "{:>8} ms  {}", self.now(), text.as_ref()).expect("the record can be written");
    }

    /// Writes the verdict.
    pub fn verdict(&self, broken: bool, text: &str) -> Verdict {
        self.note(format!("{}: {text}", if broken { "BROKEN" } else { "HELD" }));
        println!("{}: {text}", if broken { "BROKEN" } else { "HELD" });
        if broken {
            Verdict::Broken
        } else {
            Verdict::Held
        }
    }

    /// The command of the deploy file that starts a broker.
    fn run_command(&self) -> String {
        let text = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).expect("a command");
        line.split('"').next().expect("a command").to_string()
    }
}

/// Ends all processes that are still there.
pub fn end_all() {
    for pid in PROCESSES.lock().expect("the processes").drain(..) {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
}

/// A TCP address that nothing listens on.
pub fn free_address() -> String {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port").to_string()
}

/// How long a broker runs before anything happens to it: no signal comes in its first second.
pub const RUN_IN: Duration = Duration::from_millis(1_500);

/// Waits for a condition; ends the case as one that could not run where it does not come about.
pub fn until(what: &str, within: Duration, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + within;
    while !holds() {
        assert!(Instant::now() < end, "did not come about: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// How a broker is started.
#[derive(Default)]
pub struct Start<'a> {
    /// Its name, which is also that of its files.
    pub name: &'a str,
    /// The settings, as JSON.
    pub settings: &'a str,
    /// Address of discovery.
    pub discovery: &'a str,
    /// Text of the NBD file.
    pub nbd: Option<&'a str>,
    /// Where clients connect.
    pub listen: &'a str,
}

/// A broker process; killed when dropped.
pub struct Broker {
    child: Child,
    folder: PathBuf,
    pub log: PathBuf,
    case: Case,
    name: String,
}

impl Broker {
    /// Starts a broker with the command of the deploy file, in a folder of its name.
    pub fn start(case: &Case, start: &Start) -> Broker {
        let folder = case.folder.join(start.name);
        std::fs::create_dir_all(folder.join("tmp")).expect("a folder");
        let config = format!(
            r#"{{"name":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
                "known":{{"revision":0,"complete":true,"members":[]}},"settings":{}}}"#,
            start.name, start.settings
        );
        std::fs::write(folder.join("config.json"), config).expect("a configuration");
        let log = folder.join("log");
        let output = File::create(&log).expect("a log");
        let mut process = Command::new("/bin/sh");
        process
            .args(["-c", &case.run_command()])
            .current_dir(&case.root)
            .env("RELAY_CONFIG", folder.join("config.json"))
            .env("RELAY_NAME", start.name)
            .env("RELAY_LISTEN", start.listen)
            .env("RELAY_DISCOVERY", start.discovery)
            .env("TMPDIR", folder.join("tmp"))
            .env("CLAYWINCH_NBD", folder.join("nbd.toml"))
            .env("CLAYWINCH_LOG", std::env::var("CLAYWINCH_LOG").unwrap_or("info".to_string()))
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("a log"))
            .stderr(output);
        if let Some(nbd) = start.nbd {
            std::fs::write(folder.join("nbd.toml"), nbd).expect("an NBD file");
        }
        let child = process.spawn().expect("the broker starts");
        PROCESSES.lock().expect("the processes").push(child.id());
        case.note(format!("broker {} started as process {}", start.name, child.id()));
        Broker { child, folder, log, case: case.clone(), name: start.name.to_string() }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: &str) {
        self.case.note(format!("SIG{signal} to broker {}", self.name));
        let status =
            Command::new("kill").args([&format!("-{signal}"), &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success(), "the signal was sent");
    }

    /// Puts another NBD file in place, and has it read.
    pub fn reload_nbd(&self, text: &str) {
        std::fs::write(self.folder.join("nbd.toml"), text).expect("an NBD file");
        self.signal("HUP");
    }

    /// Text of its log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Lines of its log with one of these words, for the record.
    pub fn note_log(&self, words: &[&str]) {
        for line in self.log().lines().filter(|l| words.iter().any(|w| l.contains(w))) {
            self.case.note(format!("log of {}: {line}", self.name));
        }
    }
}

impl Drop for Broker {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        PROCESSES.lock().expect("the processes").retain(|pid| *pid != self.child.id());
    }
}

/// Discovery, as the protocol page describes it: the whole list at once, and watches that wait for a later version.
#[derive(Clone)]
pub struct Discovery {
    list: Arc<(Mutex<(u64, String)>, Condvar)>,
    pub address: String,
}

impl Discovery {
    pub fn start(members: &str) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let list = Arc::new((Mutex::new((1, members.to_string())), Condvar::new()));
        let discovery = Discovery { list, address };
        let shared = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        discovery
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut read = Vec::new();
        let mut buffer = [0; 2048];
        loop {
            let n = stream.read(&mut buffer).ok().filter(|n| *n > 0)?;
            read.extend_from_slice(&buffer[..n]);
            if !read.ends_with(b"\r\n\r\n") {
                continue;
            }
            let call = String::from_utf8_lossy(&read).to_string();
            read.clear();
            let number = |name: &str| -> Option<u64> {
                let digits: String =
                    call.split(name).nth(1)?.chars().take_while(char::is_ascii_digit).collect();
                digits.parse().ok()
            };
            let (index, wait) = (number("index="), Duration::from_millis(number("wait=").unwrap_or(0)));
            let (lock, news) = &*self.list;
            let list = lock.lock().expect("the list");
            let old = |list: &mut (u64, String)| index.is_some_and(|index| list.0 <= index);
            let (list, _) = news.wait_timeout_while(list, wait, old).expect("the list");
            let (revision, members) = list.clone();
            drop(list);
            let body = match index {
                Some(index) if revision <= index => {
                    format!(r#"{{"revision":{index},"complete":false,"members":[]}}"#)
                }
                _ => format!(r#"{{"revision":{revision},"complete":true,"members":[{members}]}}"#),
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all((head + &body).as_bytes()).ok()?;
        }
    }
}
