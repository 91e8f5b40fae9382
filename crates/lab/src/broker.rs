//! A broker process of its own folder, and what the system says it used.

use crate::address::free_address;
use std::io;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// How long a broker may take until it listens.
const START: Duration = Duration::from_secs(10);

/// The least that the other front needs; nothing is asked of it.
pub const SETTINGS: &str = r#"{"balancers":1,
    "bounds":{"most_tries":4,"second_copies":false,"cancel":true,"probes":false,"retry_after":true,
      "max_retry_after_s":2.0,"conn_idle_s":15.0,"connect_timeout_s":0.25,"multiplex":100},
    "contracts":[{"name":"standard","base_rate":500.0,"parts":1.0,"price":1.0,"floor_rate":400.0}],
    "extra":{"usual_units":2.0,"largest":16,"fair_worth":0.4,"spare_worth":0.05,"young_limit":7.0},
    "localities":["a"],"registry_mode":"on_request",
    "rules":{"start_capacity":0.15,"cold_s":1000.0,"tip_after_s":60.0},
    "services":[{"name":"c","promise_s":0.5,"credit":2.0,"late_worth":0.2,"effect":"free","group":"all"}]}"#;

/// What a broker serves.
#[derive(Debug, Clone)]
pub struct Serves {
    /// The export.
    pub export: String,
    /// Its bytes.
    pub size: u64,
    /// Whether its blocks have sums.
    pub integrity: bool,
    /// The node that holds it.
    pub node: String,
    /// See the `late_ms` of the broker.
    pub late_ms: u32,
    /// Memory that the broker is told it has.
    pub memory_mb: u32,
    /// Memory for pages of sums.
    pub sums_kb: u32,
    /// See the `scrub_days` of the broker.
    pub scrub_days: f64,
}

impl Serves {
    /// Its NBD file, for a front on this address.
    pub fn file(&self, listen: &str) -> String {
        let Serves { export, size, node, late_ms, sums_kb, scrub_days, .. } = self;
        let sums = if self.integrity { "integrity = \"crc32c\"\n" } else { "" };
        format!(
            r#"listen = "{listen}"
[[class]]
name = "page-read"
wanted_ms = 200
deadline_ms = 1000
worth = 2.0
late_worth = 0.2
repeat = "safe"
[[class]]
name = "tally-write"
wanted_ms = 250
deadline_ms = 1200
worth = 3.0
late_worth = 0.2
repeat = "never"
[[plan]]
name = "standard"
rate = 20000.0
reserve = 20000.0
[[export]]
name = "{export}"
size = {size}
shard = 0
plan = "standard"
read = "page-read"
write = "tally-write"
flush = "tally-write"
{sums}[integrity]
late_ms = {late_ms}
memory_kb = {sums_kb}
scrub_days = {scrub_days:?}
[[node]]
id = "d-00000001"
address = "{node}"
shard = 0
"#
        )
    }
}

/// A broker that runs; killed when dropped.
pub struct Broker {
    program: PathBuf,
    folder: PathBuf,
    listen: String,
    /// Where its NBD front listens.
    pub nbd: String,
    child: Child,
    /// Processor time of its former lives.
    used: Duration,
}

impl Broker {
    /// Starts a broker; its files lie in `folder`, which goes with it.
    pub fn start(program: &Path, folder: &Path, serves: &Serves) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let (listen, nbd, discovery) = (free_address()?, free_address()?, free_address()?);
        let memory = serves.memory_mb;
        let config = format!(
            r#"{{"name":"lab","seed":"07","listen":"{listen}","discovery":"{discovery}",
            "limits":{{"memory_mb":{memory},"sockets":1024}},
            "known":{{"revision":0,"complete":true,"members":[]}},"settings":{SETTINGS}}}"#
        );
        std::fs::write(folder.join("config.json"), config)?;
        std::fs::write(folder.join("nbd.toml"), serves.file(&nbd))?;
        let child = spawn(program, folder)?;
        let (program, folder) = (program.to_path_buf(), folder.to_path_buf());
        let broker = Broker { program, folder, listen, nbd, child, used: Duration::ZERO };
        broker.listens()?;
        Ok(broker)
    }

    fn listens(&self) -> io::Result<()> {
        let end = Instant::now() + START;
        while Instant::now() < end {
            if TcpStream::connect(&self.nbd).is_ok() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(5));
        }
        Err(io::Error::other(format!(
            "the broker does not listen on {}; its log: {}",
            self.listen,
            self.log()
        )))
    }

    /// Kills it without a word and starts it again under its addresses.
    pub fn kill_and_start(&mut self) -> io::Result<()> {
        self.used += self.cpu();
        self.child.kill()?;
        self.child.wait()?;
        self.child = spawn(&self.program, &self.folder)?;
        self.listens()
    }

    /// Processor time that it has used, its former lives included.
    pub fn used(&self) -> Duration {
        self.used + self.cpu()
    }

    fn cpu(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let after = stat.rsplit(')').next().unwrap_or("");
        let field =
            |n: usize| after.split_whitespace().nth(n).and_then(|t| t.parse::<u64>().ok()).unwrap_or(0);
        // Fields 14 and 15 in hundredths of a second; two stand before the part behind the name.
        Duration::from_millis((field(11) + field(12)) * 10)
    }

    /// The most memory that it has held, in KiB.
    pub fn peak_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|t| t.parse().ok()).unwrap_or(0)
    }

    /// Its log of this life.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

fn spawn(program: &Path, folder: &Path) -> io::Result<Child> {
    Command::new(program)
        .env("RELAY_CONFIG", folder.join("config.json"))
        .env("CLAYWINCH_NBD", folder.join("nbd.toml"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::from(std::fs::File::create(folder.join("log"))?))
        .spawn()
        .map_err(|e| io::Error::other(format!("{}: {e}", program.display())))
}

impl Drop for Broker {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
