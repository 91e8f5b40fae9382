//! System calls that fail or come late as Linux documents. Loaded into a broker under test with `LD_PRELOAD`; what it
//! does is read from `$CLAYWINCH_SHIM`, as `name=value` pairs with commas between them:
//!
//! | name | value |
//! | --- | --- |
//! | `seed` | of the draws |
//! | `from_ms`, `to_ms` | when since the first call the faults begin and end |
//! | `accept`, `connect`, `recv`, `send` | of 10,000 calls so many fail, each time with another documented error |
//! | `short` | of 10,000 reads and writes so many move one byte only |
//! | `stall` | of 10,000 waits so many are held up after the system has looked at the sockets, so that what the process knows of them is old |
//! | `stall_ms` | for how long at most |
//! | `file` | what the paths of the files contain that are slow or failing; see [`files`] |
//! | `file_ms` | how long each call on such a file takes |
//! | `file_from_ms`, `file_to_ms` | when that begins and ends, as above |
//! | `file_fail` | of 10,000 such calls so many fail, with ENOSPC or EIO |
//! | `file_half` | of 10,000 writes to such files so many write half of the bytes |
//! | `wall_ms` | how far the wall clock is off from the start |
//! | `step_ms`, `step_at_ms` | how far it is stepped, and when |
//!
//! `$CLAYWINCH_SHIM_TRACE` names a file in which all bytes are noted that were read from the network; see [`trace`].
//!
//! The only crate with `unsafe` code, which the C interface needs.

use libc::{c_int, c_void, clockid_t, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::OnceLock;

/// Descriptors that are followed.
const MOST_DESCRIPTORS: usize = 4096;
/// Draws are out of so many.
const OUT_OF: u64 = 10_000;
const MILLION: i64 = 1_000_000;
const BILLION: i64 = 1_000_000_000;

/// What is to be done, from the environment.
#[derive(Debug, Default, Clone, Copy)]
struct Plan {
    seed: u64,
    from_ms: i64,
    to_ms: i64,
    accept: u64,
    connect: u64,
    recv: u64,
    send: u64,
    short: u64,
    stall: u64,
    stall_ms: u64,
    wall_ms: i64,
    step_ms: i64,
    step_at_ms: i64,
    file_ms: u64,
    file_from_ms: i64,
    file_to_ms: i64,
    file_fail: u64,
    file_half: u64,
}

impl Plan {
    fn read(text: &str) -> Self {
        let mut plan = Plan { to_ms: i64::MAX, file_to_ms: i64::MAX, ..Plan::default() };
        for pair in text.split(',') {
            let Some((name, value)) = pair.split_once('=') else { continue };
            let number: i64 = value.trim().parse().unwrap_or(0);
            let count = number.max(0) as u64;
            match name.trim() {
                "seed" => plan.seed = count,
                "from_ms" => plan.from_ms = number,
                "to_ms" => plan.to_ms = number,
                "accept" => plan.accept = count,
                "connect" => plan.connect = count,
                "recv" => plan.recv = count,
                "send" => plan.send = count,
                "short" => plan.short = count,
                "stall" => plan.stall = count,
                "stall_ms" => plan.stall_ms = count,
                "wall_ms" => plan.wall_ms = number,
                "step_ms" => plan.step_ms = number,
                "step_at_ms" => plan.step_at_ms = number,
                "file_ms" => plan.file_ms = count,
                "file_from_ms" => plan.file_from_ms = number,
                "file_to_ms" => plan.file_to_ms = number,
                "file_fail" => plan.file_fail = count,
                "file_half" => plan.file_half = count,
                _ => {}
            }
        }
        plan
    }
}

fn plan() -> &'static Plan {
    static PLAN: OnceLock<Plan> = OnceLock::new();
    PLAN.get_or_init(|| Plan::read(&std::env::var("CLAYWINCH_SHIM").unwrap_or_default()))
}

/// A number that nothing else has drawn.
fn draw() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let step = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Relaxed).wrapping_add(plan().seed.wrapping_mul(31));
    let mixed = (step ^ (step >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb) >> 16
}

/// Where the next symbol of that name after this library is.
fn next_symbol(name: &std::ffi::CStr) -> usize {
    // SAFETY: the name is a C string, and dlsym may be called at any time.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) as usize }
}

/// The function of that name that the process would call without this library. To be used inside `unsafe`.
macro_rules! real {
    ($name:literal, $kind:ty) => {{
        static FOUND: OnceLock<usize> = OnceLock::new();
        let address = *FOUND.get_or_init(|| next_symbol($name));
        // The C library declares the function with this signature.
        std::mem::transmute::<usize, $kind>(address)
    }};
}

pub mod files;
pub mod trace;

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;

fn monotonic_ms() -> i64 {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is a valid place for the result.
    unsafe { real!(c"clock_gettime", ClockGettime)(libc::CLOCK_MONOTONIC, &mut time) };
    time.tv_sec * 1_000 + time.tv_nsec / MILLION
}

/// Milliseconds since the first call.
fn age_ms() -> i64 {
    static FIRST: OnceLock<i64> = OnceLock::new();
    let now = monotonic_ms();
    now - *FIRST.get_or_init(|| now)
}

/// Whether a fault of this frequency happens now.
fn strikes(frequency: u64) -> bool {
    strikes_at(frequency, plan().from_ms..plan().to_ms)
}

/// The same of faults that have a time of their own.
fn strikes_at(frequency: u64, time: std::ops::Range<i64>) -> bool {
    frequency > 0 && time.contains(&age_ms()) && draw() % OUT_OF < frequency
}

/// Whether a descriptor is a socket of the network: logs, pipes and what a runtime wakes itself with are not meant.
fn is_network(fd: c_int) -> bool {
    let mut kind: c_int = 0;
    let mut len = size_of::<c_int>() as socklen_t;
    let place = std::ptr::from_mut(&mut kind).cast::<c_void>();
    // SAFETY: `place` is valid for `len` bytes.
    let found = unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, place, &mut len) };
    found == 0 && matches!(kind, libc::AF_INET | libc::AF_INET6)
}

/// Fails a call with one of these errors.
fn fail(errors: &[c_int]) -> c_int {
    let error = errors[draw() as usize % errors.len()];
    // SAFETY: the place of this thread's error is always valid.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// # Safety
/// As `accept4` of the C library.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    len: *mut socklen_t,
    flags: c_int,
) -> c_int {
    type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    if strikes(plan().accept) {
        return fail(&[
            libc::ECONNABORTED,
            libc::EMFILE,
            libc::ENFILE,
            libc::ENOBUFS,
            libc::ENOMEM,
            libc::EINTR,
        ]);
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { real!(c"accept4", Accept)(fd, address, len, flags) }
}

/// # Safety
/// As `connect` of the C library.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, len: socklen_t) -> c_int {
    type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    if strikes(plan().connect) {
        return fail(&[
            libc::EADDRNOTAVAIL,
            libc::ENETUNREACH,
            libc::EHOSTUNREACH,
            libc::ENOBUFS,
            libc::ETIMEDOUT,
            libc::EINTR,
        ]);
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { real!(c"connect", Connect)(fd, address, len) }
}

/// Descriptors whose end was said, for as long as they are open.
static ENDED: [AtomicBool; MOST_DESCRIPTORS] = [const { AtomicBool::new(false) }; MOST_DESCRIPTORS];

fn ended(fd: c_int) -> Option<&'static AtomicBool> {
    usize::try_from(fd).ok().and_then(|fd| ENDED.get(fd))
}

/// # Safety
/// As `shutdown` of the C library.
#[no_mangle]
pub unsafe extern "C" fn shutdown(fd: c_int, how: c_int) -> c_int {
    type Shutdown = unsafe extern "C" fn(c_int, c_int) -> c_int;
    ended(fd).inspect(|ended| ended.store(true, Relaxed));
    // SAFETY: the caller's arguments are passed on.
    unsafe { real!(c"shutdown", Shutdown)(fd, how) }
}

/// # Safety
/// As `close` of the C library.
#[no_mangle]
pub unsafe extern "C" fn close(fd: c_int) -> c_int {
    type Close = unsafe extern "C" fn(c_int) -> c_int;
    ended(fd).inspect(|ended| ended.store(false, Relaxed));
    files::closed(fd);
    trace::closed(fd);
    // SAFETY: the caller's arguments are passed on.
    unsafe { real!(c"close", Close)(fd) }
}

/// # Safety
/// As `recv` of the C library. Says on standard error what is read after the end of a connection was said: whoever sent
/// that is owed an answer which cannot come any more.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, len: size_t, flags: c_int) -> ssize_t {
    type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    if is_network(fd) && strikes(plan().recv) {
        return fail(&[libc::EINTR, libc::ENOBUFS, libc::ENOMEM]) as ssize_t;
    }
    let len = if is_network(fd) && strikes(plan().short) { len.min(1) } else { len };
    // SAFETY: the caller's arguments are passed on, with a length that is no larger.
    let got = unsafe { real!(c"recv", Recv)(fd, buffer, len, flags) };
    if got > 0 && flags & libc::MSG_PEEK == 0 {
        // SAFETY: the call has written so many bytes there.
        trace::read(fd, unsafe { std::slice::from_raw_parts(buffer.cast(), got as usize) });
    }
    if got > 0 && flags & libc::MSG_PEEK == 0 && ended(fd).is_some_and(|ended| ended.load(Relaxed)) {
        let line = b"shim: read after shutdown\n";
        // SAFETY: the line is valid for its length.
        unsafe { libc::write(2, line.as_ptr().cast(), line.len()) };
    }
    got
}

/// # Safety
/// As `send` of the C library.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, len: size_t, flags: c_int) -> ssize_t {
    type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    if is_network(fd) && strikes(plan().send) {
        return fail(&[libc::EINTR, libc::ENOBUFS]) as ssize_t;
    }
    let len = if is_network(fd) && strikes(plan().short) { len.min(1) } else { len };
    // SAFETY: the caller's arguments are passed on, with a length that is no larger.
    unsafe { real!(c"send", Send)(fd, buffer, len, flags) }
}

/// # Safety
/// As `writev` of the C library.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    type Writev = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
    if is_network(fd) && strikes(plan().send) {
        return fail(&[libc::EINTR, libc::ENOBUFS]) as ssize_t;
    }
    let count = if is_network(fd) && strikes(plan().short) { count.min(1) } else { count };
    // SAFETY: the caller's arguments are passed on, with a count that is no larger.
    unsafe { real!(c"writev", Writev)(fd, parts, count) }
}

/// # Safety
/// As `epoll_wait` of the C library.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    type Wait = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;
    // SAFETY: the caller's arguments are passed on.
    let found = unsafe { real!(c"epoll_wait", Wait)(fd, events, most, timeout) };
    if strikes(plan().stall) {
        let wait = draw() % plan().stall_ms.max(1);
        std::thread::sleep(std::time::Duration::from_millis(wait));
    }
    found
}

/// # Safety
/// As `clock_gettime` of the C library.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's arguments are passed on.
    let result = unsafe { real!(c"clock_gettime", ClockGettime)(clock, time) };
    let plan = plan();
    if result != 0 || clock != libc::CLOCK_REALTIME || (plan.wall_ms == 0 && plan.step_ms == 0) {
        return result;
    }
    let stepped = plan.step_ms != 0 && age_ms() >= plan.step_at_ms;
    let off = plan.wall_ms + if stepped { plan.step_ms } else { 0 };
    // SAFETY: the call has succeeded, so it has written there.
    let time = unsafe { &mut *time };
    let moved = time.tv_sec * BILLION + time.tv_nsec + off * MILLION;
    (time.tv_sec, time.tv_nsec) = (moved.div_euclid(BILLION), moved.rem_euclid(BILLION));
    result
}
