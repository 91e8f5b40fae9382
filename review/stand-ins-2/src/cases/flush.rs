//! A flush after the crash of a disk node: it is acknowledged, and writes that were acknowledged before it are gone.

use super::NBD_TERMS;
use crate::discovery::Discovery;
use crate::nbd::{Client, Reply, BLOCK, FLUSH, READ, WRITE};
use crate::process::{free_address, settings, signal, until, Broker, Folder, Process, Setup};
use crate::record::Record;
use crate::{Context, Verdict};
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::Duration;

const SIZE: usize = 1 << 20;
/// Blocks that are written, and what is written to them.
const BLOCKS: u64 = 4;
const MARK: u8 = 7;
/// Disk nodes; one of them crashes.
const NODES: u32 = 4;

/// The disk node as a process.
fn start_node(address: &str, disk: &Path) -> Result<Process, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let process = Process::start(Command::new(own).args(["nbd-node", address]).arg(disk))?;
    if !until(Duration::from_secs(5), || std::net::TcpStream::connect(address).is_ok()) {
        return Err("the disk node does not listen".to_string());
    }
    Ok(process)
}

/// Asks until the answer is not that the request never ran.
fn ask(client: &mut Client, kind: u16, block: u64, data: &[u8]) -> Result<Reply, String> {
    let (offset, length) = if kind == FLUSH { (0, 0) } else { (block * BLOCK as u64, BLOCK) };
    for _ in 0..50 {
        match client.ask(kind, offset, length, data)? {
            Reply::Error(crate::nbd::ENOMEM) => thread::sleep(Duration::from_millis(100)),
            reply => return Ok(reply),
        }
    }
    Err("the broker refused a request 50 times".to_string())
}

pub fn play(context: &Context) -> Result<Verdict, String> {
    let record = &context.record;
    let folder = Folder::create("flush")?;
    let mut nodes = Vec::new();
    for shard in 0..NODES {
        let disk = folder.path().join(format!("disk{shard}"));
        std::fs::write(&disk, vec![0; SIZE]).map_err(|error| error.to_string())?;
        let address = free_address()?;
        nodes.push((start_node(&address, &disk)?, address, disk));
    }
    let listen = free_address()?;
    let mut file = format!("listen = \"{listen}\"\n{NBD_TERMS}\n");
    for (shard, (_, address, _)) in nodes.iter().enumerate() {
        file += &format!("[[node]]\nid = \"d-0000000{shard}\"\naddress = \"{address}\"\nshard = {shard}\n");
    }
    let file = folder.write("nbd.toml", &file)?;
    let discovery = Discovery::start(&[])?;
    let setup = Setup {
        name: "n3",
        settings: settings(1, 0),
        discovery: &discovery.address,
        memory_mb: 192,
        nbd: Some(file),
        admin: None,
    };
    let broker = Broker::start(&folder, &setup, record)?;
    let mut client = Client::connect(&listen, "tallies")?;
    let mut acknowledged = Vec::new();
    for block in 0..BLOCKS {
        let reply = ask(&mut client, WRITE, block, &[MARK; BLOCK])?;
        record.note(format!("client: write of {MARK} to block {block}: {}", word(&reply)));
        if matches!(reply, Reply::Done(_)) {
            acknowledged.push(block);
        }
    }
    let (node, address, disk) = nodes.remove(0);
    let mut node = Some(node);
    if let Some(mut crashes) = node.take_if(|_| context.trouble) {
        record.note(format!("the disk node (process {}) is killed and started again", crashes.id()));
        signal(crashes.id(), "KILL");
        if !crashes.ends_within(Duration::from_secs(5)) {
            return Err("the disk node did not end".to_string());
        }
        node = Some(start_node(&address, &disk)?);
        thread::sleep(Duration::from_millis(1_000));
    }
    let flushed = ask(&mut client, FLUSH, 0, &[])?;
    record.note(format!("client: flush: {}", word(&flushed)));
    let mut gone = Vec::new();
    for block in acknowledged {
        let Reply::Done(bytes) = ask(&mut client, READ, block, &[])? else { continue };
        record.note(format!("client: read of block {block}: it holds {}", bytes[0]));
        if flushed == Reply::Done(Vec::new()) && bytes != [MARK; BLOCK] {
            gone.push(block);
        }
    }
    note_node(record, &disk);
    broker.note_log(record, "n3", &["rule broken", "WARN", "ERROR"]);
    drop(node);
    Ok(match gone.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!(
            "writes that were acknowledged before an acknowledged flush are gone: blocks {gone:?}"
        )),
    })
}

fn word(reply: &Reply) -> String {
    match reply {
        Reply::Done(_) => "acknowledged".to_string(),
        Reply::Error(errno) => format!("error {errno}"),
    }
}

fn note_node(record: &Record, disk: &Path) {
    let log = std::fs::read_to_string(format!("{}.log", disk.display())).unwrap_or_default();
    log.lines().for_each(|line| record.note(format!("log of the disk node: {line}")));
}
