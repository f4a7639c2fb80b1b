//! A new version of the program beside the old one: they share the clients' address and the limits.

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

/// The file whose lock the serving process holds.
const LOCK: &str = "nettleworks.lock";
/// How often a process that is not alone looks whether it is by now.
const LOOK: Duration = Duration::from_millis(100);
/// How often one that is alone looks whether its file is still where others find it.
const LOOK_AGAIN: Duration = Duration::from_secs(1);

/// A socket bound to the clients' address, which another process may share, and which connections that a killed
/// process left behind do not keep from being used. It does not listen yet.
pub fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Leads all further connections to the process that came to this listener's address after its own, if there is
/// one. The kernel numbers the listeners of an address as they come, and the last takes the number of one that goes:
/// the older of two is always 0. A number that is not there makes it choose as before.
pub fn steer_to_newer_process(listener: impl AsFd) -> io::Result<()> {
    const NEWER: u32 = 1;
    let code = (libc::BPF_RET | libc::BPF_K) as u16;
    let mut filter = [libc::sock_filter { code, jt: 0, jf: 0, k: NEWER }];
    let program = libc::sock_fprog { len: filter.len() as u16, filter: filter.as_mut_ptr() };
    Ok(setsockopt(&listener, sockopt::AttachReusePortCbpf, &program)?)
}

/// Shows this process's presence in a folder for as long as the returned file is kept, and calls `shared` with whether
/// another is there as well: at once if so, and when that ends.
pub async fn announce_presence(folder: &Path, mut shared: impl FnMut(bool)) -> io::Result<File> {
    let path = folder.join(LOCK);
    let mut told = false;
    loop {
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        while !is_locked(&file)? {
            if !std::mem::replace(&mut told, true) {
                shared(true);
            }
            sleep(LOOK).await;
        }
        // Another may have put its own in its place meanwhile.
        if is_at(&file, &path) {
            if told {
                shared(false);
            }
            return Ok(file);
        }
    }
}

/// Goes on showing this process's presence for as long as this runs, also when the file is deleted or replaced, as folders
/// for passing files are cleaned now and then. While the folder fails for the moment, another process may be there unseen:
/// `shared` is told so. It ends only where the folder can't be used at all.
pub async fn maintain_presence(folder: &Path, mut shared: impl FnMut(bool)) -> io::Result<Infallible> {
    let mut told = false;
    let mut tell = |is_shared| {
        if std::mem::replace(&mut told, is_shared) != is_shared {
            shared(is_shared);
        }
    };
    loop {
        match announce_presence(folder, &mut tell).await {
            Ok(file) => {
                tell(false);
                while is_at(&file, &folder.join(LOCK)) {
                    sleep(LOOK_AGAIN).await;
                }
            }
            Err(error) if ErrorClass::of(&error).is_retryable() => {
                tell(true);
                sleep(LOOK).await;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Whether this process has its lock now.
fn is_locked(file: &File) -> io::Result<bool> {
    match file.try_lock() {
        Ok(()) => Ok(true),
        Err(TryLockError::WouldBlock) => Ok(false),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

/// Whether it is this file that is found at a path.
fn is_at(file: &File, path: &Path) -> bool {
    let id = |data: Metadata| (data.dev(), data.ino());
    let found = std::fs::metadata(path).map(id);
    matches!((found, file.metadata().map(id)), (Ok(found), Ok(own)) if found == own)
}
