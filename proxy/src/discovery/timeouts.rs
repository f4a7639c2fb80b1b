//! How long discovery is waited for, and how soon it is called again. Without I/O.

use std::time::Duration;

/// Maximum time without data on a watch, and from a request to the head of its response when
/// polling. Discovery sends a heartbeat every 2 s, so a watch without data for half a second more
/// is considered dead. A change of the endpoint list counts as delivered to the proxy at the latest
/// 6 s after discovery has it and can be reached, whether or not it has arrived, and the drain
/// grace starts then. Detecting a dead watch takes 2.5 s and the balancer polls again at most 3 s
/// later, which leaves half a second for the response.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// For how long one call at a time is waited for, however many follow it: a change counts as
/// delivered by then, so that an answer that takes longer is of no use.
const LONGEST_PATIENCE: Duration = Duration::from_secs(6);
/// In push mode, the response timeout is the drain grace divided by this. The agent is on this
/// machine and normally responds at once; a request without a response is sent again.
/// As soon as the agent can respond again, all changes that it has count as delivered to the proxy,
/// and their drain grace starts. An unanswered request takes a third of the drain grace and the
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
    /// Time from the start of connecting to the head of the response after which a call counts as
    /// unanswered. It is still waited for, see [`WatchTimeouts::patience`].
    pub response: Duration,
    /// For how long every call is waited for.
    base_patience: Duration,
    /// For how long one call at a time each is waited for instead.
    long_patiences: &'static [Duration],
    /// Minimum time from the opening of a watch, or from the failure to open it, until the next one
    /// is opened; `None`: the balancer decides when.
    pub reopen_delay: Option<Duration>,
}

impl WatchTimeouts {
    /// For polling a shared discovery service, where requests may be queued.
    pub fn for_polling() -> WatchTimeouts {
        WatchTimeouts {
            response: SILENCE_TIMEOUT,
            base_patience: SILENCE_TIMEOUT,
            long_patiences: &[LONGEST_PATIENCE],
            reopen_delay: None,
        }
    }

    /// For watching an agent on this machine, to which discovery pushes the list.
    pub fn for_push(drain_grace: Duration) -> WatchTimeouts {
        let response = drain_grace / PUSH_RESPONSE_TIMEOUT_DIVISOR;
        let response = response.clamp(MIN_PUSH_RESPONSE_TIMEOUT, MAX_PUSH_RESPONSE_TIMEOUT);
        let reopen_delay = drain_grace / REOPEN_DELAY_DIVISOR;
        WatchTimeouts {
            response,
            // An answer within the drain grace is in time for whatever the agent has by then.
            base_patience: response.max(drain_grace),
            long_patiences: &[LONGEST_PATIENCE, SILENCE_TIMEOUT],
            reopen_delay: Some(reopen_delay.clamp(MIN_REOPEN_DELAY, MAX_REOPEN_DELAY)),
        }
    }

    /// For how long in all an unanswered call is waited for, beside earlier ones that are waited for
    /// with `pending`. Discovery may be slow, and each call would be given up shortly before its
    /// answer if all had the same limit. A call that has been waited for for long may on the other
    /// hand never be answered, although discovery is back, so most calls have a short one.
    pub fn patience(&self, pending: &[Duration]) -> Duration {
        let mut long_patiences = self.long_patiences.iter();
        let unused = long_patiences.find(|patience| !pending.contains(patience));
        unused.copied().unwrap_or(self.base_patience)
    }
}
