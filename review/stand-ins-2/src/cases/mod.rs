//! The cases by their names.

mod agreed;
mod flush;
mod hang_upload;
mod leave_upload;
mod minority;
mod pieces;
mod slow_reader;
mod value_behind;
mod value_cut;
mod value_held;

use crate::discovery::{Discovery, Member};
use crate::process::{settings, until, Broker, Folder, Setup};
use crate::resp::{get, node, served, Answer, Client};
use crate::{Context, Verdict};
use std::io::Write;
use std::time::{Duration, Instant};

/// Plays a case.
pub fn play(name: &str, context: &Context) -> Result<Verdict, String> {
    match name {
        "agreed" => agreed::play(context),
        "flush" => flush::play(context),
        "hang-upload" => hang_upload::play(context),
        "leave-upload" => leave_upload::play(context),
        "minority" => minority::play(context),
        "pieces" => pieces::play(context),
        "slow-reader" => slow_reader::play(context),
        "value-cut" => value_cut::play(context),
        "value-held" => value_held::play(context),
        "value-behind" => value_behind::play(context),
        _ => Err(format!("no case {name}")),
    }
}

/// Disk nodes of the deployment; the one under trouble holds shard 0.
const NODES: u32 = 9;

/// Starts one broker before discovery with the disk node at `first` and others, which are in no trouble, and waits until it
/// serves.
fn one_broker(context: &Context, folder: &Folder, first: &str, memory_mb: u32) -> Result<Broker, String> {
    one_broker_with(context, folder, first, Place { memory_mb, admin: None })
}

/// What a broker of a case has.
struct Place {
    memory_mb: u32,
    /// Where operators call, if anywhere.
    admin: Option<String>,
}

/// The same for a broker that operators may call.
fn one_broker_with(context: &Context, folder: &Folder, first: &str, place: Place) -> Result<Broker, String> {
    let Place { memory_mb, admin } = place;
    let record = &context.record;
    let mut members = vec![Member::ready("s-5be2a070", first, 0)];
    for shard in 1..NODES {
        let sound = node(|_, out| out.write_all(&served(b"small")).is_ok())?;
        members.push(Member::ready(&format!("s-5be2a07{shard}"), &sound, shard));
    }
    let discovery = Discovery::start(&members)?;
    let setup = Setup {
        name: "n3",
        settings: settings(3, 0),
        discovery: &discovery.address,
        memory_mb,
        nbd: None,
        admin,
    };
    let broker = Broker::start(folder, &setup, record)?;
    let mut number = 0;
    let serves = || {
        number += 1;
        let Ok(mut client) = Client::connect(&broker.listen) else { return false };
        let sent = client.send(&get(2, &format!("warm{number}"), "page-read", 1_000));
        let end = Instant::now() + Duration::from_secs(2);
        sent.is_ok() && matches!(client.answer(end).answer, Answer::Value(..))
    };
    match until(Duration::from_secs(5), serves) {
        true => Ok(broker),
        false => Err("the broker serves nothing".to_string()),
    }
}

/// The classes and the plan of an NBD file, as in the example that is shipped.
pub const NBD_TERMS: &str = r#"
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
rate = 60.0
reserve = 48.0

[[export]]
name = "tallies"
size = 1048576
shard = 0
plan = "standard"
read = "page-read"
write = "tally-write"
flush = "tally-write"
"#;
