//! Measures what integrity checking costs on the request path inside the broker: the number of allocations, and that no data
//! is copied.
//! `cargo test --release --test allocations -- --nocapture` prints the counts.

use bytes::Bytes;
use claywinch::interface::Effect as Repeat;
use claywinch::interface::{
    Arrival, Class, Ending, ListKind, NodeEntry, NodeState, Plan, RequestId, Settings, Time,
};
use claywinch::state::integrity::{Facts, Geometry};
use claywinch::state::interceptor::{Interceptor, PassThrough};
use claywinch::state::planner::*;
use claywinch::state::pool::{LinkSettings, PoolLimits};
use claywinch::wire::nbd::guard::Guard;
use claywinch::wire::nbd::server::{Catalogue, Export, Exports, Kind};
use claywinch::wire::nbd::{ExportName, Nbd, Operation, Part, Request, Target};
use claywinch::wire::session::RequestIds;
use std::rc::Rc;
use tokio::sync::mpsc::unbounded_channel;

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// Size of the export in bytes.
const SIZE: u64 = 16 << 20;

fn settings() -> Settings {
    let class = |effect| Class {
        aim: 500_000,
        value: 1.0,
        late_value: 0.2,
        effect,
        window: 0,
        ordered: false,
        attempts: 4,
    };
    Settings {
        hosts: 1,
        number: 0,
        classes: vec![class(Repeat::Safe), class(Repeat::Unsafe)],
        plans: vec![Plan { rate: 1e6, reserve: 1e6, weight: 1.0, price: 1.0, limit: None }],
        mean_units: 2.0,
        max_units: 16.0,
        share_value: 0.4,
        spare_value: 0.05,
        meter_period: 0,
        reports_elsewhere: false,
        list_on_request: false,
        concurrent_attempts: false,
        cancel: true,
        probes: false,
        max_retry_after: 2_000_000,
        cold_units: 13.0,
        cold_fraction: 0.15,
        warmup_time: 18_000_000,
        cold_window: 1_500_000,
        key_cooldown: 0,
        budget: None,
    }
}

fn exports(summed: bool) -> Exports {
    let kind = |class| Kind { class, deadline: 1_000_000 };
    let shape = Geometry { blocks: SIZE / 4096, brokers: 1 };
    let facts = Facts { name: "disk".to_string(), shard: 0, shape, broker: 0, late: 1 };
    let export = Export {
        name: ExportName::new("disk"),
        companion: ExportName::new("disk").companion(),
        size: SIZE,
        read_only: false,
        shard: 0,
        plan: 0,
        hosts: 1,
        kinds: [kind(0), kind(1), kind(1)],
        unit: 65_536,
        most_units: 16,
        sums: summed.then_some(facts),
        scrub: None,
    };
    Rc::new(std::cell::RefCell::new(Rc::new(Catalogue(vec![Some(Rc::new(export))]))))
}

/// A planner with its interceptor, and a stand-in node that answers at once.
struct Broker<G> {
    planner: Planner<Nbd>,
    interceptor: G,
    now: Time,
    data: Vec<u8>,
    sums: Vec<u8>,
    sent: u64,
    next: RequestId,
    export: Rc<Export>,
}

impl<G: Interceptor<Nbd>> Broker<G> {
    fn new(interceptor: G) -> Self {
        let limits = PoolLimits {
            links: 64,
            links_per_node: 16,
            terms: LinkSettings { multiplex: 100, idle: 1 << 40 },
        };
        let planner = Planner::new(settings(), 7, 0, limits).expect("good settings");
        let (data, sums) = (vec![7; SIZE as usize], vec![0; SIZE as usize / 32]);
        let export = exports(false).borrow().get(0).cloned().expect("the export");
        let mut broker =
            Broker { planner, interceptor, now: 1_000_000, data, sums, sent: 0, next: 1 << 32, export };
        let entry = NodeEntry { node: 1, zone: 0, shard: 0, state: NodeState::Up, started: None, size: 0 };
        broker.turn(Input::Nodes(ListKind::Full, vec![ListedNode { entry, address: String::new() }]));
        for _ in 0..2_000 {
            broker.now += 1_000;
            broker.sweep();
        }
        broker
    }

    fn sweep(&mut self) {
        let mut inputs = Vec::new();
        self.interceptor.sweep(self.now, self.planner.open_by_shard(), &mut inputs);
        self.run_turns(inputs);
    }

    fn turn(&mut self, input: Input<Nbd>) {
        let mut inputs = Vec::new();
        self.interceptor.take(self.now, input, &mut inputs);
        self.run_turns(inputs);
    }

    /// Runs turns of the planner until no input is left.
    fn run_turns(&mut self, mut inputs: Vec<Input<Nbd>>) {
        let mut effects = Vec::new();
        loop {
            self.planner.turn(self.now, inputs.drain(..), &mut effects);
            self.interceptor.collect_answers(self.now, &mut inputs);
            for effect in effects.drain(..) {
                if let Effect::Send(link, tag, _, request) = effect {
                    self.sent += 1;
                    inputs.push(Input::AttemptEnded(link, tag, self.node_reply(request)));
                }
            }
            if inputs.is_empty() {
                return;
            }
        }
    }

    fn node_reply(&mut self, request: Request) -> AttemptEnd<Vec<Part>> {
        let bytes = if request.target == Target::Sums { &mut self.sums } else { &mut self.data };
        let range = request.offset as usize..request.offset as usize + request.length as usize;
        let parts = match &request.operation {
            Operation::Read => vec![Part::Data(request.offset, Bytes::copy_from_slice(&bytes[range]))],
            Operation::Write(data) => {
                bytes[range].copy_from_slice(data);
                Vec::new()
            }
            Operation::Flush => Vec::new(),
        };
        AttemptEnd { reply: Some(parts), ..AttemptEnd::without_reply(Ending::Served) }
    }

    /// Sends a client's request and returns the answer.
    fn ask(&mut self, operation: Operation, offset: u64, length: u32) -> Vec<Part> {
        self.now += 50;
        self.next += 1;
        let (back, mut answers) = unbounded_channel();
        let writes = matches!(operation, Operation::Write(_));
        let arrival = Arrival {
            id: self.next,
            class: usize::from(writes),
            plan: 0,
            key: None,
            due: self.now + 1_000_000,
            volume: "disk".to_string(),
            units: f64::from(length.div_ceil(65_536)),
            shard: Some(0),
            volume_hosts: 1,
            repeat: false,
        };
        let request = Request {
            place: 0,
            export: self.export.clone(),
            target: Target::Data,
            operation,
            durable: false,
            offset,
            length,
            describe: None,
        };
        self.turn(Input::Request(ClientRequest { arrival, request, back, of_client: false }));
        match answers.try_recv() {
            Ok((_, Answer::Served(parts))) => parts,
            other => panic!("{other:?}"),
        }
    }

    /// Returns the mean numbers of allocations and of attempts per request.
    fn cost(&mut self, write: bool, length: u32) -> (f64, f64) {
        const REQUESTS: u64 = 256;
        let data = Bytes::from(vec![9; length as usize]);
        let blocks_in_export = SIZE / u64::from(length);
        let mut ask = |i: u64| {
            let operation = if write { Operation::Write(data.clone()) } else { Operation::Read };
            self.ask(operation, i % blocks_in_export * u64::from(length), length)
        };
        (0..REQUESTS).for_each(|i| drop(ask(i)));
        let before = dhat::HeapStats::get().total_blocks;
        (0..REQUESTS).for_each(|i| drop(ask(i)));
        let blocks = dhat::HeapStats::get().total_blocks - before;
        let sent = self.sent;
        (0..REQUESTS).for_each(|i| {
            let operation = if write { Operation::Write(data.clone()) } else { Operation::Read };
            drop(self.ask(operation, i % blocks_in_export * u64::from(length), length));
        });
        (blocks as f64 / REQUESTS as f64, (self.sent - sent) as f64 / REQUESTS as f64)
    }
}

#[test]
fn checking_copies_no_data_and_costs_a_read_few_allocations() {
    let _profiler = dhat::Profiler::builder().testing().build();
    let guard = |summed| Guard::new(exports(summed), RequestIds::default(), 256, 0);
    let (mut plain, mut intercepted, mut checked) =
        (Broker::new(PassThrough), Broker::new(guard(false)), Broker::new(guard(true)));
    println!("request           unchecked         intercepted       checked       (allocations, attempts)");
    for length in [4096, 65_536, 1 << 20] {
        for write in [true, false] {
            let costs =
                [plain.cost(write, length), intercepted.cost(write, length), checked.cost(write, length)];
            let what = if write { "write" } else { "read" };
            println!("{what:<6} {length:>8}   {:?}   {:?}   {:?}", costs[0], costs[1], costs[2]);
            assert_eq!(costs[0].1, 1.0);
            assert!(
                costs[1].0 <= costs[0].0 + 0.1,
                "an export without checksums costs no more than without the interceptor"
            );
            match write {
                true => {
                    assert_eq!(costs[2].1, if length > 262_144 { 9.0 } else { 3.0 }, "attempts of a write")
                }
                false => assert_eq!(costs[2].1, 1.0, "a read of known blocks takes one attempt"),
            }
            assert!(costs[2].0 <= costs[0].0 + if write { 90.0 } else { 15.0 }, "{length}: {costs:?}");
        }
    }
    // The buffer that the node's reply was read into is the one that the client's answer is written from.
    let before = dhat::HeapStats::get().total_bytes;
    let parts = checked.ask(Operation::Read, 0, 1 << 20);
    let taken = dhat::HeapStats::get().total_bytes - before;
    assert!(matches!(&parts[..], [Part::Data(0, data)] if data.len() == 1 << 20));
    assert!(taken < (1 << 20) + 64 * 1024, "only the stand-in node's own copy: {taken}");
}
