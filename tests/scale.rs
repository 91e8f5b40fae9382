//! A small scale run: hollow brokers on the program's own driver beside real ones, and the checkers of such runs.

use claywinch_lab::scale::checks::{Change, Evidence};
use claywinch_lab::scale::file::{File, Other};
use claywinch_lab::scale::host::Whole;
use claywinch_lab::scale::relay::between;
use claywinch_lab::scale::results::{Came, KindRow, Row, RUNS};
use claywinch_lab::scale::run::{folder, play, Hosts, Means};
use claywinch_lab::scale::usage::Machine;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// A cut of three seconds under a silence of six: nobody may be left out.
const PLAYED: &str = r#"
name = "test"
seconds = 30
hollow = 30
real = 3
hosts = 2
voters = 5
turn_late_ms = 5000
regions = [
    { name = "r1", zones = [{ name = "a", racks = 1 }, { name = "b", racks = 2 }] },
    { name = "r2", zones = [{ name = "c", racks = 1 }] },
    { name = "r3", zones = [{ name = "d", racks = 1 }] },
    { name = "r4", zones = [{ name = "e", racks = 1 }] },
    { name = "r5", zones = [{ name = "f", racks = 1 }] },
]
[links]
within_zone_ms = 0.2
within_region_ms = 1.0
between_ms = [10.0, 30.0]
loss = 0.02
jitter_ms = 2.0
[times]
silence_ms = 8000
lease_ms = 2000
[[step]]
at_s = 0
mark = "changes"
[[step]]
at_s = 0
changes = { count = 4, over_s = 1 }
[[step]]
at_s = 0
mark = "region"
[[step]]
at_s = 0
cut = { region = "r2", for_s = 3, changes = 2 }
"#;

/// Guards against a region whose short absence throws somebody out, a drain that one who is cut off misses, a view that
/// splits, and a cluster that does not come together again; with the program's driver in both its hosts.
#[test]
fn a_region_cut_for_less_than_the_silence_loses_nobody_and_misses_no_drain() {
    let file = File::parse(PLAYED, Other::default()).expect("a file");
    let broker = Path::new(env!("CARGO_BIN_EXE_claywinch")).to_path_buf();
    let means = Means { broker, hosts: Hosts::Threads, folder: folder(), stop: Default::default() };
    let mut heard = Vec::new();
    let came = play(&file, &means, &mut |text| heard.push(text.to_string())).expect("plays");
    let said = || format!("{}\n{}", heard.join("\n"), came.table());
    assert!(came.broken.is_empty() && came.partial.is_empty(), "{}", said());
    let row = |phase: &str, role: &str, quantity: &str| {
        let mut rows = came.rows.iter();
        rows.find(|r| (r.phase.as_str(), r.role, r.quantity) == (phase, role, quantity))
            .unwrap_or_else(|| panic!("no {phase} {role} {quantity}\n{}", said()))
    };
    assert_eq!(row("region", "all", "removed").worst, 0.0, "{}", said());
    assert!(row("changes", "all", "in_force_ms").count >= 4 * 30, "{}", said());
    assert_eq!(row("region-back", "all", "agree_ms").count, 1, "{}", said());
    assert!(row("region", "all", "lapsed_ms").count > 0, "those cut off had no lease\n{}", said());
    for role in ["broker", "voter", "real"] {
        assert!(row("changes", role, "bytes_out_s").median > 0.0, "{}", said());
    }
    assert!(came.kinds.iter().any(|k| k.kind == "probe"), "{}", said());
}

/// Guards against a run that begins with what cannot be, and fails late or measures nothing.
#[test]
fn a_file_that_cannot_be_played_is_refused_by_its_key() {
    let zone = "{ name = \"c\", racks = 1 }";
    for (from, to, key) in [
        ("seconds = 30", "seconds = 30\nsurprise = 1", "surprise"),
        ("hollow = 30", "hollow = 0", "hollow"),
        ("hosts = 2", "hosts = 0", "hosts"),
        ("voters = 5", "voters = 0", "voters"),
        ("hollow = 30", "hollow = 20000", "hollow"),
        ("hosts = 2", "hosts = 2\naddress = \"10.0.0.1\"", "address"),
        (zone, "", "regions"),
        (zone, "{ name = \"c\", racks = 0 }", "racks"),
        (zone, "{ name = \"a\", racks = 1 }", "regions"),
        ("loss = 0.02", "loss = 1.5", "loss"),
        ("[10.0, 30.0]", "[30.0, 10.0]", "between_ms"),
        ("jitter_ms = 2.0", "jitter_ms = -1.0", "jitter_ms"),
        ("region = \"r2\"", "zone = \"nowhere\"", "zone"),
        ("region = \"r2\"", "rack = \"b/7\"", "cut"),
        ("mark = \"changes\"", "mark = \"changes\"\nstart = true", "step 0"),
        ("changes = { count = 4", "changes = { count = 0", "changes"),
    ] {
        assert!(PLAYED.contains(from), "{from}");
        let text = PLAYED.replacen(from, to, 1);
        let refused = File::parse(&text, Other::default()).expect_err(&text).to_string();
        assert!(refused.contains(key), "{refused}");
    }
    let file = File::parse(PLAYED, Other::default()).expect("a file");
    let plenty = Machine { memory_mb: 8_000, files: 20_000 };
    assert!(file.bears(&plenty).is_ok());
    for (machine, word) in
        [(Machine { memory_mb: 50, ..plenty }, "memory"), (Machine { files: 64, ..plenty }, "descriptors")]
    {
        assert!(file.bears(&machine).expect_err("too much").to_string().contains(word));
    }
    let many = File::parse(&PLAYED.replace("real = 3", "real = 300"), Other::default()).expect("a file");
    assert!(many.bears(&plenty).expect_err("too many").to_string().contains("processes"));
}

/// Guards against schedules that are kept and cannot be played.
#[test]
fn the_files_that_are_kept_are_good() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("crates/lab/scale");
    let mut files = 0;
    for path in std::fs::read_dir(folder).expect("a folder").flatten().map(|e| e.path()) {
        let file = File::read(&path, Other::default()).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        let regions: BTreeSet<usize> =
            file.placement().places[..file.voters].iter().map(|p| p.region).collect();
        assert_eq!(regions.len(), file.voters.min(file.regions.len()), "voters in as many regions");
        files += 1;
    }
    assert!(files >= 2);
    let far = |a, b| between(7, a, b, (20.0, 300.0));
    assert_eq!([far(0, 1), far(0, 6), far(0, 3), far(0, 4)], [20.0, 20.0, 300.0, 300.0]);
}

const S: u64 = 1_000_000_000;

fn nodes(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|n| n.to_string()).collect()
}

/// One drain told at 10 s; a broker that has it in force at `at`, unless it is halted or dead before.
fn drained(act: impl Fn(&mut Evidence)) -> Vec<String> {
    let mut seen = Evidence::default();
    let change = Change { node: "n".to_string(), out: true, asked: 9 * S, acked: Some(10 * S) };
    seen.changes.push(change);
    seen.runs(S, "b0001", true);
    seen.halted(2 * S, "b0001", false);
    act(&mut seen);
    seen.drains_missed(3 * S, 30 * S)
}

/// The checker of drains proves itself on made histories.
#[test]
fn one_that_may_send_to_a_drained_node_too_late_is_caught() {
    let in_force = |at: u64| move |e: &mut Evidence| drop(e.in_force(at, "b0001", &nodes(&["n"])));
    assert!(drained(in_force(12 * S)).is_empty(), "in force in time");
    assert_eq!(drained(in_force(14 * S)).len(), 1, "too late");
    assert_eq!(drained(|_| ()).len(), 1, "never");
    assert!(drained(|e| e.halted(12 * S, "b0001", true)).is_empty(), "its lease is over");
    let again = |e: &mut Evidence| {
        e.halted(12 * S, "b0001", true);
        e.halted(20 * S, "b0001", false);
    };
    assert_eq!(drained(again).len(), 1, "a lease again, and still not in force");
    assert!(drained(|e| e.runs(11 * S, "b0001", false)).is_empty(), "it died");
    let restarted = |e: &mut Evidence| {
        e.in_force(11 * S, "b0001", &nodes(&["n"]));
        e.runs(15 * S, "b0001", true);
        e.halted(16 * S, "b0001", false);
    };
    assert_eq!(drained(restarted).len(), 1, "a new life without it");
    let back = |e: &mut Evidence| {
        e.changes.push(Change { node: "n".to_string(), out: false, asked: 12 * S, acked: Some(13 * S) });
    };
    assert!(drained(back).is_empty(), "it was asked back before");
}

/// The checkers of views and of who is left out prove themselves on made histories.
#[test]
fn a_view_that_splits_or_goes_back_and_a_healthy_one_left_out_are_caught() {
    let whole = |number: u64, members: &[(&str, u64)]| Whole {
        number,
        members: members.iter().map(|(n, i)| (n.to_string(), *i)).collect(),
        drains: BTreeSet::new(),
    };
    let (one, two) = (whole(1, &[("a", 1), ("b", 1)]), whole(2, &[("a", 1)]));
    let both = |views: &[(&str, &Whole)]| {
        let mut seen = Evidence::default();
        views.iter().enumerate().for_each(|(i, (by, v))| seen.view((i as u64 + 1) * S, by, v));
        seen
    };
    let good = both(&[("a", &one), ("b", &one), ("a", &two), ("a", &two)]);
    assert!(good.broken().is_empty());
    assert_eq!(both(&[("a", &two), ("a", &one)]).broken().len(), 1, "goes back");
    assert_eq!(both(&[("a", &one), ("b", &whole(1, &[("a", 1)]))]).broken().len(), 1, "splits");
    assert_eq!(both(&[("a", &two), ("b", &whole(3, &[("a", 0)]))]).broken().len(), 1, "an old incarnation");
    assert_eq!(good.removed_healthy(&BTreeMap::new()).len(), 1);
    let touched = |to| BTreeMap::from([("b".to_string(), vec![(S, to)])]);
    assert!(good.removed_healthy(&touched(4 * S)).is_empty());
    assert_eq!(good.removed_healthy(&touched(2 * S)).len(), 1, "left alone again since");
}

/// Guards against times that are read of the wrong pairs, and lapses that are not counted.
#[test]
fn times_until_in_force_and_lapses_are_read_of_what_was_seen() {
    let mut seen = Evidence::default();
    for name in ["b0001", "b0002", "b0003"] {
        seen.runs(S, name, true);
        seen.halted(2 * S, name, false);
    }
    seen.changes.push(Change { node: "n".to_string(), out: true, asked: 9 * S, acked: Some(10 * S) });
    assert_eq!(seen.in_force(12 * S, "b0001", &nodes(&["n"])), [("n".to_string(), true)]);
    assert!(seen.in_force(13 * S, "b0001", &nodes(&["n"])).is_empty(), "told twice");
    let times = seen.in_force_times(0..1, |name, _| name != "b0003");
    assert_eq!(times, [Some(2 * S), None]);
    seen.halted(14 * S, "b0002", true);
    seen.halted(16 * S, "b0002", false);
    assert_eq!(seen.lapses(0, 30 * S), [2 * S]);
    assert_eq!(seen.lapses(15 * S, 30 * S), [S]);
    let log = "2026-01-01T00:00:01.500000Z  INFO x: view view=7 origin=7 phase=Member members=\"a/1\" voters=\"\" drains=\"n,m\"\n\
               2026-01-01T00:00:02.000000Z  INFO x: lease view=7 halted=false\n";
    seen.runs(S, "b0004", true);
    assert_eq!(seen.log("b0004", log), 1);
    assert_eq!(seen.views(), 1);
    let at = 1_767_225_601_500_000_000;
    seen.changes.push(Change { node: "m".to_string(), out: true, asked: at - S, acked: Some(at - S) });
    assert_eq!(seen.in_force_times(1..2, |name, _| name == "b0004"), [Some(S)]);
}

/// Guards against results that are written over, lose their run's number, or cannot be drawn.
#[test]
fn results_of_several_runs_stand_in_one_table_with_their_plots() {
    let results = folder();
    for (hollow, share) in [(30, 0.2), (30, 0.3), (60, 0.4)] {
        let mut came = Came { hollow, real: 3, ..Came::default() };
        came.rows.push(Row::of("idle", "broker", "cpu_share", "%", &[share, 0.9]));
        let kind = KindRow {
            phase: "idle".to_string(),
            kind: "probe".to_string(),
            datagrams_s: 16.0,
            bytes_s: 900.0,
        };
        came.kinds.push(kind);
        came.keep(&results, "t", "this").expect("is kept");
    }
    let read = |file: &str| std::fs::read_to_string(results.join("scale/t").join(file)).expect(file);
    let lines: Vec<String> = read("runs.csv").lines().map(str::to_string).collect();
    assert_eq!(lines[0], RUNS);
    assert_eq!(lines[1], "this,1,33,30,3,idle,broker,cpu_share,%,0.2000,0.9000,0.9000,2,false");
    assert!(lines[2].starts_with("this,2,33,") && lines[3].starts_with("this,1,63,"), "{lines:?}");
    assert_eq!(read("kinds.csv").lines().count(), 4);
    assert!(read("cpu_share-by-size.svg").contains("polyline"));
    std::fs::remove_dir_all(results).expect("goes");
}
