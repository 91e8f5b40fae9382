//! Files that are slow, full or failing. Calls that name such a file, and reads and writes of it, are held up or fail.

use super::{age_ms, fail, next_symbol, plan, strikes_at, MOST_DESCRIPTORS};
use libc::{c_char, c_int, c_uint, c_void, mode_t, size_t, ssize_t};
use std::ffi::CStr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::OnceLock;
use std::time::Duration;

/// What a full or broken disk says.
const DISK_ERRORS: [c_int; 2] = [libc::ENOSPC, libc::EIO];

/// Descriptors of files that are meant.
static MEANT: [AtomicBool; MOST_DESCRIPTORS] = [const { AtomicBool::new(false) }; MOST_DESCRIPTORS];

fn meant(fd: c_int) -> Option<&'static AtomicBool> {
    usize::try_from(fd).ok().and_then(|fd| MEANT.get(fd))
}

/// A descriptor is closed.
pub(crate) fn closed(fd: c_int) {
    meant(fd).inspect(|meant| meant.store(false, Relaxed));
}

/// What the paths of the files that are meant contain.
fn part() -> &'static str {
    static PART: OnceLock<String> = OnceLock::new();
    PART.get_or_init(|| {
        let text = std::env::var("CLAYWINCH_SHIM").unwrap_or_default();
        let value = text.split(',').find_map(|pair| pair.strip_prefix("file="));
        value.unwrap_or("").to_string()
    })
}

/// Whether a path is meant.
///
/// # Safety
/// `path` is a C string.
unsafe fn names(path: *const c_char) -> bool {
    // SAFETY: the caller has promised so.
    let path = unsafe { CStr::from_ptr(path) };
    !part().is_empty() && path.to_bytes().windows(part().len()).any(|window| window == part().as_bytes())
}

fn is_time() -> bool {
    (plan().file_from_ms..plan().file_to_ms).contains(&age_ms())
}

/// Holds the caller up, and says whether the call is to fail.
fn trouble() -> bool {
    if is_time() && plan().file_ms > 0 {
        std::thread::sleep(Duration::from_millis(plan().file_ms));
    }
    strikes_at(plan().file_fail, plan().file_from_ms..plan().file_to_ms)
}

/// # Safety
/// As `open64` of the C library.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    type Open = unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int;
    // SAFETY: the caller passes a path.
    let is_meant = unsafe { names(path) };
    if is_meant && trouble() {
        return fail(&DISK_ERRORS);
    }
    // SAFETY: the caller's arguments are passed on.
    let fd = unsafe { real!(c"open64", Open)(path, flags, mode) };
    meant(fd).inspect(|meant| meant.store(is_meant, Relaxed));
    fd
}

/// # Safety
/// As `rename` of the C library.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    type Rename = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;
    // SAFETY: the caller passes two paths.
    if unsafe { names(to) } && trouble() {
        return fail(&DISK_ERRORS);
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { real!(c"rename", Rename)(from, to) }
}

/// # Safety
/// As `unlink` of the C library.
#[no_mangle]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    type Unlink = unsafe extern "C" fn(*const c_char) -> c_int;
    // SAFETY: the caller passes a path.
    if unsafe { names(path) } && trouble() {
        return fail(&[libc::EIO]);
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { real!(c"unlink", Unlink)(path) }
}

/// # Safety
/// As `statx` of the C library.
#[no_mangle]
pub unsafe extern "C" fn statx(
    folder: c_int,
    path: *const c_char,
    flags: c_int,
    mask: c_uint,
    place: *mut libc::statx,
) -> c_int {
    type Statx = unsafe extern "C" fn(c_int, *const c_char, c_int, c_uint, *mut libc::statx) -> c_int;
    // SAFETY: a path that is none is not looked at.
    if !path.is_null() && unsafe { names(path) } && trouble() {
        return fail(&[libc::EIO]);
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { real!(c"statx", Statx)(folder, path, flags, mask, place) }
}

/// # Safety
/// As `flock` of the C library.
#[no_mangle]
pub unsafe extern "C" fn flock(fd: c_int, operation: c_int) -> c_int {
    type Flock = unsafe extern "C" fn(c_int, c_int) -> c_int;
    if meant(fd).is_some_and(|meant| meant.load(Relaxed)) && trouble() {
        return fail(&[libc::ENOLCK, libc::EINTR]);
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { real!(c"flock", Flock)(fd, operation) }
}

/// # Safety
/// As `read` of the C library.
#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, len: size_t) -> ssize_t {
    type Read = unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t;
    if meant(fd).is_some_and(|meant| meant.load(Relaxed)) && trouble() {
        return fail(&[libc::EIO]) as ssize_t;
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { real!(c"read", Read)(fd, buffer, len) }
}

/// # Safety
/// As `write` of the C library.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, len: size_t) -> ssize_t {
    type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
    let mut len = len;
    if meant(fd).is_some_and(|meant| meant.load(Relaxed)) {
        if trouble() {
            return fail(&DISK_ERRORS) as ssize_t;
        }
        if strikes_at(plan().file_half, plan().file_from_ms..plan().file_to_ms) {
            len = (len / 2).max(1);
        }
    }
    // SAFETY: the caller's arguments are passed on, with a length that is no larger.
    unsafe { real!(c"write", Write)(fd, buffer, len) }
}
