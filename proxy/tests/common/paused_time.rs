//! A paused clock that only the test advances.

use std::future::Future;
use std::time::Duration;
use tokio::task::{spawn_blocking, yield_now, LocalSet};
use tokio::time::{advance, Instant};

pub(crate) const MS: Duration = Duration::from_millis(1);
const STEP: Duration = Duration::from_millis(10);

/// Runs a test on a paused clock. The runtime advances a paused clock by itself when all tasks
/// wait; a blocking task that runs until the end of the test prevents that.
pub(crate) fn run_with_paused_time<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    let runtime = runtime.expect("cannot build a runtime");
    let (end, ended) = std::sync::mpsc::channel::<()>();
    let result = LocalSet::new().block_on(&runtime, async {
        spawn_blocking(move || ended.recv());
        test.await
    });
    drop(end);
    result
}

/// Lets tasks run that can proceed without the clock advancing, for 40 turns of the runtime.
pub(crate) async fn run_ready_tasks() {
    for _ in 0..20 {
        yield_now().await;
    }
    // Bytes written to a socket may have to be delivered by another thread.
    std::thread::sleep(Duration::from_micros(50));
    for _ in 0..20 {
        yield_now().await;
    }
}

/// Advances the clock until the condition is met, and returns the time advanced. Panics with
/// `what`, which describes the condition, after 30 s of test time.
pub(crate) async fn advance_until(what: &str, condition: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    run_ready_tasks().await;
    while !condition() {
        assert!(
            start.elapsed() < Duration::from_secs(30),
            "condition not met within 30 s of test time: {what}"
        );
        advance(STEP).await;
        run_ready_tasks().await;
    }
    start.elapsed()
}

/// Waits until the condition is met, without advancing the clock. Panics with `what`, which
/// describes the condition, after 15 s of real time.
pub(crate) async fn wait_without_advancing(what: &str, condition: impl Fn() -> bool) {
    let begun = std::time::Instant::now();
    while !condition() {
        assert!(
            begun.elapsed() < Duration::from_secs(15),
            "condition not met within 15 s of real time: {what}"
        );
        run_ready_tasks().await;
    }
}
