//! What errors say, and what lies on a socket.

use super::*;

/// Guards against a server that is taken for failing because this machine could not try, as Linux documents it.
#[test]
fn errors_of_this_machine_say_nothing_of_the_other_side() {
    let said = |code: i32| connect_failure(&Error::from_raw_os_error(code));
    let here = [
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
    for code in here {
        assert_eq!(said(code), ConnectFailure::Local, "{code}");
    }
    for code in [libc::ETIMEDOUT, libc::EHOSTUNREACH] {
        assert_eq!(said(code), ConnectFailure::Unreachable, "{code}");
    }
    assert_eq!(said(libc::ECONNREFUSED), ConnectFailure::Refused);
    for code in [libc::EINTR, libc::EAGAIN, libc::ENOBUFS, libc::ENOMEM] {
        assert!(is_transient(&Error::from_raw_os_error(code)), "{code}");
    }
    for code in [libc::ECONNRESET, libc::EPIPE, libc::ETIMEDOUT] {
        assert!(!is_transient(&Error::from_raw_os_error(code)), "{code}");
    }
}

#[tokio::test]
async fn what_lies_on_a_socket_is_seen_without_a_look_by_the_runtime() {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut other =
        std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("connects");
    let (own, _) = listener.accept().expect("accepts");
    own.set_nonblocking(true).expect("does not wait");
    let own = TcpStream::from_std(own).expect("a stream");
    assert_eq!(unread(&own), Unread::Nothing);
    other.write_all(b"x").expect("writes");
    assert_eq!(unread(&own), Unread::Bytes);
    assert_eq!(unread(&own), Unread::Bytes, "nothing was taken");
    drop(other);
    let mut byte = [0];
    own.readable().await.expect("readable");
    assert_eq!(own.try_read(&mut byte).expect("reads"), 1);
    assert_eq!(unread(&own), Unread::End);
}
