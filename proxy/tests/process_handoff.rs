//! Two processes of the program: which of them is alone, and what is left when one dies.

mod common;

use client_proxy::process_handoff::maintain_presence;
use common::*;
use std::cell::RefCell;
use std::fs::{self, File};
use std::io::Read as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::slice::from_ref;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

/// A folder of its own for a test.
fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

const LOCK_FILE_NAME: &str = "nettleworks.lock";

/// A process's presence, and what it is told of others.
struct Presence {
    task: JoinHandle<()>,
    told: Rc<RefCell<Vec<bool>>>,
}

impl Presence {
    fn announce(folder: &Path) -> Presence {
        let (folder, told) = (folder.to_owned(), Rc::<RefCell<Vec<bool>>>::default());
        let log = told.clone();
        let task = spawn_local(async move {
            let _ = maintain_presence(&folder, |shared| log.borrow_mut().push(shared)).await;
        });
        Presence { task, told }
    }

    fn told(&self) -> Vec<bool> {
        self.told.borrow().clone()
    }

    /// As when the process ends, however it does.
    async fn end(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// Of two that start at once one is alone, and the other is told that it is not, until the first has ended.
#[test]
fn of_two_that_start_at_once_one_is_told_of_the_other() {
    run_test(async {
        let folder = folder("at-once");
        let both = [Presence::announce(&folder), Presence::announce(&folder)];
        wait_until("one is told", || both.iter().any(|one| !one.told().is_empty())).await;
        let [first, second] = both;
        let (alone, other) = if first.told().is_empty() { (first, second) } else { (second, first) };
        assert_eq!((alone.told(), other.told()), (vec![], vec![true]));
        alone.end().await;
        wait_until("the other is told of the end", || other.told() == [true, false]).await;
    });
}

/// A lock file that was deleted is of no use to whoever starts next: it is put there again.
#[test]
fn a_lock_file_that_is_deleted_comes_back() {
    run_test(async {
        let folder = folder("deleted");
        let old = Presence::announce(&folder);
        wait_until("there is a file", || folder.join(LOCK_FILE_NAME).exists()).await;
        let waiting = Presence::announce(&folder);
        wait_until("the second is told", || waiting.told() == [true]).await;
        fs::remove_file(folder.join(LOCK_FILE_NAME)).expect("removed");
        wait_until("there is a file again", || folder.join(LOCK_FILE_NAME).exists()).await;
        let third = Presence::announce(&folder);
        wait_until("the third is told", || third.told() == [true]).await;
        // Longer than they take to look again.
        sleep(Duration::from_millis(300)).await;
        assert_eq!((old.told(), waiting.told(), third.told()), (vec![], vec![true], vec![true]));
        old.end().await;
        let ended = |one: &Presence| one.told() == [true, false];
        wait_until("one of them is told of the end", || ended(&waiting) || ended(&third)).await;
        assert!(!(ended(&waiting) && ended(&third)), "one of them has it now");
    });
}

/// Two files, each locked by one process: the one whose file others do not find gives in.
#[test]
fn a_lock_file_that_was_replaced_is_given_up() {
    run_test(async {
        let folder = folder("replaced");
        let old = Presence::announce(&folder);
        wait_until("there is a file", || folder.join(LOCK_FILE_NAME).exists()).await;
        let new = File::create(folder.join("new")).expect("a file");
        new.try_lock().expect("locked");
        fs::rename(folder.join("new"), folder.join(LOCK_FILE_NAME)).expect("replaced");
        wait_until("it is told of the other", || old.told() == [true]).await;
        drop(new);
        wait_until("it is told of the end", || old.told() == [true, false]).await;
    });
}

/// Where no file can be locked that is said once, and nobody is waited for.
#[test]
fn a_folder_that_cannot_be_used_is_an_error() {
    run_test(async {
        let folder = folder("unusable");
        fs::create_dir_all(folder.join("taken").join(LOCK_FILE_NAME))
            .expect("a folder in the place of the file");
        fs::write(folder.join("file"), "").expect("a file in the place of the folder");
        for unusable in ["missing", "taken", "file"] {
            let mut told = false;
            let shown = maintain_presence(&folder.join(unusable), |_| told = true).await;
            assert!(shown.is_err() && !told, "{unusable}");
        }
    });
}

/// What one process after the other needs to start at the same address, beside the last.
struct Site {
    endpoint: TestEndpoint,
    config: String,
    folder: PathBuf,
    address: SocketAddr,
    /// Kept from all others for as long as the test runs.
    _port: TcpSocket,
    _discovery: TestDiscovery,
}

impl Site {
    async fn new(name: &str, acts: impl IntoIterator<Item = ScriptedResponse>) -> Site {
        let (endpoint, discovery, port) =
            (TestEndpoint::start(acts).await, TestDiscovery::without_updates().await, reserve_port());
        let address = port.local_addr().expect("an address");
        let config = configuration(discovery.address, from_ref(&endpoint), |config| {
            config["listen"] = address.to_string().into();
        });
        Site { endpoint, config, folder: folder(name), address, _port: port, _discovery: discovery }
    }

    /// A process that says yes, and where it says so.
    async fn start(&self) -> (RunningProgram, SocketAddr) {
        let admin = reserve_port();
        let at = admin.local_addr().expect("an address");
        let name = self.folder.join("config.json");
        let mut command = program_command(&self.config, name.to_str().expect("text")).0;
        command.env("TMPDIR", &self.folder).env("ROUTER_ADMIN", at.to_string()).stderr(Stdio::null());
        let process = RunningProgram(command.spawn().expect("it starts"));
        while !is_ready(at).await {}
        (process, at)
    }

    async fn client(&self) -> std::io::Result<Client> {
        Ok(MessageReader::new(TcpStream::connect(self.address).await?))
    }

    /// Whether a new connection is served, and kept.
    async fn is_served(&self) -> bool {
        let mut client = self.client().await.expect("the program accepts");
        let response = client.exchange(&request("unsafe", "", "")).await;
        response.status() == 200 && response.header("connection").is_none()
    }
}

/// A new process says yes and dies before the old one is ordered to stop: the old one has all clients again, and the next
/// new one takes over from it.
#[test]
fn a_new_process_that_dies_leaves_its_clients_to_the_old_one() {
    run_test(async {
        let site = Site::new("dies-before", [ok("served")]).await;
        let (mut old, old_admin) = site.start().await;
        assert!(site.is_served().await);
        let (mut new, _) = site.start().await;
        new.kill();
        for _ in 0..16 {
            assert!(site.is_served().await);
        }
        let (_next, _) = site.start().await;
        old.stop();
        while is_ready(old_admin).await {}
        for _ in 0..16 {
            assert!(site.is_served().await);
        }
        assert!(old.ends().await);
        assert!(site.is_served().await);
    });
}

/// It dies once the old one has been ordered to stop: the old one takes who comes for as long as it listens, answers what
/// it has taken, and leaves all others to the next.
#[test]
fn a_new_process_that_dies_in_a_stop_loses_no_request() {
    run_test(async {
        let site = Site::new("dies-after", [ok("served"), ScriptedResponse::Stall, ok("served")]).await;
        let (mut old, old_admin) = site.start().await;
        assert!(site.is_served().await);
        let mut busy = site.client().await.expect("the program accepts");
        busy.send(&request("unsafe", "", "")).await;
        wait_until("the host has it", || site.endpoint.request_count() == 2).await;
        let (mut new, _) = site.start().await;
        old.stop();
        while is_ready(old_admin).await {}
        new.kill();
        for _ in 0..16 {
            // Refused is what nobody has taken.
            let Ok(mut client) = site.client().await else { break };
            let response = client.exchange(&request("unsafe", "", "")).await;
            assert_eq!(
                (response.status(), response.header("connection")),
                (200, Some("close")),
                "the old one's"
            );
        }
        let (_next, _) = site.start().await;
        for _ in 0..16 {
            assert!(site.is_served().await, "the next one's");
        }
        site.endpoint.release.notify_one();
        assert_eq!(busy.message().await.expect("an answer").body, b"released");
        assert!(old.ends().await);
        assert!(site.is_served().await);
    });
}

/// Without a file to lock it serves all the same, and says so.
#[test]
fn a_process_that_cannot_show_itself_serves() {
    run_test(async {
        let mut site = Site::new("unshown", [ok("served")]).await;
        let config = site.folder.join("config.json");
        site.folder = site.folder.join("missing");
        let mut command = program_command(&site.config, config.to_str().expect("text")).0;
        let mut process = RunningProgram(command.env("TMPDIR", &site.folder).spawn().expect("it starts"));
        let mut client = loop {
            match site.client().await {
                Ok(client) => break client,
                Err(_) => sleep(Duration::from_millis(5)).await,
            }
        };
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"served");
        process.stop();
        assert!(process.ends().await);
        let mut log = String::new();
        process.0.stderr.take().expect("piped").read_to_string(&mut log).expect("text");
        assert_eq!(log.matches(site.folder.to_str().expect("text")).count(), 1, "{log}");
    });
}
