//! The fault schedule of this process. It is read before `main` and consulted at each replaced
//! call.

use crate::schedule::{Call, Failure, Schedule};
use libc::{c_int, clockid_t, socklen_t, timespec};
use std::sync::OnceLock;

/// Environment variable that contains the schedule as JSON; [`Schedule`] describes its keys.
const SCHEDULE_VARIABLE: &str = "SYSCALL_FAULTS";
/// Maximum number of bytes that a short read or write transfers.
const MAX_SHORT_BYTES: usize = 512;

struct ProcessSchedule {
    schedule: Schedule,
    started_ms: u64,
}

static PROCESS_SCHEDULE: OnceLock<ProcessSchedule> = OnceLock::new();

/// Makes the dynamic loader call [`read_schedule`] before `main`, so that the schedule also applies
/// to the program's first calls.
#[used]
#[link_section = ".init_array"]
static INITIALIZER: extern "C" fn() = read_schedule;

extern "C" fn read_schedule() {
    let schedule = match std::env::var(SCHEDULE_VARIABLE) {
        Ok(text) => Schedule::parse(&text).unwrap_or_else(|error| {
            eprintln!("{SCHEDULE_VARIABLE}: {error}; the process aborts");
            std::process::abort();
        }),
        Err(_) => Schedule::default(),
    };
    let process_schedule = ProcessSchedule {
        schedule,
        started_ms: monotonic_ms(),
    };
    // The loader calls this function once, so `PROCESS_SCHEDULE` is not set yet.
    let _ = PROCESS_SCHEDULE.set(process_schedule);
}

fn monotonic_ms() -> u64 {
    let mut time = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let clock_gettime = next_symbol!(
        "clock_gettime",
        unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int
    );
    // SAFETY: `time` is valid for a write of one `timespec`.
    unsafe { clock_gettime(libc::CLOCK_MONOTONIC, &mut time) };
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

fn scheduled_failure(call: Call, path: &[u8]) -> Option<Failure> {
    let process = PROCESS_SCHEDULE.get()?;
    let elapsed_ms = monotonic_ms().saturating_sub(process.started_ms);
    process.schedule.failure(call, elapsed_ms, path)
}

/// By how much the wall clock runs ahead, in milliseconds; negative if it runs behind.
pub(crate) fn wall_clock_offset_ms() -> i64 {
    PROCESS_SCHEDULE
        .get()
        .map_or(0, |process| process.schedule.wall_clock_offset_ms())
}

/// Whether the schedule makes this call fail now; if so, `errno` is set.
pub(crate) fn inject_failure(call: Call) -> bool {
    match scheduled_failure(call, &[]) {
        Some(failure) if failure != Failure::Short => {
            set_errno(failure);
            true
        }
        _ => false,
    }
}

/// Whether the schedule makes opening this path fail now; if so, `errno` is set.
pub(crate) fn inject_open_failure(path: &[u8]) -> bool {
    match scheduled_failure(Call::Open, path) {
        Some(failure) => {
            set_errno(failure);
            true
        }
        None => false,
    }
}

fn set_errno(failure: Failure) {
    // SAFETY: `__errno_location` returns a valid pointer to the calling thread's `errno`.
    unsafe { *libc::__errno_location() = failure.errno() };
}

/// Whether a descriptor is an internet socket.
pub(crate) fn is_internet_socket(socket: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    let value: *mut c_int = &mut domain;
    // SAFETY: `value` is valid for a write of `length` bytes, and `length` for a write.
    let result = unsafe {
        libc::getsockopt(
            socket,
            libc::SOL_SOCKET,
            libc::SO_DOMAIN,
            value.cast(),
            &mut length,
        )
    };
    result == 0 && matches!(domain, libc::AF_INET | libc::AF_INET6)
}

/// Maximum number of bytes that a read or write of `length` bytes may transfer. `None`: the call
/// fails, and `errno` is set.
pub(crate) fn max_transfer_length(call: Call, socket: c_int, length: usize) -> Option<usize> {
    if length == 0 || !is_internet_socket(socket) {
        return Some(length);
    }
    match scheduled_failure(call, &[]) {
        None => Some(length),
        Some(Failure::Short) => Some(length.div_ceil(2).min(MAX_SHORT_BYTES)),
        Some(failure) => {
            set_errno(failure);
            None
        }
    }
}
