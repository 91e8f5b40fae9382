//! Two dozen broker processes before the same servers and one discovery, each under faults of its own that a seed draws and that
//! overlap: a proxy that resets, closes, holds back and mutes one direction, on the clients' side and before some servers; pauses,
//! signals in series, new settings, LEAVE and JOIN, upgrades on an inherited socket, restarts on the same address, kills; system
//! calls, the wall clock and the folder failing or slow; crowds of idle connections; servers that break, hang, answer twice, in
//! pieces or with large values, that drain and that come back cold. Clients use open connections until the kill, at its earliest.
//!
//! `SOAK_FROM` and `SOAK_COUNT` name other seeds, `SOAK_PROGRAM` another program, `SOAK_LOGS` a folder for logs.

use claywinch_lab::fleet::audit::{Audit, Breach, ColdTerms, Counts};
use claywinch_lab::fleet::clients::{Clients, Traffic};
use claywinch_lab::fleet::discovery::{Discovery, Manner, Member};
use claywinch_lab::fleet::kernel::TcpCounters;
use claywinch_lab::fleet::process::{Launch, Process};
use claywinch_lab::fleet::servers::{Behaviour, Servers};
use claywinch_lab::fleet::{proxy, Draw, Lateness, RunClock};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;

/// Brokers and servers of a run.
const BROKERS: usize = 24;
/// See `BROKERS`.
const SERVERS: usize = 24;
/// Seconds of traffic before brokers are told to stop.
const LENGTH: f64 = 9.0;
/// Seconds from SIGTERM to SIGKILL beside the longest deadline.
const AFTER_DEADLINE: f64 = 0.7;
/// Seconds after SIGTERM for which new connections are taken.
const STILL_ACCEPTED: f64 = 0.4;
/// Seconds from a drain to the last request that may begin there: what discovery has told counts after 6 s at the latest,
/// then the grace of the settings, then the slack of the sockets' rules.
const DRAINED: f64 = 6.0 + 1.0 + 0.1;
/// Seeds that CI plays.
const SEEDS: u64 = 3;
/// Descriptors of a process: a crowd is larger than what that leaves for clients.
const SOCKETS: usize = 256;
/// Breaches of one kind that are shown.
const MOST_SAID: usize = 6;
/// Idle connections of a crowd.
const CROWD: usize = 240;
/// Seconds of traffic until discovery is in trouble, and for how long it is.
const TROUBLE: f64 = 3.0;
/// See `TROUBLE`.
const TROUBLE_LASTS: f64 = 2.0;
/// Seconds within which brokers have what discovery tells at once, and within which they ask again after a failed call.
const SOON: f64 = 0.2;
/// See `SOON`.
const ASKED_AGAIN: f64 = 1.5;
/// Part of its budget that a cold server may get from all brokers together.
const COLD_BOUND: f64 = 1.0;
/// Units that a cold server bears, their mean for a request, the part of its capacity that it starts with, seconds until it is
/// warm and the window, as the settings say.
const COLD: ColdTerms = ColdTerms { units: 24.0, mean_units: 2.0, from: 0.15, cold: 8.0, window: 1.5 };

fn settings(number: usize, deadline: f64) -> String {
    let class = |name: &str, credit: f64, effect: &str| {
        format!(
            r#"{{"name":"{name}","promise_s":0.3,"deadline_s":{deadline},"credit":{credit},"late_worth":0.2,"effect":"{effect}"}}"#
        )
    };
    let (read, save) = (class("read", 2.0, "free"), class("save", 3.0, "single_shot"));
    format!(
        r#"{{"balancers":{BROKERS},"my_number":{number},"localities":["a"],"registry_mode":"on_request",
        "bounds":{{"most_tries":4,"second_copies":false,"cancel":true,"probes":false,"retry_after":true,
          "max_retry_after_s":2.0,"conn_idle_s":10.0,"connect_timeout_s":0.25,"multiplex":16}},
        "contracts":[{{"name":"standard","base_rate":500.0,"parts":1.0,"price":1.0,"floor_rate":400.0}}],
        "extra":{{"usual_units":2.0,"largest":16,"fair_worth":0.4,"spare_worth":0.05,"young_limit":24.0}},
        "rules":{{"start_capacity":0.15,"cold_s":8.0,"tip_after_s":1.5,"ask_every_s":5.0,"stop_sending_within_s":1.0}},
        "services":[{read},{save}]}}"#
    )
}

/// What happens to a broker.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    /// It stands still for so many milliseconds.
    Pause(u64),
    /// SIGHUP, twice in a row.
    Reload,
    /// Other deadlines by SIGHUP: the usual ones times this.
    Retune(f64),
    /// SIGHUP with half a file.
    HalfFile,
    /// LEAVE, and JOIN a second later.
    LeaveAndJoin,
    /// The next version on the inherited socket; the old one is told to stop at its yes.
    Upgrade,
    /// SIGTERM, SIGKILL at its earliest, a new start on the same address.
    Restart,
    /// SIGKILL, and a new start.
    Kill,
}

/// What is drawn for one broker.
#[derive(Debug, Clone)]
struct Plan {
    number: usize,
    shim: String,
    faults: Option<proxy::Faults>,
    inherits: bool,
    crowd: bool,
    leaves: f64,
    slow: f64,
    events: Vec<(f64, Event)>,
    /// Signals after the one to stop, with a pause between.
    at_the_end: Vec<&'static str>,
}

impl Plan {
    fn draw(draw: &mut Draw, seed: u64, number: usize) -> Self {
        let hour = 3_600_000;
        let clock =
            ["", "wall_ms=H", "wall_ms=-H", "step_ms=H,step_at_ms=4000", "step_ms=-H,step_at_ms=4000"];
        let clock = clock[draw.below(clock.len())].replace('H', &hour.to_string());
        let calls = match draw.chance(0.4) {
            true => "accept=300,connect=300,recv=100,send=100,short=500",
            false => "",
        };
        let stalls = if draw.chance(0.3) { "stall=20,stall_ms=100" } else { "" };
        let slow_ms = 200 + draw.below(2_000);
        let files = [
            String::new(),
            String::new(),
            format!("file=config.json,file_ms={slow_ms}"),
            format!("file=handover,file_ms={slow_ms}"),
            "file=handover,file_fail=3000,file_half=3000".to_string(),
        ];
        let files = files[draw.below(files.len())].clone();
        let (inherits, proxied) = (draw.chance(0.4), draw.chance(0.4));
        let held = Duration::from_millis(4);
        let faults = proxy::Faults {
            held,
            resets: draw.unit() * 0.2,
            closes: draw.unit() * 0.2,
            one_sided: draw.unit() * 0.1,
            within: Duration::from_secs(4),
        };
        let mut events = Vec::new();
        let mut at = 0.6 + draw.unit();
        while at < LENGTH - 1.0 {
            let event = match draw.below(10) {
                0..3 => Event::Pause(10 + draw.below(110) as u64),
                3 => Event::Reload,
                // The platform counts by the file; one that is not read yet is no settings in force.
                4 if !files.contains("config") => Event::Retune([0.6, 1.0, 1.5][draw.below(3)]),
                4 | 5 => Event::HalfFile,
                6 => Event::LeaveAndJoin,
                7 | 8 if inherits => Event::Upgrade,
                7 | 8 => Event::Restart,
                _ => Event::Kill,
            };
            events.push((at, event));
            at += 0.4 + draw.unit() * 2.0;
        }
        let series = [
            vec![],
            vec!["-TERM", "-INT", "-HUP"],
            vec!["-HUP", "-TERM", "-HUP"],
            vec!["-STOP", "-CONT", "-TERM"],
            vec!["-INT", "-STOP", "-CONT"],
        ];
        Plan {
            number,
            shim: format!(
                "seed={},from_ms=300,file_from_ms=300,{clock},{calls},{stalls},{files}",
                seed ^ number as u64
            ),
            faults: proxied.then_some(faults),
            inherits,
            crowd: draw.chance(0.1),
            leaves: if draw.chance(0.5) { 0.05 } else { 0.0 },
            slow: if draw.chance(0.3) { 0.05 } else { 0.0 },
            events,
            at_the_end: series[draw.below(series.len())].clone(),
        }
    }
}

/// The library of faults, which is built beside this test.
fn shim() -> PathBuf {
    let own = std::env::current_exe().expect("this test");
    let path = own.parent().expect("its folder").join("libclaywinch_shim.so");
    assert!(path.exists(), "{} is built with the tests", path.display());
    path
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// What all brokers of a run share.
struct World {
    seed: u64,
    clock: RunClock,
    audit: Arc<Audit>,
    discovery: Discovery,
    waits: f64,
    /// How discovery behaves for a while.
    manner: Manner,
    /// When traffic begins and when brokers are told to stop.
    begin: f64,
    told: f64,
}

impl World {
    /// When all brokers know at the latest of what discovery has had since `at`.
    fn told_of(&self, at: f64) -> f64 {
        let begin = self.begin + TROUBLE;
        let known = match self.manner {
            Manner::Answers => at,
            // Watches that have fallen silent are found out by the terms of lists.
            Manner::Silent => begin + 6.0 + SOON,
            Manner::Refuses | Manner::Drips => begin + TROUBLE_LASTS + ASKED_AGAIN,
        };
        if at + SOON < begin {
            at
        } else {
            at.max(known)
        }
    }

    async fn sleep_until(&self, at: f64) {
        tokio::time::sleep_until(self.clock.instant(at)).await;
    }
}

/// What became of one broker.
#[derive(Default)]
struct Lived {
    breaches: Vec<Breach>,
    /// Starts that did not come to serving.
    failed: Vec<String>,
    outlived: usize,
    processes: usize,
}

/// A broker over all its processes.
struct Broker {
    world: Arc<World>,
    plan: Plan,
    launch: Launch,
    deadline: f64,
    process: Process,
    over: Vec<Process>,
    lived: Lived,
}

async fn start(launch: &Launch) -> std::io::Result<Process> {
    let launch = launch.clone();
    tokio::task::spawn_blocking(move || Process::start(&launch)).await.expect("a thread")
}

impl Broker {
    fn now(&self) -> f64 {
        self.world.clock.now()
    }

    /// How long after SIGTERM the platform kills.
    fn grace(&self) -> f64 {
        self.deadline.clamp(0.5, 3.0) + AFTER_DEADLINE
    }

    async fn happen(&mut self, event: Event) {
        match event {
            Event::Pause(ms) => {
                self.process.signal("-STOP");
                tokio::time::sleep(Duration::from_millis(ms)).await;
                self.process.signal("-CONT");
            }
            Event::Reload => {
                self.process.signal("-HUP");
                self.process.signal("-HUP");
            }
            Event::Retune(times) => {
                self.deadline = self.world.waits * times;
                self.launch.settings = settings(self.plan.number, self.deadline);
                self.process.reconfigure(&self.launch.settings).expect("a configuration");
                self.process.signal("-HUP");
                // It has its moment to be read.
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
            Event::HalfFile => {
                let half = &self.launch.settings[..self.launch.settings.len() / 2];
                self.process.reconfigure(half).expect("a configuration");
                self.process.signal("-HUP");
                tokio::time::sleep(Duration::from_millis(100)).await;
                self.process.reconfigure(&self.launch.settings).expect("a configuration");
            }
            Event::LeaveAndJoin => {
                let Some(admin) = self.process.admin.clone() else { return };
                let call = |text: &'static str| {
                    let admin = admin.clone();
                    tokio::task::spawn_blocking(move || Process::call_at(&admin, text))
                };
                let _ = call("LEAVE").await;
                tokio::time::sleep(Duration::from_millis(1_000)).await;
                let _ = call("JOIN").await;
            }
            Event::Upgrade => self.upgrade().await,
            Event::Restart => {
                let told = self.now();
                self.end_process(told).await;
                self.start_anew(told + STILL_ACCEPTED).await;
            }
            Event::Kill => {
                let at = self.now();
                self.world.audit.killed(self.plan.number, at);
                self.process.signal("-KILL");
                self.process.wait();
                self.start_anew(at).await;
            }
        }
    }

    /// SIGTERM, what comes after it, and SIGKILL at its earliest.
    async fn end_process(&mut self, told: f64) {
        self.process.signal("-TERM");
        for signal in self.plan.at_the_end.clone() {
            tokio::time::sleep(Duration::from_millis(60)).await;
            self.process.signal(signal);
        }
        self.world.sleep_until(told + self.grace()).await;
        self.lived.outlived += usize::from(!self.process.has_ended());
        self.world.audit.ended(self.plan.number, self.now());
        self.process.signal("-KILL");
    }

    /// A new process in the place of one that has ended; nobody took connections since `from`.
    async fn start_anew(&mut self, from: f64) {
        match start(&self.launch).await {
            Ok(next) => {
                self.world.audit.takes_none(self.plan.number, from, self.now());
                self.over.push(std::mem::replace(&mut self.process, next));
                self.lived.processes += 1;
            }
            Err(error) => self.lived.failed.push(error.to_string()),
        }
    }

    async fn upgrade(&mut self) {
        let next = match start(&self.launch).await {
            Ok(next) => next,
            Err(error) => return self.lived.failed.push(error.to_string()),
        };
        self.lived.processes += 1;
        let told = self.now();
        self.end_process(told).await;
        self.over.push(std::mem::replace(&mut self.process, next));
    }

    async fn live(mut self) -> Self {
        for (at, event) in self.plan.events.clone() {
            let at = self.world.begin + at;
            if at > self.now() {
                self.world.sleep_until(at).await;
            }
            if self.now() > self.world.told - 1.0 {
                break;
            }
            self.happen(event).await;
        }
        self.world.sleep_until(self.world.told).await;
        let told = self.now();
        self.world.audit.takes_none(self.plan.number, told + STILL_ACCEPTED, f64::MAX);
        self.end_process(told).await;
        self
    }

    /// What its logs and traces tell.
    fn judge(mut self) -> Lived {
        let number = self.plan.number;
        self.over.push(self.process);
        let traces: Vec<_> = self.over.iter().map(Process::trace).collect();
        self.lived.breaches.extend(self.world.audit.read_and_closed(number, &traces, self.world.clock));
        for process in &self.over {
            let log = process.log();
            for line in log.lines().filter(|l| l.contains("rule broken") || l.contains("panicked")) {
                self.lived.breaches.push(Breach { at: 0.0, text: format!("broker {number}: {line}") });
            }
            if log.contains("shim: read after shutdown") {
                let text = format!("broker {number} read after it had said the end");
                self.lived.breaches.push(Breach { at: 0.0, text });
            }
            if let Ok(folder) = std::env::var("SOAK_LOGS") {
                let name = format!("{folder}/soak-{}-{number}-{}.log", self.world.seed, process.id());
                let _ = std::fs::write(name, &log);
            }
        }
        self.lived
    }
}

/// Idle connections that come and go.
async fn crowd(address: String) {
    loop {
        let mut held = Vec::new();
        for _ in 0..CROWD {
            let connect = tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(&address));
            if let Ok(Ok(stream)) = connect.await {
                held.push(stream);
            }
        }
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
}

/// Some servers drain for good at first; others go and come back cold, all the time.
async fn release(world: Arc<World>, addresses: Vec<String>) {
    let mut draw = Draw::new(world.seed ^ 1);
    let member = |place: usize, phase: &'static str, started_ms: u64| Member {
        id: format!("s-{place:08x}"),
        address: &addresses[place],
        shard: place,
        phase,
        started_ms,
    };
    let drains: Vec<usize> = (0..2).map(|_| draw.below(SERVERS)).collect();
    world.sleep_until(world.begin + 0.8).await;
    drains.iter().for_each(|place| world.audit.bar(*place, world.clock.now() + DRAINED));
    world.discovery.change(drains.iter().map(|place| member(*place, "draining", 0)));
    for step in 0..8 {
        world.sleep_until(world.begin + 2.0 + f64::from(step)).await;
        let place = draw.below(SERVERS);
        if drains.contains(&place) {
            continue;
        }
        world.discovery.change([member(place, "gone", 0)]);
        tokio::time::sleep(Duration::from_millis(400)).await;
        let at = world.clock.now();
        world.audit.started(place, at, world.told_of(at));
        world.discovery.change([member(place, "ready", unix_ms())]);
    }
}

async fn trouble_at_discovery(world: Arc<World>) {
    world.sleep_until(world.begin + TROUBLE).await;
    world.discovery.behave(world.manner);
    world.sleep_until(world.begin + TROUBLE + TROUBLE_LASTS).await;
    world.discovery.behave(Manner::Answers);
}

/// What came of a run.
struct Seen {
    counts: Counts,
    breaches: Vec<Breach>,
    cold: f64,
    failed: Vec<String>,
}

impl Seen {
    /// What was broken, in a few lines.
    fn broken(&self) -> String {
        let breaches = self.breaches.iter().take(MOST_SAID).map(|b| format!("{:.3} {}", b.at, b.text));
        let first: Vec<String> = breaches.collect();
        let Seen { counts, cold, failed, .. } = self;
        format!("{counts:?}, {} breaches {first:?}, cold {cold:.2}, starts {failed:?}", self.breaches.len())
    }
}

async fn play(seed: u64) -> Seen {
    let mut draw = Draw::new(seed);
    let (clock, audit) = (RunClock::start(), Arc::new(Audit::default()));
    let tcp_before = TcpCounters::now();
    let waits = [0.5, 1.0, 3.0][draw.below(3)];
    let servers = Servers::start(SERVERS, seed, clock, audit.clone()).await.expect("servers");
    servers.behave(Behaviour {
        breaks: 0.01,
        resets: 0.01,
        repeats: 0.02,
        hangs: 0.005,
        late: 0.05,
        errors: 0.01,
        large: 0.03,
        pieces: 0.05,
        lumps: 0.04,
        ..Behaviour::default()
    });
    let discovery = Discovery::start(clock).await.expect("discovery");
    let mut addresses = Vec::new();
    for (place, server) in servers.all.iter().enumerate() {
        let faults = proxy::Faults {
            held: Duration::from_millis(3),
            resets: 0.1,
            closes: 0.1,
            one_sided: 0.05,
            within: Duration::from_secs(4),
        };
        let before = server.address.clone();
        addresses.push(match place % 3 {
            0 => {
                audit.stands_behind_proxy(place);
                proxy::start(before, faults, seed ^ place as u64, Default::default()).await.expect("a proxy")
            }
            _ => before,
        });
    }
    discovery.change((0..SERVERS).map(|place| Member {
        id: format!("s-{place:08x}"),
        address: &addresses[place],
        shard: place,
        phase: "ready",
        started_ms: 0,
    }));
    // What a broker's number in a breach stands for.
    let shows = |plan: &Plan| println!("plan of seed {seed}: {plan:?}");
    let plans: Vec<Plan> = (0..BROKERS).map(|number| Plan::draw(&mut draw, seed, number)).collect();
    plans.iter().for_each(shows);
    let mut started = Vec::new();
    for plan in plans {
        let inherited = plan.inherits.then(|| Arc::new(TcpListener::bind("127.0.0.1:0").expect("a port")));
        let mut launch = Launch {
            program: std::env::var("SOAK_PROGRAM").unwrap_or(env!("CARGO_BIN_EXE_claywinch").into()).into(),
            name: format!("soak-{seed}-{}", plan.number),
            inherited,
            admin: true,
            settings: settings(plan.number, waits),
            discovery: discovery.address.clone(),
            sockets: SOCKETS,
            variables: vec![
                ("LD_PRELOAD".into(), shim().display().to_string()),
                ("CLAYWINCH_SHIM".into(), plan.shim.clone()),
            ],
            ..Launch::default()
        };
        let process = start(&launch).await.expect("a broker starts");
        launch.listen = Some(process.listen.clone());
        started.push((plan, launch, process));
    }
    let begin = clock.now() + 0.3;
    let told = begin + LENGTH;
    let manner = [Manner::Answers, Manner::Refuses, Manner::Silent, Manner::Drips][draw.below(4)];
    let world = Arc::new(World { seed, manner, clock, audit: audit.clone(), discovery, waits, begin, told });
    let late = Lateness::start();
    let (mut lives, mut others) = (tokio::task::JoinSet::new(), tokio::task::JoinSet::new());
    let mut crowds = tokio::task::JoinSet::new();
    for (plan, launch, process) in started {
        let outcomes = proxy::Shared::default();
        let address = match plan.faults {
            Some(faults) => {
                let (before, seed) = (process.listen.clone(), seed ^ plan.number as u64);
                proxy::start(before, faults, seed, outcomes.clone()).await.expect("a proxy")
            }
            None => process.listen.clone(),
        };
        let number = plan.number;
        if plan.inherits {
            audit.listens_for_good(number);
        }
        let clients = Clients::new(address, clock, audit.clone(), (number, number as u64), outcomes);
        let traffic = Traffic {
            rate: 12.0 + draw.unit() * 12.0,
            writes: 0.5,
            shards: SERVERS,
            stride: 1,
            waits,
            leaves: plan.leaves,
            most_units: 3,
            pipelines: 0.1,
            large: (0.05, 100_000),
            slow: plan.slow,
        };
        let kill = told + waits.max(0.5) + AFTER_DEADLINE;
        others.spawn(async move { clients.play(traffic, seed, begin, kill).await });
        if plan.crowd {
            let crowd = tokio::time::timeout(Duration::from_secs_f64(LENGTH), crowd(process.listen.clone()));
            crowds.spawn(async move { drop(crowd.await) });
        }
        let broker = Broker {
            world: world.clone(),
            deadline: waits,
            plan,
            launch,
            process,
            over: Vec::new(),
            lived: Lived { processes: 1, ..Lived::default() },
        };
        lives.spawn(broker.live());
    }
    let others_of_world =
        [tokio::spawn(release(world.clone(), addresses)), tokio::spawn(trouble_at_discovery(world.clone()))];
    while others.join_next().await.is_some() {}
    let (mut breaches, mut failed, mut processes, mut outlived) = (Vec::new(), Vec::new(), 0, 0);
    // Judged when all clients are done: it takes its time, which clients would be late by.
    while let Some(broker) = lives.join_next().await {
        let lived = broker.expect("a broker's life").judge();
        breaches.extend(lived.breaches);
        failed.extend(lived.failed);
        processes += lived.processes;
        outlived += lived.outlived;
    }
    others_of_world.iter().for_each(|task| task.abort());
    breaches.extend(audit.breaches(late.worst()));
    let (counts, cold) = (audit.counts(), audit.worst_cold_window(&COLD));
    println!(
        "seed {seed}: waits {waits}, {processes} processes, {counts:?}, {} breaches, cold {cold:.2}, {outlived} outlived their kills, {} crossings, {}, own lateness {:.3} s",
        breaches.len(),
        audit.crossings(),
        TcpCounters::now().since(&tcp_before),
        late.worst()
    );
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    for breach in &breaches {
        let kind = breach.text.split(": ").next().unwrap_or_default();
        let said = kinds.entry(kind).or_default();
        *said += 1;
        if *said <= MOST_SAID {
            println!("seed {seed}:   {:.3} {}", breach.at, breach.text);
        }
    }
    println!("seed {seed}:   {kinds:?}");
    if cold > COLD_BOUND {
        println!("seed {seed}:   cold, traffic from {begin:.3}: {:?}", audit.worst_start(&COLD));
    }
    failed.iter().for_each(|failed| println!("seed {seed}:   start: {failed}"));
    Seen { counts, breaches, cold, failed }
}

fn number(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// Guards against a request that is lost under whatever happens to some of many brokers.
#[test]
fn no_broker_of_many_loses_a_request_under_drawn_faults() {
    let (from, count) = (number("SOAK_FROM", 1), number("SOAK_COUNT", SEEDS));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let runtime = runtime.expect("a runtime");
    let mut bad = Vec::new();
    for seed in from..from + count {
        let seen = runtime.block_on(play(seed));
        let holds = seen.breaches.is_empty() && seen.failed.is_empty() && seen.cold <= COLD_BOUND;
        if !holds || seen.counts.served == 0 {
            bad.push(format!("seed {seed}: {}", seen.broken()));
        }
    }
    // What was printed before may be cut off where the end of the output is kept.
    assert!(bad.is_empty(), "seeds with a broken rule: {} of {count}\n{}", bad.len(), bad.join("\n"));
}
