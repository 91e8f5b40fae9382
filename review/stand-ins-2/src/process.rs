//! Processes that a case starts, and the folder that they work in. All of them end with the case.

use crate::record::Record;
use std::collections::BTreeSet;
use std::fs::File;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Ids of the processes that were started and not waited for.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Ends all processes that the case has started.
pub fn kill_all() {
    let running = RUNNING.lock().map(|running| running.clone()).unwrap_or_default();
    running.iter().for_each(|id| signal(*id, "KILL"));
}

/// Where the guard is told of processes that start and end.
static GUARD: Mutex<Option<ChildStdin>> = Mutex::new(None);

/// Starts the guard: a process that ends what this one has started, if this one is killed.
pub fn start_guard() -> Result<(), String> {
    let wrong = |error: std::io::Error| format!("guard: {error}");
    let own = std::env::current_exe().map_err(wrong)?;
    let guard = Command::new(own).arg("guard").stdin(Stdio::piped()).spawn().map_err(wrong)?;
    *GUARD.lock().map_err(|_| "guard".to_string())? = guard.stdin;
    Ok(())
}

/// Tells the guard that a process has started (`+`) or ended (`-`).
fn tell_guard(sign: char, id: u32) {
    if let Ok(mut guard) = GUARD.lock() {
        let _ = guard.as_mut().map(|guard| guard.write_all(format!("{sign}{id}\n").as_bytes()));
    }
}

/// The guard's own work: its input ends with the process that has started it.
pub fn guard() {
    let mut running = BTreeSet::new();
    for line in std::io::stdin().lines().map_while(Result::ok) {
        match line.split_at_checked(1).map(|(sign, id)| (sign, id.parse::<u32>())) {
            Some(("+", Ok(id))) => drop(running.insert(id)),
            Some(("-", Ok(id))) => drop(running.remove(&id)),
            _ => {}
        }
    }
    running.iter().for_each(|id| signal(*id, "KILL"));
}

/// Sends a signal to a process that the case has started.
pub fn signal(id: u32, name: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {id}")]).status();
}

/// A process that is killed when it is dropped.
pub struct Process(Child);

impl Process {
    pub fn start(command: &mut Command) -> Result<Process, String> {
        let child = command.stdin(Stdio::null()).spawn().map_err(|error| format!("{command:?}: {error}"))?;
        if let Ok(mut running) = RUNNING.lock() {
            running.insert(child.id());
        }
        tell_guard('+', child.id());
        Ok(Process(child))
    }

    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Whether it runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }

    /// Waits for its end for at most so long.
    pub fn ends_within(&mut self, time: Duration) -> bool {
        until(time, || !self.is_running())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        if let Ok(mut running) = RUNNING.lock() {
            running.remove(&self.0.id());
        }
        tell_guard('-', self.0.id());
    }
}

/// Waits until something holds, for at most so long. Returns whether it held.
pub fn until(time: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + time;
    loop {
        if holds() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// An address on the loopback interface that nothing listens on. Connections that are made to anywhere on it come from
/// 127.0.0.1, so none of them takes the port of an address under another number.
pub fn free_address() -> Result<String, String> {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    for _ in 0..200 {
        let number = NUMBER.fetch_add(1, Ordering::SeqCst) % 250 + 1;
        let host = format!("127.{}.{}.{number}", 64 + (process >> 8) % 64, process % 256);
        if let Ok(listener) = TcpListener::bind(format!("{host}:0")) {
            return listener
                .local_addr()
                .map(|address| address.to_string())
                .map_err(|error| error.to_string());
        }
    }
    Err("no free port".to_string())
}

/// A temporary folder, removed when it is dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn create(name: &str) -> Result<Folder, String> {
        let path = std::env::temp_dir().join(format!("claywinch-review-2-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Folder(path))
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file in it and returns its path.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, String> {
        let path = self.0.join(name);
        std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The project's root: the case runs there.
pub fn root() -> PathBuf {
    PathBuf::from(".")
}

/// The command that starts the broker, from the deploy file.
pub fn run_command() -> Result<String, String> {
    let path = root().join("deploy/balancer.toml");
    let text = std::fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    let line = text.lines().find(|line| line.starts_with("run = ")).ok_or("no `run` in the deploy file")?;
    let value = line.split('"').nth(1).ok_or("`run` in the deploy file holds no text")?;
    Ok(value.to_string())
}

/// The settings of the deployment, as the wire page shows them, with a number of brokers.
pub fn settings(brokers: u32, number: u32) -> String {
    format!(
        r#"{{"balancers":{brokers},"my_number":{number},
"bounds":{{"cancel":true,"conn_idle_s":15.0,"connect_timeout_s":0.25,"cpu_us_per_request":0.0,"cpu_us_per_s":300000,
"max_open":20000,"max_retry_after_s":2.0,"most_tries":4,"multiplex":100,"peer_messages":false,"probes":true,
"retry_after":true,"second_copies":false}},
"clients":{{"marks_retry":true}},
"contracts":[
{{"base_rate":4.1,"cap_slack":0.0,"floor_rate":2.0,"most_at_once":0.0,"name":"archive","never_over":0.0,"parts":1.0,
"price":0.8}},
{{"base_rate":6.1,"cap_slack":0.0,"floor_rate":4.9,"most_at_once":0.0,"name":"standard","never_over":0.0,"parts":1.0,
"price":1.2}},
{{"base_rate":10.0,"cap_slack":0.0,"floor_rate":8.0,"most_at_once":0.0,"name":"election-night","never_over":0.0,
"parts":1.0,"price":1.5}}],
"extra":{{"fair_worth":0.4,"largest":6,"metering_s":1.0,"n_shards":9,"spare_worth":0.05,"tells_elsewhere":true,
"usual_units":1.99,"writes":[false,true,false],"young_limit":13.0}},
"family":"stores","goal":{{"whole":0.55,"worst_class":0.0,"worst_tenant":0.2,"worst_window":0.25}},
"granularity_s":0.002,"layer":0,"localities":["room-a","room-b","room-c"],"models":["dual-core","single-slow"],
"my_zone":"room-a",
"prices":{{"connection":0.0,"cross_zone":0.0,"handshake":0.0,"late_fail":0.0,"moves":0.0,"origin":0.0,"peer":0.0,
"probe":0.0084,"registry_mode":0.0023,"waste":0.051}},
"registry_mode":"on_request","reporting":{{"names":[],"via":"none"}},
"rules":{{"answer_slack_s":0.008,"ask_every_s":10.0,"cold_s":18.0,"fall_multiple":3.0,"start_capacity":0.15,
"stop_sending_within_s":0.25,"tip_after_s":1.5}},
"services":[
{{"credit":2.0,"deadline_s":1.0,"effect":"free","group":"all","late_worth":0.2,"name":"page-read","promise_s":0.2,
"stream":false,"window_s":5.0}},
{{"credit":3.0,"deadline_s":1.2,"effect":"single_shot","group":"all","late_worth":0.2,"name":"tally-write",
"promise_s":0.25,"stream":false,"window_s":5.0}},
{{"credit":1.0,"deadline_s":4.0,"effect":"free","group":"all","late_worth":0.3,"name":"export-read","promise_s":1.2,
"stream":false,"window_s":5.0}}],
"tiers":["results-store"],"weight_source":"rough"}}"#
    )
}

/// How a broker is started.
pub struct Setup<'a> {
    pub name: &'a str,
    pub settings: String,
    pub discovery: &'a str,
    pub memory_mb: u32,
    /// The NBD file, if that front is on.
    pub nbd: Option<PathBuf>,
    /// Where operators call, if anywhere.
    pub admin: Option<String>,
}

/// A broker process.
pub struct Broker {
    pub process: Process,
    /// Where RESP2 clients connect.
    pub listen: String,
    pub log: PathBuf,
}

impl Broker {
    /// Starts a broker with the command of the deploy file, and waits until it answers `PING`.
    pub fn start(folder: &Folder, setup: &Setup, record: &Record) -> Result<Broker, String> {
        let name = setup.name;
        let listen = free_address()?;
        let (discovery, settings) = (setup.discovery, &setup.settings);
        let config = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":1024}},"known":{{"revision":0,"complete":true,"members":[]}},
"settings":{settings}}}"#,
            setup.memory_mb
        );
        let config = folder.write(&format!("{name}.json"), &config)?;
        let own = folder.path().join(format!("{name}.tmp"));
        std::fs::create_dir_all(&own).map_err(|error| error.to_string())?;
        let log = folder.path().join(format!("{name}.log"));
        let out = File::create(&log).map_err(|error| error.to_string())?;
        let err = out.try_clone().map_err(|error| error.to_string())?;
        let no_file = folder.path().join("no-nbd-front");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run_command()?])
            .current_dir(root())
            .env("RELAY_NAME", name)
            .env("RELAY_LISTEN", &listen)
            .env("RELAY_DISCOVERY", discovery)
            .env("RELAY_CONFIG", &config)
            .env("TMPDIR", &own)
            .env("CLAYWINCH_NBD", setup.nbd.as_ref().unwrap_or(&no_file))
            .env_remove("CLAYWINCH_CLUSTER")
            .env_remove("RELAY_PASSED_SOCKET")
            .env_remove("RELAY_ADMIN")
            .stdout(out)
            .stderr(err);
        if let Some(admin) = &setup.admin {
            command.env("RELAY_ADMIN", admin);
        }
        if let Ok(level) = std::env::var("REVIEW_LOG") {
            command.env("CLAYWINCH_LOG", level);
        }
        let process = Process::start(&mut command)?;
        let mut broker = Broker { process, listen, log };
        let answers = || crate::resp::pings(&broker.listen);
        if !until(Duration::from_secs(10), answers) {
            return Err(format!("broker {name} does not answer PING: {}", broker.log_text()));
        }
        if !broker.process.is_running() {
            return Err(format!("broker {name} has ended: {}", broker.log_text()));
        }
        record.note(format!("broker {name} (process {}) serves at {}", broker.process.id(), broker.listen));
        Ok(broker)
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Writes the lines of its log that contain one of these texts into the record.
    pub fn note_log(&self, record: &Record, name: &str, texts: &[&str]) {
        for line in self.log_text().lines().filter(|line| texts.iter().any(|text| line.contains(text))) {
            record.note(format!("log of {name}: {line}"));
        }
    }
}

/// Asks at the operators' address; returns the line that comes.
pub fn call(address: &str, line: &str) -> Result<String, String> {
    use std::io::{Read, Write};
    let wrong = |error: std::io::Error| format!("call {line}: {error}");
    let mut stream = TcpStream::connect(address).map_err(wrong)?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).map_err(wrong)?;
    stream.write_all(format!("{line}\r\n").as_bytes()).map_err(wrong)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(wrong)?;
    Ok(text.trim_end().to_string())
}

/// Memory that a process holds, in KiB, as the platform counts it.
pub fn resident_kb(id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
