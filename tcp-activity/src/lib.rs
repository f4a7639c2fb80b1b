//! When a TCP connection was established, when it last received data, and how much of that is unread,
//! as Linux knows it (`TCP_INFO` and `SIOCINQ`, tcp(7)).

use std::io;
use std::os::fd::BorrowedFd;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Resolution of the times: the longest tick of the kernel's clock, at 100 ticks a second.
pub const RESOLUTION: Duration = Duration::from_millis(10);

/// How long ago a connection was last active.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Activity {
    /// Time since this side last sent data; since the connection was established if it sent none.
    pub since_last_send: Duration,
    /// Time since data last arrived, read or not; since the connection was established if none has
    /// arrived.
    pub since_last_receive: Duration,
}

/// Returns the times of a connected TCP socket. Fails where the system does not tell.
#[cfg(target_os = "linux")]
pub fn activity(socket: BorrowedFd<'_>) -> io::Result<Activity> {
    let info = tcp_info(socket)?;
    let since = |milliseconds: u32| Duration::from_millis(milliseconds.into());
    Ok(Activity {
        since_last_send: since(info.tcpi_last_data_sent),
        since_last_receive: since(info.tcpi_last_data_recv),
    })
}

/// Returns the number of bytes that have arrived and were not read. Fails where the system does not
/// tell.
#[cfg(target_os = "linux")]
pub fn unread_bytes(socket: BorrowedFd<'_>) -> io::Result<usize> {
    use std::os::fd::AsRawFd;

    let mut count: libc::c_int = 0;
    // SAFETY: the request writes one integer (`SIOCINQ`, which is `FIONREAD`), and the descriptor is
    // open while it is borrowed.
    let result = unsafe { libc::ioctl(socket.as_raw_fd(), libc::FIONREAD, &mut count) };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(usize::try_from(count).unwrap_or(0))
}

/// Fails, as this system does not tell how much of a connection's input is unread.
#[cfg(not(target_os = "linux"))]
pub fn unread_bytes(_: BorrowedFd<'_>) -> io::Result<usize> {
    Err(io::ErrorKind::Unsupported.into())
}

/// Fails, as this system does not tell the times of a connection.
#[cfg(not(target_os = "linux"))]
pub fn activity(_: BorrowedFd<'_>) -> io::Result<Activity> {
    Err(io::ErrorKind::Unsupported.into())
}

#[cfg(target_os = "linux")]
fn tcp_info(socket: BorrowedFd<'_>) -> io::Result<libc::tcp_info> {
    use std::mem::{offset_of, size_of, MaybeUninit};
    use std::os::fd::AsRawFd;

    /// Up to and including the last field that is read.
    const MIN_LENGTH: usize = offset_of!(libc::tcp_info, tcpi_last_data_recv) + size_of::<u32>();

    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the buffer is as long as `length` says, and the descriptor is open while it is
    // borrowed.
    let result = unsafe {
        libc::getsockopt(
            socket.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &mut length,
        )
    };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    if (length as usize) < MIN_LENGTH {
        return Err(io::ErrorKind::Unsupported.into());
    }
    // SAFETY: the structure consists of integers, for which zeroes are valid, and the system has
    // written the beginning.
    Ok(unsafe { info.assume_init() })
}
