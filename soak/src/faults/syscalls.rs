//! Draws the schedule of failing system calls of a proxy, in the format of the preloaded library.

use crate::shared_state::SharedState;
use rand::seq::SliceRandom;
use rand::Rng;
use serde_json::{json, Value};

/// Offsets of a proxy's wall clock to draw from; one that is listed twice is drawn twice as often.
const WALL_CLOCK_OFFSETS_MS: [i64; 4] = [0, 0, -3_600_000, -7_000];

/// Draws the schedule of a proxy. Some proxies have no failing system calls.
pub(crate) fn draw_syscall_schedule(shared: &SharedState, seed: u64, proxy: usize) -> Value {
    let fraction: f64 = shared.draw(|random| random.gen_range(0.01..0.15));
    let rules: Vec<Value> = failing_calls(proxy)
        .iter()
        .map(|failing| failing.rule(fraction))
        .collect();
    let offset_ms = shared.draw(|random| *WALL_CLOCK_OFFSETS_MS.choose(random).unwrap_or(&0));
    json!({"seed": seed.wrapping_add(proxy as u64), "wall_clock_ms": offset_ms, "rules": rules})
}

/// A system call that fails, and its failure, as the library names them.
struct FailingCall {
    call: &'static str,
    failure: &'static str,
}

impl FailingCall {
    fn rule(&self, fraction: f64) -> Value {
        json!({"call": self.call, "failure": self.failure, "share": fraction})
    }
}

const fn failing(call: &'static str, failure: &'static str) -> FailingCall {
    FailingCall { call, failure }
}

const SHORT_TRANSFERS: &[FailingCall] = &[failing("receive", "SHORT"), failing("send", "SHORT")];
const FAILING_CONNECTION_SETUP: &[FailingCall] = &[
    failing("accept", "ECONNABORTED"),
    failing("socket", "ENOBUFS"),
];
const FAILING_CONNECTS: &[FailingCall] = &[
    failing("connect", "EADDRNOTAVAIL"),
    failing("connect", "ENETUNREACH"),
];
const INTERRUPTED_CALLS: &[FailingCall] = &[
    failing("receive", "EINTR"),
    failing("send", "EINTR"),
    failing("wait", "EINTR"),
];
const FAILING_FILE_CALLS: &[FailingCall] = &[
    failing("accept", "ENFILE"),
    failing("open", "EIO"),
    failing("lock", "EIO"),
];

fn failing_calls(proxy: usize) -> &'static [FailingCall] {
    match proxy % 9 {
        1 => SHORT_TRANSFERS,
        2 => FAILING_CONNECTION_SETUP,
        4 => FAILING_CONNECTS,
        5 => INTERRUPTED_CALLS,
        7 => FAILING_FILE_CALLS,
        _ => &[],
    }
}
