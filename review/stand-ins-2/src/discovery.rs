//! A stand-in for the discovery service: HTTP/1.1, whole lists and watches.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A node as discovery lists it.
#[derive(Clone, PartialEq)]
pub struct Member {
    pub id: String,
    pub address: String,
    pub cell: u32,
    pub phase: &'static str,
}

impl Member {
    pub fn ready(id: &str, address: &str, cell: u32) -> Member {
        Member { id: id.to_string(), address: address.to_string(), cell, phase: "ready" }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"room-a","flavor":"dual-core","cell":{},"phase":"{}","size":1.0,"up_since_ms":0}}"#,
            self.id, self.address, self.cell, self.phase
        )
    }
}

/// The revision, and each member with the revision of its last change.
#[derive(Default)]
struct State {
    revision: u64,
    members: Vec<(u64, Member)>,
}

/// The service.
#[derive(Clone)]
pub struct Discovery {
    pub address: String,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    pub fn start(members: &[Member]) -> Result<Discovery, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?.to_string();
        let state = State { revision: 1, members: members.iter().map(|m| (1, m.clone())).collect() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let discovery = Discovery { address, state };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(discovery)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut lines = BufReader::new(stream).lines();
        while let Some(Ok(request)) = lines.next() {
            while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
            let target = request.split(' ').nth(1).unwrap_or("").to_string();
            let argument = |name: &str| {
                let query = target.split_once('?').map_or("", |(_, query)| query);
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.clone().find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
            };
            let body = self.answer(argument("index"), argument("wait").unwrap_or(0));
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, index: Option<u64>, wait: u64) -> String {
        let (state, changed) = &*self.state;
        let Ok(mut state) = state.lock() else { return String::new() };
        let end = Instant::now() + Duration::from_millis(wait.min(60_000));
        while index.is_some_and(|index| state.revision <= index) && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            match changed.wait_timeout(state, left) {
                Ok((next, _)) => state = next,
                Err(_) => return String::new(),
            }
        }
        let complete = index.is_none();
        let listed = state.members.iter().filter(|(at, m)| match index {
            Some(index) => *at > index,
            None => m.phase != "gone",
        });
        let members: Vec<String> = listed.map(|(_, member)| member.json()).collect();
        format!(
            r#"{{"revision":{},"complete":{complete},"members":[{}]}}"#,
            state.revision,
            members.join(",")
        )
    }
}
