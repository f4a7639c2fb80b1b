//! Discovery's agents: each proxy has one, which delivers the endpoint list to its watches.

use crate::environment::Environment;
use crate::error::SetupError;
use crate::http::{close_on_drop, Close, Reader};
use crate::notification::HEARTBEAT_INTERVAL;
use rand::Rng;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle, JoinSet};
use tokio::time::sleep_until;

/// Answers a watch that the agent refuses.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// Begins a watch.
const WATCH_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What the agent of one proxy does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AgentMode {
    /// It answers.
    Responding,
    /// It accepts connections and is silent, as are open watches from then on.
    Silent,
    /// It refuses watches, and resets open ones.
    Refusing,
}

/// An agent that runs.
#[derive(Debug)]
pub(crate) struct Agent {
    /// Where it answers.
    pub(crate) address: SocketAddr,
    /// Ends it.
    pub(crate) task: AbortHandle,
}

/// Starts an agent for a proxy.
pub(crate) async fn start_agent(
    environment: &Environment,
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
    let environment = environment.clone();
    let task = spawn_local(async move {
        let mut watches = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            while watches.try_join_next().is_some() {}
            close_on_drop(&stream, Close::Reset);
            let watch = Watch {
                environment: environment.clone(),
                proxy,
                reader: Reader::new(stream),
                mode: mode.clone(),
            };
            watches.spawn_local(watch.run());
        }
    });
    Ok(Agent {
        address,
        task: task.abort_handle(),
    })
}

/// A watch of a proxy.
struct Watch {
    environment: Environment,
    proxy: usize,
    reader: Reader,
    mode: watch::Receiver<AgentMode>,
}

impl Watch {
    async fn run(mut self) {
        if self.reader.message().await.is_err() {
            return;
        }
        let mode = *self.mode.borrow_and_update();
        match mode {
            AgentMode::Responding => {}
            AgentMode::Silent => return self.be_silent().await,
            AgentMode::Refusing => {
                write(&mut self.reader.stream, REFUSAL).await;
                return;
            }
        }
        if write(&mut self.reader.stream, WATCH_HEAD).await {
            self.deliver().await;
        }
    }

    /// Delivers the list and then its changes, until the agent's mode ends the watch.
    async fn deliver(mut self) {
        let mut list_versions = self.environment.list_versions();
        let (full, mut delivered) = self.environment.list(|list| (list.full(), list.version()));
        let mut message = Some(full);
        loop {
            let line = message
                .take()
                .map_or_else(|| "\n".to_owned(), |message| format!("{message}\n"));
            if !self.write_chunk(&line).await {
                return;
            }
            self.environment.notifications(self.proxy, |notifications| {
                notifications.delivered(delivered)
            });
            tokio::select! {
                () = sleep_until((Instant::now() + HEARTBEAT_INTERVAL).into()) => {}
                changed = list_versions.changed() => if changed.is_err() { return },
                _ = self.mode.changed() => {}
            }
            let mode = *self.mode.borrow_and_update();
            match mode {
                AgentMode::Responding => {}
                AgentMode::Silent => return self.be_silent().await,
                AgentMode::Refusing => return,
            }
            message = self.environment.list(|list| list.delta(delivered));
            if message.is_some() {
                delivered = self.environment.list(|list| list.version());
            }
        }
    }

    /// Writes a line in two pieces.
    async fn write_chunk(&mut self, line: &str) -> bool {
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        let cut = self
            .environment
            .draw(|random| random.gen_range(0..chunk.len()));
        let (first, second) = chunk.as_bytes().split_at(cut);
        let stream = &mut self.reader.stream;
        write(stream, first).await && write(stream, second).await
    }

    /// Stays open and silent, also when the agent responds again: this watch is broken.
    async fn be_silent(self) {
        std::future::pending::<()>().await;
    }
}

async fn write(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).await.is_ok()
}
