//! Runs one attempt: selects its connection, exchanges the request and the response, and determines
//! the outcome.

use crate::control::connection_pool::IdleConnection;
use crate::control::endpoints::EndpointProcess;
use crate::control::request::ForwardedRequest;
use crate::control::Control;
use crate::upstream::{
    self, AttemptEnd, BufferingContext, Connection, ExchangeContext, FlushRequest,
};
use crate::write_guard::WriteGuard;
use balancer::Outcome;
use std::pin::pin;
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

/// An attempt and everything that its task needs to run it.
pub(super) struct Attempt {
    pub(super) control: Control,
    /// The endpoint process that the attempt is sent to.
    pub(super) process: EndpointProcess,
    pub(super) forwarded: Rc<ForwardedRequest>,
    /// When the attempt times out. Does not apply if the request's body is streamed: then the
    /// deadline depends on when the last byte can have arrived.
    pub(super) deadline: Instant,
    pub(super) write_guard: WriteGuard,
    /// Has the response forwarded as far as it has arrived at the deadline.
    pub(super) flush_request: FlushRequest,
}

impl Attempt {
    /// Runs the attempt, on the idle connection if that is still usable. The attempt ends at its
    /// deadline at the latest; a response that is arriving then is streamed to the client.
    pub(super) async fn run(&self, idle_connection: Option<IdleConnection>) -> AttemptEnd {
        let mut exchange = pin!(self.exchange(idle_connection));
        let end = tokio::select! {
            // Polled in this order so that a response that arrives together with the deadline is
            // forwarded.
            biased;
            end = &mut exchange => match end.outcome {
                Outcome::ConnectFailed if self.write_guard.is_start_window_closed() => {
                    AttemptEnd::without_response(Outcome::NeverSent)
                }
                _ => end,
            },
            () = self.write_guard.start_window_closed() => {
                AttemptEnd::without_response(Outcome::NeverSent)
            }
            () = self.timed_out() => {
                // A response that is arriving is not given up: it may be long, and what counts then
                // is its first byte.
                if self.flush_request.request() {
                    exchange.await
                } else {
                    AttemptEnd::without_response(self.timeout_outcome())
                }
            }
        };
        // A failed upload must not count against the endpoint, so the attempt is reported as
        // cancelled.
        match self
            .forwarded
            .body
            .upload()
            .and_then(|upload| upload.result())
        {
            Some(Err(_)) => AttemptEnd::without_response(Outcome::Cancelled),
            _ => end,
        }
    }

    /// Completes when the attempt times out or the graceful shutdown reaches its end.
    async fn timed_out(&self) {
        let shutdown = self.control.state().shutdown.clone();
        tokio::select! {
            () = self.deadline_passed() => {}
            () = shutdown.ended() => {}
        }
    }

    /// Completes at the attempt's deadline, which moves while a streamed body arrives. If the upload
    /// fails, `downstream::forward` drops the request's `PendingReply`, which cancels the attempt.
    async fn deadline_passed(&self) {
        let forwarded = &self.forwarded;
        match forwarded.body.upload() {
            None => sleep_until(self.deadline).await,
            Some(upload) => upload.response_timed_out(forwarded.response_timeout).await,
        }
    }

    fn timeout_outcome(&self) -> Outcome {
        let upload = self.forwarded.body.upload();
        if self.write_guard.is_fully_written() {
            Outcome::TimedOut
        } else if upload.is_some_and(|upload| upload.is_consumed()) {
            Outcome::Truncated
        } else {
            Outcome::ConnectFailed
        }
    }

    async fn exchange(&self, idle_connection: Option<IdleConnection>) -> AttemptEnd {
        if let Some(idle_connection) = self.wait_for_reuse_delay(idle_connection).await {
            if let Some(end) = self.exchange_on_reused(idle_connection).await {
                return end;
            }
            self.write_guard.reset_written();
        }
        // Bytes written to a reused connection that broke are lost, so the request is written again
        // from its first byte. Its start window may have closed since, or the endpoint may have
        // been listed as draining.
        if self.write_guard.is_start_window_closed()
            || !self.control.state().endpoints.accepts(self.process)
        {
            return AttemptEnd::without_response(Outcome::NeverSent);
        }
        // No endpoint has received the whole request, so sending it again cannot execute it twice.
        self.exchange_on_new().await
    }

    /// Returns the connection once it may be reused; `None` if it is not usable by then.
    async fn wait_for_reuse_delay(
        &self,
        idle_connection: Option<IdleConnection>,
    ) -> Option<IdleConnection> {
        let idle_connection = idle_connection?;
        idle_connection.wait_for_reuse_delay().await;
        let endpoint = self.process.endpoint_id;
        let pool = &mut self.control.state_mut().pool;
        pool.check_after_delay(endpoint, idle_connection)
    }

    /// Returns `None` if the connection was closed before the whole request was written and the
    /// request can be written again from its first byte.
    async fn exchange_on_reused(&self, idle_connection: IdleConnection) -> Option<AttemptEnd> {
        let idle_time = idle_connection.idle_since.elapsed();
        let end = self.exchange_on(idle_connection.connection).await;
        if end.is_none() {
            if let Some(end) = self.end_if_disconnected() {
                return Some(end);
            }
        }
        let is_broken = end.as_ref().is_none_or(|end| end.outcome == Outcome::Stale);
        if is_broken {
            self.control.metrics().counters_mut().broken_reuse += 1;
        }
        self.control
            .state_mut()
            .pool
            .record_reuse(idle_time, is_broken);
        end
    }

    async fn exchange_on_new(&self) -> AttemptEnd {
        let Some(permit) = self.control.reserve_connection().await else {
            return AttemptEnd::without_response(Outcome::NeverSent);
        };
        let connect_timeout = self.control.config().connect_timeout;
        let opened = Connection::open(self.process.address, connect_timeout, permit).await;
        let metrics = self.control.metrics();
        let end = match opened {
            Ok(connection) => {
                metrics.counters_mut().opened += 1;
                self.exchange_on(connection)
                    .await
                    .or_else(|| self.end_if_disconnected())
            }
            Err(error) => {
                metrics.counters_mut().open_failed += 1;
                error
                    .is_resource_exhaustion()
                    .then(|| AttemptEnd::without_response(Outcome::NeverSent))
            }
        };
        end.unwrap_or_else(|| AttemptEnd::without_response(Outcome::ConnectFailed))
    }

    async fn exchange_on(&self, connection: Connection) -> Option<AttemptEnd> {
        let memory = self.control.memory();
        let (control, process) = (self.control.clone(), self.process);
        let context = ExchangeContext {
            request_body: &self.forwarded.body,
            write_guard: &self.write_guard,
            buffering: BufferingContext {
                memory: &memory,
                write_guard: &self.write_guard,
                response_due_at: self.response_due_at(),
                flush_request: &self.flush_request,
            },
            return_connection: Box::new(move |connection| {
                return_when_idle(control, process, connection)
            }),
        };
        let message = self.forwarded.message(self.deadline, &self.write_guard);
        upstream::exchange(connection, message, context).await
    }

    /// Until when the response counts, see [`balancer::Class::weighted_time`].
    fn response_due_at(&self) -> Instant {
        let forwarded = &self.forwarded;
        let arrived_at = match forwarded.body.upload() {
            Some(upload) => upload.earliest_completion(),
            None => self
                .deadline
                .checked_sub(forwarded.response_timeout)
                .unwrap_or(self.deadline),
        };
        arrived_at + forwarded.weighted_time
    }

    /// The end of an attempt that was not written completely because its client has disconnected.
    /// It is reported as never sent or cancelled, so that it does not count against the endpoint.
    /// `None` if the client is still connected.
    fn end_if_disconnected(&self) -> Option<AttemptEnd> {
        if !self.forwarded.client.has_disconnected() {
            return None;
        }
        let is_unwritten = self.write_guard.bytes_written() == 0;
        let outcome = if is_unwritten {
            Outcome::NeverSent
        } else {
            Outcome::Cancelled
        };
        Some(AttemptEnd::without_response(outcome))
    }
}

/// Returns the connection of a streamed response to the pool once it is idle.
fn return_when_idle(control: Control, process: EndpointProcess, connection: Connection) {
    spawn_local(async move {
        if let Some(connection) = connection.into_idle().await {
            control.state_mut().return_connection(process, connection);
        }
    });
}
