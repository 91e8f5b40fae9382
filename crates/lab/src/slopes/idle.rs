//! Processes of the program that do nothing but belong to a cluster, and the same ones without it. They talk to one another
//! directly; datagrams and bytes are counted by the system for all of it, so nothing else may run beside.

use super::{descriptors, processor, status_kb, Row};
use crate::broker::SETTINGS;
use crate::rig::Said;
use crate::simulated::name;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Seeds of the cluster, which are its voters.
const VOTERS: usize = 5;
/// How long brokers may take to agree.
const AGREE: Duration = Duration::from_secs(60);
/// How long they stand idle before it is measured, and how long an operators' call may take.
const SETTLE: Duration = Duration::from_secs(3);

/// Processes, ended with it.
struct Fleet {
    folder: PathBuf,
    ip: String,
    brokers: Vec<Child>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // All are told first: those that are left would have work with each that goes.
        self.brokers.iter_mut().for_each(|b| drop(b.kill()));
        self.brokers.iter_mut().for_each(|b| drop(b.wait()));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    fn start(program: &Path, count: usize, cluster: bool) -> io::Result<Fleet> {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = format!("127.{}.{low}.1", 1 + high % 250);
        let folder = std::env::temp_dir().join(format!("claywinch-slopes-{}", std::process::id()));
        let mut fleet = Fleet { folder, ip, brokers: Vec::new() };
        let seeds: Vec<String> = (0..VOTERS.min(count)).map(|i| format!("{:?}", fleet.at(1, i))).collect();
        for i in 0..count {
            let own = fleet.folder.join(name(i));
            std::fs::create_dir_all(&own)?;
            let config = format!(
                r#"{{"name":"{}","seed":"07","listen":"{}","discovery":"{}","admin":"{}",
                "limits":{{"memory_mb":192,"sockets":256}},
                "known":{{"revision":0,"complete":true,"members":[]}},"settings":{SETTINGS}}}"#,
                name(i),
                fleet.at(3, i),
                fleet.at(4, i),
                fleet.at(2, i)
            );
            std::fs::write(own.join("config.json"), config)?;
            let (listen, seeds) = (fleet.at(1, i), seeds.join(", "));
            let file = format!(
                "name = {:?}\nlisten = {listen:?}\nadvertise = {listen:?}\nseeds = [{seeds}]\n",
                name(i)
            );
            std::fs::write(own.join("cluster.toml"), file)?;
            let mut command = Command::new(program);
            command.env("RELAY_CONFIG", own.join("config.json")).env("TMPDIR", &own);
            command.env_remove("CLAYWINCH_NBD").env_remove("CLAYWINCH_CLUSTER");
            if cluster {
                command.env("CLAYWINCH_CLUSTER", own.join("cluster.toml"));
            }
            let log = Stdio::from(std::fs::File::create(own.join("log"))?);
            let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
            fleet.brokers.push(child);
        }
        Ok(fleet)
    }

    fn at(&self, kind: u16, broker: usize) -> String {
        format!("{}:{}", self.ip, 20_000 + 1_000 * kind + broker as u16)
    }

    fn said(&self, broker: usize) -> Option<Said> {
        let mut stream = TcpStream::connect(self.at(2, broker)).ok()?;
        stream.set_read_timeout(Some(SETTLE)).ok()?;
        stream.write_all(b"MEMBERS\n").ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        serde_json::from_str(answer.trim_end().strip_prefix("200 ")?).ok()
    }

    /// Who leads, once all belong to one view.
    fn agree(&self) -> io::Result<Vec<bool>> {
        let end = Instant::now() + AGREE;
        loop {
            let said: Vec<Option<Said>> = (0..self.brokers.len()).map(|b| self.said(b)).collect();
            let first = said.first().and_then(|s| s.as_ref()).map(|s| s.view);
            let agrees = |s: &Option<Said>| {
                let s = s.as_ref();
                s.is_some_and(|s| {
                    Some(s.view) == first && s.phase == "member" && s.names().len() == self.brokers.len()
                })
            };
            if said.iter().all(agrees) {
                return Ok(said.into_iter().map(|s| s.is_some_and(|s| s.leads)).collect());
            }
            if Instant::now() > end {
                return Err(io::Error::other(format!("{} brokers do not agree", self.brokers.len())));
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    fn processor(&self) -> Vec<BTreeMap<String, u64>> {
        self.brokers.iter().map(|b| processor(b.id())).collect()
    }
}

/// Datagrams sent over UDP and bytes sent over IP by all on this machine.
fn sent() -> (f64, f64) {
    let read = |file: &str| std::fs::read_to_string(file).unwrap_or_default();
    let field = |text: String, kind: &str, key: &str| {
        let lines: Vec<Vec<String>> = text
            .lines()
            .filter_map(|l| Some(l.strip_prefix(kind)?.split_whitespace().map(str::to_string).collect()))
            .collect();
        let place = lines.first()?.iter().position(|k| k == key)?;
        lines.get(1)?.get(place)?.parse::<f64>().ok()
    };
    let datagrams = field(read("/proc/net/snmp"), "Udp:", "OutDatagrams");
    let bytes = field(read("/proc/net/netstat"), "IpExt:", "OutOctets");
    (datagrams.unwrap_or(0.0), bytes.unwrap_or(0.0))
}

/// So many processes, idle for `window`, in a cluster and without it, and what the cluster adds.
pub fn both(program: &Path, count: usize, run: u64, window: Duration) -> io::Result<Vec<Row>> {
    let mut rows = measure(program, count, run, true, window)?;
    let alone = measure(program, count, run, false, window)?;
    let without = |quantity: &str| alone.iter().find(|r| r.quantity == quantity).map_or(0.0, |r| r.value);
    let added: Vec<Row> = rows
        .iter()
        .filter(|r| !r.quantity.starts_with("thread"))
        .map(|r| {
            // Each kind of broker is what it is without a cluster, where there is one kind.
            let kinds = ["processor-leader", "processor-voter", "processor-plain"];
            let same = if kinds.contains(&r.quantity.as_str()) { "processor" } else { r.quantity.as_str() };
            Row::new(("idle-added", r.count, run), &r.quantity, &r.unit, r.value - without(same))
        })
        .collect();
    rows.extend(alone);
    rows.extend(added);
    Ok(rows)
}

/// So many processes, idle for `window`, with their cluster or without it.
fn measure(program: &Path, count: usize, run: u64, cluster: bool, window: Duration) -> io::Result<Vec<Row>> {
    let fleet = Fleet::start(program, count, cluster)?;
    let leads = if cluster { fleet.agree()? } else { vec![false; count] };
    std::thread::sleep(SETTLE);
    let (begin, before, net) = (Instant::now(), fleet.processor(), sent());
    std::thread::sleep(window);
    let (after, last) = (fleet.processor(), sent());
    let seconds = begin.elapsed().as_secs_f64();
    let used = |i: usize, thread: Option<&str>| {
        let wanted = |(name, _): &(&String, &u64)| thread.is_none_or(|t| t == name.as_str());
        let sum = |all: &BTreeMap<String, u64>| all.iter().filter(wanted).map(|(_, ns)| *ns).sum::<u64>();
        (sum(&after[i]) - sum(&before[i]).min(sum(&after[i]))) as f64 / 1e7 / seconds
    };
    let of = (if cluster { "idle-cluster" } else { "idle-alone" }, count as u64, run);
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
    let mut all: Vec<f64> = (0..count).map(|i| used(i, None)).collect();
    let mut rows = Vec::new();
    let mut row = |quantity: &str, unit: &str, value: f64| rows.push(Row::new(of, quantity, unit, value));
    row("processor", "%core", mean(&all));
    if cluster {
        let voters = VOTERS.min(count);
        let leader: Vec<f64> = (0..count).filter(|i| leads[*i]).map(|i| all[i]).collect();
        let follows: Vec<f64> = (0..voters).filter(|i| !leads[*i]).map(|i| all[i]).collect();
        row("processor-leader", "%core", mean(&leader));
        row("processor-voter", "%core", mean(&follows));
        row("processor-plain", "%core", mean(&all[voters..]));
    }
    row("datagrams-sent", "1/s", (last.0 - net.0) / seconds / count as f64);
    // Heads of IP and UDP are left out: 28 bytes for each datagram.
    let bytes = last.1 - net.1 - 28.0 * (last.0 - net.0);
    row("bytes-sent", "B/s", bytes / seconds / count as f64);
    for thread in after[0].keys() {
        let by: Vec<f64> = (0..count).map(|i| used(i, Some(thread))).collect();
        row(&format!("thread-{thread}"), "%core", mean(&by));
    }
    all.sort_by(f64::total_cmp);
    row("processor-median", "%core", all[count / 2]);
    row("processor-worst", "%core", all[count - 1]);
    let memory: Vec<f64> = fleet.brokers.iter().map(|b| status_kb(b.id(), "VmRSS") as f64).collect();
    row("memory", "KiB", mean(&memory));
    row("memory-worst", "KiB", memory.iter().copied().fold(0.0, f64::max));
    let open: Vec<f64> = fleet.brokers.iter().map(|b| descriptors(b.id()) as f64).collect();
    row("descriptors", "1", mean(&open));
    Ok(rows)
}
