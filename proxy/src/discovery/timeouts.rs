//! How long discovery is waited for, and how soon it is called again. Without I/O.

use std::time::Duration;

/// Maximum time without data on a watch, and from a request to the head of its response when
/// polling. Discovery sends a heartbeat every 2 s, so a watch without data for half a second more
/// is considered dead. A change of the endpoint list counts as delivered to the proxy at the latest
/// 6 s after discovery has it and can be reached, whether or not it has arrived, and the drain
/// grace starts then. Detecting a dead watch takes 2.5 s and the balancer polls again at most 3 s
/// later, which leaves half a second for the response.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// In push mode, the response timeout is the drain grace divided by this. The agent is on this
/// machine and normally responds at once; a request without a response is abandoned and sent again.
/// As soon as the agent can respond again, all changes that it has count as delivered to the proxy,
/// and their drain grace starts. An abandoned request takes a third of the drain grace and the
/// delay before the next request a tenth, so more than half is left for the next request.
const PUSH_RESPONSE_TIMEOUT_DIVISOR: u32 = 3;
/// Minimum response timeout in push mode. A shorter one would end requests whose response is late
/// only because a process waits for the CPU.
const MIN_PUSH_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_PUSH_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// In push mode, the delay before a watch is reopened is the drain grace divided by this.
const REOPEN_DELAY_DIVISOR: u32 = 10;
const MIN_REOPEN_DELAY: Duration = Duration::from_millis(10);
const MAX_REOPEN_DELAY: Duration = Duration::from_millis(100);

/// Timeouts and delays of a watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchTimeouts {
    /// Maximum time from the start of connecting to the head of the response.
    pub response: Duration,
    /// Minimum time from the opening of a watch, or from the failure to open it, until the next one
    /// is opened; `None`: the balancer decides when.
    pub reopen_delay: Option<Duration>,
}

impl WatchTimeouts {
    /// For polling a shared discovery service, where requests may be queued.
    pub fn for_polling() -> WatchTimeouts {
        WatchTimeouts {
            response: SILENCE_TIMEOUT,
            reopen_delay: None,
        }
    }

    /// For watching an agent on this machine, to which discovery pushes the list.
    pub fn for_push(drain_grace: Duration) -> WatchTimeouts {
        let response = drain_grace / PUSH_RESPONSE_TIMEOUT_DIVISOR;
        let reopen_delay = drain_grace / REOPEN_DELAY_DIVISOR;
        WatchTimeouts {
            response: response.clamp(MIN_PUSH_RESPONSE_TIMEOUT, MAX_PUSH_RESPONSE_TIMEOUT),
            reopen_delay: Some(reopen_delay.clamp(MIN_REOPEN_DELAY, MAX_REOPEN_DELAY)),
        }
    }
}
