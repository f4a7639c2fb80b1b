//! Which system calls of a proxy fail, under the names of the preloaded library's schedule.

use crate::environment::Environment;
use rand::seq::SliceRandom;
use rand::Rng;
use serde_json::{json, Value};

/// Offsets of the wall clock, by their frequency.
const WALL_CLOCK_OFFSETS_MS: [i64; 4] = [0, 0, -3_600_000, -7_000];

/// Draws the schedule of a proxy. Some proxies have no failing calls.
pub(crate) fn syscall_faults(environment: &Environment, seed: u64, proxy: usize) -> Value {
    let fraction: f64 = environment.draw(|random| random.gen_range(0.01..0.15));
    let rule = |&(call, failure): &(&str, &str)| json!({"call": call, "failure": failure, "share": fraction});
    let rules: Vec<Value> = failing_calls(proxy).iter().map(rule).collect();
    let offset_ms = environment.draw(|random| *WALL_CLOCK_OFFSETS_MS.choose(random).unwrap_or(&0));
    json!({"seed": seed.wrapping_add(proxy as u64), "wall_clock_ms": offset_ms, "rules": rules})
}

/// Pairs of a call and its failure.
fn failing_calls(proxy: usize) -> &'static [(&'static str, &'static str)] {
    match proxy % 9 {
        1 => &[("receive", "SHORT"), ("send", "SHORT")],
        2 => &[("accept", "ECONNABORTED"), ("socket", "ENOBUFS")],
        4 => &[("connect", "EADDRNOTAVAIL"), ("connect", "ENETUNREACH")],
        5 => &[("receive", "EINTR"), ("send", "EINTR"), ("wait", "EINTR")],
        7 => &[("accept", "ENFILE"), ("open", "EIO"), ("lock", "EIO")],
        _ => &[],
    }
}
