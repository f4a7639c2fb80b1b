//! Discovery agents. Each proxy has one, which delivers the endpoint list to the proxy's watches.

use crate::error::SetupError;
use crate::http::{set_close_mode, CloseMode, Reader};
use crate::notification::{Notifications, HEARTBEAT_INTERVAL};
use crate::shared_state::SharedState;
use rand::Rng;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle, JoinSet};
use tokio::time::{sleep, sleep_until};

/// Response to a watch that the agent refuses.
const REFUSAL_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// Head of the response to a watch; the lines of the list follow as chunks.
const WATCH_RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Shortest time by which a slow agent delays the head of its answer, or the list, in milliseconds.
const MIN_SLOW_ANSWER_MS: u64 = 50;
/// Longest such time, in milliseconds.
const MAX_SLOW_ANSWER_MS: u64 = 2_000;

/// How the agent of a proxy behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AgentMode {
    /// It accepts watches and delivers the list.
    Responding,
    /// It accepts connections but sends nothing, and open watches stay silent from then on.
    Silent,
    /// It refuses new watches and resets open ones.
    Refusing,
}

/// A running agent.
#[derive(Debug)]
pub(crate) struct Agent {
    /// Address on which it listens.
    pub(crate) address: SocketAddr,
    /// The agent's task, which owns its watches.
    pub(crate) task: AbortHandle,
}

/// Starts an agent for a proxy.
pub(crate) async fn start_agent(
    shared: &SharedState,
    proxy: usize,
    mode: watch::Receiver<AgentMode>,
) -> Result<Agent, SetupError> {
    let listen_error = |source| SetupError::Listen {
        purpose: "an agent",
        source,
    };
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    let shared = shared.clone();
    let is_slow = shared.config().has_slow_peers && shared.draw_bool(0.5);
    let head_delay = is_slow.then(|| shared.draw_millis(MIN_SLOW_ANSWER_MS, MAX_SLOW_ANSWER_MS));
    if is_slow {
        shared.with_notifications(proxy, Notifications::record_slow_agent);
    }
    let task = spawn_local(async move {
        let mut watches = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            while watches.try_join_next().is_some() {}
            set_close_mode(&stream, CloseMode::Reset);
            let watch = Watch {
                shared: shared.clone(),
                proxy,
                reader: Reader::new(stream),
                mode: mode.clone(),
                head_delay,
            };
            watches.spawn_local(watch.serve());
        }
    });
    Ok(Agent {
        address,
        task: task.abort_handle(),
    })
}

/// A proxy's watch of the endpoint list.
struct Watch {
    shared: SharedState,
    proxy: usize,
    reader: Reader,
    mode: watch::Receiver<AgentMode>,
    /// How long a slow agent takes for the head of its answer.
    head_delay: Option<Duration>,
}

impl Watch {
    async fn serve(mut self) {
        if self.reader.read_message().await.is_err() {
            return;
        }
        let mode = *self.mode.borrow_and_update();
        match mode {
            AgentMode::Responding => {}
            AgentMode::Silent => return self.stay_silent().await,
            AgentMode::Refusing => {
                write(&mut self.reader.stream, REFUSAL_RESPONSE).await;
                return;
            }
        }
        if let Some(delay) = self.head_delay {
            sleep(delay).await;
        }
        let mode = *self.mode.borrow_and_update();
        match mode {
            AgentMode::Responding => {}
            AgentMode::Silent => return self.stay_silent().await,
            AgentMode::Refusing => return,
        }
        if write(&mut self.reader.stream, WATCH_RESPONSE_HEAD).await {
            if self.head_delay.is_some() && self.shared.draw_bool(0.3) {
                sleep(
                    self.shared
                        .draw_millis(MIN_SLOW_ANSWER_MS, MAX_SLOW_ANSWER_MS),
                )
                .await;
            }
            self.deliver().await;
        }
    }

    /// Delivers the whole list, then its changes and heartbeats, until the agent's mode or the
    /// proxy ends the watch.
    async fn deliver(mut self) {
        let mut list_versions = self.shared.subscribe_to_list_versions();
        let (snapshot, mut delivered) = self
            .shared
            .with_list(|list| (list.snapshot(), list.version()));
        let mut message = Some(snapshot);
        loop {
            let line = message
                .take()
                .map_or_else(|| "\n".to_owned(), |message| format!("{message}\n"));
            if !self.write_chunk(&line).await {
                return;
            }
            self.shared.with_notifications(self.proxy, |notifications| {
                notifications.record_delivery(delivered)
            });
            tokio::select! {
                () = sleep_until((Instant::now() + HEARTBEAT_INTERVAL).into()) => {}
                changed = list_versions.changed() => if changed.is_err() { return },
                _ = self.mode.changed() => {}
            }
            let mode = *self.mode.borrow_and_update();
            match mode {
                AgentMode::Responding => {}
                AgentMode::Silent => return self.stay_silent().await,
                AgentMode::Refusing => return,
            }
            message = self.shared.with_list(|list| list.changes_since(delivered));
            if message.is_some() {
                delivered = self.shared.with_list(|list| list.version());
            }
        }
    }

    /// Writes a line as a chunk in two parts, which are cut at a random byte so that the proxy may
    /// read only a part of it at first. Returns whether writing succeeded.
    async fn write_chunk(&mut self, line: &str) -> bool {
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        let cut = self.shared.draw(|random| random.gen_range(0..chunk.len()));
        let (first, second) = chunk.as_bytes().split_at(cut);
        let stream = &mut self.reader.stream;
        write(stream, first).await && write(stream, second).await
    }

    /// Keeps the watch open without sending anything. It stays silent even after the agent responds
    /// again, like a connection that was lost unnoticed.
    async fn stay_silent(self) {
        std::future::pending::<()>().await;
    }
}

async fn write(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).await.is_ok()
}
