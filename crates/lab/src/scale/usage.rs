//! What the system says of the machine and of processes.

use std::collections::BTreeMap;
use std::path::PathBuf;

/// What this machine bears.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    /// Memory that is free for use, in MiB.
    pub memory_mb: u64,
    /// Descriptors that a process may have.
    pub files: u64,
}

impl Machine {
    /// This one, as the system tells it.
    pub fn here() -> Machine {
        let read = |path: &str| std::fs::read_to_string(path).unwrap_or_default();
        let word = |text: &str, key: &str, at: usize| {
            let line = text.lines().find(|l| l.starts_with(key))?;
            line[key.len()..].split_whitespace().nth(at)?.parse::<u64>().ok()
        };
        Machine {
            memory_mb: word(&read("/proc/meminfo"), "MemAvailable:", 0).unwrap_or(0) / 1024,
            files: word(&read("/proc/self/limits"), "Max open files", 0).unwrap_or(u64::MAX),
        }
    }
}

/// Whose processor time is counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Whose {
    /// All threads of a process, without those of the lab (their names begin with `lab-`).
    Process(u32),
    /// One thread: process and thread.
    Thread(u32, u32),
}

/// Processor time of a process by thread, as far as it was seen: looked at often enough, threads that end are counted too.
/// Ends with the process that it is of.
#[derive(Debug, Default)]
pub struct Usage {
    threads: BTreeMap<u32, u64>,
}

impl Usage {
    /// Looks again; gives all processor time so far, in nanoseconds.
    pub fn look(&mut self, whose: &Whose) -> u64 {
        let (process, only) = match whose {
            Whose::Process(process) => (*process, None),
            Whose::Thread(process, thread) => (*process, Some(*thread)),
        };
        let tasks = PathBuf::from(format!("/proc/{process}/task"));
        for entry in std::fs::read_dir(&tasks).into_iter().flatten().flatten() {
            let Some(id) = entry.file_name().to_str().and_then(|n| n.parse::<u32>().ok()) else { continue };
            if only.is_some_and(|t| t != id) {
                continue;
            }
            let read = |file: &str| std::fs::read_to_string(entry.path().join(file)).unwrap_or_default();
            if read("comm").starts_with("lab-") {
                continue;
            }
            let spent = read("schedstat").split_whitespace().next().and_then(|t| t.parse::<u64>().ok());
            if let Some(spent) = spent {
                self.threads.insert(id, spent);
            }
        }
        self.threads.values().sum()
    }
}

/// Memory that a process holds, in KiB.
pub fn memory_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|t| t.parse().ok()).unwrap_or(0)
}

/// Process and thread that this is called in.
pub fn own_thread() -> Option<(u32, u32)> {
    let link = std::fs::read_link("/proc/thread-self").ok()?;
    let mut parts = link.to_str()?.split('/');
    let process = parts.next()?.parse().ok()?;
    Some((process, parts.nth(1)?.parse().ok()?))
}

/// Datagrams that sockets on some loopback addresses have dropped, by socket: full, or cut short.
pub fn drops(addresses: &[std::net::Ipv4Addr]) -> BTreeMap<u64, u64> {
    let table = std::fs::read_to_string("/proc/net/udp").unwrap_or_default();
    let own: Vec<String> =
        addresses.iter().map(|a| format!("{:08X}:", u32::from_le_bytes(a.octets()))).collect();
    let socket = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let local = words.get(1)?;
        if !own.iter().any(|o| local.starts_with(o)) {
            return None;
        }
        Some((words.get(9)?.parse().ok()?, words.last()?.parse().ok()?))
    };
    table.lines().skip(1).filter_map(socket).collect()
}

/// Datagrams that all sockets of the machine have dropped because they were full.
pub fn dropped_by_all() -> u64 {
    let text = std::fs::read_to_string("/proc/net/snmp").unwrap_or_default();
    let mut lines = text.lines().filter(|l| l.starts_with("Udp:"));
    let (heads, values) = (lines.next().unwrap_or(""), lines.next().unwrap_or(""));
    let place = heads.split_whitespace().position(|h| h == "RcvbufErrors");
    place.and_then(|p| values.split_whitespace().nth(p)?.parse().ok()).unwrap_or(0)
}
