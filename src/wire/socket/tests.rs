//! Tests for the classification of socket errors and for the detection of unread data.

use super::*;

/// Guards against a server that counts as failing because this machine could not try to connect. The error codes are those
/// that Linux documents for `connect`.
#[test]
fn local_connect_errors_say_nothing_about_the_peer() {
    let classify = |code: i32| connect_failure(&Error::from_raw_os_error(code));
    let local_errors = [
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EADDRNOTAVAIL,
        libc::ENETUNREACH,
        libc::ENETDOWN,
        libc::EINTR,
        libc::EACCES,
        libc::EPERM,
        libc::EAGAIN,
    ];
    for code in local_errors {
        assert_eq!(classify(code), ConnectFailure::Local, "{code}");
    }
    for code in [libc::ETIMEDOUT, libc::EHOSTUNREACH] {
        assert_eq!(classify(code), ConnectFailure::Unreachable, "{code}");
    }
    assert_eq!(classify(libc::ECONNREFUSED), ConnectFailure::Refused);
    for code in [libc::EINTR, libc::EAGAIN, libc::ENOBUFS, libc::ENOMEM] {
        assert!(is_transient(&Error::from_raw_os_error(code)), "{code}");
    }
    for code in [libc::ECONNRESET, libc::EPIPE, libc::ETIMEDOUT] {
        assert!(!is_transient(&Error::from_raw_os_error(code)), "{code}");
    }
}

#[tokio::test]
async fn unread_data_is_detected_without_a_poll_by_the_runtime() {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut peer =
        std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("connects");
    let (own, _) = listener.accept().expect("accepts");
    own.set_nonblocking(true).expect("switches to non-blocking mode");
    let own = TcpStream::from_std(own).expect("a stream");
    assert_eq!(unread(&own), Unread::Nothing);
    peer.write_all(b"x").expect("writes");
    assert_eq!(unread(&own), Unread::Bytes);
    assert_eq!(unread(&own), Unread::Bytes, "the check consumes nothing");
    drop(peer);
    let mut byte = [0];
    own.readable().await.expect("readable");
    assert_eq!(own.try_read(&mut byte).expect("reads"), 1);
    assert_eq!(unread(&own), Unread::End);
}
