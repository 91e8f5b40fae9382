//! A proxy in front of a broker or a server. It passes bytes on in pieces and late, and by draw it resets connections, drops
//! what comes, lets one direction through and not the other, or stands still for a while.

use super::Draw;
use std::collections::BTreeSet;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// What a proxy does to connections; probabilities are of each connection.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Longest that a piece is held back.
    pub held: Duration,
    /// Both sides are reset at some moment.
    pub resets: f64,
    /// Both sides are closed at some moment.
    pub closes: f64,
    /// From some moment on what one side sends does not arrive, and nobody is told.
    pub one_sided: f64,
    /// Within what time of a connection's life a drawn fault begins.
    pub within: Duration,
}

/// What became of connections through a proxy, by the ports that they came from.
#[derive(Debug, Default)]
pub struct Outcomes {
    refused: BTreeSet<u16>,
    cut: BTreeSet<u16>,
}

/// The same, shared with whoever makes the connections.
pub type Shared = Arc<Mutex<Outcomes>>;

impl Outcomes {
    /// Whether a connection was taken though nobody listens behind the proxy.
    pub fn was_refused(&self, port: u16) -> bool {
        self.refused.contains(&port)
    }

    /// Whether the proxy itself ended a connection, or keeps its bytes back.
    pub fn was_cut(&self, port: u16) -> bool {
        self.cut.contains(&port)
    }
}

/// What is drawn for one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Reset,
    Close,
    /// Nothing more arrives at the side that was connected to, or at the one that connected.
    Mute {
        forth: bool,
    },
}

/// Starts a proxy before this address and gives its own. `outcomes` tells what it did to whom.
pub async fn start(before: String, faults: Faults, seed: u64, outcomes: Shared) -> io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let draw = Arc::new(Mutex::new(Draw::new(seed)));
    tokio::spawn(async move {
        while let Ok((client, from)) = listener.accept().await {
            let (before, draw, outcomes) = (before.clone(), draw.clone(), outcomes.clone());
            tokio::spawn(async move {
                {
                    let mut outcomes = outcomes.lock().expect("outcomes");
                    outcomes.refused.remove(&from.port());
                    outcomes.cut.remove(&from.port());
                }
                let Ok(server) = TcpStream::connect(&before).await else {
                    outcomes.lock().expect("outcomes").refused.insert(from.port());
                    return;
                };
                carry(client, server, faults, from.port(), &draw, &outcomes).await;
            });
        }
    });
    Ok(address)
}

fn drawn(faults: Faults, draw: &Mutex<Draw>) -> Option<(Fault, Duration)> {
    let mut draw = draw.lock().expect("the draw");
    let fault = match draw.unit() {
        part if part < faults.resets => Fault::Reset,
        part if part < faults.resets + faults.closes => Fault::Close,
        part if part < faults.resets + faults.closes + faults.one_sided => {
            Fault::Mute { forth: draw.chance(0.5) }
        }
        _ => return None,
    };
    Some((fault, faults.within.mul_f64(draw.unit())))
}

async fn carry(
    client: TcpStream,
    server: TcpStream,
    faults: Faults,
    port: u16,
    draw: &Mutex<Draw>,
    outcomes: &Shared,
) {
    let (_, _) = (client.set_nodelay(true), server.set_nodelay(true));
    let fault = drawn(faults, draw);
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let held = faults.held;
    {
        let forth = pass(&mut client_read, &mut server_write, held, draw);
        let back = pass(&mut server_read, &mut client_write, held, draw);
        let struck = async {
            match fault {
                Some((fault, after)) => {
                    tokio::time::sleep(after).await;
                    fault
                }
                None => std::future::pending().await,
            }
        };
        // The end of either direction ends both, as the close of a socket does.
        tokio::select! {
            _ = forth => return,
            _ = back => return,
            _ = struck => {}
        }
    }
    outcomes.lock().expect("outcomes").cut.insert(port);
    match fault {
        Some((Fault::Reset, _)) => reset([&client_read, &server_read]),
        Some((Fault::Mute { forth: true }, _)) => {
            mute(&mut client_read, &mut server_read, &mut client_write, held, draw).await;
        }
        Some((Fault::Mute { forth: false }, _)) => {
            mute(&mut server_read, &mut client_read, &mut server_write, held, draw).await;
        }
        Some((Fault::Close, _)) | None => {}
    }
}

/// What `from` says is dropped; the other direction goes on.
async fn mute(
    from: &mut OwnedReadHalf,
    other: &mut OwnedReadHalf,
    other_to: &mut OwnedWriteHalf,
    held: Duration,
    draw: &Mutex<Draw>,
) {
    let dropped = async {
        let mut buffer = vec![0; 16 * 1024];
        while matches!(from.read(&mut buffer).await, Ok(1..)) {}
    };
    tokio::select! {
        () = dropped => {}
        _ = pass(other, other_to, held, draw) => {}
    }
}

/// Has both sockets end with a reset once they are closed.
fn reset(sockets: [&OwnedReadHalf; 2]) {
    for socket in sockets {
        let _ = socket2::SockRef::from(socket.as_ref()).set_linger(Some(Duration::ZERO));
    }
}

async fn pass(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    held: Duration,
    draw: &Mutex<Draw>,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let n = from.read(&mut buffer).await?;
        if n == 0 {
            return Ok(());
        }
        let (cut, wait) = {
            let mut draw = draw.lock().expect("the draw");
            (draw.below(n + 1), held.mul_f64(draw.unit()))
        };
        to.write_all(&buffer[..cut]).await?;
        tokio::time::sleep(wait).await;
        to.write_all(&buffer[cut..n]).await?;
    }
}
