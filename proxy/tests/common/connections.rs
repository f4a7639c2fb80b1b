//! The states of connections, from the kernel's table `/proc/net/tcp` (`proc_net(5)`).

use std::net::SocketAddr;

/// Codes of connection states in the table.
const ESTABLISHED: &str = "01";
const SYN_SENT: &str = "02";

fn connection_table() -> String {
    std::fs::read_to_string("/proc/net/tcp").expect("cannot read /proc/net/tcp")
}

/// An address in the notation of the table: hexadecimal, with the bytes of the IPv4 address in
/// reverse order. Empty for IPv6, which the tests don't use:
/// `/proc/net/tcp` lists IPv4 connections only.
fn table_address(address: SocketAddr) -> String {
    match address {
        SocketAddr::V4(v4) => format!(
            "{:08X}:{:04X}",
            u32::from_le_bytes(v4.ip().octets()),
            v4.port()
        ),
        SocketAddr::V6(_) => String::new(),
    }
}

/// Whether the table has a connection to this remote address in this state.
fn is_in_state(to: SocketAddr, state: &str) -> bool {
    let SocketAddr::V4(_) = to else { return false };
    connection_table().contains(&format!("{} {state} ", table_address(to)))
}

/// Whether a connection to this address is established.
pub(crate) fn has_established_connection(address: SocketAddr) -> bool {
    is_in_state(address, ESTABLISHED)
}

/// Whether a connection to this address is being opened: its SYN has been sent and not
/// acknowledged.
pub(crate) fn is_connecting(address: SocketAddr) -> bool {
    is_in_state(address, SYN_SENT)
}

/// The state of the connection from one address to another, and how many received bytes are unread.
/// `None` if the table has no such connection.
pub(crate) fn connection_state(from: SocketAddr, to: SocketAddr) -> Option<(String, u64)> {
    let table = connection_table();
    let ends = format!("{} {}", table_address(from), table_address(to));
    let line = table.lines().find(|line| line.contains(&ends))?;
    let mut columns = line.split_whitespace().skip(3);
    let (state, queues) = (columns.next()?, columns.next()?);
    let unread = u64::from_str_radix(queues.split(':').nth(1)?, 16).ok()?;
    Some((state.to_owned(), unread))
}

/// Whether the connection from one address to another is established.
pub(crate) fn is_established(from: SocketAddr, to: SocketAddr) -> bool {
    connection_state(from, to).is_some_and(|(state, _)| state == ESTABLISHED)
}
