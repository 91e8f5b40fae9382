//! The lab's command line.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use claywinch_lab::detectors::compare;
use claywinch_lab::disk::{Disk, Manner};
use claywinch_lab::experiment::{Arm, Experiment, ExperimentError};
use claywinch_lab::load::{Class, Kind};
use claywinch_lab::rig::{Came, Rig, Schedule, Times};
use claywinch_lab::scale::file::{File, Other};
use claywinch_lab::scale::run::{self as scale_run, Hosts, Means};
use claywinch_lab::scale::ScaleError;
use claywinch_lab::simulated::{name, Link};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};

#[derive(Parser)]
#[command(version, about = "Stand-ins, load and experiments for claywinch")]
struct Arguments {
    /// The broker's program.
    #[arg(long, default_value = "target/release/claywinch", global = true)]
    broker: PathBuf,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Runs a stand-in disk node until it is ended.
    Disk {
        /// Where it listens.
        #[arg(long, default_value = "127.0.0.1:10810")]
        listen: String,
        /// An export and its size in MiB, such as `tallies=64`; its companion comes with it.
        #[arg(long = "export", default_value = "tallies=64")]
        exports: Vec<String>,
        /// Stalls as storage nodes do: 63 to 190 ms every 4 to 9 s.
        #[arg(long)]
        stalls: bool,
    },
    /// Starts a broker, a node and a load on it, spoils some of what the node holds, and shows what came of it.
    Demo {
        /// How long it plays.
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
    },
    /// Ways to find out who is gone, side by side in simulation.
    Membership {
        /// Trials of each.
        #[arg(long, default_value_t = 20)]
        trials: u64,
        /// The folder that results are kept in.
        #[arg(long, default_value = "docs/results/membership")]
        results: PathBuf,
    },
    /// Five brokers of a cluster, one of which is cut off: what each of them thinks.
    ClusterDemo,
    /// Plays schedules of faults among the brokers of a cluster, and prints a timeline of what broke.
    Cluster {
        /// The file that says what is played.
        file: PathBuf,
    },
    /// Plays one cluster of hollow brokers, many in a process, beside real ones, with regions between them.
    Scale {
        /// The file that says what is played.
        file: PathBuf,
        /// Another build of this program, as host of the hollow brokers.
        #[arg(long)]
        hollow: Option<PathBuf>,
        /// How many hollow brokers, in the place of what the file says.
        #[arg(long)]
        hollow_count: Option<usize>,
        /// How many processes host them, in the place of what the file says.
        #[arg(long)]
        hosts: Option<usize>,
        /// How many real brokers, in the place of what the file says.
        #[arg(long)]
        real: Option<usize>,
        /// What the results call the program that was run.
        #[arg(long, default_value = "this")]
        arm: String,
        /// The folder below which results are kept; without it, nothing is kept.
        #[arg(long)]
        results: Option<PathBuf>,
        /// How often it is played.
        #[arg(long, default_value_t = 1)]
        runs: u64,
    },
    /// Hosts hollow brokers, as it is told by its standard input.
    #[command(hide = true)]
    Hollow,
    /// Plays an experiment and keeps its tables and charts.
    Experiment {
        /// The file that says what is played.
        file: String,
        /// The folder below which results are kept.
        #[arg(long, default_value = "docs/results")]
        results: PathBuf,
    },
}

fn demo(seconds: f64) -> Experiment {
    use claywinch_lab::disk::Fault;
    let class =
        |name: &str, kind, rate, blocks, aim_ms| Class { name: name.to_string(), kind, rate, blocks, aim_ms };
    let faults = [Fault::FlipData, Fault::LostWrite, Fault::FlipOnWire].map(|f| (f, 0.002)).into();
    let manner = Manner { faults, ..Manner::default().with_usual_stall() };
    let arm = |name: &str, integrity| Arm {
        name: name.to_string(),
        integrity,
        sums_kb: 1024,
        scrub_days: 0.0,
        kill_ms: (0, 0),
        crash_ms: (0, 0),
        hang_ms: (0, 0),
        hang_for_ms: 0,
        manner: manner.clone(),
    };
    Experiment {
        name: "demo".to_string(),
        seed: 1,
        rounds: 1,
        seconds: seconds / 2.0,
        warmup: 0.0,
        connections: 8,
        export_mb: 16,
        late_ms: 500,
        memory_mb: 192,
        sweep: true,
        classes: vec![
            class("page-read", Kind::Read, 400.0, (1, 4), 200.0),
            class("tally-write", Kind::Write, 60.0, (1, 1), 250.0),
        ],
        arms: vec![arm("unchecked", false), arm("checked", true)],
    }
}

/// Each broker's view, as it tells it.
fn show(rig: &Rig) {
    for broker in 0..rig.len() {
        match rig.said(broker) {
            None => println!("  {}: does not answer", name(broker)),
            Some(said) => {
                let members: Vec<String> = said
                    .members
                    .iter()
                    .map(|m| {
                        format!(
                            "{}/{}{}",
                            m.name,
                            m.incarnation,
                            if m.state == "alive" { "" } else { m.state.as_str() }
                        )
                    })
                    .collect();
                let leads = if said.leads { ", leads the voters" } else { "" };
                println!(
                    "  {}: view {}, {}{leads}: {}",
                    name(broker),
                    said.view,
                    said.phase,
                    members.join(" ")
                );
            }
        }
    }
}

fn cluster_demo(program: &Path) -> std::io::Result<()> {
    let folder = std::env::temp_dir().join(format!("claywinch-rig-{}", std::process::id()));
    let mut rig = Rig::new(program, &folder, 5, 3, Times::default())?;
    (0..5).try_for_each(|b| rig.start(b))?;
    let wait = std::time::Duration::from_secs;
    println!("Five brokers start.");
    rig.within(wait(10), Rig::agree);
    show(&rig);
    println!("Nothing that {} sends reaches the others any more; it still hears them.", name(4));
    (0..4).for_each(|b| rig.link(4, b, Link::CUT));
    rig.within(wait(15), |r| r.said(0).is_some_and(|s| !s.names().contains(&name(4))));
    std::thread::sleep(wait(1));
    show(&rig);
    println!("The link is mended.");
    rig.mend();
    rig.within(wait(15), Rig::agree);
    show(&rig);
    Ok(())
}

fn run(arguments: Arguments) -> Result<(), ExperimentError> {
    let io = |what: String| move |error| ExperimentError::Io(what, error);
    match arguments.what {
        What::Disk { listen, exports, stalls } => {
            let mut all = Vec::new();
            for text in exports {
                let parsed = text
                    .split_once('=')
                    .and_then(|(name, mb)| Some((name.to_string(), mb.parse::<u64>().ok()?)));
                let (name, mb) = parsed.ok_or_else(|| {
                    ExperimentError::Content(text.clone(), "an export is NAME=MIB".to_string())
                })?;
                all.push((name.clone(), mb << 20));
                all.push((format!("{name}.sums"), (mb << 16) + (1 << 20)));
            }
            let exports: Vec<(&str, u64)> = all.iter().map(|(n, s)| (n.as_str(), *s)).collect();
            let manner = if stalls { Manner::default().with_usual_stall() } else { Manner::default() };
            let disk = Disk::start(Some(&listen), &exports, manner).map_err(io(listen.clone()))?;
            disk.under_load();
            println!("listening on {}", disk.address());
            loop {
                std::thread::park();
            }
        }
        What::Demo { seconds } => {
            println!("A node that spoils data, first without sums and then with them.\n");
            for played in demo(seconds).play(&arguments.broker)? {
                let sum =
                    |f: fn(&claywinch_lab::load::Result) -> u64| played.classes.iter().map(f).sum::<u64>();
                println!(
                    "\n{}: {} requests served, {} of them with WRONG BYTES; {} answered with an error for what came.\n\
                     Afterwards {} blocks stood wrong on the disk; read one by one, {} came as wrong bytes and {} as errors.",
                    played.arm, sum(|c| c.served), sum(|c| c.wrong), sum(|c| c.spoiled), played.bad, played.swept[2], played.swept[1]
                );
            }
            Ok(())
        }
        What::Membership { trials, results } => compare(&results, trials)
            .map_err(|reason| ExperimentError::Content(results.display().to_string(), reason)),
        What::ClusterDemo => cluster_demo(&arguments.broker).map_err(io("the rig".to_string())),
        What::Cluster { file } => {
            let text = std::fs::read_to_string(&file).map_err(io(file.display().to_string()))?;
            let schedule: Schedule = toml::from_str(&text)
                .map_err(|e| ExperimentError::Content(file.display().to_string(), e.to_string()))?;
            let folder = std::env::temp_dir().join(format!("claywinch-rig-{}", std::process::id()));
            let bad = AtomicU64::new(0);
            schedule.play_all(&arguments.broker, &folder, |seed, played| {
                let (came, timeline) = played.unwrap_or_else(|error| {
                    (Came { broken: vec![error.to_string()], ..Came::default() }, String::new())
                });
                let Came { broken, views, removed, faults } = came;
                let (out, broke) = (removed.len(), broken.len());
                println!("seed {seed}: {faults} faults, {views} views, {out} left out, {broke} broken");
                if broke > 0 {
                    bad.fetch_add(1, Ordering::Relaxed);
                    println!("{}\n{timeline}", broken.join("\n"));
                }
            });
            let _ = std::fs::remove_dir_all(&folder);
            let bad = bad.into_inner();
            println!("{} runs, {bad} of them with something broken", schedule.runs);
            if bad > 0 {
                return Err(ExperimentError::Content(
                    file.display().to_string(),
                    "something broke".to_string(),
                ));
            }
            Ok(())
        }
        What::Scale { file, hollow, hollow_count, hosts, real, arm, results, runs } => {
            let scale =
                |error: ScaleError| ExperimentError::Content(file.display().to_string(), error.to_string());
            let other = Other { hollow: hollow_count, hosts, real };
            let played = File::read(&file, other).map_err(scale)?;
            let program = hollow.unwrap_or_else(scale_run::own_program);
            let stop = claywinch_lab::scale::told_to_end().map_err(scale)?;
            let mut bad = 0;
            for run in 1..=runs {
                let begun = std::time::Instant::now();
                let mut told = |text: &str| println!("{:8.2} s  {text}", begun.elapsed().as_secs_f64());
                let means = Means {
                    broker: arguments.broker.clone(),
                    hosts: Hosts::Processes(program.clone()),
                    folder: scale_run::folder(),
                    stop: stop.clone(),
                };
                println!("{}, run {run} of {runs}, {arm}", played.name);
                let came = scale_run::play(&played, &means, &mut told).map_err(scale)?;
                println!("\n{}", came.table());
                if let Some(results) = &results {
                    println!("kept in {}", came.keep(results, &played.name, &arm).map_err(scale)?.display());
                }
                bad += came.broken.len();
            }
            if bad > 0 {
                return Err(ExperimentError::Content(
                    file.display().to_string(),
                    "something broke".to_string(),
                ));
            }
            Ok(())
        }
        What::Hollow => {
            claywinch_lab::scale::host::log_to_nowhere();
            let host = claywinch_lab::scale::host::run(std::io::stdin(), std::io::stdout());
            host.map_err(|e| ExperimentError::Content("hollow".to_string(), e.to_string()))
        }
        What::Experiment { file, results } => {
            let experiment = Experiment::read(&file)?;
            let played = experiment.play(&arguments.broker)?;
            println!("kept in {}", experiment.keep(&results, &played)?.display());
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
