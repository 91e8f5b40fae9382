//! What was read from the network, for whoever judges a run: records of a descriptor, the milliseconds since the machine
//! started, a length and as many bytes, each number as four bytes in little-endian order. A length of `u32::MAX` without bytes
//! says that the descriptor was closed.

use super::{is_network, monotonic_ms, next_symbol};
use libc::{c_int, c_void, size_t, ssize_t};
use std::sync::OnceLock;

/// The length that stands for a close.
const CLOSED: u32 = u32::MAX;

/// Where the trace goes, if anywhere.
fn file() -> Option<c_int> {
    static FILE: OnceLock<Option<c_int>> = OnceLock::new();
    *FILE.get_or_init(|| {
        let path = std::env::var("CLAYWINCH_SHIM_TRACE").ok()?;
        let path = std::ffi::CString::new(path).ok()?;
        let flags = libc::O_WRONLY | libc::O_CREAT | libc::O_APPEND | libc::O_CLOEXEC;
        // SAFETY: the path is a C string.
        let fd = unsafe { libc::open(path.as_ptr(), flags, 0o644) };
        (fd >= 0).then_some(fd)
    })
}

fn note(fd: c_int, length: u32, bytes: &[u8]) {
    let Some(file) = file() else { return };
    let mut record = Vec::with_capacity(12 + bytes.len());
    record.extend_from_slice(&fd.to_le_bytes());
    record.extend_from_slice(&(monotonic_ms() as u32).to_le_bytes());
    record.extend_from_slice(&length.to_le_bytes());
    record.extend_from_slice(bytes);
    type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
    // SAFETY: the record is valid for its length; one write to a file that is appended to stays in one piece.
    unsafe { real!(c"write", Write)(file, record.as_ptr().cast(), record.len()) };
}

/// Bytes were read from a descriptor.
pub(crate) fn read(fd: c_int, bytes: &[u8]) {
    if is_network(fd) {
        note(fd, bytes.len() as u32, bytes);
    }
}

/// A descriptor is about to be closed.
pub(crate) fn closed(fd: c_int) {
    if file().is_some_and(|file| file != fd) && is_network(fd) {
        note(fd, CLOSED, &[]);
    }
}
