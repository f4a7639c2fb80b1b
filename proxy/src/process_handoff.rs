//! Process handoff: while a new process of the program replaces an old one, the two share the
//! clients' address and the limits until the old one has shut down.

use crate::transient_errors::ErrorClass;
use nix::libc;
use nix::sys::socket::{setsockopt, sockopt};
use std::convert::Infallible;
use std::fs::{File, Metadata, OpenOptions, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::time::sleep;

/// The file that a running process keeps locked. The name cannot change: a running process of an
/// older version, which is to be replaced, looks for the file under this name.
const LOCK_FILE_NAME: &str = "nettleworks.lock";
/// Interval between attempts to lock a file that another process has locked.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a process checks that the file it has locked is still at its path, where other
/// processes look for it.
const LOCK_FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Binds a socket to the clients' address. `SO_REUSEPORT` lets another process bind the same
/// address, and `SO_REUSEADDR` allows binding it despite connections that a killed process left
/// behind. The socket does not listen yet.
pub fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Directs all new connections to the process that started to listen at this listener's address
/// after this process, if there is one. A BPF filter selects the listener by its index. The kernel
/// numbers the listeners of an address in the order in which they started; when one closes, the
/// last one takes over its index. So the older of two listeners always has index 0 and the newer
/// one index 1. If no listener has the index that the filter returns, the kernel selects one as it
/// does without a filter.
pub fn attach_newer_listener_filter(listener: impl AsFd) -> io::Result<()> {
    const NEWER_LISTENER_INDEX: u32 = 1;
    let code = (libc::BPF_RET | libc::BPF_K) as u16;
    let mut filter = [libc::sock_filter {
        code,
        jt: 0,
        jf: 0,
        k: NEWER_LISTENER_INDEX,
    }];
    let program = libc::sock_fprog {
        len: filter.len() as u16,
        filter: filter.as_mut_ptr(),
    };
    Ok(setsockopt(
        &listener,
        sockopt::AttachReusePortCbpf,
        &program,
    )?)
}

/// Locks the lock file in `folder`, which announces this process to others for as long as the
/// returned file is open. Waits while another process holds the lock: `on_other_process` is called
/// with `true` when the wait begins and with `false` when it ends, and not at all if the file is
/// locked at once.
pub async fn announce_presence(
    folder: &Path,
    mut on_other_process: impl FnMut(bool),
) -> io::Result<File> {
    let path = folder.join(LOCK_FILE_NAME);
    let mut has_other_process = false;
    loop {
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        while !try_lock(&file)? {
            if !has_other_process {
                has_other_process = true;
                on_other_process(true);
            }
            sleep(LOCK_RETRY_INTERVAL).await;
        }
        // The file may have been replaced between the open and the lock.
        if is_at_path(&file, &path) {
            if has_other_process {
                on_other_process(false);
            }
            return Ok(file);
        }
    }
}

/// Keeps this process announced while the future runs. If the lock file is deleted or replaced, as
/// happens when folders for temporary files are cleaned, it is created and locked again. While the
/// lock file cannot be used because of a retryable error, other processes cannot be detected.
/// `on_other_process` is then called with `true`, so that the processes together do not exceed the
/// limits. Returns only on an error that is not retryable.
pub async fn maintain_presence(
    folder: &Path,
    mut on_other_process: impl FnMut(bool),
) -> io::Result<Infallible> {
    let mut had_other_process = false;
    let mut on_change = |has_other_process| {
        if has_other_process != had_other_process {
            had_other_process = has_other_process;
            on_other_process(has_other_process);
        }
    };
    loop {
        match announce_presence(folder, &mut on_change).await {
            Ok(file) => {
                on_change(false);
                while is_at_path(&file, &folder.join(LOCK_FILE_NAME)) {
                    sleep(LOCK_FILE_CHECK_INTERVAL).await;
                }
            }
            Err(error) if ErrorClass::of(&error).is_retryable() => {
                on_change(true);
                sleep(LOCK_RETRY_INTERVAL).await;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Tries to lock the file; `false`: another process has locked it.
pub(crate) fn try_lock(file: &File) -> io::Result<bool> {
    match file.try_lock() {
        Ok(()) => Ok(true),
        Err(TryLockError::WouldBlock) => Ok(false),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

/// Whether the file at `path` is the open file `file`.
pub(crate) fn is_at_path(file: &File, path: &Path) -> bool {
    let file_id = |metadata: Metadata| (metadata.dev(), metadata.ino());
    match (std::fs::metadata(path), file.metadata()) {
        (Ok(found), Ok(open)) => file_id(found) == file_id(open),
        _ => false,
    }
}
