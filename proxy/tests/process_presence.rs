//! The lock file by which a process detects whether another process runs, with which it then shares
//! the limits.

mod common;

use client_proxy::process_handoff::maintain_presence;
use common::*;
use std::cell::RefCell;
use std::fs::{self, File};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

const LOCK_FILE_NAME: &str = "nettleworks.lock";

/// The announced presence of a process, and the notifications that it has received: true when it
/// begins to share the limits with another process, false when it no longer does.
struct Presence {
    task: JoinHandle<()>,
    notifications: Rc<RefCell<Vec<bool>>>,
}

impl Presence {
    fn announce(folder: &Path) -> Presence {
        let (folder, notifications) = (folder.to_owned(), Rc::<RefCell<Vec<bool>>>::default());
        let log = notifications.clone();
        let task = spawn_local(async move {
            let _ = maintain_presence(&folder, |shared| log.borrow_mut().push(shared)).await;
        });
        Presence {
            task,
            notifications,
        }
    }

    fn notifications(&self) -> Vec<bool> {
        self.notifications.borrow().clone()
    }

    /// Closes the lock file, as the system does when the process ends.
    async fn end(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// Of two processes that start at the same time, the one that locks the file must get no
/// notification; the other must be notified that it shares the limits, and again when the first
/// one has ended.
#[test]
fn of_two_processes_that_start_together_only_one_is_notified_of_the_other() {
    run_test(async {
        let folder = empty_folder("start-together");
        let processes = [Presence::announce(&folder), Presence::announce(&folder)];
        wait_until("one process is notified that the limits are shared", || {
            processes
                .iter()
                .any(|process| !process.notifications().is_empty())
        })
        .await;
        let [first, second] = processes;
        let (holder, waiting) = if first.notifications().is_empty() {
            (first, second)
        } else {
            (second, first)
        };
        assert_eq!(
            (holder.notifications(), waiting.notifications()),
            (vec![], vec![true])
        );
        holder.end().await;
        wait_until(
            "the other process is notified that the first has ended",
            || waiting.notifications() == [true, false],
        )
        .await;
    });
}

/// A process that starts cannot find a lock file that was deleted, so it must be created again, and
/// be locked by one process only.
#[test]
fn a_deleted_lock_file_is_created_again_and_locked_by_one_process() {
    run_test(async {
        let folder = empty_folder("deleted");
        let old = Presence::announce(&folder);
        wait_until("the lock file exists", || {
            folder.join(LOCK_FILE_NAME).exists()
        })
        .await;
        let waiting = Presence::announce(&folder);
        wait_until(
            "the second process is notified that the limits are shared",
            || waiting.notifications() == [true],
        )
        .await;
        fs::remove_file(folder.join(LOCK_FILE_NAME)).expect("cannot remove the file");
        wait_until("the lock file exists again", || {
            folder.join(LOCK_FILE_NAME).exists()
        })
        .await;
        let third = Presence::announce(&folder);
        wait_until(
            "the third process is notified that the limits are shared",
            || third.notifications() == [true],
        )
        .await;
        // Longer than the interval at which processes try to lock the file again.
        sleep(Duration::from_millis(300)).await;
        assert_eq!(
            (
                old.notifications(),
                waiting.notifications(),
                third.notifications()
            ),
            (vec![], vec![true], vec![true])
        );
        old.end().await;
        let ended = |process: &Presence| process.notifications() == [true, false];
        wait_until(
            "a waiting process is notified that the limits are no longer shared",
            || ended(&waiting) || ended(&third),
        )
        .await;
        assert!(
            !(ended(&waiting) && ended(&third)),
            "only one of the waiting processes may lock the file"
        );
    });
}

/// After the lock file has been replaced, each of two processes has locked a file of its own. The
/// process whose file is no longer at the path must wait for the other one.
#[test]
fn a_process_whose_lock_file_was_replaced_waits_for_the_new_holder() {
    run_test(async {
        let folder = empty_folder("replaced");
        let old = Presence::announce(&folder);
        wait_until("the lock file exists", || {
            folder.join(LOCK_FILE_NAME).exists()
        })
        .await;
        let new = File::create(folder.join("new")).expect("cannot create the file");
        new.try_lock().expect("cannot lock the file");
        fs::rename(folder.join("new"), folder.join(LOCK_FILE_NAME))
            .expect("cannot replace the file");
        wait_until(
            "the old process is notified that the limits are shared",
            || old.notifications() == [true],
        )
        .await;
        drop(new);
        wait_until(
            "the old process is notified that the limits are no longer shared",
            || old.notifications() == [true, false],
        )
        .await;
    });
}

/// If no file can be locked in the folder, the error must be returned at once, without a
/// notification.
#[test]
fn an_unusable_folder_for_the_lock_file_is_reported_as_an_error() {
    run_test(async {
        let folder = empty_folder("unusable");
        fs::create_dir_all(folder.join("lock-file-is-a-folder").join(LOCK_FILE_NAME))
            .expect("cannot create the folder in the place of the file");
        fs::write(folder.join("folder-is-a-file"), "")
            .expect("cannot create the file in the place of the folder");
        for unusable in ["missing", "lock-file-is-a-folder", "folder-is-a-file"] {
            let mut is_notified = false;
            let result = maintain_presence(&folder.join(unusable), |_| is_notified = true).await;
            assert!(result.is_err() && !is_notified, "{unusable}");
        }
    });
}
