//! A proxy between clients and a broker that passes bytes on in pieces and late, each direction by itself.

use super::Draw;
use std::collections::BTreeSet;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Most that a piece is held back.
const MOST_HELD: f64 = 0.004;

/// Ports of clients whose connections a proxy took though nobody listens behind it.
pub type Refused = Arc<Mutex<BTreeSet<u16>>>;

/// Starts a proxy before this address and gives its own. Whom nobody listens for is noted in `refused`.
pub async fn start(before: String, seed: u64, refused: Refused) -> io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let draw = Arc::new(Mutex::new(Draw::new(seed)));
    tokio::spawn(async move {
        while let Ok((client, from)) = listener.accept().await {
            let (before, draw, refused) = (before.clone(), draw.clone(), refused.clone());
            tokio::spawn(async move {
                let Ok(broker) = TcpStream::connect(&before).await else {
                    refused.lock().expect("the refused").insert(from.port());
                    return;
                };
                let (_, _) = (client.set_nodelay(true), broker.set_nodelay(true));
                let (mut client_read, mut client_write) = client.into_split();
                let (mut broker_read, mut broker_write) = broker.into_split();
                // The end of either direction ends both, as the close of a socket does.
                tokio::select! {
                    _ = pass(&mut client_read, &mut broker_write, &draw) => {}
                    _ = pass(&mut broker_read, &mut client_write, &draw) => {}
                }
            });
        }
    });
    Ok(address)
}

async fn pass(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    draw: &Mutex<Draw>,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let n = from.read(&mut buffer).await?;
        if n == 0 {
            return Ok(());
        }
        let (cut, held) = {
            let mut draw = draw.lock().expect("the draw");
            (draw.below(n + 1), Duration::from_secs_f64(draw.unit() * MOST_HELD))
        };
        to.write_all(&buffer[..cut]).await?;
        tokio::time::sleep(held).await;
        to.write_all(&buffer[cut..n]).await?;
    }
}
