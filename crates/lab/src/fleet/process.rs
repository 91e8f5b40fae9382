//! A broker process of its own folder, signalled by its number, and what the system says it used.

use std::io;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long a broker may take until it listens.
const START: Duration = Duration::from_secs(30);

/// How a broker is started.
#[derive(Debug, Clone)]
pub struct Launch {
    /// The program.
    pub program: PathBuf,
    /// A name for its folder.
    pub name: String,
    /// Its settings as JSON.
    pub settings: String,
    /// Discovery's address.
    pub discovery: String,
    /// Descriptors that it may hold.
    pub sockets: usize,
    /// Further variables.
    pub variables: Vec<(String, String)>,
}

/// A broker; killed when dropped.
pub struct Process {
    child: Child,
    folder: PathBuf,
    /// Where clients connect.
    pub listen: String,
}

impl Process {
    /// Starts a broker and waits until it listens.
    pub fn start(launch: &Launch) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("claywinch-{}-{}", launch.name, std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let listen = crate::broker::free_address()?;
        let (discovery, sockets, settings) = (&launch.discovery, launch.sockets, &launch.settings);
        let config = format!(
            r#"{{"name":"lab","seed":"07","listen":"{listen}","discovery":"{discovery}",
            "limits":{{"memory_mb":192,"sockets":{sockets}}},
            "known":{{"revision":0,"complete":true,"members":[]}},"settings":{settings}}}"#
        );
        std::fs::write(folder.join("config.json"), config)?;
        let shell = format!("ulimit -n {sockets} && exec {}", launch.program.display());
        let child = Command::new("sh")
            .args(["-c", &shell])
            .env("RELAY_CONFIG", folder.join("config.json"))
            .env("RELAY_LISTEN", &listen)
            .env("RELAY_DISCOVERY", discovery)
            .env("CLAYWINCH_NBD", folder.join("nbd.toml"))
            .envs(launch.variables.iter().cloned())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(std::fs::File::create(folder.join("log"))?))
            .spawn()?;
        let process = Process { child, folder, listen };
        let end = Instant::now() + START;
        while std::net::TcpStream::connect(&process.listen).is_err() {
            if Instant::now() > end {
                return Err(io::Error::other(format!("it does not listen; its log: {}", process.log())));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(process)
    }

    /// Its number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([name, &self.id().to_string()]).stderr(Stdio::null()).status();
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Processor time that it has used.
    pub fn processor(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        let after = stat.rsplit(')').next().unwrap_or("");
        let field =
            |n: usize| after.split_whitespace().nth(n).and_then(|t| t.parse::<u64>().ok()).unwrap_or(0);
        // Fields 14 and 15 in hundredths of a second; two stand before the part behind the name.
        Duration::from_millis((field(11) + field(12)) * 10)
    }

    /// The most memory that it has held, in KiB.
    pub fn peak_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|t| t.parse().ok()).unwrap_or(0)
    }

    /// Descriptors that it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.id())).map(|d| d.count()).unwrap_or(0)
    }

    /// Its log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
