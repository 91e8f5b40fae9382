//! Three brokers agree on a change that brings a new plan and drains a disk node.

use super::minority::{word, Noted};
use super::NBD_TERMS;
use crate::discovery::Discovery;
use crate::nbd::{node, Client, BLOCK, READ, WRITE};
use crate::process::{call, free_address, settings, signal, until, Broker, Folder, Setup};
use crate::{Context, Verdict};
use std::thread;
use std::time::{Duration, Instant};

/// How long clients go on after the change was agreed on.
const WATCHED: Duration = Duration::from_secs(15);
/// The grace of 250 ms, 6 s after which a change counts as told at the latest, and 50 ms.
const GRACE: Duration = Duration::from_millis(6_300);
/// The plan that is new.
const NEW_PLAN: &str = "[[plan]]\nname = \"election-night\"\nrate = 120.0\nreserve = 96.0\n";

pub fn play(context: &Context) -> Result<Verdict, String> {
    let record = &context.record;
    let folder = Folder::create("agreed")?;
    let (old, new) = (Noted::empty(), Noted::empty());
    let (old_address, new_address) = (node(old.clone())?, node(new.clone())?);
    let addresses: Vec<String> = (0..3).map(|_| free_address()).collect::<Result<_, _>>()?;
    let listens: Vec<String> = (0..3).map(|_| free_address()).collect::<Result<_, _>>()?;
    let admins: Vec<String> = (0..3).map(|_| free_address()).collect::<Result<_, _>>()?;
    let file = |own: usize, changed: bool| {
        let peer =
            |(i, address): (usize, &String)| format!("[[peer]]\nid = {}\naddress = \"{address}\"\n", i + 1);
        let peers: String = addresses.iter().enumerate().map(peer).collect();
        let old_node = |state: &str| {
            format!("[[node]]\nid = \"d-00000001\"\naddress = \"{old_address}\"\nshard = 0\nstate = \"{state}\"\n")
        };
        let (nodes, terms) = match changed {
            false => (old_node("ready"), NBD_TERMS.to_string()),
            true => (
                old_node("draining")
                    + &format!("[[node]]\nid = \"d-00000002\"\naddress = \"{new_address}\"\nshard = 0\n"),
                match context.trouble {
                    false => NBD_TERMS.to_string(),
                    // The export moves to the new plan.
                    true => NBD_TERMS.replace("plan = \"standard\"", "plan = \"election-night\"") + NEW_PLAN,
                },
            ),
        };
        format!(
            "listen = \"{}\"\nbrokers = 3\nown_peer = {}\nkept = {:?}\n{terms}\n{nodes}\n{peers}",
            listens[own],
            own + 1,
            folder.path().join(format!("peer{}.log", own + 1))
        )
    };
    let discovery = Discovery::start(&[])?;
    let mut brokers = Vec::new();
    for (own, admin) in admins.iter().enumerate() {
        let setup = Setup {
            name: &format!("n{}", own + 1),
            settings: settings(3, own as u32),
            discovery: &discovery.address,
            memory_mb: 192,
            nbd: Some(folder.write(&format!("nbd{}.toml", own + 1), &file(own, false))?),
            admin: Some(admin.clone()),
        };
        brokers.push(Broker::start(&folder, &setup, record)?);
    }
    let first = |broker: &Broker| broker.log_text().contains("configuration in force exports=1 nodes=1");
    if !until(Duration::from_secs(15), || brokers.iter().all(first)) {
        return Err("the first configuration did not come into force".to_string());
    }
    let mut clients = Vec::new();
    for listen in &listens {
        clients.push(Client::connect(listen, "tallies")?);
    }
    folder.write("nbd1.toml", &file(0, true))?;
    signal(brokers[0].process.id(), "HUP");
    record.note(format!("n1 is told by SIGHUP that d-00000001 drains; with a new plan: {}", context.trouble));
    let agreed = || call(&admins[0], "STATUS").is_ok_and(|status| status.contains("\"agreed\""));
    if !until(Duration::from_secs(20), agreed) {
        record.note(format!("STATUS at n1: {:?}", call(&admins[0], "STATUS")));
        return Ok(Verdict::Held);
    }
    let told = Instant::now();
    thread::sleep(Duration::from_millis(500));
    for (own, admin) in admins.iter().enumerate() {
        record.note(format!("STATUS at n{}: {}", own + 1, call(admin, "STATUS")?));
    }
    let mut mark = 100;
    while told.elapsed() < WATCHED {
        for (own, client) in clients.iter_mut().enumerate() {
            mark = 100 + (mark + 1) % 100;
            let wrote = client.ask(WRITE, 0, BLOCK, &[mark; BLOCK])?;
            let read = client.ask(READ, 0, BLOCK, &[])?;
            record.note(format!(
                "through n{}: write {mark}: {}; read: {}",
                own + 1,
                word(&wrote),
                word(&read)
            ));
        }
        thread::sleep(Duration::from_secs(2));
    }
    let mut broken = Vec::new();
    for (at, what, mark) in old.asked.lock().map_err(|_| "the node failed")?.iter() {
        let after = at.checked_duration_since(told).unwrap_or_default();
        if after > GRACE {
            record.note(format!(
                "d-00000001, which drains, ran a {what} of {mark}, {} ms after",
                after.as_millis()
            ));
            broken.push(after.as_millis());
        }
    }
    for (own, broker) in brokers.iter().enumerate() {
        broker.note_log(record, &format!("n{}", own + 1), &["configuration", "rule broken", "ERROR"]);
    }
    Ok(match broken.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!(
            "{} requests were sent to a draining node later than 6.3 s after the drain was agreed on",
            broken.len()
        )),
    })
}
