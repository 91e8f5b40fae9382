//! What the stand-ins of the soak note of requests: times that are the broker's, not their own.

use claywinch_lab::fleet::audit::Audit;
use claywinch_lab::fleet::servers::Servers;
use claywinch_lab::fleet::{Lateness, RunClock};
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// How long a worker of the stand-ins gets no time, in seconds.
const HELD_UP: f64 = 0.4;
/// How exact the times must be, in seconds: the kernel counts in steps of 4 ms.
const EXACT: f64 = 0.1;
/// The id of the request.
const ID: &str = "0001000100000001";

/// Guards against a broker that is held to account for what a server read late: requests that lay on a new connection while the
/// stand-ins' own thread was held up count from when they came. The lateness of another thread shows nothing of it.
#[test]
fn a_request_that_a_server_accepts_late_counts_from_when_it_came() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let runtime = runtime.expect("a runtime");
    let (clock, audit) = (RunClock::start(), Arc::new(Audit::default()));
    let servers = runtime.block_on(Servers::start(1, 1, clock, audit.clone())).expect("servers");
    let lateness = Lateness::start();
    runtime.spawn(async { std::thread::sleep(Duration::from_secs_f64(HELD_UP)) });
    std::thread::sleep(Duration::from_secs_f64(HELD_UP / 8.0));
    let mut stream = TcpStream::connect(&servers.all[0].address).expect("connects");
    let fields = "c=read,t=standard,d=500,volume=00000003b4d60021,units=1,shard=0,hosts=1";
    let command = format!(
        "*4\r\n$7\r\nOBJ.GET\r\n$16\r\n7f3a9c21e0b4d655\r\n$16\r\n{ID}\r\n${}\r\n{fields}\r\n",
        fields.len()
    );
    stream.write_all(command.as_bytes()).expect("asks");
    let written = clock.now();
    let seen = (0..200).find_map(|_| {
        std::thread::sleep(Duration::from_millis(10));
        audit.attempts_of(ID).pop()
    });
    let attempt = seen.expect("the server has read it");
    println!("written {written:.3}, {attempt:?}, lateness {:.3}", lateness.worst());
    assert!(attempt.read > written + HELD_UP / 2.0, "it was read late: {attempt:?}");
    assert!((attempt.begun - written).abs() < EXACT, "written at {written:.3}, {attempt:?}");
    assert_eq!(attempt.port, stream.local_addr().expect("an address").port());
}
