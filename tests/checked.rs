//! Exports with sums on real sockets: a broker process before a node that spoils data on purpose.

mod common;

use claywinch_lab::broker::SETTINGS;
use claywinch_lab::client::Client;
use claywinch_lab::disk::{Disk, Fault, Manner, BLOCK};
use claywinch_lab::nbd::{Reply, EINVAL, EIO, ENOMEM, WRITE};
use common::net::*;
use std::time::{Duration, Instant};

const SIZE: u64 = 1 << 20;
/// Long enough for a writer that waits for an earlier write to run out.
const PATIENT: Duration = Duration::from_secs(10);

fn file(address: &str, integrity: &str) -> String {
    scrubbed_file(address, integrity, 0.0)
}

fn scrubbed_file(address: &str, integrity: &str, scrub_days: f64) -> String {
    format!(
        r#"
    [[class]]
    name = "read"
    wanted_ms = 500
    deadline_ms = 2000
    worth = 2.0
    repeat = "safe"
    [[class]]
    name = "write"
    wanted_ms = 500
    deadline_ms = 1000
    worth = 3.0
    repeat = "never"
    [[plan]]
    name = "standard"
    rate = 5000.0
    reserve = 4000.0
    [[export]]
    name = "tallies"
    size = {SIZE}
    shard = 0
    plan = "standard"
    read = "read"
    write = "write"
    flush = "write"
    {integrity}
    [integrity]
    late_ms = 500
    scrub_days = {scrub_days}
    [[node]]
    id = "d-00000001"
    address = "{address}"
    shard = 0
"#
    )
}

struct Rig {
    disk: Disk,
    broker: Broker,
    _discovery: Discovery,
}

fn disk(manner: Manner) -> Disk {
    Disk::start(None, &[("tallies", SIZE), ("tallies.sums", SIZE)], manner).expect("a node")
}

fn rig(name: &str, manner: Manner, integrity: &str) -> Rig {
    scrubbed_rig(name, manner, integrity, 0.0)
}

fn scrubbed_rig(name: &str, manner: Manner, integrity: &str, scrub_days: f64) -> Rig {
    let disk = disk(manner);
    let (discovery, address) = Discovery::start("");
    let file = scrubbed_file(disk.address(), integrity, scrub_days);
    let broker = Broker::start(name, SETTINGS, &address, Some(&file));
    let rig = Rig { disk, broker, _discovery: discovery };
    if !integrity.is_empty() {
        until("sums are sealed", || rig.broker.log().contains("sums sealed"));
    }
    rig
}

const ON: &str = "integrity = \"crc32c\"";

impl Rig {
    fn client(&self) -> Client {
        let mut client = None;
        until("the front listens", || {
            client = Client::connect(&self.broker.nbd, "tallies", true).ok();
            client.is_some()
        });
        client.expect("just connected")
    }
}

fn block(value: u8) -> Vec<u8> {
    (0..BLOCK).map(|i| value ^ (i % 251) as u8).collect()
}

/// Asks again while it is refused.
fn settled(mut ask: impl FnMut() -> Reply) -> Reply {
    let end = Instant::now() + PATIENT;
    loop {
        match ask() {
            Reply::Error(ENOMEM, text, _) if text.starts_with("BUSY") && Instant::now() < end => {
                std::thread::sleep(Duration::from_millis(20));
            }
            reply => return reply,
        }
    }
}

fn write(client: &mut Client, number: u64, value: u8) {
    let reply = settled(|| client.write(number * BLOCK as u64, block(value)).expect("a reply"));
    assert_eq!(reply, Reply::Done(Vec::new()));
}

fn read(client: &mut Client, number: u64) -> Reply {
    settled(|| client.read(number * BLOCK as u64, BLOCK as u32).expect("a reply"))
}

fn spoiled(number: u64) -> Reply {
    Reply::Error(EIO, "checksum".to_string(), Some(number * BLOCK as u64))
}

/// Guards against spoiled data in an answer, whatever spoiled it.
#[test]
fn whatever_is_spoiled_is_an_error_with_its_offset_until_it_is_written_anew() {
    let rig = rig("spoiled", Manner::default(), ON);
    let mut client = rig.client();
    let all = |client: &mut Client| (0..8).for_each(|n| write(client, n, n as u8));
    all(&mut client);
    (0..8).for_each(|n| assert_eq!(read(&mut client, n), Reply::Done(block(n as u8))));

    rig.disk.flip("tallies", 3, 12_345);
    assert_eq!(read(&mut client, 3), spoiled(3));
    let over_all = client.read(0, 8 * BLOCK as u32).expect("a reply");
    assert_eq!(over_all, spoiled(3), "nothing of a read that holds it is passed on");
    assert_eq!(read(&mut client, 4), Reply::Done(block(4)));
    write(&mut client, 3, 33);
    assert_eq!(read(&mut client, 3), Reply::Done(block(33)));

    rig.disk.plan(Fault::LostWrite, "tallies");
    write(&mut client, 5, 55);
    assert_eq!(read(&mut client, 5), spoiled(5), "the write was acknowledged and not done");

    rig.disk.plan(Fault::MisdirectedWrite, "tallies");
    write(&mut client, 6, 66);
    assert_eq!(read(&mut client, 6), spoiled(6));
    let done = rig.disk.ledger();
    let elsewhere = done.iter().rev().find(|d| d.fault == Fault::MisdirectedWrite && d.block != 6);
    let elsewhere = elsewhere.expect("another block is wrong now").block;
    if elsewhere < 8 {
        assert_eq!(read(&mut client, elsewhere), spoiled(elsewhere));
    }
    all(&mut client);

    // What goes wrong on the way once is right the second time.
    for fault in [Fault::FlipOnWire, Fault::MisdirectedRead] {
        rig.disk.plan(fault, "tallies");
        assert_eq!(read(&mut client, 1), Reply::Done(block(1)), "{fault:?}");
    }
    let done = rig.disk.ledger();
    assert!(done.iter().any(|d| d.fault == Fault::FlipOnWire), "{done:?}");
}

/// Guards against data that is believed since a process that knew better has died.
#[test]
fn a_broker_that_takes_over_knows_what_was_written_before_it() {
    let mut rig = rig("takeover", Manner::default(), ON);
    let mut client = rig.client();
    (0..100).for_each(|n| write(&mut client, n, n as u8));
    // The write of a block that is held back when the broker dies may be seen, or not.
    rig.disk.hold("tallies", WRITE);
    let (_, mut asker, _listener) =
        claywinch_lab::client::connect(&rig.broker.nbd, "tallies", true).expect("connects");
    asker.send(WRITE, 0, 7 * BLOCK as u64, BLOCK as u32, block(77)).expect("asks");
    until("it is held back", || rig.disk.held() == 1);
    rig.broker = Broker::start("takeover2", SETTINGS, &free_address(), Some(&file(rig.disk.address(), ON)));
    until("sums are open", || rig.broker.log().contains("sums opened"));
    assert!(rig.broker.log().contains("life=2"), "{}", rig.broker.log());
    let mut client = rig.client();
    assert_eq!(read(&mut client, 7), Reply::Done(block(7)));
    rig.disk.let_go();
    until("it has run", || rig.disk.bytes("tallies", 7 * BLOCK as u64, BLOCK) == block(77));
    assert_eq!(read(&mut client, 7), Reply::Done(block(77)), "the interrupted write is no alarm");
    let contexts = ["claywinch:crc32c", "claywinch:state"];
    let (mut teller, numbers) = Client::with_contexts(&rig.broker.nbd, "tallies", &contexts).expect("both");
    let told = described(&mut teller, &numbers, 7, 2);
    assert_eq!(told, (vec![crc32c::crc32c(&block(77))], vec![(4096, 0)]), "its data tells its sum");
    rig.disk.flip("tallies", 7, 1);
    assert_eq!(read(&mut client, 7), spoiled(7));
    rig.disk.flip("tallies.sums", 2, 6 * 64 * 8 + 3);
    let block_of_entry = 64 + 6;
    assert_eq!(
        read(&mut client, block_of_entry),
        spoiled(block_of_entry),
        "the sums are damaged, not the data"
    );
    write(&mut client, block_of_entry, 9);
    assert_eq!(read(&mut client, block_of_entry), Reply::Done(block(9)));
    write(&mut client, 7, 8);
    assert_eq!(read(&mut client, 7), Reply::Done(block(8)));
}

/// Guards against a configuration that cannot be turned on where data is, or off again.
#[test]
fn data_that_was_there_before_is_served_and_its_sums_begin_with_its_writes() {
    let rig = rig("turned-on", Manner { structured: false, ..Manner::default() }, "");
    let mut client = rig.client();
    write(&mut client, 0, 1);
    write(&mut client, 1, 2);
    assert_eq!(client.read(10, 100).expect("a reply"), Reply::Done(block(1)[10..110].to_vec()));
    assert!(rig.disk.bytes("tallies.sums", 0, SIZE as usize).iter().all(|b| *b == 0), "at no cost");
    rig.broker.reload(&file(rig.disk.address(), ON));
    until("sums are open", || rig.broker.log().contains("sums opened"));
    assert!(matches!(client.read(10, 100).expect("a reply"), Reply::Error(EINVAL, ..)));
    assert_eq!(read(&mut client, 0), Reply::Done(block(1)));
    rig.disk.flip("tallies", 0, 0);
    assert!(matches!(read(&mut client, 0), Reply::Done(_)), "it has no sum yet");
    write(&mut client, 0, 3);
    rig.disk.flip("tallies", 0, 0);
    assert_eq!(read(&mut client, 0), spoiled(0));
    rig.broker.reload(&file(rig.disk.address(), ""));
    until("sums are off", || matches!(client.read(0, BLOCK as u32), Ok(Reply::Done(_))));
}

/// The order of what goes to the node is the promise: intent, data, settled.
#[test]
fn a_write_is_three_steps_and_a_read_of_what_is_known_is_one() {
    let rig = rig("steps", Manner::default(), ON);
    let mut client = rig.client();
    write(&mut client, 0, 1);
    rig.disk.seen();
    write(&mut client, 1, 2);
    let steps: Vec<(String, u16)> = rig.disk.seen().into_iter().map(|s| (s.export, s.command)).collect();
    let step = |name: &str| (name.to_string(), WRITE);
    assert_eq!(steps, [step("tallies.sums"), step("tallies"), step("tallies.sums")]);
    assert_eq!(read(&mut client, 1), Reply::Done(block(2)));
    assert_eq!(rig.disk.seen().len(), 1);
    assert_eq!(client.flush().expect("a reply"), Reply::Done(Vec::new()));
    assert_eq!(rig.disk.seen().len(), 2, "data and sums");
}

/// What can be said of blocks, by both contexts: the sums and states of a range from `first` on.
fn described(client: &mut Client, numbers: &[u32], first: u64, count: u32) -> (Vec<u32>, Vec<(u32, u32)>) {
    let reply = settled(|| client.status(first * BLOCK as u64, count * BLOCK as u32).expect("a reply"));
    let Reply::Status(all) = reply else { panic!("{reply:?}") };
    let of = |number: u32| all.iter().find(|(n, _)| *n == number).expect("a context").1.clone();
    let sums = of(numbers[0]);
    assert!(sums.iter().all(|(length, _)| *length == BLOCK as u32));
    (sums.into_iter().map(|(_, sum)| sum).collect(), of(numbers[1]))
}

/// Guards against sums that are kept and not carried: a reader can check for itself what it has read.
#[test]
fn readers_get_the_sums_of_what_they_read_and_bad_blocks_are_told_without_the_node() {
    let mut rig = rig("described", Manner::default(), ON);
    let contexts = ["claywinch:crc32c", "claywinch:state"];
    let connect =
        |rig: &Rig| Client::with_contexts(&rig.broker.nbd, "tallies", &contexts).expect("both are there");
    let (mut client, numbers) = connect(&rig);
    (0..70).for_each(|n| write(&mut client, n, n as u8));
    let (sums, states) = described(&mut client, &numbers, 0, 128);
    let expected: Vec<u32> = (0..70).map(|n| crc32c::crc32c(&block(n as u8))).collect();
    assert_eq!(sums, expected, "as far as there are sums");
    assert_eq!(states, [(70 * 4096, 0), (58 * 4096, 1)]);
    assert!(matches!(client.status(100 * BLOCK as u64, 4096).expect("a reply"), Reply::Error(95, ..)));

    rig.disk.flip("tallies", 9, 77);
    assert_eq!(read(&mut client, 9), spoiled(9));
    until("it is noted", || described(&mut client, &numbers, 8, 3).1 == [(4096, 0), (4096, 2), (4096, 0)]);
    rig.disk.seen();
    assert_eq!(read(&mut client, 9), spoiled(9));
    let asked = rig.disk.seen().into_iter().filter(|s| s.export == "tallies").count();
    assert_eq!(asked, 0, "the node is not asked for what is known to be bad");

    let status = client.status(9 * BLOCK as u64, 4096).expect("a reply");
    assert_eq!(status, Reply::Error(EIO, "checksum".to_string(), None), "there is no sum to be told");

    // It is known to the next broker, too, and ends with a write.
    until("the note is on the disk", || {
        rig.broker =
            Broker::start("described2", SETTINGS, &free_address(), Some(&file(rig.disk.address(), ON)));
        until("sums are open", || rig.broker.log().contains("sums opened"));
        described(&mut connect(&rig).0, &numbers, 8, 2).1 == [(4096, 0), (4096, 2)]
    });
    let (mut client, numbers) = connect(&rig);
    write(&mut client, 9, 99);
    assert_eq!(read(&mut client, 9), Reply::Done(block(99)));
    assert_eq!(described(&mut client, &numbers, 9, 1), (vec![crc32c::crc32c(&block(99))], vec![(4096, 0)]));
}

/// Guards against data that rots where nobody reads, and against a scrubber that begins anew with each start.
#[test]
fn the_scrubber_finds_what_nobody_reads_and_gives_old_data_its_sums() {
    let mut rig = rig("scrubbed", Manner::default(), ON);
    let mut client = rig.client();
    (0..100).for_each(|n| write(&mut client, n, n as u8));
    rig.disk.put("tallies", 200 * BLOCK as u64, &block(200));
    rig.disk.flip("tallies", 60, 5);
    rig.disk.flip("tallies", 99, 5);
    // All of it in a second.
    let quick = scrubbed_file(rig.disk.address(), ON, 1.0 / 86_400.0);
    rig.broker = Broker::start("scrubbed2", SETTINGS, &free_address(), Some(&quick));
    let contexts = ["claywinch:state"];
    let mut client = None;
    until("the front listens", || {
        client = Client::with_contexts(&rig.broker.nbd, "tallies", &contexts).ok();
        client.is_some()
    });
    let (mut client, _) = client.expect("just connected");
    let mut states = |first: u64, count: u32| {
        let reply = settled(|| client.status(first * BLOCK as u64, count * BLOCK as u32).expect("a reply"));
        let Reply::Status(all) = reply else { panic!("{reply:?}") };
        all[0].1.clone()
    };
    until("both are found", || states(60, 1) == [(4096, 2)] && states(99, 1) == [(4096, 2)]);
    until("the rest has sums", || states(100, 156) == [(156 * 4096, 0)]);
    let listed = claywinch(&["integrity", "list", &rig.broker.nbd, "tallies"]).expect("a list");
    assert_eq!(
        listed,
        "245760 +4096: bad\n405504 +4096: bad\nblocks: sound 254, without a sum 0, bad 2, in doubt 0\n"
    );
    rig.disk.flip("tallies", 200, 5);
    let mut client = rig.client();
    assert_eq!(read(&mut client, 200), spoiled(200), "what was there before has a sum now");
}

/// What a command prints; or what it complains of.
fn claywinch(words: &[&str]) -> Result<String, String> {
    let done =
        std::process::Command::new(env!("CARGO_BIN_EXE_claywinch")).args(words).output().expect("it runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    if done.status.success() {
        Ok(text(done.stdout))
    } else {
        Err(text(done.stderr))
    }
}

/// Guards against a configuration whose fault shows only when it is in force.
#[test]
fn a_configuration_is_checked_with_file_key_and_reason() {
    let path = std::env::temp_dir().join(format!("claywinch-check-{}.toml", std::process::id()));
    let path = path.to_str().expect("a path");
    let check = |text: &str| {
        std::fs::write(path, text).expect("a file");
        claywinch(&["integrity", "check", path])
    };
    let good = file("127.0.0.1:9", ON);
    assert_eq!(
        check(&good).expect("it is good"),
        "tallies: needs tallies.sums of 20480 bytes or more on its node\ntallies: not scrubbed by this broker\n"
    );
    let cases = [
        (good.replace("crc32c", "md5"), "md5"),
        (
            good.replace("size = 1048576", "size = 1048577"),
            "export tallies: integrity: size must be a multiple",
        ),
        (format!("brokers = 3\n{good}"), "export tallies: integrity: with several brokers, own_broker"),
        (format!("brokers = 9\n{good}").replace("late_ms", "own_broker = 1\nlate_ms"), "at most 5 brokers"),
        (good.replace("late_ms", "own_broker = 2\nlate_ms"), "own_broker under [integrity] must be from 1"),
        (good.replace("scrub_days = 0", "scrub_days = -1"), "scrub_days under [integrity]"),
        (good.replace("late_ms", "lately_ms"), "lately_ms"),
    ];
    for (text, reason) in cases {
        let error = check(&text).expect_err(reason);
        assert!(error.contains(path) && error.contains(reason), "{reason}: {error}");
    }
    std::fs::remove_file(path).expect("it is there");
    assert!(claywinch(&["integrity", "check", path]).expect_err("it is gone").contains("no such file"));
    assert!(claywinch(&["integrity", "list", &free_address(), "tallies"]).is_err());
}

/// Guards against a scrubber in the way: reads that come while it works, at a node that stands still.
#[test]
fn the_scrubber_has_one_read_out_and_none_while_live_work_is_held() {
    let manner = Manner { service_us: 3_000.0, ..Manner::default() };
    let rig = scrubbed_rig("yields", manner, ON, 0.2 / 86_400.0);
    let mut client = rig.client();
    (0..4).for_each(|n| write(&mut client, n, n as u8));
    let reads =
        |rig: &Rig| rig.disk.seen().iter().filter(|s| s.export == "tallies" && s.length > 4096).count();
    reads(&rig);
    // How long it takes for some reads alone, on whatever machine; beside live work as long brings a few at most, where
    // this test's own threads had to wait.
    let (begun, mut alone) = (Instant::now(), 0);
    until("it scrubs", || {
        alone += reads(&rig);
        alone >= 16
    });
    let time = begun.elapsed();
    // A client that is never done, on a node that takes its time.
    let (_, mut asker, mut listener) =
        claywinch_lab::client::connect(&rig.broker.nbd, "tallies", true).expect("connects");
    for _ in 0..8 {
        asker.send(0, 0, 0, BLOCK as u32, Vec::new()).expect("asks");
    }
    reads(&rig);
    let end = Instant::now() + time;
    while Instant::now() < end {
        listener.reply().expect("a reply");
        asker.send(0, 0, 0, BLOCK as u32, Vec::new()).expect("asks");
    }
    let beside = reads(&rig);
    assert!(beside * 4 <= alone, "alone {alone}, beside live work {beside}");
    asker.close();

    // Nor at a node that is being drained, or has just started.
    let drained = scrubbed_file(rig.disk.address(), ON, 0.2 / 86_400.0) + "    state = \"draining\"\n";
    rig.broker.reload(&drained);
    until("it is in force", || rig.broker.log().matches("configuration in force").count() == 2);
    std::thread::sleep(Duration::from_millis(50));
    reads(&rig);
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(reads(&rig), 0, "a node that is drained");
    let started =
        scrubbed_file(rig.disk.address(), ON, 0.2 / 86_400.0) + &format!("    up_since_ms = {}\n", unix_ms());
    rig.broker.reload(&started);
    until("it is in force", || rig.broker.log().matches("configuration in force").count() == 3);
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(reads(&rig), 0, "a node that is cold");
    rig.broker.reload(&scrubbed_file(rig.disk.address(), ON, 0.2 / 86_400.0));
    until("it goes on", || reads(&rig) > 0);
}

/// Guards against writes that are held off after a restart in order, and against those that are not after a crash.
#[test]
fn a_broker_that_ends_in_order_leaves_nothing_to_wait_for() {
    let mut rig = rig("in-order", Manner::default(), ON);
    let mut client = rig.client();
    write(&mut client, 1, 1);
    drop(client);
    rig.broker.signal("-TERM");
    assert!(rig.broker.child.wait().expect("it ends").success());
    rig.broker = Broker::start("in-order2", SETTINGS, &free_address(), Some(&file(rig.disk.address(), ON)));
    until("sums are open", || rig.broker.log().contains("sums opened"));
    assert!(rig.broker.log().contains("life=2 wait_ms=0"), "{}", rig.broker.log());
    let mut client = rig.client();
    assert_eq!(client.write(0, block(2)).expect("a reply"), Reply::Done(Vec::new()), "at once");
    drop(client);
    rig.broker.signal("-KILL");
    let _ = rig.broker.child.wait();
    rig.broker = Broker::start("in-order3", SETTINGS, &free_address(), Some(&file(rig.disk.address(), ON)));
    until("sums are open", || rig.broker.log().contains("sums opened"));
    assert!(rig.broker.log().contains("life=3 wait_ms=500"), "{}", rig.broker.log());
    let refused = rig.client().write(0, block(3)).expect("a reply");
    assert!(matches!(refused, Reply::Error(ENOMEM, ..)), "{refused:?}");
}

/// Guards against memory that grows with an export, or with what is used of it.
#[test]
fn memory_is_bounded_whatever_the_size_of_an_export() {
    const TIB: u64 = 1 << 40;
    let disk = Disk::start(None, &[("tallies", TIB), ("tallies.sums", TIB / 32)], Manner::default());
    let disk = disk.expect("a node");
    let serves = claywinch_lab::broker::Serves {
        export: "tallies".to_string(),
        size: TIB,
        integrity: true,
        node: disk.address().to_string(),
        late_ms: 500,
        memory_mb: 32,
        sums_kb: 1024,
        scrub_days: 1.0,
    };
    let folder = std::env::temp_dir().join(format!("claywinch-large-{}", std::process::id()));
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_claywinch"));
    let broker = claywinch_lab::broker::Broker::start(program, &folder, &serves).expect("a broker");
    let mut client = Client::connect(&broker.nbd, "tallies", true).expect("connects");
    let place = |i: u64| i * 104_729 * 64 % (TIB / BLOCK as u64);
    for i in 0..800 {
        write(&mut client, place(i), i as u8);
    }
    for i in 0..800 {
        assert_eq!(read(&mut client, place(i)), Reply::Done(block(i as u8)));
    }
    let peak = broker.peak_kb();
    assert!(peak > 0 && peak < 32 * 1024, "{peak} KiB");
    disk.close();
}

/// Guards against a node in whose place another was put that has an older copy of the data.
#[test]
fn an_older_copy_of_the_data_is_not_served() {
    let rig = rig("older", Manner::default(), ON);
    let mut client = rig.client();
    (0..4).for_each(|n| write(&mut client, n, 1));
    let copy = rig.disk.bytes("tallies", 0, 4 * BLOCK);
    (0..2).for_each(|n| write(&mut client, n, 2));
    rig.disk.put("tallies", 0, &copy);
    (0..2).for_each(|n| assert_eq!(read(&mut client, n), spoiled(n)));
    (2..4).for_each(|n| assert_eq!(read(&mut client, n), Reply::Done(block(1)), "it has not changed since"));
}
