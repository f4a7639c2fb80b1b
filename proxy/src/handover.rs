//! A new version of the program beside the old one: they share the clients' address and the limits.

use nix::libc;
use nix::sys::socket::{setsockopt, sockopt};
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::time::sleep;

/// The file whose lock the serving process holds.
const LOCK: &str = "nettleworks.lock";
/// How often a process that is not alone looks whether it is by now.
const LOOK: Duration = Duration::from_millis(100);

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
pub fn lead_away(listener: impl AsFd) -> io::Result<()> {
    const NEWER: u32 = 1;
    let code = (libc::BPF_RET | libc::BPF_K) as u16;
    let mut filter = [libc::sock_filter { code, jt: 0, jf: 0, k: NEWER }];
    let program = libc::sock_fprog { len: filter.len() as u16, filter: filter.as_mut_ptr() };
    Ok(setsockopt(&listener, sockopt::AttachReusePortCbpf, &program)?)
}

/// Shows this process's presence in a folder for as long as the returned file is kept, and calls `shared` with whether
/// another is there as well: at once if so, and when that ends.
pub async fn show_presence(folder: &Path, mut shared: impl FnMut(bool)) -> io::Result<File> {
    let file = OpenOptions::new().create(true).append(true).open(folder.join(LOCK))?;
    let mut told = false;
    loop {
        match file.try_lock() {
            Err(TryLockError::WouldBlock) if !told => {
                shared(true);
                told = true;
            }
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(error)) => return Err(error),
            Ok(()) => break,
        }
        sleep(LOOK).await;
    }
    if told {
        shared(false);
    }
    Ok(file)
}
