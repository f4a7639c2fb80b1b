//! Runs the program as a separate process.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::OnceLock;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::time::sleep;

/// Reserves a port for the program, which does not report a port that the system assigns. The port
/// is reserved while the socket is open, except against listeners that set `SO_REUSEADDR` too.
pub(crate) fn reserve_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("cannot create a socket");
    socket.set_reuseaddr(true).expect("cannot set SO_REUSEADDR");
    socket
        .bind("127.0.0.1:0".parse().expect("invalid address"))
        .expect("cannot bind a port");
    socket
}

/// A command that runs the program with this configuration, which is written to a file of this
/// name. The path of the file is returned too.
pub(crate) fn program_command(config: &str, name: &str) -> (Command, PathBuf) {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).expect("write failed");
    let mut command = Command::new(env!("CARGO_BIN_EXE_client-proxy"));
    command
        .env("ROUTER_CONFIG", &path)
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    (command, path)
}

/// A process that is killed at the end of its test.
pub(crate) struct RunningProgram(pub(crate) Child);

impl Drop for RunningProgram {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl RunningProgram {
    /// Sends SIGTERM, on which the program shuts down gracefully.
    pub(crate) fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends the process the signal of this name, without the prefix `SIG`.
    pub(crate) fn signal(&self, name: &str) {
        send_signal(self.0.id(), name);
    }

    /// Kills the process; its sockets are closed when this returns.
    pub(crate) fn kill(&mut self) {
        self.0.kill().expect("cannot kill the process");
        self.0.wait().expect("cannot wait for the process");
    }

    /// Waits for the process to end, and returns whether its exit status was a success.
    pub(crate) async fn wait_for_success(&mut self) -> bool {
        loop {
            match self.0.try_wait().expect("cannot wait for the process") {
                Some(status) => return status.success(),
                None => sleep(Duration::from_millis(5)).await,
            }
        }
    }
}

/// Sends a process the signal of this name, without the prefix `SIG`.
pub(crate) fn send_signal(process: u32, name: &str) {
    let sent = Command::new("kill")
        .args(["-s", name, &process.to_string()])
        .status();
    assert!(
        sent.expect("cannot run kill").success(),
        "cannot send SIG{name} to process {process}"
    );
}

/// The library that injects faults into system calls, built once per test process.
fn faults_library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let built = Command::new(env!("CARGO"))
            .args(["build", "--locked", "-p", "syscall-faults"])
            .output();
        let built = built.expect("cannot run cargo");
        assert!(
            built.status.success(),
            "cannot build syscall-faults: {}",
            String::from_utf8_lossy(&built.stderr)
        );
        let target = Path::new(env!("CARGO_BIN_EXE_client-proxy"))
            .parent()
            .expect("the program is not in a folder");
        target.join("libsyscall_faults.so")
    })
}

/// Starts the program with the system call faults of this schedule.
pub(crate) fn start_with_faults(
    command: &mut Command,
    schedule: &serde_json::Value,
) -> RunningProgram {
    command
        .env("LD_PRELOAD", faults_library())
        .env("SYSCALL_FAULTS", schedule.to_string());
    RunningProgram(
        command
            .stderr(Stdio::null())
            .spawn()
            .expect("cannot start the program"),
    )
}

/// Creates an empty folder for one test.
pub(crate) fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("cannot create the folder");
    folder
}
