//! The size of the packets that a listening socket asks for. On the loopback interface packets hold 64 KiB, and the kernel
//! keeps megabytes of them for a process that does not read; between machines packets of 1,500 bytes are usual.

use std::net::TcpListener;
use std::os::fd::AsRawFd;

/// Bytes of data in a packet of 1,500 bytes.
const SEGMENT: i32 = 1_448;
/// Numbers of the protocol and of the option, the same on each kind of machine that Linux runs on.
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Has peers of this socket send packets of the usual size.
pub fn usual_size(listener: &TcpListener) -> Result<(), String> {
    let length = std::mem::size_of::<i32>() as u32;
    // SAFETY: the descriptor is open, and the value is an integer that lives for the call.
    let outcome = unsafe { setsockopt(listener.as_raw_fd(), IPPROTO_TCP, TCP_MAXSEG, &SEGMENT, length) };
    match outcome {
        0 => Ok(()),
        _ => Err(format!("the size of packets was not set: {}", std::io::Error::last_os_error())),
    }
}
