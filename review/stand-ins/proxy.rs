//! A TCP proxy that can be cut: then open connections stay open and silent, and end when the cut is over; so do new ones.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Whether all proxies that share it are cut.
pub type Cut = Arc<AtomicBool>;

/// Starts a proxy before an address, and gives its own.
pub fn start(before: String, cut: Cut) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let (before, cut) = (before.clone(), cut.clone());
            thread::spawn(move || {
                if cut.load(Ordering::SeqCst) {
                    while cut.load(Ordering::SeqCst) {
                        thread::sleep(Duration::from_millis(20));
                    }
                    // It has said nothing, and ends.
                    return;
                }
                // Who is behind it may not listen yet: then the connection ends.
                let Ok(server) = TcpStream::connect(before) else { return };
                let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else {
                    return;
                };
                let other = cut.clone();
                thread::spawn(move || pump(from_client, server, &other));
                pump(from_server, client, &cut);
            });
        }
    });
    address
}

/// Hands on what comes. A connection that was open during a cut stays silent, and ends with the cut.
fn pump(mut from: TcpStream, mut to: TcpStream, cut: &Cut) {
    let _ = to.set_nodelay(true);
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    let mut buffer = [0; 16 * 1024];
    let mut was_cut = false;
    loop {
        was_cut |= cut.load(Ordering::SeqCst);
        if was_cut && !cut.load(Ordering::SeqCst) {
            break;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) if !was_cut && !cut.load(Ordering::SeqCst) => {
                if to.write_all(&buffer[..n]).is_err() {
                    break;
                }
            }
            Ok(_) => was_cut = true,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
