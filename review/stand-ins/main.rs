//! The stand-ins and the cases of the review. `stand-ins CASE FOLDER` plays a case, writes its
//! record into the folder, and exits with 1 if the rule was broken, 0 if it held and 2 if the case
//! could not run.

mod clients;
mod common;
mod endpoint;
mod half_written;
mod hung_upload;
mod second_answer;

use std::path::{Path, PathBuf};
use std::process::exit;
use std::thread;
use std::time::Duration;

/// A case ends after this time at the latest.
const CASE_TIMEOUT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    exit(match arguments[..] {
        ["endpoint", address, log, spoil_each] => match endpoint::serve(address, log, spoil_each) {
            Ok(()) => common::HELD,
            Err(_) => common::COULD_NOT_RUN,
        },
        [case, folder] => play(case.to_owned(), PathBuf::from(folder)),
        _ => {
            println!("usage: stand-ins CASE FOLDER");
            common::COULD_NOT_RUN
        }
    });
}

/// Plays a case in a thread of its own, so that a panic is a case that could not run.
fn play(case: String, folder: PathBuf) -> i32 {
    thread::spawn(|| {
        thread::sleep(CASE_TIMEOUT);
        println!("the case took too long");
        common::end_all_processes();
        exit(common::COULD_NOT_RUN);
    });
    let played = thread::spawn(move || play_case(&case, &folder)).join();
    match played {
        Ok(Ok(code)) => code,
        Ok(Err(error)) => {
            println!("the case could not run: {error}");
            common::COULD_NOT_RUN
        }
        Err(_) => common::COULD_NOT_RUN,
    }
}

fn play_case(case: &str, folder: &Path) -> std::io::Result<i32> {
    match case {
        "hung-upload" => hung_upload::play(folder),
        "half-written" => half_written::play(folder),
        "second-answer" => second_answer::play(folder),
        _ => Err(std::io::Error::other("no such case")),
    }
}
