//! A stand-in discovery: versions of a list of servers, answered whole or as what has changed, with faults.

use super::RunClock;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Longest wait of a watch.
const LONGEST_WAIT: u64 = 60_000;

/// How discovery treats calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Manner {
    /// It answers.
    #[default]
    Answers,
    /// It turns calls away.
    Refuses,
    /// It reads calls and says nothing.
    Silent,
    /// It answers in pieces with rests between them, slower than is waited for.
    Drips,
}

#[derive(Debug, Clone, PartialEq)]
struct Entry {
    json: String,
    version: u64,
}

#[derive(Default)]
struct Listed {
    version: u64,
    entries: BTreeMap<String, Entry>,
    manner: Manner,
    bytes: u64,
    calls: u64,
}

/// The service.
#[derive(Clone)]
pub struct Discovery {
    listed: Arc<Mutex<Listed>>,
    news: Arc<Notify>,
    /// Where it listens.
    pub address: String,
    _clock: RunClock,
}

/// A server as a list names it.
#[derive(Debug, Clone)]
pub struct Member<'a> {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub address: &'a str,
    /// Its shard.
    pub shard: usize,
    /// `ready`, `draining` or `gone`.
    pub phase: &'a str,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    pub started_ms: u64,
}

impl Discovery {
    /// Starts an empty one.
    pub async fn start(clock: RunClock) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let discovery =
            Discovery { listed: Arc::default(), news: Arc::new(Notify::new()), address, _clock: clock };
        let own = discovery.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let own = own.clone();
                tokio::spawn(async move {
                    let _ = own.serve(stream).await;
                });
            }
        });
        Ok(discovery)
    }

    fn listed(&self) -> std::sync::MutexGuard<'_, Listed> {
        self.listed.lock().expect("the list")
    }

    /// Changes entries, as one new version.
    pub fn change<'a>(&self, members: impl IntoIterator<Item = Member<'a>>) {
        {
            let mut listed = self.listed();
            listed.version += 1;
            let version = listed.version;
            for m in members {
                let json = format!(
                    r#"{{"id":"{}","host_port":"{}","locality":"a","flavor":"m2","cell":{},"phase":"{}","size":1.0,"up_since_ms":{}}}"#,
                    m.id, m.address, m.shard, m.phase, m.started_ms
                );
                listed.entries.insert(m.id, Entry { json, version });
            }
        }
        self.news.notify_waiters();
    }

    /// How it behaves from now on. Watches that are open see it.
    pub fn behave(&self, manner: Manner) {
        self.listed().manner = manner;
        self.news.notify_waiters();
    }

    /// Bytes of answers that were written, and calls that came.
    pub fn traffic(&self) -> (u64, u64) {
        let listed = self.listed();
        (listed.bytes, listed.calls)
    }

    fn answer(&self, index: u64) -> Option<String> {
        let listed = self.listed();
        if listed.version <= index {
            return None;
        }
        let whole = index == 0;
        let gone = |e: &Entry| e.json.contains(r#""phase":"gone""#);
        let fits = |e: &&Entry| if whole { !gone(e) } else { e.version > index };
        let members: Vec<&str> = listed.entries.values().filter(fits).map(|e| e.json.as_str()).collect();
        Some(format!(
            r#"{{"revision":{},"complete":{whole},"members":[{}]}}"#,
            listed.version,
            members.join(",")
        ))
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut read = Vec::new();
        loop {
            while !read.ends_with(b"\r\n\r\n") {
                if stream.read_buf(&mut read).await? == 0 {
                    return Ok(());
                }
            }
            let call = String::from_utf8_lossy(&read).into_owned();
            read.clear();
            self.listed().calls += 1;
            let (index, wait) = (number(&call, "index="), number(&call, "wait=").min(LONGEST_WAIT));
            let body = self.wait(index, Duration::from_millis(wait)).await;
            let manner = self.listed().manner;
            match manner {
                Manner::Silent => {
                    std::future::pending::<()>().await;
                }
                Manner::Refuses => {
                    let answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(answer.as_bytes()).await?;
                    continue;
                }
                Manner::Answers | Manner::Drips => {}
            }
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            self.listed().bytes += answer.len() as u64;
            if manner == Manner::Drips {
                for piece in answer.as_bytes().chunks((answer.len() / 8).max(1)) {
                    stream.write_all(piece).await?;
                    tokio::time::sleep(Duration::from_millis(90)).await;
                }
                continue;
            }
            stream.write_all(answer.as_bytes()).await?;
        }
    }

    /// What is newer than a version, once there is something or the wait is over.
    async fn wait(&self, index: u64, wait: Duration) -> String {
        let end = tokio::time::Instant::now() + wait;
        loop {
            let news = self.news.notified();
            if let Some(body) = self.answer(index) {
                return body;
            }
            if !matches!(self.listed().manner, Manner::Answers | Manner::Drips)
                || tokio::time::timeout_at(end, news).await.is_err()
            {
                return format!(r#"{{"revision":{index},"complete":false,"members":[]}}"#);
            }
        }
    }
}

fn number(call: &str, name: &str) -> u64 {
    let digits: String =
        call.split(name).nth(1).unwrap_or("").chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}
