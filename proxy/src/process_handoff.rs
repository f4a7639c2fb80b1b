//! A new version of the program beside the old one: the two share the clients' address and the
//! limits until the old one has shut down.

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

/// The file that a serving process has locked. The name is from an older version of the program: a
/// running process of that version looks for this file.
const LOCK_FILE_NAME: &str = "nettleworks.lock";
/// How often a process tries to lock a file that another process has locked.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How often a process checks that the file it has locked is still at its path, where others look
/// for it.
const LOCK_FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A socket bound to the clients' address, which another process may share, and which is not
/// blocked by connections that a killed process left behind. It does not listen yet.
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

/// Steers all further connections to the process that began to listen at this listener's address
/// after its own, if there is one. The kernel numbers an address's listeners in the order in which
/// they began, and the last one gets the number of one that ends: the older of two is always 0. If
/// no listener has the number that the filter returns, the kernel chooses as without it.
pub fn steer_to_newer_process(listener: impl AsFd) -> io::Result<()> {
    const NEWER: u32 = 1;
    let code = (libc::BPF_RET | libc::BPF_K) as u16;
    let mut filter = [libc::sock_filter {
        code,
        jt: 0,
        jf: 0,
        k: NEWER,
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

/// Locks the lock file in a folder, which announces this process to others for as long as the
/// returned file is open. While another process has it locked, this waits: `on_shared` is called
/// with true when the wait begins and with false when it ends, and not at all if there is none.
pub async fn announce_presence(folder: &Path, mut on_shared: impl FnMut(bool)) -> io::Result<File> {
    let path = folder.join(LOCK_FILE_NAME);
    let mut is_shared = false;
    loop {
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        while !try_lock(&file)? {
            if !is_shared {
                is_shared = true;
                on_shared(true);
            }
            sleep(LOCK_RETRY_INTERVAL).await;
        }
        // Another process may have replaced the file meanwhile.
        if is_at(&file, &path) {
            if is_shared {
                on_shared(false);
            }
            return Ok(file);
        }
    }
}

/// Announces this process for as long as this runs, also when the file is deleted or replaced, as
/// folders for temporary files are cleaned now and then. While the folder fails temporarily,
/// another process may be there unnoticed: `on_shared` is called with true. This returns only if
/// the folder can't be used at all.
pub async fn maintain_presence(
    folder: &Path,
    mut on_shared: impl FnMut(bool),
) -> io::Result<Infallible> {
    let mut was_shared = false;
    let mut on_change = |is_shared| {
        if is_shared != was_shared {
            was_shared = is_shared;
            on_shared(is_shared);
        }
    };
    loop {
        match announce_presence(folder, &mut on_change).await {
            Ok(file) => {
                on_change(false);
                while is_at(&file, &folder.join(LOCK_FILE_NAME)) {
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

/// Whether this process has the file locked now.
fn try_lock(file: &File) -> io::Result<bool> {
    match file.try_lock() {
        Ok(()) => Ok(true),
        Err(TryLockError::WouldBlock) => Ok(false),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

/// Whether the file at this path is the open one.
fn is_at(file: &File, path: &Path) -> bool {
    let id = |metadata: Metadata| (metadata.dev(), metadata.ino());
    match (std::fs::metadata(path), file.metadata()) {
        (Ok(found), Ok(open)) => id(found) == id(open),
        _ => false,
    }
}
