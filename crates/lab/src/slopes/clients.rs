//! One broker process and connections of clients: what each costs that says nothing, and that asks now and then.

use super::{descriptors, processor, status_kb, Row};
use crate::address::free_address;
use crate::broker::SETTINGS;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
const PONG: usize = 7;
/// How long a broker may take to listen, and an answer to come.
const PATIENCE: Duration = Duration::from_secs(5);
/// How long clients say nothing while it is measured: less than after which they are sent away.
const QUIET: Duration = Duration::from_millis(1_000);
/// Rounds of light work, a second each.
const ROUNDS: u32 = 5;

struct Ended(Child);

impl Drop for Ended {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn ping(client: &mut TcpStream) -> io::Result<()> {
    client.write_all(PING)?;
    client.read_exact(&mut [0; PONG])
}

/// A broker with so many connections.
pub fn measure(program: &Path, count: usize, run: u64) -> io::Result<Vec<Row>> {
    let folder = std::env::temp_dir().join(format!("claywinch-clients-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let (listen, discovery) = (free_address()?, free_address()?);
    let config = format!(
        r#"{{"name":"slopes","seed":"07","listen":"{listen}","discovery":"{discovery}",
        "limits":{{"memory_mb":2048,"sockets":16384}},
        "known":{{"revision":0,"complete":true,"members":[]}},"settings":{SETTINGS}}}"#
    );
    std::fs::write(folder.join("config.json"), config)?;
    let child = Command::new(program)
        .env("RELAY_CONFIG", folder.join("config.json"))
        .env("TMPDIR", &folder)
        .env_remove("CLAYWINCH_NBD")
        .env_remove("CLAYWINCH_CLUSTER")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::from(std::fs::File::create(folder.join("log"))?))
        .spawn()?;
    let child = Ended(child);
    let pid = child.0.id();
    let end = Instant::now() + PATIENCE;
    while TcpStream::connect(&listen).is_err() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    std::thread::sleep(Duration::from_millis(3_500));
    let used = || processor(pid).values().sum::<u64>() as f64;
    let begin = Instant::now();
    let mut clients = Vec::with_capacity(count);
    let before = used();
    for _ in 0..count {
        let mut client = TcpStream::connect(&listen)?;
        client.set_read_timeout(Some(PATIENCE))?;
        client.set_nodelay(true)?;
        ping(&mut client)?;
        clients.push(client);
    }
    let (came, connects) = (begin.elapsed(), used() - before);
    let (begin, before) = (Instant::now(), used());
    std::thread::sleep(QUIET);
    let quiet = (used() - before) / 1e7 / begin.elapsed().as_secs_f64();
    let of = ("clients", count as u64, run);
    let mut rows = Vec::new();
    let mut row = |quantity: &str, unit: &str, value: f64| rows.push(Row::new(of, quantity, unit, value));
    row("memory-idle", "KiB", status_kb(pid, "VmRSS") as f64);
    row("descriptors", "1", descriptors(pid) as f64);
    row("processor-idle", "%core", quiet);
    if count > 0 {
        row("connect", "ns", connects / count as f64);
    }
    row("connecting", "ms", came.as_secs_f64() * 1e3);
    let (begin, before, mut asked, mut lost) = (Instant::now(), used(), 0, 0);
    for round in 1..=ROUNDS {
        for client in &mut clients {
            asked += 1;
            lost += u64::from(ping(client).is_err());
        }
        std::thread::sleep((Duration::from_secs(1) * round).saturating_sub(begin.elapsed()));
    }
    row("processor-working", "%core", (used() - before) / 1e7 / begin.elapsed().as_secs_f64());
    row("memory-working", "KiB", status_kb(pid, "VmRSS") as f64);
    row("asked-a-second", "1/s", f64::from(asked) / begin.elapsed().as_secs_f64());
    row("lost", "1", lost as f64);
    let open = descriptors(pid);
    std::thread::sleep(Duration::from_secs(3));
    row("sent-away-in-3s", "1", open as f64 - descriptors(pid) as f64);
    drop(clients);
    drop(child);
    let _ = std::fs::remove_dir_all(&folder);
    Ok(rows)
}
