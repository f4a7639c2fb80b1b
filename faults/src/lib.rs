//! Injects faults into system calls of a process under test. The library is preloaded with
//! `LD_PRELOAD`, replaces functions of the C library and makes calls fail according to the JSON
//! schedule in the environment variable `SYSCALL_FAULTS`. Without a schedule no call fails. The
//! library is only loaded at run time; no crate links it.

#[macro_use]
mod next_symbol;

mod process_schedule;
mod schedule;

use libc::{
    c_char, c_int, c_void, clockid_t, iovec, mode_t, sockaddr, socklen_t, ssize_t, timespec,
};
use schedule::Call;
use std::ffi::CStr;

/// Replaces `socket(2)`.
///
/// # Safety
/// The same conditions as for `socket(2)`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if matches!(domain, libc::AF_INET | libc::AF_INET6)
        && process_schedule::inject_failure(Call::Socket)
    {
        return -1;
    }
    next_symbol!("socket", unsafe extern "C" fn(c_int, c_int, c_int) -> c_int)(
        domain, kind, protocol,
    )
}

/// Replaces `accept4(2)`.
///
/// # Safety
/// The same conditions as for `accept4(2)`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if process_schedule::inject_failure(Call::Accept) {
        return -1;
    }
    let next = next_symbol!(
        "accept4",
        unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int
    );
    next(socket, address, length, flags)
}

/// Replaces `connect(2)`.
///
/// # Safety
/// The same conditions as for `connect(2)`.
#[no_mangle]
pub unsafe extern "C" fn connect(
    socket: c_int,
    address: *const sockaddr,
    length: socklen_t,
) -> c_int {
    if process_schedule::is_internet_socket(socket)
        && process_schedule::inject_failure(Call::Connect)
    {
        return -1;
    }
    next_symbol!(
        "connect",
        unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int
    )(socket, address, length)
}

/// Replaces `recv(2)`.
///
/// # Safety
/// The same conditions as for `recv(2)`.
#[no_mangle]
pub unsafe extern "C" fn recv(
    socket: c_int,
    bytes: *mut c_void,
    length: usize,
    flags: c_int,
) -> ssize_t {
    let Some(length) = process_schedule::max_transfer_length(Call::Receive, socket, length) else {
        return -1;
    };
    next_symbol!(
        "recv",
        unsafe extern "C" fn(c_int, *mut c_void, usize, c_int) -> ssize_t
    )(socket, bytes, length, flags)
}

/// Replaces `send(2)`.
///
/// # Safety
/// The same conditions as for `send(2)`.
#[no_mangle]
pub unsafe extern "C" fn send(
    socket: c_int,
    bytes: *const c_void,
    length: usize,
    flags: c_int,
) -> ssize_t {
    let Some(length) = process_schedule::max_transfer_length(Call::Send, socket, length) else {
        return -1;
    };
    next_symbol!(
        "send",
        unsafe extern "C" fn(c_int, *const c_void, usize, c_int) -> ssize_t
    )(socket, bytes, length, flags)
}

/// Replaces `writev(2)`.
///
/// # Safety
/// The same conditions as for `writev(2)`.
#[no_mangle]
pub unsafe extern "C" fn writev(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    let next = next_symbol!(
        "writev",
        unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t
    );
    if count < 1 {
        return next(descriptor, buffers, count);
    }
    let first = *buffers;
    match process_schedule::max_transfer_length(Call::Send, descriptor, first.iov_len) {
        None => -1,
        Some(length) if length == first.iov_len => next(descriptor, buffers, count),
        Some(length) => next(
            descriptor,
            &iovec {
                iov_base: first.iov_base,
                iov_len: length,
            },
            1,
        ),
    }
}

/// Replaces `epoll_wait(2)`.
///
/// # Safety
/// The same conditions as for `epoll_wait(2)`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if process_schedule::inject_failure(Call::Wait) {
        return -1;
    }
    let next = next_symbol!(
        "epoll_wait",
        unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int
    );
    next(epoll, events, max_events, timeout)
}

/// Replaces `open64(2)`.
///
/// # Safety
/// The same conditions as for `open(2)`.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    if process_schedule::inject_open_failure(CStr::from_ptr(path).to_bytes()) {
        return -1;
    }
    // The C library's function is variadic, and its callers pass `mode` as they would to this
    // function with three fixed parameters.
    next_symbol!(
        "open64",
        unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int
    )(path, flags, mode)
}

/// Replaces `flock(2)`.
///
/// # Safety
/// The same conditions as for `flock(2)`.
#[no_mangle]
pub unsafe extern "C" fn flock(descriptor: c_int, operation: c_int) -> c_int {
    if process_schedule::inject_failure(Call::Lock) {
        return -1;
    }
    next_symbol!("flock", unsafe extern "C" fn(c_int, c_int) -> c_int)(descriptor, operation)
}

/// Replaces `clock_gettime(2)`.
///
/// # Safety
/// The same conditions as for `clock_gettime(2)`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let next = next_symbol!(
        "clock_gettime",
        unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int
    );
    let result = next(clock, time);
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let offset_ms = process_schedule::wall_clock_offset_ms();
        (*time).tv_sec += offset_ms.div_euclid(1_000);
        (*time).tv_nsec += offset_ms.rem_euclid(1_000) * 1_000_000;
        if (*time).tv_nsec >= 1_000_000_000 {
            (*time).tv_sec += 1;
            (*time).tv_nsec -= 1_000_000_000;
        }
    }
    result
}
